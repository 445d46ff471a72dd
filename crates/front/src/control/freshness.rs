//! How long a host's knowledge of the store is fresh.
//!
//! A host may rely on relayed rows only as long as the knowledge of the relaying host is fresh. A
//! failed read ends freshness at once, and only reads of the same table restore it: a read that has
//! waited for a change since before the store failed may still succeed.

use std::time::Duration;

use ids::Timestamp;

use crate::control::tables::Table;

/// Age up to which a read of the upstreams keeps the host's knowledge fresh.
///
/// Two reads of a slow store fit in. If the reads of a host hang, the hosts that it relays to begin
/// to read after this time and one read, within two seconds of any change that the store accepted.
pub const MAX_UPSTREAM_READ_AGE: Duration = Duration::from_millis(1_200);

/// Time for which a host that no host relays to any more looks for another one, before it reads the
/// store itself.
///
/// An unresponsive parent is detected a second after its last message; this time and a read of the
/// store still end within two seconds of it. Without it, all hosts behind a failed parent read the
/// store at once: 60 hosts of a domain made 300 calls in two seconds.
const PARENT_SEARCH_TIME: Duration = Duration::from_millis(350);

/// State of the reads of each table, and of the relay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    has_read: [bool; Table::ALL.len()],
    is_failing: [bool; Table::ALL.len()],
    /// Time as of which each table is known: the read that its rows stem from began then or later.
    as_of: [Timestamp; Table::ALL.len()],
    upstreams_read_at: Timestamp,
    relayed_until: Timestamp,
    /// When another host last relayed to this one.
    relayed_at: Timestamp,
    /// Since when no host has relayed to this one.
    relay_lost_at: Option<Timestamp>,
}

impl Freshness {
    /// Records a successful read of `table` that began at `began`.
    pub fn read(&mut self, table: Table, began: Timestamp) {
        self.has_read[table.index()] = true;
        self.is_failing[table.index()] = false;
        if table == Table::Upstreams {
            self.upstreams_read_at = began;
        }
    }

    /// Records that `table` is known as of `as_of`.
    pub fn known(&mut self, table: Table, as_of: Timestamp) {
        let known = &mut self.as_of[table.index()];
        *known = as_of.max(*known);
    }

    /// Returns the time as of which `table` is known; zero if it is not known.
    #[must_use]
    pub const fn as_of(&self, table: Table) -> Timestamp {
        self.as_of[table.index()]
    }

    /// Records a failed read of `table`.
    pub fn failed(&mut self, table: Table) {
        self.is_failing[table.index()] = true;
    }

    /// Records that another host relayed its knowledge, which stays fresh for `left` from `as_of`
    /// on.
    pub fn relayed(&mut self, now: Timestamp, as_of: Timestamp, left: Duration) {
        self.has_read = [true; Table::ALL.len()];
        self.relayed_until = as_of + left;
        self.relayed_at = now;
        self.relay_lost_at = None;
    }

    /// Records that no host relays to this one any more. What was relayed stays fresh for the time
    /// stated with it.
    pub fn relay_lost(&mut self, now: Timestamp) {
        self.relay_lost_at.get_or_insert(now);
    }

    /// Returns whether another host relays to this one, or this host has only just begun to look
    /// for one.
    ///
    /// The first message may take long to arrive and no longer be fresh then; the next message
    /// follows it closely.
    #[must_use]
    pub fn has_relay(&self, now: Timestamp) -> bool {
        match self.relay_lost_at {
            None if self.relayed_until == Timestamp::ZERO => false,
            None => now < self.relayed_until.max(self.relayed_at + PARENT_SEARCH_TIME),
            Some(since) => {
                self.relayed_until > Timestamp::ZERO && now.since(since) < PARENT_SEARCH_TIME
            }
        }
    }

    /// Returns whether the last read of some table failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.is_failing.contains(&true)
    }

    /// Returns whether the host has ever read all tables, or received them from another host.
    #[must_use]
    pub fn has_known_all(&self) -> bool {
        self.has_read.iter().all(|&read| read)
    }

    /// Returns how long the host's knowledge stays fresh; zero if it is not.
    #[must_use]
    pub fn left(&self, now: Timestamp) -> Duration {
        let has_all = self.has_read.iter().all(|&read| read);
        let read_until = if has_all && !self.is_failing() {
            self.upstreams_read_at + MAX_UPSTREAM_READ_AGE
        } else {
            Timestamp::ZERO
        };
        read_until.max(self.relayed_until).since(now)
    }

    /// Returns the time as of which the host knows the registrations of upstreams.
    #[must_use]
    pub fn upstreams_as_of(&self) -> Timestamp {
        let relayed = self
            .relayed_until
            .since(Timestamp::ZERO + MAX_UPSTREAM_READ_AGE);
        self.upstreams_read_at.max(Timestamp::ZERO + relayed)
    }

    /// Returns whether the host's knowledge is fresh.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        !self.left(now).is_zero()
    }
}
