//! Registry of the upstreams that registered.
//!
//! An upstream is one incarnation of a server: a server that restarts, or another server at the
//! same address, is another upstream. A server may register all its incarnations under one name;
//! the registry then has one of them at a time.
//!
//! The operator may drain a failure domain. Its upstreams get no new requests until the domain is
//! restored, and keys that they own move to others.

use std::time::Duration;

use ids::{DomainId, EntryId, Revision, StoreEra, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::registration::{Registration, UpstreamState};

/// Time for which an upstream serves after the store has accepted that it leaves.
const LEAVING_SERVICE_TIME: Duration = Duration::from_secs(2);
/// Time that a request may take from the last decision on it to the upstream.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// Time for which the upstreams of a drained domain still get requests on keys that no other
/// upstream may run yet.
///
/// Moving all keys of a domain of forty upstreams takes 1.5 s. A host learns of the drain within
/// two seconds, and nothing may reach the domain five seconds after it.
const DRAINED_KEYS_GRACE: Duration = Duration::from_millis(2_500);

/// Increase of the cold time from which an upstream counts as cold again.
///
/// The reported time is as old as the read of it, which happens up to 650 ms after the write and
/// varies between reads. An upstream that is cold for three seconds is known to be cold from the
/// first read.
const COLD_AGAIN_THRESHOLD: Duration = Duration::from_secs(1);

/// Maximum number of upstreams that are remembered to have announced that they leave. More than
/// leave within any minute, so that none of them becomes ready again if its registration is lost
/// and comes back in that time.
const MAX_ANNOUNCED_LEAVING: usize = 1_024;

/// All upstreams that are registered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamRegistry {
    upstreams: IndexMap<UpstreamId, Registration>,
    /// Drained failure domains and when this host learnt of the drain; none if the domain was
    /// already drained when this host started.
    drained: IndexMap<DomainId, Option<Timestamp>>,
    /// Upstreams that are assumed to be cold until a registration later than this revision reports
    /// otherwise.
    presumed_cold: IndexMap<UpstreamId, Revision>,
    /// Upstreams that announced in an answer that they leave, which overrides their registrations.
    announced_leaving: IndexSet<UpstreamId>,
    /// Current incarnation of each server.
    incarnations: IndexMap<SmolStr, UpstreamId>,
    /// Servers that report an earlier start than that of the current incarnation, and since when
    /// they do.
    earlier_starts: IndexMap<SmolStr, Timestamp>,
    /// Time as of which the registrations were known before the latest change; none if that is not
    /// recorded.
    known_as_of: Option<Timestamp>,
    /// Until when each leaving upstream may get requests, as the store may have accepted that it leaves
    /// right after the time as of which it was known not to.
    leaving_until: IndexMap<UpstreamId, Timestamp>,
    /// Upstreams that were removed, the last of them at the end.
    removed: IndexMap<UpstreamId, RemovedUpstream>,
    /// Time until which the store may show an earlier incarnation of a server, as it has returned
    /// from a copy.
    may_lack_rows_until: Timestamp,
}

/// An upstream that was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RemovedUpstream {
    /// The store's era at that time.
    era: StoreEra,
    write_count: Option<u64>,
    /// Revision of its registration in the copy from which the store has returned since.
    copied_at: Option<Revision>,
}

/// Maximum number of removed upstreams that are remembered: more than end in any minute.
const MAX_REMOVED: usize = 1_024;

/// Time for which an incarnation with an earlier start must stay registered to replace the current
/// one.
///
/// An incarnation that has ended may have a write in flight, which the current one overwrites with
/// its next heartbeat, within a second. If the earlier start stays for longer, the server's clock
/// was set back.
const EARLIER_START_DELAY: Duration = Duration::from_secs(2);

impl UpstreamRegistry {
    /// Adds or updates the registration of an upstream, as of the store's revision `at`; returns
    /// whether it changed.
    ///
    /// The passing of its cold time is not a change. A later incarnation of a server replaces the
    /// current one; one with an earlier start does so only if it stays registered for two seconds.
    pub fn register(&mut self, now: Timestamp, at: Revision, mut upstream: Registration) -> bool {
        if self.is_outdated(at, &upstream) || !self.is_current(now, &upstream) {
            return false;
        }
        self.removed.shift_remove(&upstream.id);
        if self.announced_leaving.contains(&upstream.id) {
            upstream.state = UpstreamState::Leaving;
        }
        match upstream.state {
            UpstreamState::Ready => {
                self.leaving_until.swap_remove(&upstream.id);
            }
            UpstreamState::Leaving => self.limit_leaving(&upstream.id),
        }
        let is_confirmed = self.confirm_warmup(at, &upstream);
        self.incarnations
            .insert(upstream.server.clone(), upstream.id.clone());
        let Some(known) = self.upstreams.get_mut(&upstream.id) else {
            self.upstreams.insert(upstream.id.clone(), upstream);
            return true;
        };
        let is_cold_again = upstream.cold_until > known.cold_until.max(now) + COLD_AGAIN_THRESHOLD;
        let cold_until = if is_cold_again || is_confirmed {
            upstream.cold_until
        } else {
            known.cold_until
        };
        known.write_count = upstream.write_count;
        let updated = Registration {
            cold_until,
            leaving_since: known.leaving_since.or(upstream.leaving_since),
            ..upstream
        };
        if *known == updated {
            return false;
        }
        *known = updated;
        true
    }

    /// Records that the store has returned from a copy, and that its servers may not have registered
    /// again until `may_lack_rows_until`.
    pub fn begin_era(&mut self, may_lack_rows_until: Timestamp) {
        self.may_lack_rows_until = may_lack_rows_until;
    }

    /// Returns whether a registration, as of the store's revision `at`, is older than what is known
    /// of the upstream.
    ///
    /// A store that has returned from a copy has older registrations until servers write them again,
    /// and those of upstreams that have ended until they expire.
    fn is_outdated(&mut self, at: Revision, upstream: &Registration) -> bool {
        if let Some(known) = self.upstreams.get(&upstream.id) {
            return upstream.is_written_before(known);
        }
        let Some(removed) = self.removed.get_mut(&upstream.id) else {
            return false;
        };
        let is_same_era = at.era() <= removed.era;
        let counts = upstream.write_count.zip(removed.write_count);
        if is_same_era || counts.is_none_or(|(count, last)| count > last) {
            return false;
        }
        at <= *removed.copied_at.get_or_insert(at)
    }

    /// Records that an upstream announced in an answer that it leaves; returns whether its
    /// state changed.
    ///
    /// Its registration may show this much later, as the store has to take it first, and some
    /// upstreams never register it. An incarnation that leaves does not come back.
    pub fn mark_leaving(&mut self, now: Timestamp, id: &UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        let was_leaving = upstream.state == UpstreamState::Leaving;
        if !was_leaving {
            upstream.state = UpstreamState::Leaving;
            upstream.leaving_since.get_or_insert(now);
        }
        self.limit_leaving(id);
        self.announced_leaving.insert(id.clone());
        if self.announced_leaving.len() > MAX_ANNOUNCED_LEAVING {
            self.announced_leaving.shift_remove_index(0);
        }
        !was_leaving
    }

    /// Returns whether an upstream that was assumed to be cold has now reported its cold time, at
    /// `at`.
    fn confirm_warmup(&mut self, at: Revision, upstream: &Registration) -> bool {
        let presumed = self.presumed_cold.get(&upstream.id);
        let is_confirmed = presumed.is_some_and(|&presumed| at > presumed);
        if is_confirmed {
            self.presumed_cold.swap_remove(&upstream.id);
        }
        is_confirmed
    }

    /// Drains a failure domain; returns whether it was not drained before.
    ///
    /// `since` is when this host learnt of the drain, or none if the domain was already drained
    /// when the host started. In that case its keys have moved long ago, and it gets no requests at
    /// all.
    pub fn drain_domain(&mut self, domain: DomainId, since: Option<Timestamp>) -> bool {
        if self.drained.contains_key(&domain) {
            return false;
        }
        self.drained.insert(domain, since);
        true
    }

    /// Restores a drained failure domain at the store's revision `at`; returns whether it was
    /// drained.
    ///
    /// Its upstreams may have become cold in the meantime without having reported that yet. Those
    /// for which `cold_until` returns a time are assumed to be cold until then, or until they
    /// report otherwise.
    pub fn restore_domain(
        &mut self,
        domain: &DomainId,
        at: Revision,
        cold_until: impl Fn(&EntryId) -> Option<Timestamp>,
    ) -> bool {
        if self.drained.shift_remove(domain).is_none() {
            return false;
        }
        let restored = self.upstreams.values_mut().filter(|u| u.domain == *domain);
        for upstream in restored {
            if let Some(until) = cold_until(&upstream.entry) {
                upstream.cold_until = upstream.cold_until.max(until);
                self.presumed_cold.insert(upstream.id.clone(), at);
            }
        }
        true
    }

    /// Returns the drained failure domains.
    pub fn drained_domains(&self) -> impl Iterator<Item = &DomainId> {
        self.drained.keys()
    }

    /// Returns until when `upstream` takes requests on keys that it owns: zero if it takes none, and
    /// [`Timestamp::NEVER`] if nothing is known to end it.
    #[must_use]
    pub fn serves_owned_keys_until(&self, upstream: &Registration) -> Timestamp {
        let domain_allows_until = match self.drained.get(&upstream.domain) {
            None => Timestamp::NEVER,
            Some(None) => Timestamp::ZERO,
            Some(Some(since)) => *since + DRAINED_KEYS_GRACE,
        };
        let state_allows_until = upstream.state_allows_owned_keys_until();
        let service_ends = self.leaving_until.get(&upstream.id).copied();
        domain_allows_until
            .min(state_allows_until)
            .min(service_ends.unwrap_or(Timestamp::NEVER))
    }

    /// Records that the registrations are known as of `as_of`, before a change is applied: whatever it
    /// brings, the store has accepted later.
    pub fn record_known_as_of(&mut self, as_of: Timestamp) {
        self.known_as_of = Some(as_of);
    }

    /// Records until when an upstream that leaves may get requests, unless it was already leaving.
    fn limit_leaving(&mut self, id: &UpstreamId) {
        let Some(known_as_of) = self.known_as_of else {
            return;
        };
        let until = known_as_of + LEAVING_SERVICE_TIME - ARRIVAL_TIME;
        self.leaving_until.entry(id.clone()).or_insert(until);
    }

    /// Returns whether `upstream` takes requests on keys that it owns.
    #[must_use]
    pub fn serves_owned_keys(&self, upstream: &Registration, now: Timestamp) -> bool {
        now < self.serves_owned_keys_until(upstream)
    }

    /// Returns whether `upstream` may get requests that others of its entry could run as well: neither
    /// it nor its domain is being taken out of service.
    #[must_use]
    pub fn is_in_service(&self, upstream: &Registration) -> bool {
        upstream.state == UpstreamState::Ready && !self.drained.contains_key(&upstream.domain)
    }

    /// Returns whether `upstream` is among the [ready](Self::ready) ones of its entry.
    #[must_use]
    pub fn is_ready(&self, upstream: &Registration) -> bool {
        let is_left_out = upstream.is_missing && !self.are_most_missing(&upstream.entry);
        !is_left_out && self.is_in_service(upstream)
    }

    /// Returns whether the registrations of more than half of the entry's upstreams are missing.
    fn are_most_missing(&self, entry: &EntryId) -> bool {
        let is_counted = |u: &&Registration| u.state == UpstreamState::Ready && u.entry == *entry;
        let (mut missing, mut all) = (0, 0);
        for upstream in self.iter().filter(is_counted) {
            all += 1;
            missing += usize::from(upstream.is_missing);
        }
        missing * 2 > all
    }

    /// Returns whether an upstream was registered and is known to have left or ended.
    #[must_use]
    pub fn is_gone(&self, id: &UpstreamId) -> bool {
        self.removed.contains_key(id) && !self.upstreams.contains_key(id)
    }

    /// Returns whether `upstream` is, or becomes, the current incarnation of its server; removes
    /// the incarnation that it replaces.
    fn is_current(&mut self, now: Timestamp, upstream: &Registration) -> bool {
        let server = &upstream.server;
        let Some(known) = self.incarnation_of(server).filter(|k| k.id != upstream.id) else {
            self.earlier_starts.shift_remove(server);
            return true;
        };
        let is_earlier = upstream.started_ms < known.started_ms;
        let id = known.id.clone();
        if is_earlier {
            let since = *self.earlier_starts.entry(server.clone()).or_insert(now);
            let since = since.max(self.may_lack_rows_until);
            if now.since(since) < EARLIER_START_DELAY {
                return false;
            }
        }
        self.remove(&id);
        true
    }

    /// Returns the current incarnation of `server`.
    #[must_use]
    pub fn incarnation_of(&self, server: &str) -> Option<&Registration> {
        self.get(self.incarnations.get(server)?)
    }

    /// Records that an upstream's registration is missing; returns whether that was not
    /// known before.
    pub fn mark_missing(&mut self, id: &UpstreamId) -> bool {
        match self.upstreams.get_mut(id) {
            Some(upstream) => !std::mem::replace(&mut upstream.is_missing, true),
            None => false,
        }
    }

    /// Removes an upstream whose registration was removed from the store in `era`; returns whether it
    /// was registered.
    pub fn remove_gone(&mut self, id: &UpstreamId, era: StoreEra) -> bool {
        let write_count = self.upstreams.get(id).and_then(|u| u.write_count);
        if !self.remove(id) {
            return false;
        }
        let removed = RemovedUpstream {
            era,
            write_count,
            copied_at: None,
        };
        self.removed.insert(id.clone(), removed);
        if self.removed.len() > MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
        true
    }

    /// Removes an upstream; returns whether it was registered.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        let Some(removed) = self.upstreams.shift_remove(id) else {
            return false;
        };
        self.incarnations.shift_remove(&removed.server);
        self.earlier_starts.shift_remove(&removed.server);
        self.presumed_cold.swap_remove(id);
        self.leaving_until.swap_remove(id);
        true
    }

    /// Returns the registration of an upstream.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Registration> {
        self.upstreams.get(id)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Registration> {
        self.upstreams.values()
    }

    /// Returns the upstreams of `entry` that take requests, without those in drained domains.
    ///
    /// Upstreams whose registration is missing are included only if they are more than half. A
    /// single missing one has most likely left while the store could not be read, while an outage
    /// of the store makes many registrations expire whose upstreams are healthy.
    #[must_use]
    pub fn ready<'a>(&'a self, entry: &EntryId) -> Vec<&'a Registration> {
        let keeps_missing = self.are_most_missing(entry);
        let is_ready = |u: &&Registration| {
            u.entry == *entry && (keeps_missing || !u.is_missing) && self.is_in_service(u)
        };
        self.iter().filter(is_ready).collect()
    }
}
