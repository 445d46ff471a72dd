//! Records of all hosts, merged from what they and their watchers report.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, HostId, Incarnation, Timestamp};
use platform::ListedHost;
use wire::control::HostRecord;
use xxhash_rust::xxh3::xxh3_64;

use super::settings::HostIdentity;

/// The state of a host according to this host's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostView {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Incarnation of the process; zero if the host is known from the platform's list alone.
    pub incarnation: Incarnation,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for dispatch connections.
    pub dispatch: SocketAddr,
    /// Whether the host counts as alive: this host or a watcher has received frames from it, and no
    /// watcher has reported it unresponsive since.
    pub alive: bool,
    /// Whether the host announced that it is leaving.
    pub leaving: bool,
    /// When this host itself last received a frame from it, if ever.
    pub last_received: Option<Timestamp>,
}

/// The record of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) domain: DomainId,
    pub(super) incarnation: Incarnation,
    pub(super) beat: u64,
    pub(super) unresponsive: bool,
    pub(super) leaving: bool,
    pub(super) control: SocketAddr,
    pub(super) dispatch: SocketAddr,
    /// When this host last changed the record.
    pub(super) changed_at: Timestamp,
}

impl Record {
    /// Returns whether the host counts as alive.
    pub(super) const fn is_alive(&self) -> bool {
        self.incarnation.0 > 0 && !self.unresponsive
    }

    const fn precedence(&self) -> (u64, u64, bool) {
        (self.incarnation.0, self.beat, self.unresponsive)
    }

    fn parse(record: &HostRecord, changed_at: Timestamp) -> Option<(HostId, Self)> {
        let host = HostId::new(record.host.as_str()).ok()?;
        let parsed = Self {
            domain: DomainId::new(record.domain.as_str()).ok()?,
            incarnation: Incarnation(record.incarnation),
            beat: record.beat,
            unresponsive: record.unresponsive,
            leaving: record.leaving,
            control: record.control.parse().ok()?,
            dispatch: record.dispatch.parse().ok()?,
            changed_at,
        };
        (parsed.incarnation.0 > 0).then_some((host, parsed))
    }

    /// Returns the record in the form sent to other hosts.
    pub(super) fn to_wire(&self, host: &HostId) -> HostRecord {
        HostRecord {
            host: host.to_string(),
            domain: self.domain.to_string(),
            incarnation: self.incarnation.0,
            beat: self.beat,
            unresponsive: self.unresponsive,
            leaving: self.leaving,
            control: self.control.to_string(),
            dispatch: self.dispatch.to_string(),
        }
    }

    fn hash(&self, host: &HostId) -> u32 {
        let mut buf = Vec::with_capacity(64);
        buf.extend_from_slice(host.as_str().as_bytes());
        buf.extend_from_slice(&self.incarnation.0.to_le_bytes());
        buf.extend_from_slice(&self.beat.to_le_bytes());
        buf.push(u8::from(self.unresponsive));
        xxh3_64(&buf) as u32
    }
}

/// The result of merging a received record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// The record replaced the known one of this host.
    Replaced(HostId),
    /// Nothing changed.
    Unchanged,
    /// A newer record of this host is known.
    Stale(HostId),
    /// The record was a false report about the local host, which now has a newer record.
    Refuted,
}

/// The records of all known hosts, including this one.
///
/// Invariant: `hash` is the wrapping sum over the records of hosts that are not known from the
/// platform's list alone.
#[derive(Debug)]
pub(super) struct HostRecords {
    own_host: HostId,
    records: BTreeMap<HostId, Record>,
    hash: u32,
}

impl HostRecords {
    pub(super) fn new(identity: &HostIdentity, now: Timestamp) -> Self {
        let mut hosts = Self {
            own_host: identity.host.clone(),
            records: BTreeMap::new(),
            hash: 0,
        };
        let record = Record {
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
            beat: 0,
            unresponsive: false,
            leaving: false,
            control: identity.control,
            dispatch: identity.dispatch,
            changed_at: now,
        };
        hosts.set(identity.host.clone(), record);
        hosts
    }

    pub(super) fn get(&self, host: &HostId) -> Option<&Record> {
        self.records.get(host)
    }

    pub(super) fn own(&self) -> &Record {
        &self.records[&self.own_host]
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&HostId, &Record)> {
        self.records.iter()
    }

    /// Returns a hash over the records; it is equal on hosts with equal records.
    pub(super) const fn hash(&self) -> u32 {
        self.hash
    }

    /// Merges a record that another host sent.
    pub(super) fn merge(&mut self, record: &HostRecord, now: Timestamp) -> MergeOutcome {
        let Some((host, new)) = Record::parse(record, now) else {
            return MergeOutcome::Unchanged;
        };
        let Some(known) = self.records.get(&host) else {
            // An unresponsive host that is not known needs no record; its record may have been
            // removed here.
            if new.unresponsive {
                return MergeOutcome::Unchanged;
            }
            self.set(host.clone(), new);
            return MergeOutcome::Replaced(host);
        };
        if new.precedence() < known.precedence() {
            return MergeOutcome::Stale(host);
        }
        if new.precedence() == known.precedence() {
            return MergeOutcome::Unchanged;
        }
        if host == self.own_host {
            return self.refute(&new, now);
        }
        self.set(host.clone(), new);
        MergeOutcome::Replaced(host)
    }

    /// Refutes a report about this host by raising its own heartbeat number; a report about an
    /// earlier incarnation is ignored.
    fn refute(&mut self, claim: &Record, now: Timestamp) -> MergeOutcome {
        if claim.incarnation != self.own().incarnation {
            return MergeOutcome::Unchanged;
        }
        self.update(&self.own_host.clone(), now, |own| own.beat = claim.beat + 1);
        MergeOutcome::Refuted
    }

    /// Changes a known record; returns whether it differs now.
    pub(super) fn update(
        &mut self,
        host: &HostId,
        now: Timestamp,
        change: impl FnOnce(&mut Record),
    ) -> bool {
        let Some(known) = self.records.get(host) else {
            return false;
        };
        let mut new = known.clone();
        change(&mut new);
        if new == *known {
            return false;
        }
        new.changed_at = now;
        self.set(host.clone(), new);
        true
    }

    /// Merges the platform's list of hosts; returns whether anything changed. The list only adds
    /// hosts to connect to.
    pub(super) fn merge_listed(&mut self, listed: &[ListedHost], now: Timestamp) -> bool {
        let before = self.records.len();
        self.records.retain(|host, record| {
            record.incarnation.0 > 0 || listed.iter().any(|l| l.host == *host)
        });
        let mut changed = self.records.len() != before;
        for host in listed {
            if self.records.contains_key(&host.host) {
                continue;
            }
            let record = Record {
                domain: host.domain.clone(),
                incarnation: Incarnation(0),
                beat: 0,
                unresponsive: false,
                leaving: false,
                control: host.control,
                dispatch: host.dispatch,
                changed_at: now,
            };
            self.set(host.host.clone(), record);
            changed = true;
        }
        changed
    }

    /// Removes hosts that have been unresponsive for `forget_after`.
    pub(super) fn remove_expired(&mut self, now: Timestamp, forget_after: Duration) {
        let is_expired = |r: &Record| r.unresponsive && now.since(r.changed_at) > forget_after;
        let expired = self.records.iter().filter(|(_, r)| is_expired(r));
        let expired: Vec<HostId> = expired.map(|(host, _)| host.clone()).collect();
        for host in expired {
            self.remove(&host);
        }
    }

    fn set(&mut self, host: HostId, record: Record) {
        self.remove(&host);
        if record.incarnation.0 > 0 {
            self.hash = self.hash.wrapping_add(record.hash(&host));
        }
        self.records.insert(host, record);
    }

    fn remove(&mut self, host: &HostId) {
        let Some(old) = self.records.remove(host) else {
            return;
        };
        if old.incarnation.0 > 0 {
            self.hash = self.hash.wrapping_sub(old.hash(host));
        }
    }
}
