//! Until when what a host knows of the store counts as fresh.
//!
//! A host may go on with what another host feeds it only as long as that one's knowledge is fresh.
//! A read that fails ends freshness at once, and only reads of the same table bring it back: a read
//! that has waited for a change since before the store turned the host away may still end well.

use std::time::Duration;

use ids::Timestamp;

use crate::control::take::Table;

/// Age up to which a read of the upstreams keeps the host's knowledge fresh.
///
/// Two reads of a slow store fit in. Whoever is fed by a host whose reads hang begins to read after
/// this time and one read, within two seconds of whatever the store took.
pub const FRESH: Duration = Duration::from_millis(1_200);

/// What is known of the reads of each table, and of being fed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    has_read: [bool; Table::ALL.len()],
    is_failing: [bool; Table::ALL.len()],
    upstreams_began: Timestamp,
    fed_until: Timestamp,
}

impl Freshness {
    /// Notes a read of `table` that began at `began` and ended well.
    pub fn read(&mut self, table: Table, began: Timestamp) {
        self.has_read[table.index()] = true;
        self.is_failing[table.index()] = false;
        if table == Table::Upstreams {
            self.upstreams_began = began;
        }
    }

    /// Notes a read of `table` that failed.
    pub fn failed(&mut self, table: Table) {
        self.is_failing[table.index()] = true;
    }

    /// Notes that another host fed this one with knowledge that stays fresh for `left`.
    pub fn fed(&mut self, now: Timestamp, left: Duration) {
        self.has_read = [true; Table::ALL.len()];
        self.fed_until = now + left;
    }

    /// Notes that no host feeds this one any more.
    pub fn left_alone(&mut self) {
        self.fed_until = Timestamp::ZERO;
    }

    /// Tells whether another host feeds this one.
    #[must_use]
    pub fn is_fed(&self, now: Timestamp) -> bool {
        now < self.fed_until
    }

    /// Returns for how long what the host knows stays fresh; zero if it is not.
    #[must_use]
    pub fn left(&self, now: Timestamp) -> Duration {
        let is_whole = self.has_read.iter().all(|&read| read);
        let fails = self.is_failing.iter().any(|&failing| failing);
        let read_until = if is_whole && !fails {
            self.upstreams_began + FRESH
        } else {
            Timestamp::ZERO
        };
        read_until.max(self.fed_until).since(now)
    }

    /// Returns as of when the host knows what upstreams have registered.
    #[must_use]
    pub fn upstreams_as_of(&self) -> Timestamp {
        let fed = self.fed_until.since(Timestamp::ZERO + FRESH);
        self.upstreams_began.max(Timestamp::ZERO + fed)
    }

    /// Tells whether what the host knows is fresh.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        !self.left(now).is_zero()
    }
}
