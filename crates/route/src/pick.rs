//! Choice of an upstream for entries that are not divided by key.
//!
//! This host's own observations take precedence over reports: an upstream is skipped after failed
//! attempts of this host, and the load carried in replies is the coordinating host's count of
//! calls, never a figure from the upstream itself.

use std::time::Duration;

use ids::{ArenaKey, DomainId, Reason, Timestamp};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::key::{EntryKey, UpstreamKey};
use crate::router::Router;

/// Settings of a [`Picker`].
#[derive(Debug, Clone, PartialEq)]
pub struct PickerSettings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Failure domain of this host; the score of upstreams in other domains is increased by
    /// [`Self::remote_penalty`].
    pub domain: Option<DomainId>,
    /// Score added to upstreams in other domains for the latency, in requests per slot.
    pub remote_penalty: f64,
    /// Half-life of a reported load.
    pub load_half_life: Duration,
    /// Time for which an upstream is skipped after a failure; doubles with each further one.
    pub cool_off: Duration,
    /// Upper bound of the time for which an upstream is skipped.
    pub cool_off_max: Duration,
    /// Time over which the share of a new or recovered upstream rises to the full one.
    pub ramp: Duration,
    /// Initial share of a new or recovered upstream, as a fraction of the full one.
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

/// What this picker knows of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct UpstreamStats {
    /// Calls of this picker in flight at the upstream.
    in_flight: u32,
    /// Load at `reported_at`, plus this picker's calls since then.
    reported_load: f64,
    reported_at: Timestamp,
    /// Failures since the last reply.
    failures: u32,
    /// Until when the upstream is skipped.
    cool_off_until: Timestamp,
    /// When its share began to rise; none if it always had the full share.
    ramp_from: Option<Timestamp>,
    /// Whether the upstream was in any snapshot so far.
    seen: bool,
}

/// Chooses the less loaded of two randomly drawn upstreams.
///
/// One thread of an entry host owns it; it counts that thread's calls in flight and takes the load
/// of other callers from replies.
#[derive(Debug)]
pub struct Picker {
    settings: PickerSettings,
    upstreams: Vec<UpstreamStats>,
    /// Candidates of the current choice; kept to avoid allocations.
    candidates: Vec<UpstreamKey>,
    rng: StdRng,
    /// Whether a snapshot was adopted before; upstreams of the first one are not ramped up.
    has_snapshot: bool,
}

impl Picker {
    /// Creates a picker without a snapshot.
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

    /// Adopts a new snapshot. Upstreams that were in no earlier one start with a small share,
    /// except for those of the first snapshot.
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

    /// Chooses an upstream of `entry` and counts a call in flight there. `avoid` holds upstreams
    /// already tried, which are chosen only if there is no other.
    ///
    /// The caller reports the end of the attempt by [`Self::replied`], [`Self::failed`] or
    /// [`Self::abandoned`]. If all upstreams are in their cool-off period, they are all candidates
    /// again: the fault may be this host's own.
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

    /// Records a reply (an answer, or a refusal that indicates no fault of the upstream) and the
    /// load that it carried.
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

    /// Records an attempt that failed because of the upstream or its coordinating host.
    pub fn failed(&mut self, now: Timestamp, upstream: UpstreamKey) {
        let (first, longest) = (self.settings.cool_off, self.settings.cool_off_max);
        let Some(stats) = self.record_end(upstream) else {
            return;
        };
        // Calls that were in flight together fail together: they count as one failure.
        if now < stats.cool_off_until {
            return;
        }
        let span = first.saturating_mul(1 << stats.failures.min(16));
        stats.failures += 1;
        stats.cool_off_until = now + span.min(longest);
    }

    /// Records that a call ended without any information about the upstream.
    pub fn abandoned(&mut self, upstream: UpstreamKey) {
        self.record_end(upstream);
    }

    /// Returns how many of this picker's calls are in flight at an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams
            .get(upstream.index())
            .map_or(0, |s| s.in_flight)
    }

    fn record_end(&mut self, upstream: UpstreamKey) -> Option<&mut UpstreamStats> {
        let stats = self.upstreams.get_mut(upstream.index())?;
        debug_assert!(stats.in_flight > 0, "more calls ended than started");
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.reported_load = (stats.reported_load - 1.0).max(0.0);
        Some(stats)
    }

    /// Fills `candidates` with the available upstreams not yet tried, else all not yet tried, else
    /// all.
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
        debug_assert!(n > 0, "no candidates to choose from");
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

    /// Returns the load of an upstream if it got one more call, in calls per slot, with penalty and
    /// ramp applied.
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

    /// Returns the load last reported, decayed towards the number of this picker's calls in flight.
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
