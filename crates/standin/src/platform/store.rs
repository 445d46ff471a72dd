//! State of the stand-in platform, and the calls that read or change it.

use bytes::Bytes;
use ids::Timestamp;
use platform::protocol::{ChangesBody, ChangesQuery, HostBody, HostsBody, RowBody};
use platform::{Commit, MemoryObjects, MemoryTable, Txn};
use smol_str::SmolStr;
use thiserror::Error;

use super::access::{AccessDenied, Role};
use super::audit::AuditLog;
use super::counters::Counters;
use super::faults::ConfirmationLoss;
use super::hosts::LaggingHostList;
use super::rate_limit::RateLimiter;
use super::settings::{PlatformSettings, RateLimits};

/// A call on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads changes.
    Changes(ChangesQuery),
    /// Reads an object.
    GetObject(SmolStr),
    /// Reads the list of hosts.
    Hosts,
    /// Commits a transaction.
    Commit(Txn),
    /// Stores an object.
    PutObject(SmolStr, Bytes),
}

impl Call {
    /// Returns whether the call may change the state.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Commit(_) | Self::PutObject(..))
    }
}

/// The answer to a call that was executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A page of changes.
    Changes(ChangesBody),
    /// An object, if there is one.
    Object(Option<Bytes>),
    /// The list of hosts.
    Hosts(HostsBody),
    /// Result of a transaction.
    Commit(Commit),
    /// The object is stored.
    Stored,
}

/// Reason why a call was not executed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// The rate limit is exceeded.
    #[error("too many calls a second")]
    Throttled,
    /// The caller may not make this call.
    #[error("{0}")]
    AccessDenied(#[from] AccessDenied),
    /// An object with this name and a different body exists.
    #[error("{0}")]
    ObjectExists(#[from] platform::memory::ObjectExists),
}

/// State of the stand-in platform.
#[derive(Debug)]
pub struct Store {
    /// Rows.
    pub table: MemoryTable,
    /// Objects.
    pub objects: MemoryObjects,
    /// Hosts.
    pub hosts: LaggingHostList,
    /// Log of committed transactions.
    pub audit: AuditLog,
    /// Counts of calls.
    pub counters: Counters,
    /// Selects the writes whose confirmations are lost.
    pub losses: ConfirmationLoss,
    reads: RateLimiter,
    writes: RateLimiter,
    settings: PlatformSettings,
}

impl Store {
    /// Creates an empty store.
    #[must_use]
    pub fn new(now: Timestamp, settings: PlatformSettings) -> Self {
        Self {
            table: MemoryTable::new(),
            objects: MemoryObjects::default(),
            hosts: LaggingHostList::new(settings.lag()),
            audit: AuditLog::new(settings.audit_entries),
            counters: Counters::default(),
            losses: ConfirmationLoss::new(super::LoseConfirmations::None),
            reads: RateLimiter::new(now, settings.rates.reads_per_s),
            writes: RateLimiter::new(now, settings.rates.writes_per_s),
            settings,
        }
    }

    /// Replaces the limits on calls per second.
    pub fn set_rates(&mut self, now: Timestamp, rates: RateLimits) {
        self.reads = RateLimiter::new(now, rates.reads_per_s);
        self.writes = RateLimiter::new(now, rates.writes_per_s);
    }

    /// Returns the role that `token` authenticates.
    #[must_use]
    pub fn role(&self, token: &str) -> Option<Role> {
        Role::of_token(&self.settings, token)
    }

    /// Executes a call.
    ///
    /// # Errors
    ///
    /// Fails, without effect, if the rate limit is exceeded or the call isn't allowed.
    pub fn call(&mut self, now: Timestamp, role: &Role, call: Call) -> Result<Reply, CallError> {
        let result = self.try_call(now, role, call);
        match &result {
            Err(CallError::Throttled) => self.counters.throttled += 1,
            Err(CallError::AccessDenied(_) | CallError::ObjectExists(_)) => {
                self.counters.forbidden += 1;
            }
            Ok(_) => {}
        }
        result
    }

    fn try_call(&mut self, now: Timestamp, role: &Role, call: Call) -> Result<Reply, CallError> {
        let rate = if call.is_write() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        if !rate.take(now) {
            return Err(CallError::Throttled);
        }
        match call {
            Call::Changes(query) => Ok(self.changes(&query)),
            Call::GetObject(name) => Ok(self.get_object(&name)),
            Call::Hosts => Ok(self.list_hosts(now)),
            Call::Commit(txn) => self.commit(now, role, &txn),
            Call::PutObject(name, body) => self.put_object(role, &name, body),
        }
    }

    fn changes(&mut self, query: &ChangesQuery) -> Reply {
        let limits = self.settings.page_limits();
        let page = self.table.page(&query.prefix, query.since, limits);
        self.counters.reads += 1;
        self.counters.change_reads += 1;
        self.counters.rows_read += page.changes.rows.len() as u64;
        Reply::Changes(ChangesBody {
            revision: page.changes.revision,
            rows: page.changes.rows.into_iter().map(RowBody::from).collect(),
            next: page.next,
        })
    }

    fn get_object(&mut self, name: &str) -> Reply {
        self.counters.reads += 1;
        self.counters.object_reads += 1;
        Reply::Object(self.objects.get(name))
    }

    fn list_hosts(&mut self, now: Timestamp) -> Reply {
        self.counters.reads += 1;
        self.counters.host_reads += 1;
        let hosts = self.hosts.list(now).cloned().map(HostBody::from);
        Reply::Hosts(HostsBody {
            hosts: hosts.collect(),
        })
    }

    fn commit(&mut self, now: Timestamp, role: &Role, txn: &Txn) -> Result<Reply, CallError> {
        role.check_txn(&self.table, txn)?;
        self.counters.writes += 1;
        let commit = self.table.commit(txn);
        match commit {
            Commit::Done(revision) => {
                self.counters.commits += 1;
                self.counters.rows_written += txn.writes.len() as u64;
                self.audit.add(now, role, revision, txn);
            }
            Commit::Conflict(_) => self.counters.conflicts += 1,
        }
        Ok(Reply::Commit(commit))
    }

    fn put_object(&mut self, role: &Role, name: &str, body: Bytes) -> Result<Reply, CallError> {
        role.check_store()?;
        self.objects.put(name, body)?;
        self.counters.writes += 1;
        self.counters.objects_stored += 1;
        Ok(Reply::Stored)
    }
}
