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

/// Time for which a host that is fed no more looks for another that feeds it, before it reads itself.
///
/// A feeder that falls silent is noticed a second after its last word; this and a read of the store
/// still end within two seconds of it. Without it, all hosts behind a lost feeder read the store at
/// once: 60 hosts of a domain made 300 calls in two seconds.
const LOOK_AROUND: Duration = Duration::from_millis(350);

/// What is known of the reads of each table, and of being fed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    has_read: [bool; Table::ALL.len()],
    is_failing: [bool; Table::ALL.len()],
    upstreams_began: Timestamp,
    fed_until: Timestamp,
    /// When another host last fed this one.
    fed_at: Timestamp,
    /// Since when no host feeds this one.
    alone_since: Option<Timestamp>,
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

    /// Notes that another host fed this one, with knowledge that stays fresh for `left` from `as_of` on.
    pub fn fed(&mut self, now: Timestamp, as_of: Timestamp, left: Duration) {
        self.has_read = [true; Table::ALL.len()];
        self.fed_until = as_of + left;
        self.fed_at = now;
        self.alone_since = None;
    }

    /// Notes that no host feeds this one any more; what it was fed stays fresh for as long as was said.
    pub fn left_alone(&mut self, now: Timestamp) {
        self.alone_since.get_or_insert(now);
    }

    /// Tells whether another host feeds this one, or it has only just begun to look for one.
    ///
    /// What comes first may be long on its way, and no longer fresh when it is there; the next message is close behind.
    #[must_use]
    pub fn is_fed(&self, now: Timestamp) -> bool {
        match self.alone_since {
            None if self.fed_until == Timestamp::ZERO => false,
            None => now < self.fed_until.max(self.fed_at + LOOK_AROUND),
            Some(since) => self.fed_until > Timestamp::ZERO && now.since(since) < LOOK_AROUND,
        }
    }

    /// Tells whether the last read of some table failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.is_failing.contains(&true)
    }

    /// Tells whether the host has ever known all tables.
    #[must_use]
    pub fn has_known_all(&self) -> bool {
        self.has_read.iter().all(|&read| read)
    }

    /// Returns for how long what the host knows stays fresh; zero if it is not.
    #[must_use]
    pub fn left(&self, now: Timestamp) -> Duration {
        let is_whole = self.has_read.iter().all(|&read| read);
        let read_until = if is_whole && !self.is_failing() {
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
