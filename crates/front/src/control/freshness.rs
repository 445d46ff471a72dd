//! How long a host's knowledge of the store is fresh.
//!
//! A host knows a table *as of* a time if it knows all that the store had accepted in it by then. Only
//! two things say so: a read of that table which this host began at that time or later, and a message
//! from a host that knows the table as of then. The answer of a read, the arrival of a message, and
//! reads of other tables say nothing: each may come long after the store was asked.
//!
//! So what a host concludes is never newer than the read that it stems from, through however many hosts
//! it came and in whatever state they are.

use std::time::Duration;

use ids::Timestamp;

use crate::control::tables::Table;

/// Age up to which reads of the configuration and of the upstreams keep the host's knowledge fresh.
///
/// Two reads of a slow store fit in. A host that has received nothing newer for this time looks for
/// another parent ([`PARENT_SEARCH_TIME`]) and then reads itself, within two seconds of any change that
/// the store accepted.
pub const MAX_READ_AGE: Duration = Duration::from_millis(1_200);
/// The same for the shared table, whose reads wait for changes: two waits and two calls.
const MAX_SHARED_READ_AGE: Duration = Duration::from_secs(6);

/// Time for which a host that no host relays to any more looks for another one, before it reads the
/// store itself.
///
/// Without it, all hosts behind a failed parent read the store at once: 60 hosts of a domain made 300
/// calls in two seconds.
pub const PARENT_SEARCH_TIME: Duration = Duration::from_millis(350);

const TABLES: usize = Table::ALL.len();

/// Returns the age up to which a read of `table` keeps the host's knowledge fresh.
const fn max_age(table: Table) -> Duration {
    match table {
        Table::Configuration | Table::Upstreams => MAX_READ_AGE,
        Table::Shared => MAX_SHARED_READ_AGE,
    }
}

/// What a host knows by a message from another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedKnowledge {
    /// Time as of which each table is known, in the order of [`Table::ALL`].
    pub as_of: [Timestamp; TABLES],
    /// Number of hosts on the way, with the one that read the store.
    pub hops: usize,
}

/// State of the reads of each table, and of the relay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    /// Time as of which this host knows each table by its own reads; zero if it never read it.
    read_as_of: [Timestamp; TABLES],
    /// The same by what other hosts relayed.
    relayed_as_of: [Timestamp; TABLES],
    /// When a read of each table failed, unless a later one has succeeded.
    failed_at: [Option<Timestamp>; TABLES],
    /// The relay to this host; none if no host has ever relayed to it.
    relay: Option<Relay>,
}

/// A relay to this host.
#[derive(Debug, Clone, Copy)]
struct Relay {
    /// When the first message of any host arrived.
    began_at: Timestamp,
    /// Since when no host relays; none while one does.
    lost_at: Option<Timestamp>,
    /// Number of hosts on the way of the latest message.
    hops: usize,
}

impl Relay {
    /// Returns until when this host leaves reading to others, if what they relayed is fresh until
    /// `fresh_until`.
    fn relied_on_until(&self, fresh_until: Timestamp) -> Timestamp {
        if let Some(lost_at) = self.lost_at {
            return lost_at.min(fresh_until) + PARENT_SEARCH_TIME;
        }
        // The first message may take long to arrive, and the next one follows it closely.
        let first_ends = self.began_at + PARENT_SEARCH_TIME;
        // Hosts next to the one that read take over from it; they relay to the others at once.
        let search_time = if self.hops > 1 {
            PARENT_SEARCH_TIME
        } else {
            Duration::ZERO
        };
        first_ends.max(fresh_until + search_time)
    }
}

impl Freshness {
    /// Records a successful read of `table` that began at `began`.
    pub fn read(&mut self, table: Table, began: Timestamp) {
        let i = table.index();
        self.read_as_of[i] = self.read_as_of[i].max(began);
        // A read that has waited since before a failure may still succeed.
        if self.failed_at[i].is_some_and(|failed_at| failed_at <= began) {
            self.failed_at[i] = None;
        }
    }

    /// Records that a read of `table` that began at `began` has failed now. It ends the freshness of
    /// what this host read itself at once, unless a later read of the table has succeeded.
    pub fn failed(&mut self, table: Table, began: Timestamp, now: Timestamp) {
        let i = table.index();
        if self.read_as_of[i] <= began {
            self.failed_at[i] = Some(now);
        }
    }

    /// Records a message from another host.
    pub fn relayed(&mut self, now: Timestamp, knowledge: RelayedKnowledge) {
        for (known, as_of) in self.relayed_as_of.iter_mut().zip(knowledge.as_of) {
            *known = as_of.max(*known);
        }
        let is_fresh = now < self.relayed_until();
        let lost_at = self.relay.and_then(|relay| relay.lost_at);
        self.relay = Some(Relay {
            began_at: self.relay.map_or(now, |relay| relay.began_at),
            lost_at: lost_at.filter(|_| !is_fresh),
            hops: knowledge.hops,
        });
    }

    /// Records that no host relays to this one any more. What was relayed stays fresh as long as it
    /// would have.
    pub fn relay_lost(&mut self, now: Timestamp) {
        if let Some(relay) = &mut self.relay {
            relay.lost_at.get_or_insert(now);
        }
    }

    /// Returns whether this host leaves reading to others: another host relays to this one, or this
    /// host has only just begun to look for one.
    #[must_use]
    pub fn has_relay(&self, now: Timestamp) -> bool {
        let fresh_until = self.relayed_until();
        let relay = self.relay;
        relay.is_some_and(|relay| now < relay.relied_on_until(fresh_until))
    }

    /// Returns whether the last read of some table failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failed_at.iter().any(Option::is_some)
    }

    /// Returns whether the host has ever read all tables, or received them from another host.
    #[must_use]
    pub fn has_known_all(&self) -> bool {
        let is_known = |table| self.as_of(table) > Timestamp::ZERO;
        self.relay.is_some() || Table::ALL.into_iter().all(is_known)
    }

    /// Returns the time as of which the host knows `table`; zero if it does not.
    #[must_use]
    pub fn as_of(&self, table: Table) -> Timestamp {
        let i = table.index();
        self.read_as_of[i].max(self.relayed_as_of[i])
    }

    /// Returns how long the host's knowledge stays fresh; zero if it is not.
    #[must_use]
    pub fn left(&self, now: Timestamp) -> Duration {
        let until = if self.is_failing() {
            self.relayed_until()
        } else {
            fresh_until(|table| self.as_of(table))
        };
        until.since(now)
    }

    /// Returns whether the host's knowledge is fresh.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        !self.left(now).is_zero()
    }

    /// Returns until when what other hosts relayed is fresh.
    fn relayed_until(&self) -> Timestamp {
        fresh_until(|table| self.relayed_as_of[table.index()])
    }
}

/// Returns until when the knowledge of all tables is fresh; zero if a table is not known.
fn fresh_until(as_of: impl Fn(Table) -> Timestamp) -> Timestamp {
    let until = |table| match as_of(table) {
        Timestamp::ZERO => Timestamp::ZERO,
        known => known + max_age(table),
    };
    let ends = Table::ALL.into_iter().map(until);
    ends.min().unwrap_or_default()
}
