//! Choice of an upstream for entries that are not divided by key.
//!
//! What this host saw itself goes before what is reported: failures of its own tries put an
//! upstream aside, and the load carried in replies is the coordinating host's true count of
//! calls, never a figure of the upstream's own.

use std::time::Duration;

use ids::{ArenaKey, DomainId, Reason, Timestamp};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::key::{EntryKey, UpstreamKey};
use crate::router::Router;

/// Settings of a [`Picker`].
#[derive(Debug, Clone, PartialEq)]
pub struct PickerSettings {
    /// Seed of the random draws.
    pub seed: u64,
    /// Domain of this host; upstreams of other ones count as loaded by [`Self::remote_load`]
    /// more.
    pub domain: Option<DomainId>,
    /// Load that the way to another domain is worth, in requests for each slot.
    pub remote_penalty: f64,
    /// Time after which half of a reported load is forgotten.
    pub load_half_life: Duration,
    /// Time for which an upstream is passed over after a failure; doubles with each further one.
    pub cool_off: Duration,
    /// The longest time for which an upstream is passed over.
    pub cool_off_max: Duration,
    /// Time over which a new or recovered upstream's share rises to the full one.
    pub ramp: Duration,
    /// Share of a full one that a new or recovered upstream starts with.
    pub ramp_start: f64,
}

impl Default for PickerSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            domain: None,
            remote_penalty: 0.25,
            load_half_life: Duration::from_millis(100),
            cool_off: Duration::from_millis(100),
            cool_off_max: Duration::from_secs(2),
            ramp: Duration::from_secs(3),
            ramp_start: 0.1,
        }
    }
}

/// What is known of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct UpstreamStats {
    /// Calls that this picker has under way there.
    in_flight: u32,
    /// Load at `reported_at`, with this picker's calls since then.
    reported_load: f64,
    reported_at: Timestamp,
    /// Failures since the last reply.
    failures: u32,
    /// Until when the upstream is passed over.
    cool_off_until: Timestamp,
    /// When its share began to rise; none if it never had to.
    ramp_from: Option<Timestamp>,
    /// Whether the upstream was ever a candidate.
    seen: bool,
}

/// Chooses the less loaded of two upstreams drawn at random.
///
/// One thread of an entry host owns one; it counts what that thread has under way and what the
/// replies said of the rest.
#[derive(Debug)]
pub struct Picker {
    settings: PickerSettings,
    upstreams: Vec<UpstreamStats>,
    /// Candidates of the current choice, kept to spare allocations.
    candidates: Vec<UpstreamKey>,
    rng: StdRng,
    /// Whether upstreams that come into sight are new ones; not so for those there at first.
    has_snapshot: bool,
}

impl Picker {
    /// Creates a picker that knows nothing yet.
    #[must_use]
    pub fn new(settings: PickerSettings) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            upstreams: Vec::new(),
            candidates: Vec::new(),
            rng,
            has_snapshot: false,
        }
    }

    /// Takes note of a new snapshot: upstreams that were in none before start with a small
    /// share, but for those of the first snapshot.
    pub fn adopt(&mut self, now: Timestamp, router: &Router) {
        self.upstreams
            .resize_with(router.upstream_count(), UpstreamStats::default);
        let keys = router.entries().flat_map(|(_, e)| e.upstreams.iter());
        for key in keys {
            let stats = &mut self.upstreams[key.index()];
            if !stats.seen && self.has_snapshot {
                stats.ramp_from = Some(now);
            }
            stats.seen = true;
        }
        self.has_snapshot = true;
    }

    /// Chooses an upstream of `entry` and counts a call under way there; `avoid` holds
    /// upstreams already tried, taken only if there is no other.
    ///
    /// The caller reports the end of the try by [`Self::replied`], [`Self::failed`] or
    /// [`Self::left`]. If all upstreams are set aside, they are all candidates again: a host
    /// that sees none fit may be the one at fault.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::NoUpstream`] if the entry has no coordinated upstream that takes
    /// requests.
    pub fn pick(
        &mut self,
        now: Timestamp,
        router: &Router,
        entry: EntryKey,
        avoid: &[UpstreamKey],
    ) -> Result<UpstreamKey, Reason> {
        if self.upstreams.len() < router.upstream_count() {
            self.adopt(now, router);
        }
        self.collect_candidates(now, router, entry, avoid)?;
        let chosen = self.less_loaded(now, router);
        let stats = &mut self.upstreams[chosen.index()];
        stats.in_flight += 1;
        stats.reported_load += 1.0;
        Ok(chosen)
    }

    /// Takes note of a reply (an answer or a refusal that tells no fault of the upstream) and of
    /// the load that it carried.
    pub fn replied(&mut self, now: Timestamp, upstream: UpstreamKey, load: u32) {
        let ramp = self.settings.ramp;
        let Some(stats) = self.record_end(upstream) else {
            return;
        };
        stats.reported_load = f64::from(load);
        stats.reported_at = now;
        if stats.failures == 0 {
            return;
        }
        stats.failures = 0;
        let ramping = stats.ramp_from.is_some_and(|t| now.since(t) < ramp);
        if !ramping {
            stats.ramp_from = Some(now);
        }
    }

    /// Takes note of a try that failed because of the upstream or its coordinating host.
    pub fn failed(&mut self, now: Timestamp, upstream: UpstreamKey) {
        let (first, longest) = (self.settings.cool_off, self.settings.cool_off_max);
        let Some(stats) = self.record_end(upstream) else {
            return;
        };
        // Calls that were under way together fail together: they count as one failure.
        if now < stats.cool_off_until {
            return;
        }
        let span = first.saturating_mul(1 << stats.failures.min(16));
        stats.failures += 1;
        stats.cool_off_until = now + span.min(longest);
    }

    /// Takes note that a call ended without telling anything of the upstream.
    pub fn left(&mut self, upstream: UpstreamKey) {
        self.record_end(upstream);
    }

    /// Returns how many calls this picker has under way at an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams
            .get(upstream.index())
            .map_or(0, |g| g.in_flight)
    }

    fn record_end(&mut self, upstream: UpstreamKey) -> Option<&mut UpstreamStats> {
        let stats = self.upstreams.get_mut(upstream.index())?;
        debug_assert!(stats.in_flight > 0, "more calls ended than started");
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.reported_load = (stats.reported_load - 1.0).max(0.0);
        Some(stats)
    }

    /// Fills `candidates`: the fit ones not yet tried, else the fit ones, else all.
    fn collect_candidates(
        &mut self,
        now: Timestamp,
        router: &Router,
        entry: EntryKey,
        avoid: &[UpstreamKey],
    ) -> Result<(), Reason> {
        let route = router.entry(entry).ok_or(Reason::UnknownEntry)?;
        let coordinated = |k: &UpstreamKey| router.upstream(*k).is_some_and(|u| u.host.is_some());
        let available = |k: &UpstreamKey| self.upstreams[k.index()].cool_off_until <= now;
        let untried = |k: &UpstreamKey| !avoid.contains(k);
        let all = || route.upstreams.iter().copied().filter(coordinated);

        self.candidates.clear();
        self.candidates
            .extend(all().filter(available).filter(untried));
        if self.candidates.is_empty() {
            self.candidates.extend(all().filter(untried));
        }
        if self.candidates.is_empty() {
            self.candidates.extend(all());
        }
        if self.candidates.is_empty() {
            return Err(Reason::NoUpstream);
        }
        Ok(())
    }

    /// Draws two of the candidates and returns the less loaded one.
    fn less_loaded(&mut self, now: Timestamp, router: &Router) -> UpstreamKey {
        let n = self.candidates.len();
        debug_assert!(n > 0, "a choice needs candidates");
        let i = self.rng.random_range(0..n);
        let first = self.candidates[i];
        if n == 1 {
            return first;
        }
        let j = (i + self.rng.random_range(1..n)) % n;
        let second = self.candidates[j];
        if self.score(now, router, second) < self.score(now, router, first) {
            return second;
        }
        first
    }

    /// Returns how loaded an upstream would be with one call more, in calls for each slot.
    fn score(&self, now: Timestamp, router: &Router, key: UpstreamKey) -> f64 {
        let stats = &self.upstreams[key.index()];
        let Some(upstream) = router.upstream(key) else {
            return f64::INFINITY;
        };
        let remote = self.settings.domain.is_some() && self.settings.domain != upstream.domain;
        let penalty = if remote {
            self.settings.remote_penalty
        } else {
            0.0
        };
        let slots = f64::from(upstream.slots.max(1));
        ((self.load(now, stats) + 1.0) / slots + penalty) / self.ramp_share(now, stats)
    }

    /// Returns the load last reported, faded towards what this picker has under way itself.
    fn load(&self, now: Timestamp, stats: &UpstreamStats) -> f64 {
        let own_calls = f64::from(stats.in_flight);
        let age = now.since(stats.reported_at).as_secs_f64();
        let half_life = self.settings.load_half_life.as_secs_f64().max(1e-6);
        let others = (stats.reported_load - own_calls).max(0.0);
        own_calls + others * (-age / half_life).exp2()
    }

    /// Returns the share of a full load that an upstream gets now.
    fn ramp_share(&self, now: Timestamp, stats: &UpstreamStats) -> f64 {
        let Some(from) = stats.ramp_from else {
            return 1.0;
        };
        let progress = now.since(from).as_secs_f64() / self.settings.ramp.as_secs_f64().max(1e-6);
        let start = self.settings.ramp_start;
        (start + (1.0 - start) * progress).clamp(start, 1.0)
    }
}
