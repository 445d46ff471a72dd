//! The upstreams that registered themselves.
//!
//! An upstream is one run of a server: a server that starts again, or another one at the same
//! address, is another upstream. A server may register all its runs under one name; the roster then
//! knows one of them at a time.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, EntryId, Timestamp, UpstreamId};
use indexmap::IndexMap;
use smol_str::SmolStr;

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registered {
    /// This run of the server.
    pub id: UpstreamId,
    /// The name under which the server registers; all its runs may share it.
    pub server: SmolStr,
    /// When this run began, in milliseconds of the server's clock; none if servers don't say so,
    /// and each run has a name of its own.
    pub born: Option<u64>,
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
    /// The run of each server that counts.
    runs: IndexMap<SmolStr, UpstreamId>,
    /// Servers that say they began earlier than the run that counts, and since when they do.
    doubted: IndexMap<SmolStr, Timestamp>,
}

/// Time for which an earlier run than the known one must be registered to count.
///
/// A run that has ended may still have a write on its way, which the living one replaces with its
/// next heartbeat, within a second. If the word stands for longer, the server's clock was set back.
const DOUBT: Duration = Duration::from_secs(2);

impl Roster {
    /// Adds an upstream or takes what it says now; tells whether that is news.
    ///
    /// Its warm-up shrinking by itself is none. A later run of a server replaces the one before; an
    /// earlier one counts only if it says so for two seconds.
    pub fn put(&mut self, now: Timestamp, upstream: Registered) -> bool {
        if !self.is_current(now, &upstream) {
            return false;
        }
        self.runs
            .insert(upstream.server.clone(), upstream.id.clone());
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

    /// Tells whether `upstream` is the run of its server that counts; the one before is removed.
    fn is_current(&mut self, now: Timestamp, upstream: &Registered) -> bool {
        let server = &upstream.server;
        let Some(known) = self.run_of(server).filter(|k| k.id != upstream.id) else {
            self.doubted.shift_remove(server);
            return true;
        };
        let is_earlier = upstream.born < known.born;
        let id = known.id.clone();
        if is_earlier {
            let since = *self.doubted.entry(server.clone()).or_insert(now);
            if now.since(since) < DOUBT {
                return false;
            }
        }
        self.remove(&id);
        true
    }

    /// Returns the run of `server` that counts.
    #[must_use]
    pub fn run_of(&self, server: &str) -> Option<&Registered> {
        self.get(self.runs.get(server)?)
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
        let Some(removed) = self.upstreams.shift_remove(id) else {
            return false;
        };
        self.runs.shift_remove(&removed.server);
        self.doubted.shift_remove(&removed.server);
        true
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
