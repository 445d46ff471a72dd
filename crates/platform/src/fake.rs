//! A platform in memory with scripted faults, for tests of other crates.

use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

use crate::{
    Changes, Commit, Hosts, ListedHost, MemoryObjects, MemoryTable, Objects, PlatformError, Table,
    Txn,
};

const PEER: SmolStr = SmolStr::new_static("fake");

/// What goes wrong with calls to a [`FakePlatform`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether no call arrives; callers are told [`PlatformError::Unreachable`].
    pub down: bool,
    /// How many of the next writes take effect, with callers told
    /// [`PlatformError::Unconfirmed`].
    pub lose_confirmations: u32,
    /// How many of the next writes have no effect, with callers told
    /// [`PlatformError::Unconfirmed`]; these come before `lose_confirmations`.
    pub lose_requests: u32,
    /// How many of the next transactions take effect only at
    /// [`FakePlatform::deliver_late`], with callers told [`PlatformError::Unconfirmed`] at
    /// once; these come after `lose_requests`.
    pub late_transactions: u32,
    /// How long each call takes before it has its effect, by tokio's clock.
    pub delay: Duration,
}

/// How many calls reached a [`FakePlatform`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of rows, objects and hosts.
    pub reads: u64,
    /// Transactions and stored objects, also those in conflict.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    table: MemoryTable,
    objects: MemoryObjects,
    hosts: Vec<ListedHost>,
    faults: Faults,
    calls: Calls,
    late: Vec<Txn>,
}

/// A platform in memory; clones share one state.
#[derive(Debug, Clone, Default)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
}

/// What becomes of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Confirmed,
    ConfirmationLost,
    RequestLost,
}

impl FakePlatform {
    /// Builds an empty platform without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the faults that are left.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.lock().hosts = hosts;
    }

    /// Returns the counts of calls and sets them to zero.
    #[must_use]
    pub fn take_calls(&self) -> Calls {
        mem::take(&mut self.lock().calls)
    }

    /// Commits the transactions that are late, in their order, and returns what became of each.
    #[expect(
        clippy::must_use_candidate,
        reason = "it is called for its effect, too"
    )]
    pub fn deliver_late(&self) -> Vec<Commit> {
        let mut state = self.lock();
        let late = mem::take(&mut state.late);
        late.iter().map(|txn| state.table.commit(txn)).collect()
    }

    /// Runs `f` on the table, past all faults and counts.
    pub fn with_table<R>(&self, f: impl FnOnce(&mut MemoryTable) -> R) -> R {
        f(&mut self.lock().table)
    }

    /// Runs `f` on the objects, past all faults and counts.
    pub fn with_objects<R>(&self, f: impl FnOnce(&mut MemoryObjects) -> R) -> R {
        f(&mut self.lock().objects)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn delay(&self) {
        let delay = self.faults().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn read<R>(
        &self,
        step: &'static str,
        f: impl FnOnce(&State) -> R,
    ) -> Result<R, PlatformError> {
        self.delay().await;
        let mut state = self.lock();
        state.check_up(step)?;
        state.calls.reads += 1;
        Ok(f(&state))
    }

    async fn write<R>(
        &self,
        step: &'static str,
        f: impl FnOnce(&mut State) -> Result<R, PlatformError>,
    ) -> Result<R, PlatformError> {
        self.delay().await;
        let mut state = self.lock();
        state.check_up(step)?;
        state.calls.writes += 1;
        match state.next_fate() {
            Fate::Confirmed => f(&mut state),
            Fate::ConfirmationLost => {
                f(&mut state)?;
                Err(unconfirmed(step))
            }
            Fate::RequestLost => Err(unconfirmed(step)),
        }
    }
}

impl State {
    fn check_up(&self, step: &'static str) -> Result<(), PlatformError> {
        if !self.faults.down {
            return Ok(());
        }
        Err(PlatformError::Unreachable {
            step,
            peer: PEER,
            cause: SmolStr::new_static("down"),
        })
    }

    fn next_is_late(&mut self) -> bool {
        let late = self.faults.late_transactions > 0;
        self.faults.late_transactions -= u32::from(late);
        late
    }

    fn next_fate(&mut self) -> Fate {
        let faults = &mut self.faults;
        if faults.lose_requests > 0 {
            faults.lose_requests -= 1;
            return Fate::RequestLost;
        }
        if faults.lose_confirmations > 0 {
            faults.lose_confirmations -= 1;
            return Fate::ConfirmationLost;
        }
        Fate::Confirmed
    }
}

fn unconfirmed(step: &'static str) -> PlatformError {
    PlatformError::Unconfirmed {
        step,
        peer: PEER,
        cause: SmolStr::new_static("no answer"),
    }
}

impl Table for FakePlatform {
    async fn changes(&self, prefix: &str, since: Revision) -> Result<Changes, PlatformError> {
        self.read("read changes", |s| s.table.changes(prefix, since))
            .await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, PlatformError> {
        let step = "commit transaction";
        let commit = |s: &mut State| {
            if s.next_is_late() {
                s.late.push(txn);
                return Err(unconfirmed(step));
            }
            Ok(s.table.commit(&txn))
        };
        self.write(step, commit).await
    }
}

impl Objects for FakePlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let step = "store object";
        let put = |s: &mut State| {
            s.objects
                .put(name, body)
                .map_err(|e| PlatformError::Forbidden {
                    step,
                    peer: PEER,
                    cause: SmolStr::from(e.to_string()),
                })
        };
        self.write(step, put).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        self.read("read object", |s| s.objects.get(name)).await
    }
}

impl Hosts for FakePlatform {
    async fn list(&self) -> Result<Vec<ListedHost>, PlatformError> {
        self.read("list hosts", |s| s.hosts.clone()).await
    }
}
