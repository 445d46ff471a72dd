//! The upstreams that registered themselves.
//!
//! An upstream is one run of a server: a server that starts again, or another one at the same
//! address, has another id.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, EntryId, Timestamp, UpstreamId};
use indexmap::IndexMap;

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registered {
    /// This run of the server.
    pub id: UpstreamId,
    /// The entry that it serves.
    pub entry: EntryId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// Since when this host knows that it leaves.
    pub leaving_since: Option<Timestamp>,
    /// Until when it is slow after its start, by the reader's clock.
    pub cold_until: Timestamp,
    /// Whether its registration is missing since the store came back, and may be written again.
    pub is_missing: bool,
}

/// Time for which a leaving upstream still gets requests on keys that nobody else may run yet.
///
/// It serves for two seconds after it said that it leaves, and the hosts know within 0.7 s. Without
/// this, requests would be refused for as long as a planned move takes.
const KEYS_STAY: Duration = Duration::from_millis(800);

impl Registered {
    /// Tells whether the upstream takes requests on keys that it owns.
    #[must_use]
    pub fn serves_its_keys(&self, now: Timestamp) -> bool {
        match (self.state, self.leaving_since) {
            (State::Ready, _) => true,
            (State::Leaving, None) => false,
            (State::Leaving, Some(since)) => now.since(since) < KEYS_STAY,
        }
    }
}

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// All upstreams that are registered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    upstreams: IndexMap<UpstreamId, Registered>,
}

impl Roster {
    /// Adds an upstream or takes what it says now; tells whether that is news.
    ///
    /// Its warm-up shrinking by itself is none.
    pub fn put(&mut self, upstream: Registered) -> bool {
        let Some(known) = self.upstreams.get_mut(&upstream.id) else {
            self.upstreams.insert(upstream.id.clone(), upstream);
            return true;
        };
        let same_cold = Registered {
            cold_until: known.cold_until,
            leaving_since: known.leaving_since.or(upstream.leaving_since),
            ..upstream
        };
        if *known == same_cold {
            return false;
        }
        *known = same_cold;
        true
    }

    /// Notes that an upstream's registration is missing; tells whether that is news.
    pub fn miss(&mut self, id: &UpstreamId) -> bool {
        match self.upstreams.get_mut(id) {
            Some(upstream) => !std::mem::replace(&mut upstream.is_missing, true),
            None => false,
        }
    }

    /// Removes an upstream; tells whether it was there.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        self.upstreams.shift_remove(id).is_some()
    }

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Registered> {
        self.upstreams.get(id)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Registered> {
        self.upstreams.values()
    }

    /// Returns the upstreams of `entry` that take requests.
    ///
    /// Those whose registration is missing count only where they are more than half: one that is
    /// missing alone has most likely left while the store could not be read, while an outage of the
    /// store makes many registrations lapse whose upstreams are well.
    #[must_use]
    pub fn ready<'a>(&'a self, entry: &EntryId) -> Vec<&'a Registered> {
        let takes = |u: &&Registered| u.state == State::Ready && u.entry == *entry;
        let mut all: Vec<&Registered> = self.iter().filter(takes).collect();
        let missing = all.iter().filter(|u| u.is_missing).count();
        if missing * 2 <= all.len() {
            all.retain(|u| !u.is_missing);
        }
        all
    }
}
