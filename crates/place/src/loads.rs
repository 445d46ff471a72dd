//! Loads of slices and upstreams: observed locally, summarised by other hosts, reported by
//! upstreams.
//!
//! One [`Loads`] holds the loads of one entry as one host sees them. For upstreams that the host
//! coordinates (*local* ones) it holds each slice with its observed load; for the others only the
//! total of each upstream.

use std::time::Duration;

use ids::{Arena, ArenaKey, KeyHash, SliceNo, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::decay::Decay;
use crate::reports::ReportStats;
use crate::sketch::{HotKey, Sketch, SketchSettings};
use crate::unassigned::Candidate;

ids::arena_key! {
    /// Identifies an upstream within one [`Loads`].
    UpstreamKey
}

/// Smallest fraction of its slots that an upstream counts for during warm-up.
const MIN_WARM_FRACTION: f64 = 0.1;

/// Bytes per item of an [`IndexMap`] beside the item itself: its hash and its place in the table.
pub(crate) const INDEX_BYTES: usize = 18;

/// Settings of [`Loads`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadsSettings {
    /// Time in which old work decays by the factor 1/e.
    pub time_constant: Duration,
    /// Time after which the summary of another host's upstream is assumed to include a slice moved
    /// there.
    pub summary_lag: Duration,
    /// Longest age of a load summary at which slices may be moved to its upstream.
    ///
    /// With many hosts, each receives the summaries of a few others per second. The limit leaves a
    /// planner some upstreams to choose from, and excludes those whose load is outdated.
    pub max_summary_age: Duration,
    /// Settings of the sketch that finds hot keys.
    pub sketch: SketchSettings,
}

impl Default for LoadsSettings {
    fn default() -> Self {
        Self {
            time_constant: Duration::from_secs(3),
            summary_lag: Duration::from_secs(2),
            max_summary_age: Duration::from_secs(10),
            sketch: SketchSettings::default(),
        }
    }
}

/// The work of one request, as measured by the host that dispatched it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Hash of the request's key.
    pub key: KeyHash,
    /// Slice under which it was dispatched.
    pub slice: SliceNo,
    /// Time for which it held one of the upstream's slots, in microseconds.
    pub work_us: u32,
}

/// State of an upstream, which decides how many slices it may own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UpstreamState {
    /// Takes its full share.
    Active,
    /// Takes a fraction of its share during warm-up: see [`warm_up_fraction`].
    WarmingUp {
        /// Fraction of its slots that counts, from 0 to 1.
        fraction: f64,
    },
    /// Takes no slices; its own are moved away.
    Draining,
    /// Takes no slices; their next coordinating host reassigns its own.
    Unavailable,
}

/// Returns the fraction of its slots that an upstream counts for at `age` after it was added, if
/// its warm-up takes `duration`.
#[must_use]
pub fn warm_up_fraction(age: Duration, duration: Duration) -> f64 {
    if duration.is_zero() {
        return 1.0;
    }
    (age.as_secs_f64() / duration.as_secs_f64()).clamp(MIN_WARM_FRACTION, 1.0)
}

/// The properties of an upstream that matter for placement.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// Name.
    pub upstream: UpstreamId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// State.
    pub state: UpstreamState,
    /// Whether this host coordinates it, and therefore plans for its slices.
    pub local: bool,
}

/// How reliably an upstream's load is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadConfidence {
    /// The load was observed or summarised recently.
    Fresh,
    /// The last summary is too old to move slices to the upstream.
    Stale,
    /// No summary was ever received.
    Unknown,
}

/// The load of one upstream, to be sent to other hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSummary {
    /// Name.
    pub upstream: UpstreamId,
    /// Load, in busy slots.
    pub load: f64,
}

#[derive(Debug, Clone, Copy)]
struct SliceLoad {
    owner: UpstreamKey,
    /// Index in the owner's list of slices.
    position: u32,
    sum: f64,
}

#[derive(Debug, Clone)]
struct UpstreamLoad {
    view: UpstreamView,
    name_hash: u64,
    /// Slices, if local.
    slices: Vec<SliceNo>,
    /// Decayed sum of the work of its slices, if local.
    sum: f64,
    /// Decayed number of requests, if local.
    requests: f64,
    /// Load in the last summary, if not local.
    summary_load: f64,
    /// Time of the last summary, if there was one.
    summary_at: Option<Timestamp>,
    /// Load of slices moved there that the last summary does not include yet, if not local.
    moved_in: f64,
    /// Time of the last such move.
    moved_at: Timestamp,
    reports: ReportStats,
}

/// The loads of one entry as one host sees them.
#[derive(Debug, Clone)]
pub struct Loads {
    cfg: LoadsSettings,
    decay: Decay,
    slices: IndexMap<SliceNo, SliceLoad>,
    /// Slices that consist of one hot key.
    hot: IndexSet<SliceNo>,
    sketch: Sketch,
    upstreams: Arena<UpstreamKey, UpstreamLoad>,
    keys_by_name: IndexMap<UpstreamId, UpstreamKey>,
}

impl Loads {
    /// Creates an instance without upstreams and slices.
    #[must_use]
    pub fn new(cfg: LoadsSettings) -> Self {
        Self {
            cfg,
            decay: Decay::new(cfg.time_constant),
            slices: IndexMap::new(),
            hot: IndexSet::new(),
            sketch: Sketch::new(cfg.sketch),
            upstreams: Arena::new(),
            keys_by_name: IndexMap::new(),
        }
    }

    /// Adds an upstream, or updates its slots, its state and whether it is local.
    ///
    /// The slices of an upstream that is no longer local are dropped.
    pub fn set_upstream(&mut self, now: Timestamp, view: UpstreamView) -> UpstreamKey {
        let Some(key) = self.keys_by_name.get(&view.upstream).copied() else {
            return self.add_upstream(view);
        };
        let load = self.load(now, key);
        let was_local = self.upstreams[key].view.local;
        if was_local && !view.local {
            self.remove_slices(key);
        }
        let upstream = &mut self.upstreams[key];
        if was_local && !view.local {
            upstream.summary_load = load;
            upstream.summary_at = Some(now);
        }
        upstream.view = view;
        key
    }

    /// Returns the key of an upstream, if it was added.
    #[must_use]
    pub fn upstream_key(&self, name: &UpstreamId) -> Option<UpstreamKey> {
        self.keys_by_name.get(name).copied()
    }

    /// Returns the properties of an upstream as last set.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn view(&self, key: UpstreamKey) -> &UpstreamView {
        &self.upstreams[key].view
    }

    /// Returns the keys of all upstreams, in the order in which they were added.
    pub fn upstream_keys(&self) -> impl Iterator<Item = UpstreamKey> + use<> {
        (0..self.upstreams.len()).map(UpstreamKey::from_index)
    }

    /// Returns the slices of a local upstream.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn slices(&self, key: UpstreamKey) -> &[SliceNo] {
        &self.upstreams[key].slices
    }

    /// Returns the number of slices of all local upstreams.
    #[must_use]
    pub fn slice_count(&self) -> usize {
        self.slices.len()
    }

    /// Returns the slices of local upstreams that consist of one hot key.
    pub fn hot_slices(&self) -> impl Iterator<Item = SliceNo> {
        self.hot.iter().copied()
    }

    /// Writes the keys that have a load of at least `min_load` busy slots and are not carved out to
    /// `out`, heaviest first.
    pub fn hot_keys(&self, now: Timestamp, min_load: f64, out: &mut Vec<HotKey>) {
        self.sketch.hot_keys(now, min_load, out);
    }

    /// Returns the local upstream that owns a slice, if there is one.
    #[must_use]
    pub fn owner(&self, slice: SliceNo) -> Option<UpstreamKey> {
        self.slices.get(&slice).map(|s| s.owner)
    }

    /// Makes `to` the owner of a slice.
    ///
    /// A slice of a local upstream keeps its observed load, and so does a key that is carved out of
    /// one. Any other slice starts with `load` busy slots (as sent by its last owner's host, or
    /// zero).
    pub fn assign(&mut self, now: Timestamp, slice: SliceNo, to: UpstreamKey, load: f64) {
        let sum = if let Some(sum) = self.remove_slice(slice) {
            sum
        } else {
            let load = self.carve_out(now, slice).unwrap_or(load);
            self.decay.sum(now, load)
        };
        let load = self.decay.rate(now, sum);
        let lag = self.cfg.summary_lag;
        let upstream = &mut self.upstreams[to];
        if !upstream.view.local {
            if now.since(upstream.moved_at) > lag {
                upstream.moved_in = 0.0;
            }
            upstream.moved_in += load;
            upstream.moved_at = now;
            return;
        }
        let position = upstream.slices.len() as u32;
        upstream.slices.push(slice);
        upstream.sum += sum;
        if slice.is_hot() {
            self.hot.insert(slice);
        }
        let owner = to;
        self.slices.insert(
            slice,
            SliceLoad {
                owner,
                position,
                sum,
            },
        );
    }

    /// Removes a slice that has moved to another host's upstream or has no owner any more.
    pub fn unassign(&mut self, slice: SliceNo) {
        self.remove_slice(slice);
    }

    /// Records the work of one request. Slices without a local owner are ignored.
    pub fn record(&mut self, now: Timestamp, sample: Sample) {
        self.rebase(now);
        let Some(slice) = self.slices.get_mut(&sample.slice) else {
            return;
        };
        let weight = self.decay.weight(now);
        let sum = f64::from(sample.work_us) / 1e6 * weight;
        slice.sum += sum;
        let upstream = &mut self.upstreams[slice.owner];
        upstream.sum += sum;
        upstream.requests += weight;
        if !sample.slice.is_hot() {
            self.sketch.record(now, sample);
        }
    }

    /// Records the load of another host's upstream from that host's summary.
    ///
    /// A load that is negative or not finite is ignored.
    pub fn record_remote(&mut self, now: Timestamp, key: UpstreamKey, load: f64) {
        let lag = self.cfg.summary_lag;
        let upstream = &mut self.upstreams[key];
        if !load.is_finite() || load < 0.0 {
            return;
        }
        upstream.summary_load = load;
        upstream.summary_at = Some(now);
        if now.since(upstream.moved_at) > lag {
            upstream.moved_in = 0.0;
        }
    }

    /// Records the load that an upstream reports of itself, in busy slots.
    pub fn record_report(&mut self, now: Timestamp, key: UpstreamKey, reported: f64) {
        let observed = self.observed(now, key);
        self.upstreams[key].reports.record(now, reported, observed);
    }

    /// Writes the loads of local upstreams, to be sent to other hosts, to `out`.
    pub fn summaries(&self, now: Timestamp, out: &mut Vec<LoadSummary>) {
        out.clear();
        for (key, upstream) in self.upstreams.iter() {
            if !upstream.view.local {
                continue;
            }
            out.push(LoadSummary {
                upstream: upstream.view.upstream.clone(),
                load: self.load(now, key),
            });
        }
    }

    /// Returns the load of a slice, in busy slots; zero without a local owner.
    #[must_use]
    pub fn slice_load(&self, now: Timestamp, slice: SliceNo) -> f64 {
        self.slices
            .get(&slice)
            .map_or(0.0, |s| self.decay.rate(now, s.sum))
    }

    /// Returns the slices of a local upstream with their loads, in busy slots.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    pub fn slice_loads(
        &self,
        now: Timestamp,
        key: UpstreamKey,
    ) -> impl Iterator<Item = (SliceNo, f64)> {
        let one = self.decay.rate(now, 1.0);
        let slices = self.upstreams[key].slices.iter().copied();
        slices.map(move |slice| (slice, self.slices[&slice].sum * one))
    }

    /// Returns the approximate memory of the slices, upstreams and hot keys, in bytes.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let slice = INDEX_BYTES + size_of::<(SliceNo, SliceLoad)>() + size_of::<SliceNo>();
        let keys_by_name = INDEX_BYTES + size_of::<(UpstreamId, UpstreamKey)>();
        let upstream = size_of::<UpstreamLoad>() + keys_by_name;
        let hot = self.hot.capacity() * (INDEX_BYTES + size_of::<SliceNo>());
        let upstreams = self.upstreams.len() * upstream;
        self.slices.capacity() * slice + upstreams + hot + self.sketch.heap_bytes()
    }

    /// Returns the load of an upstream, in busy slots: the observed or summarised load, and for a
    /// local upstream the load that its reports add.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn load(&self, now: Timestamp, key: UpstreamKey) -> f64 {
        let upstream = &self.upstreams[key];
        if !upstream.view.local {
            return self.observed(now, key);
        }
        let extra = upstream.reports.extra_load(f64::from(upstream.view.slots));
        self.observed(now, key) + extra
    }

    /// Returns how reliably an upstream's load is known.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn confidence(&self, now: Timestamp, key: UpstreamKey) -> LoadConfidence {
        let upstream = &self.upstreams[key];
        if upstream.view.local {
            return LoadConfidence::Fresh;
        }
        match upstream.summary_at {
            None => LoadConfidence::Unknown,
            Some(at) if now.since(at) > self.cfg.max_summary_age => LoadConfidence::Stale,
            Some(_) => LoadConfidence::Fresh,
        }
    }

    /// Returns the decayed number of requests from which the load of a local upstream was observed.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn requests(&self, now: Timestamp, key: UpstreamKey) -> f64 {
        self.upstreams[key].requests / self.decay.weight(now)
    }

    /// Returns the number of slots of an upstream that count for placement.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn capacity(&self, key: UpstreamKey) -> f64 {
        let view = &self.upstreams[key].view;
        let slots = f64::from(view.slots);
        match view.state {
            UpstreamState::Active => slots,
            UpstreamState::WarmingUp { fraction } => slots * fraction.clamp(MIN_WARM_FRACTION, 1.0),
            UpstreamState::Draining | UpstreamState::Unavailable => 0.0,
        }
    }

    /// Returns the hash of an upstream's name, which is the same on all hosts.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn name_hash(&self, key: UpstreamKey) -> u64 {
        self.upstreams[key].name_hash
    }

    /// Writes all upstreams to `out`, as candidates for [`crate::place_unassigned`].
    pub fn candidates(&self, now: Timestamp, out: &mut Vec<Candidate>) {
        out.clear();
        out.extend(self.upstream_keys().map(|key| Candidate {
            key,
            name_hash: self.name_hash(key),
            capacity: self.capacity(key),
            load: self.load(now, key),
        }));
    }

    /// Checks all invariants and returns a message for each violation.
    #[must_use]
    pub fn verify(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (slice, load) in &self.slices {
            let owner = &self.upstreams[load.owner];
            if owner.slices.get(load.position as usize) != Some(slice) {
                violations.push(format!(
                    "slice {slice}: not listed by {}",
                    owner.view.upstream
                ));
            }
        }
        for (_, upstream) in self.upstreams.iter() {
            let name = &upstream.view.upstream;
            if !upstream.view.local && !upstream.slices.is_empty() {
                violations.push(format!("upstream {name}: has slices but is not local"));
            }
            let sum: f64 = upstream.slices.iter().map(|s| self.slices[s].sum).sum();
            if (sum - upstream.sum).abs() > 1e-6 * (1.0 + sum.abs()) {
                violations.push(format!(
                    "upstream {name}: sum is {}, expected {sum}",
                    upstream.sum
                ));
            }
        }
        let hot = self.slices.keys().filter(|s| s.is_hot()).count();
        if hot != self.hot.len() || self.hot.iter().any(|s| !self.slices.contains_key(s)) {
            violations.push(format!("{} hot slices listed, {hot} held", self.hot.len()));
        }
        let listed: usize = self.upstreams.iter().map(|(_, u)| u.slices.len()).sum();
        if listed != self.slices.len() {
            violations.push(format!(
                "{listed} slices listed, {} held",
                self.slices.len()
            ));
        }
        violations
    }

    fn add_upstream(&mut self, view: UpstreamView) -> UpstreamKey {
        let name = view.upstream.clone();
        let key = self.upstreams.push(UpstreamLoad {
            name_hash: xxh3_64(name.as_str().as_bytes()),
            view,
            slices: Vec::new(),
            sum: 0.0,
            requests: 0.0,
            summary_load: 0.0,
            summary_at: None,
            moved_in: 0.0,
            moved_at: Timestamp::ZERO,
            reports: ReportStats::default(),
        });
        self.keys_by_name.insert(name, key);
        key
    }

    /// Returns the observed load of a local upstream, or the summarised load of another one.
    fn observed(&self, now: Timestamp, key: UpstreamKey) -> f64 {
        let upstream = &self.upstreams[key];
        if upstream.view.local {
            return self.decay.rate(now, upstream.sum).max(0.0);
        }
        upstream.summary_load + upstream.moved_in
    }

    /// Removes a slice, and returns its decayed work if it was held.
    fn remove_slice(&mut self, slice: SliceNo) -> Option<f64> {
        let load = self.slices.swap_remove(&slice)?;
        self.hot.swap_remove(&slice);
        let owner = &mut self.upstreams[load.owner];
        owner.sum = (owner.sum - load.sum).max(0.0);
        let position = load.position as usize;
        owner.slices.swap_remove(position);
        if let Some(moved) = owner.slices.get(position) {
            self.slices[moved].position = load.position;
        }
        Some(load.sum)
    }

    /// Moves the load of the key that becomes the slice `hot` out of the slice that held it, and
    /// returns it, in busy slots.
    fn carve_out(&mut self, now: Timestamp, hot: SliceNo) -> Option<f64> {
        let found = self.sketch.take(now, hot)?;
        let slice = self.slices.get_mut(&found.slice)?;
        let moved = self.decay.sum(now, found.load).min(slice.sum);
        slice.sum -= moved;
        let owner = &mut self.upstreams[slice.owner];
        owner.sum = (owner.sum - moved).max(0.0);
        Some(self.decay.rate(now, moved))
    }

    fn remove_slices(&mut self, key: UpstreamKey) {
        while let Some(slice) = self.upstreams[key].slices.last().copied() {
            self.remove_slice(slice);
        }
    }

    fn rebase(&mut self, now: Timestamp) {
        let Some(factor) = self.decay.rebase(now) else {
            return;
        };
        for slice in self.slices.values_mut() {
            slice.sum *= factor;
        }
        for key in self.upstream_keys() {
            let upstream = &mut self.upstreams[key];
            upstream.sum *= factor;
            upstream.requests *= factor;
        }
    }
}
