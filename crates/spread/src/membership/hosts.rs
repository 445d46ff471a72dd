//! Records of all hosts, merged from what they and those who watch them say.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, HostId, Incarnation, Timestamp};
use platform::ListedHost;
use wire::control::HostRecord;
use xxhash_rust::xxh3::xxh3_64;

use super::settings::Me;

/// What this host knows of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostView {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Run of the process; zero if the host is known from the platform's list alone.
    pub incarnation: Incarnation,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for dispatch connections.
    pub dispatch: SocketAddr,
    /// Whether the host counts as alive: heard by this host or by one that watches it, and not
    /// reported silent since.
    pub alive: bool,
    /// Whether the host said that it is leaving.
    pub leaving: bool,
    /// When this host itself last heard from it, if ever.
    pub heard: Option<Timestamp>,
}

/// One host's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) domain: DomainId,
    pub(super) incarnation: Incarnation,
    pub(super) beat: u64,
    pub(super) silent: bool,
    pub(super) leaving: bool,
    pub(super) control: SocketAddr,
    pub(super) dispatch: SocketAddr,
    /// When this host learned of the record as it stands.
    pub(super) since: Timestamp,
}

impl Record {
    /// Tells whether the host counts as alive.
    pub(super) const fn alive(&self) -> bool {
        self.incarnation.0 > 0 && !self.silent
    }

    const fn rank(&self) -> (u64, u64, bool) {
        (self.incarnation.0, self.beat, self.silent)
    }

    fn parse(record: &HostRecord, since: Timestamp) -> Option<(HostId, Self)> {
        let host = HostId::new(record.host.as_str()).ok()?;
        let parsed = Self {
            domain: DomainId::new(record.domain.as_str()).ok()?,
            incarnation: Incarnation(record.incarnation),
            beat: record.beat,
            silent: record.silent,
            leaving: record.leaving,
            control: record.control.parse().ok()?,
            dispatch: record.dispatch.parse().ok()?,
            since,
        };
        (parsed.incarnation.0 > 0).then_some((host, parsed))
    }

    /// Returns the record as it goes to other hosts.
    pub(super) fn to_wire(&self, host: &HostId) -> HostRecord {
        HostRecord {
            host: host.to_string(),
            domain: self.domain.to_string(),
            incarnation: self.incarnation.0,
            beat: self.beat,
            silent: self.silent,
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
        buf.push(u8::from(self.silent));
        xxh3_64(&buf) as u32
    }
}

/// What became of a record that came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Merged {
    /// It replaced what was known of this host.
    Newer(HostId),
    /// Nothing changed.
    Same,
    /// More is known of this host than it says.
    Older(HostId),
    /// It says of this very host what is not so.
    Refuted,
}

/// All known hosts, this one included.
///
/// Invariant: `hash` is the wrapping sum over the records of hosts that were heard of.
#[derive(Debug)]
pub(super) struct Hosts {
    me: HostId,
    records: BTreeMap<HostId, Record>,
    hash: u32,
}

impl Hosts {
    pub(super) fn new(me: &Me, now: Timestamp) -> Self {
        let mut hosts = Self {
            me: me.host.clone(),
            records: BTreeMap::new(),
            hash: 0,
        };
        let record = Record {
            domain: me.domain.clone(),
            incarnation: me.incarnation,
            beat: 0,
            silent: false,
            leaving: false,
            control: me.control,
            dispatch: me.dispatch,
            since: now,
        };
        hosts.set(me.host.clone(), record);
        hosts
    }

    pub(super) fn get(&self, host: &HostId) -> Option<&Record> {
        self.records.get(host)
    }

    pub(super) fn own(&self) -> &Record {
        &self.records[&self.me]
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&HostId, &Record)> {
        self.records.iter()
    }

    /// Returns a hash over the records; equal on hosts that know the same.
    pub(super) const fn hash(&self) -> u32 {
        self.hash
    }

    /// Merges a record that another host passed on.
    pub(super) fn merge(&mut self, record: &HostRecord, now: Timestamp) -> Merged {
        let Some((host, new)) = Record::parse(record, now) else {
            return Merged::Same;
        };
        let Some(known) = self.records.get(&host) else {
            // A silent host that nobody here knew is of no use; it may have been forgotten.
            if new.silent {
                return Merged::Same;
            }
            self.set(host.clone(), new);
            return Merged::Newer(host);
        };
        if new.rank() < known.rank() {
            return Merged::Older(host);
        }
        if new.rank() == known.rank() {
            return Merged::Same;
        }
        if host == self.me {
            return self.refute(&new, now);
        }
        self.set(host.clone(), new);
        Merged::Newer(host)
    }

    /// Answers what others say of this host; an older run of it is no matter of theirs any more.
    fn refute(&mut self, claim: &Record, now: Timestamp) -> Merged {
        if claim.incarnation != self.own().incarnation {
            return Merged::Same;
        }
        self.update(&self.me.clone(), now, |own| own.beat = claim.beat + 1);
        Merged::Refuted
    }

    /// Changes a record that is known; returns whether it differs now.
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
        new.since = now;
        self.set(host.clone(), new);
        true
    }

    /// Takes the platform's list: it tells whom to try to reach, and no more.
    pub(super) fn list(&mut self, listed: &[ListedHost], now: Timestamp) -> bool {
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
                silent: false,
                leaving: false,
                control: host.control,
                dispatch: host.dispatch,
                since: now,
            };
            self.set(host.host.clone(), record);
            changed = true;
        }
        changed
    }

    /// Forgets hosts that have been silent for `forget_after`.
    pub(super) fn forget(&mut self, now: Timestamp, forget_after: Duration) {
        let old = |r: &Record| r.silent && now.since(r.since) > forget_after;
        let gone = self.records.iter().filter(|(_, r)| old(r));
        let gone: Vec<HostId> = gone.map(|(host, _)| host.clone()).collect();
        for host in gone {
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
