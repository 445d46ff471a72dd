//! The upstreams that registered themselves.
//!
//! An upstream is one run of a server: a server that starts again, or another one at the same
//! address, is another upstream. A server may register all its runs under one name; the roster then
//! knows one of them at a time.
//!
//! The operator may drain a failure domain: nothing new goes to its upstreams until it is taken back, and
//! keys that they own move to others.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, EntryId, Revision, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
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
    /// Tells whether the upstream by itself takes requests on keys that it owns.
    #[must_use]
    fn serves_its_keys(&self, now: Timestamp) -> bool {
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

/// Time for which the upstreams of a drained domain still get requests on keys that nobody else may run
/// yet.
///
/// Moves of all keys of a domain of forty upstreams take 1.5 s. A host knows of the order within two
/// seconds, and nothing may reach the domain five seconds after it.
const DRAINED_KEYS_STAY: Duration = Duration::from_millis(2_500);

/// How much longer than known an upstream must say that it stays cold for that to be news.
///
/// What it says is as old as the read of it, which comes up to 650 ms after it was written, and differs from read
/// to read. An upstream that is cold for three seconds is known to be by the first read.
const COLD_AGAIN: Duration = Duration::from_secs(1);

/// Most upstreams of which it is remembered that they said they leave: more than leave within any minute, so that a
/// registration that is lost and comes back meanwhile makes none of them ready again.
const TOLD_MAX: usize = 1_024;

/// All upstreams that are registered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    upstreams: IndexMap<UpstreamId, Registered>,
    /// Failure domains that are drained, and since when this host knows; none if it was so when this
    /// host started.
    drained: IndexMap<DomainId, Option<Timestamp>>,
    /// Upstreams that are taken for cold until they say otherwise after this revision.
    presumed_cold: IndexMap<UpstreamId, Revision>,
    /// Upstreams that said in an answer that they leave, whatever their registrations say.
    told_leaving: IndexSet<UpstreamId>,
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
    /// Adds an upstream or takes what it says now, as of the store's revision `at`; tells whether that is
    /// news.
    ///
    /// Its warm-up shrinking by itself is none. A later run of a server replaces the one before; an
    /// earlier one counts only if it says so for two seconds.
    pub fn put(&mut self, now: Timestamp, at: Revision, mut upstream: Registered) -> bool {
        if !self.is_current(now, &upstream) {
            return false;
        }
        if self.told_leaving.contains(&upstream.id) {
            upstream.state = State::Leaving;
        }
        let is_told = self.hear_warmup(at, &upstream);
        self.runs
            .insert(upstream.server.clone(), upstream.id.clone());
        let Some(known) = self.upstreams.get_mut(&upstream.id) else {
            self.upstreams.insert(upstream.id.clone(), upstream);
            return true;
        };
        let is_cold_again = upstream.cold_until > known.cold_until.max(now) + COLD_AGAIN;
        let cold_until = if is_cold_again || is_told {
            upstream.cold_until
        } else {
            known.cold_until
        };
        let taken = Registered {
            cold_until,
            leaving_since: known.leaving_since.or(upstream.leaving_since),
            ..upstream
        };
        if *known == taken {
            return false;
        }
        *known = taken;
        true
    }

    /// Notes that an upstream said in an answer that it leaves; tells whether that is news.
    ///
    /// Its registration may say so much later, as the store has to take that first, and some never do. A run that
    /// leaves does not come back.
    pub fn hear_leaving(&mut self, now: Timestamp, id: &UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        self.told_leaving.insert(id.clone());
        if self.told_leaving.len() > TOLD_MAX {
            self.told_leaving.shift_remove_index(0);
        }
        if upstream.state == State::Leaving {
            return false;
        }
        upstream.state = State::Leaving;
        upstream.leaving_since.get_or_insert(now);
        true
    }

    /// Tells whether an upstream that was taken for cold has now said how cold it is, at `at`.
    fn hear_warmup(&mut self, at: Revision, upstream: &Registered) -> bool {
        let presumed = self.presumed_cold.get(&upstream.id);
        let is_told = presumed.is_some_and(|&presumed| at > presumed);
        if is_told {
            self.presumed_cold.swap_remove(&upstream.id);
        }
        is_told
    }

    /// Drains a failure domain; tells whether that is news.
    ///
    /// `since` is when this host learnt of it, or none if it was so when the host started: then its keys
    /// should have moved long ago, and it gets nothing at all.
    pub fn drain(&mut self, domain: DomainId, since: Option<Timestamp>) -> bool {
        if self.drained.contains_key(&domain) {
            return false;
        }
        self.drained.insert(domain, since);
        true
    }

    /// Takes a drained failure domain back at the store's revision `at`; tells whether that is news.
    ///
    /// Its upstreams may have become cold meanwhile and not have said so yet: those for which
    /// `cold_until` gives a time are taken for cold until then, or until they say otherwise.
    pub fn take_back(
        &mut self,
        domain: &DomainId,
        at: Revision,
        cold_until: impl Fn(&EntryId) -> Option<Timestamp>,
    ) -> bool {
        if self.drained.shift_remove(domain).is_none() {
            return false;
        }
        let there = self.upstreams.values_mut().filter(|u| u.domain == *domain);
        for upstream in there {
            if let Some(until) = cold_until(&upstream.entry) {
                upstream.cold_until = upstream.cold_until.max(until);
                self.presumed_cold.insert(upstream.id.clone(), at);
            }
        }
        true
    }

    /// Returns the failure domains that are drained.
    pub fn drained(&self) -> impl Iterator<Item = &DomainId> {
        self.drained.keys()
    }

    /// Tells whether `upstream` takes requests on keys that it owns.
    #[must_use]
    pub fn serves_its_keys(&self, upstream: &Registered, now: Timestamp) -> bool {
        let is_left = match self.drained.get(&upstream.domain) {
            None => true,
            Some(None) => false,
            Some(Some(since)) => now.since(*since) < DRAINED_KEYS_STAY,
        };
        is_left && upstream.serves_its_keys(now)
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
        self.presumed_cold.swap_remove(id);
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

    /// Returns the upstreams of `entry` that take requests; those of drained domains don't.
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
        all.retain(|u| !self.drained.contains_key(&u.domain));
        all
    }
}
