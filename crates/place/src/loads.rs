//! Work of slices and upstreams: observed here, summarised by other hosts, reported by upstreams.
//!
//! One [`Loads`] holds what one host knows of one entry. For upstreams that the host coordinates
//! (*local* ones) it holds each slice with its observed work; for the others only a sum.

use std::time::Duration;

use ids::{Arena, ArenaKey, KeyHash, SliceNo, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::decay::Decay;
use crate::orphans::Candidate;
use crate::reports::Reports;
use crate::sketch::{HotKey, Sketch, SketchSettings};

ids::arena_key! {
    /// Names an upstream within one [`Loads`].
    UpstreamKey
}

/// The smallest share of its slots that an arriving upstream counts for.
const MIN_RAMP_SHARE: f64 = 0.1;

/// Bytes of an indexed map's table and hash for each entry.
pub(crate) const INDEX_BYTES: usize = 18;

/// Settings of [`Loads`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadsSettings {
    /// Time in which old work fades by the factor 1/e.
    pub span: Duration,
    /// Time after which a move to an upstream of another host is taken to show in its summary.
    pub summary_lag: Duration,
    /// Time for which a summary says enough of an upstream to move slices there.
    ///
    /// Among many hosts, each hears of a few others a second: this gives a planner some choice of
    /// upstreams, and keeps it from those that it has not heard of for long.
    pub fresh: Duration,
    /// Settings of the sketch that finds hot keys.
    pub sketch: SketchSettings,
}

impl Default for LoadsSettings {
    fn default() -> Self {
        Self {
            span: Duration::from_secs(3),
            summary_lag: Duration::from_secs(2),
            fresh: Duration::from_secs(10),
            sketch: SketchSettings::default(),
        }
    }
}

/// The work of one request, as seen by the host that dispatched it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Hash of the request's key.
    pub key: KeyHash,
    /// Slice that it was dispatched under.
    pub slice: SliceNo,
    /// Time that it held one of the upstream's slots, in microseconds.
    pub work_us: u32,
}

/// What an upstream may be given.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UpstreamState {
    /// Its full share.
    Steady,
    /// Part of its share while it is cold: see [`ramp_share`].
    Arriving {
        /// Part of its slots that counts, from 0 to 1.
        share: f64,
    },
    /// Nothing new; its slices are to be moved away.
    Leaving,
    /// Nothing; its slices are spread by their next coordinating host.
    Lost,
}

/// Returns the part of its slots that an upstream counts for `age` after its arrival, if it takes
/// `ramp` to warm up.
#[must_use]
pub fn ramp_share(age: Duration, ramp: Duration) -> f64 {
    if ramp.is_zero() {
        return 1.0;
    }
    (age.as_secs_f64() / ramp.as_secs_f64()).clamp(MIN_RAMP_SHARE, 1.0)
}

/// An upstream as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// Name.
    pub upstream: UpstreamId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// State.
    pub state: UpstreamState,
    /// Whether this host coordinates it, and so plans for its slices.
    pub local: bool,
}

/// How much is known of an upstream's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// Its load was observed or heard of lately.
    Fresh,
    /// Its load was heard of some time ago.
    Old,
    /// Its load was never heard of.
    Nothing,
}

/// One upstream's load, for the other hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSummary {
    /// Name.
    pub upstream: UpstreamId,
    /// Work, in busy slots.
    pub load: f64,
}

#[derive(Debug, Clone, Copy)]
struct SliceLoad {
    owner: UpstreamKey,
    /// Place in the owner's list.
    position: u32,
    sum: f64,
}

#[derive(Debug, Clone)]
struct UpstreamLoad {
    view: UpstreamView,
    tag: u64,
    /// Slices, if local.
    slices: Vec<SliceNo>,
    /// Decayed work of its slices, if local.
    sum: f64,
    /// Decayed number of requests, if local.
    requests: f64,
    /// Load by the last summary, if not local.
    learned: f64,
    /// When that came, if one ever did.
    learned_at: Option<Timestamp>,
    /// Load of slices moved there since, and when the last one was.
    moved_in: f64,
    moved_at: Timestamp,
    reports: Reports,
}

/// What one host knows of the loads of one entry.
#[derive(Debug, Clone)]
pub struct Loads {
    cfg: LoadsSettings,
    decay: Decay,
    slices: IndexMap<SliceNo, SliceLoad>,
    /// Those of the slices that are one hot key each.
    hot: IndexSet<SliceNo>,
    sketch: Sketch,
    upstreams: Arena<UpstreamKey, UpstreamLoad>,
    names: IndexMap<UpstreamId, UpstreamKey>,
}

impl Loads {
    /// Creates an empty one.
    #[must_use]
    pub fn new(cfg: LoadsSettings) -> Self {
        Self {
            cfg,
            decay: Decay::new(cfg.span),
            slices: IndexMap::new(),
            hot: IndexSet::new(),
            sketch: Sketch::new(cfg.sketch),
            upstreams: Arena::new(),
            names: IndexMap::new(),
        }
    }

    /// Adds an upstream, or changes its slots, state or locality.
    ///
    /// An upstream that is no longer local forgets its slices.
    pub fn set_upstream(&mut self, now: Timestamp, view: UpstreamView) -> UpstreamKey {
        let Some(key) = self.names.get(&view.upstream).copied() else {
            return self.add_upstream(view);
        };
        let load = self.load(now, key);
        let was_local = self.upstreams[key].view.local;
        if was_local && !view.local {
            self.forget_slices(key);
        }
        let upstream = &mut self.upstreams[key];
        if was_local && !view.local {
            upstream.learned = load;
            upstream.learned_at = Some(now);
        }
        upstream.view = view;
        key
    }

    /// Returns the key of an upstream that was set before.
    #[must_use]
    pub fn upstream(&self, name: &UpstreamId) -> Option<UpstreamKey> {
        self.names.get(name).copied()
    }

    /// Returns an upstream as it was set.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn view(&self, key: UpstreamKey) -> &UpstreamView {
        &self.upstreams[key].view
    }

    /// Returns the keys of all upstreams, in the order in which they were first set.
    pub fn keys(&self) -> impl Iterator<Item = UpstreamKey> + use<> {
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

    /// Returns how many slices are held here.
    #[must_use]
    pub fn slice_count(&self) -> usize {
        self.slices.len()
    }

    /// Returns the slices held here that are one hot key each.
    pub fn hot_slices(&self) -> impl Iterator<Item = SliceNo> {
        self.hot.iter().copied()
    }

    /// Writes the keys with at least `min_load` busy slots that are not carved out to `out`,
    /// heaviest first.
    pub fn hot_keys(&self, now: Timestamp, min_load: f64, out: &mut Vec<HotKey>) {
        self.sketch.hot_keys(now, min_load, out);
    }

    /// Returns the local owner of a slice, if it has one.
    #[must_use]
    pub fn owner(&self, slice: SliceNo) -> Option<UpstreamKey> {
        self.slices.get(&slice).map(|s| s.owner)
    }

    /// Makes `to` the owner of a slice.
    ///
    /// A slice that was held here brings its observed load along, and so does a key that is carved
    /// out of one; another one starts with `load` busy slots (as told by its last owner, or zero).
    pub fn assign(&mut self, now: Timestamp, slice: SliceNo, to: UpstreamKey, load: f64) {
        let sum = if let Some(sum) = self.take(slice) {
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

    /// Takes a slice off its owner, as it went to another host's upstream or to nobody.
    pub fn unassign(&mut self, slice: SliceNo) {
        self.take(slice);
    }

    /// Takes the work of one request. A slice that is not held here is ignored.
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

    /// Takes the load of another host's upstream, as that host summed it up.
    pub fn learn(&mut self, now: Timestamp, key: UpstreamKey, load: f64) {
        let lag = self.cfg.summary_lag;
        let upstream = &mut self.upstreams[key];
        if !load.is_finite() || load < 0.0 {
            return;
        }
        upstream.learned = load;
        upstream.learned_at = Some(now);
        if now.since(upstream.moved_at) > lag {
            upstream.moved_in = 0.0;
        }
    }

    /// Takes a report of an upstream on itself: its busy slots.
    pub fn report(&mut self, now: Timestamp, key: UpstreamKey, reported: f64) {
        let observed = self.observed(now, key);
        self.upstreams[key].reports.record(now, reported, observed);
    }

    /// Writes the loads of local upstreams to `out`, for other hosts.
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

    /// Returns the load of a slice held here, in busy slots.
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

    /// Returns about how many bytes of memory the slices, upstreams and hot keys take.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let slice = INDEX_BYTES + size_of::<(SliceNo, SliceLoad)>() + size_of::<SliceNo>();
        let names = INDEX_BYTES + size_of::<(UpstreamId, UpstreamKey)>();
        let upstream = size_of::<UpstreamLoad>() + names;
        let hot = self.hot.capacity() * (INDEX_BYTES + size_of::<SliceNo>());
        let upstreams = self.upstreams.len() * upstream;
        self.slices.capacity() * slice + upstreams + hot + self.sketch.heap_bytes()
    }

    /// Returns the load of an upstream, in busy slots: the observed one, and what its reports
    /// credibly add.
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
        let extra = upstream.reports.extra(f64::from(upstream.view.slots));
        self.observed(now, key) + extra
    }

    /// Tells how much is known of an upstream's load.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn knowledge(&self, now: Timestamp, key: UpstreamKey) -> Knowledge {
        let upstream = &self.upstreams[key];
        if upstream.view.local {
            return Knowledge::Fresh;
        }
        match upstream.learned_at {
            None => Knowledge::Nothing,
            Some(at) if now.since(at) > self.cfg.fresh => Knowledge::Old,
            Some(_) => Knowledge::Fresh,
        }
    }

    /// Returns the decayed number of requests behind the load of a local upstream.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn requests(&self, now: Timestamp, key: UpstreamKey) -> f64 {
        self.upstreams[key].requests / self.decay.weight(now)
    }

    /// Returns the slots of an upstream that count for placement.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn capacity(&self, key: UpstreamKey) -> f64 {
        let view = &self.upstreams[key].view;
        let slots = f64::from(view.slots);
        match view.state {
            UpstreamState::Steady => slots,
            UpstreamState::Arriving { share } => slots * share.clamp(MIN_RAMP_SHARE, 1.0),
            UpstreamState::Leaving | UpstreamState::Lost => 0.0,
        }
    }

    /// Returns the hash of an upstream's name, which is the same on all hosts.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another [`Loads`].
    #[must_use]
    pub fn tag(&self, key: UpstreamKey) -> u64 {
        self.upstreams[key].tag
    }

    /// Writes all upstreams to `out`, for [`crate::spread_orphans`].
    pub fn candidates(&self, now: Timestamp, out: &mut Vec<Candidate>) {
        out.clear();
        out.extend(self.keys().map(|key| Candidate {
            key,
            tag: self.tag(key),
            capacity: self.capacity(key),
            load: self.load(now, key),
        }));
    }

    /// Checks all invariants and returns a line for each fault.
    #[must_use]
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (slice, load) in &self.slices {
            let owner = &self.upstreams[load.owner];
            if owner.slices.get(load.position as usize) != Some(slice) {
                faults.push(format!(
                    "slice {slice}: not listed by {}",
                    owner.view.upstream
                ));
            }
        }
        for (_, upstream) in self.upstreams.iter() {
            let name = &upstream.view.upstream;
            if !upstream.view.local && !upstream.slices.is_empty() {
                faults.push(format!("upstream {name}: slices but not local"));
            }
            let sum: f64 = upstream.slices.iter().map(|s| self.slices[s].sum).sum();
            if (sum - upstream.sum).abs() > 1e-6 * (1.0 + sum.abs()) {
                faults.push(format!("upstream {name}: sum {} not {sum}", upstream.sum));
            }
        }
        let hot = self.slices.keys().filter(|s| s.is_hot()).count();
        if hot != self.hot.len() || self.hot.iter().any(|s| !self.slices.contains_key(s)) {
            faults.push(format!("{} hot slices listed, {hot} held", self.hot.len()));
        }
        let listed: usize = self.upstreams.iter().map(|(_, u)| u.slices.len()).sum();
        if listed != self.slices.len() {
            faults.push(format!(
                "{listed} slices listed, {} held",
                self.slices.len()
            ));
        }
        faults
    }

    fn add_upstream(&mut self, view: UpstreamView) -> UpstreamKey {
        let name = view.upstream.clone();
        let key = self.upstreams.push(UpstreamLoad {
            tag: xxh3_64(name.as_str().as_bytes()),
            view,
            slices: Vec::new(),
            sum: 0.0,
            requests: 0.0,
            learned: 0.0,
            learned_at: None,
            moved_in: 0.0,
            moved_at: Timestamp::ZERO,
            reports: Reports::default(),
        });
        self.names.insert(name, key);
        key
    }

    fn observed(&self, now: Timestamp, key: UpstreamKey) -> f64 {
        let upstream = &self.upstreams[key];
        if upstream.view.local {
            return self.decay.rate(now, upstream.sum).max(0.0);
        }
        upstream.learned + upstream.moved_in
    }

    fn take(&mut self, slice: SliceNo) -> Option<f64> {
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

    /// Takes the load of a key that becomes the slice `hot` off the slice that held it.
    fn carve_out(&mut self, now: Timestamp, hot: SliceNo) -> Option<f64> {
        let found = self.sketch.take(now, hot)?;
        let slice = self.slices.get_mut(&found.slice)?;
        let moved = self.decay.sum(now, found.load).min(slice.sum);
        slice.sum -= moved;
        let owner = &mut self.upstreams[slice.owner];
        owner.sum = (owner.sum - moved).max(0.0);
        Some(self.decay.rate(now, moved))
    }

    fn forget_slices(&mut self, key: UpstreamKey) {
        while let Some(slice) = self.upstreams[key].slices.last().copied() {
            self.take(slice);
        }
    }

    fn rebase(&mut self, now: Timestamp) {
        let Some(factor) = self.decay.rebase(now) else {
            return;
        };
        for slice in self.slices.values_mut() {
            slice.sum *= factor;
        }
        for key in self.keys() {
            let upstream = &mut self.upstreams[key];
            upstream.sum *= factor;
            upstream.requests *= factor;
        }
    }
}
