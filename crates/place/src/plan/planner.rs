//! Decides when slices are moved off an upstream, and which.

use catalogue::Objective;
use ids::{ArenaKey, SliceNo, Timestamp};
use indexmap::IndexMap;

use super::balance::{MovableSlice, PlanContext};
use super::budget::MoveBudget;
use super::cost;
use super::proposal::ProposedMove;
use super::settings::PlannerSettings;
use super::tracking::{TrackedUpstreams, update_since};
use crate::loads::{Loads, UpstreamKey, UpstreamState};

/// Fraction of the trigger down to which slices are moved off an upstream once it was exceeded.
const LOW_WATER_FRACTION: f64 = 0.5;

/// Fraction of an upstream's excess over the low-water mark that is moved off it in one plan.
const STEP_FRACTION: f64 = 0.5;

/// Number of standard errors of the observed load up to which a deviation counts as noise.
const NOISE_STANDARD_ERRORS: f64 = 3.0;

/// Fraction of the threshold for carving out a key, below which a carved-out key is cold.
const COLD_FRACTION: f64 = 0.25;

/// Fraction of its load at the last plan, a second ago, below which a carved-out key's load counts
/// as falling.
const FALLING_FRACTION: f64 = 0.85;

/// Maximum number of slices of one upstream that a plan considers for moves.
const MAX_MOVABLE: usize = 512;

/// Inputs of a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Loads of the entry's slices, upstreams and hot keys.
    pub loads: &'a Loads,
    /// Weights of imbalance and churn.
    pub objective: Objective,
    /// Number of the entry's slices.
    pub slices: u32,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    proposal: ProposedMove,
    since: Timestamp,
}

/// State of a carved-out key at the last plan.
#[derive(Debug, Clone, Copy)]
struct CarvedKey {
    load: f64,
    /// Whether its load falls about as fast as without any further requests.
    falling: bool,
    cold_since: Option<Timestamp>,
}

/// What may be moved off an upstream and where to, with the ratio down to which it is moved.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OffloadScope {
    /// Hot keys to upstreams where they fit, after [`PlannerSettings::hot_key_delay`].
    FittingHotKeys(f64),
    /// Hot keys to any upstream, after [`PlannerSettings::misfit_key_delay`].
    HotKeys(f64),
    /// Hot keys and slices to any upstream, after [`PlannerSettings::slice_delay`].
    AllSlices(f64),
    /// Hot keys and slices to upstreams far below their share.
    FillUnderloaded(f64),
}

/// Plans moves of the slices of one host's upstreams of one entry.
#[derive(Debug)]
pub struct Planner {
    cfg: PlannerSettings,
    budget: MoveBudget,
    tracked: TrackedUpstreams,
    pending: IndexMap<SliceNo, Pending>,
    carved_keys: IndexMap<SliceNo, CarvedKey>,
}

impl Planner {
    /// Creates a planner.
    #[must_use]
    pub fn new(cfg: PlannerSettings) -> Self {
        Self {
            cfg,
            budget: MoveBudget::new(cfg.max_moves, cfg.move_window),
            tracked: TrackedUpstreams::default(),
            pending: IndexMap::new(),
            carved_keys: IndexMap::new(),
        }
    }

    /// Makes a plan and adds the proposed moves to `out`; to be called about once a second.
    ///
    /// The same calls with the same inputs give the same proposals.
    pub fn plan(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &mut PlanContext,
        out: &mut Vec<ProposedMove>,
    ) {
        let capacity = cx.reset(now, input.loads);
        if capacity <= 0.0 {
            return;
        }
        self.apply_pending(now, input.loads, cx);
        self.track_carved_keys(now, input.loads, cx);
        self.track_upstreams(now, input, cx);
        if !cx.draining.is_empty() || !cx.sources.is_empty() {
            cx.sort_destinations(input.loads, |key| self.tracked.is_eligible(now, key));
            self.drain(now, input, cx, out);
            self.offload(now, input, capacity, cx, out);
        }
        self.fold_cold_keys(now, input.loads, out);
    }

    /// Records that the proposal for `slice` (see [`ProposedMove::slice`]) was carried out.
    pub fn completed(&mut self, slice: SliceNo) {
        self.pending.swap_remove(&slice);
    }

    /// Records that the proposal for `slice` (see [`ProposedMove::slice`]) failed or was declined.
    /// Nothing is moved to its destination for [`PlannerSettings::proposal_timeout`].
    pub fn failed(&mut self, now: Timestamp, slice: SliceNo) {
        let Some(pending) = self.pending.swap_remove(&slice) else {
            return;
        };
        if let Some(to) = pending.proposal.to() {
            self.tracked.get_mut(to).excluded_until = now + self.cfg.proposal_timeout;
        }
    }

    /// Returns whether a local upstream should accept a move that another host proposes.
    ///
    /// The upstream's own coordinating host has the most accurate load and sees all moves to it, so
    /// that this check keeps several hosts from overloading the same upstream at once. The keys of
    /// the upstreams in the proposal must be those of this host's [`Loads`].
    #[must_use]
    pub fn admits(&self, now: Timestamp, input: &PlanInput<'_>, proposal: &ProposedMove) -> bool {
        let Some(to) = proposal.to() else { return true };
        if input.loads.capacity(to) <= 0.0 {
            return false;
        }
        if input.loads.capacity(proposal.from()) <= 0.0 {
            return true;
        }
        let mut cx = PlanContext::default();
        cx.reset(now, input.loads);
        let from = cx.balance(proposal.from()).endpoint(proposal.load());
        let to = cx.balance(to).endpoint(proposal.load());
        let below_trigger = to.ratio + to.size <= self.cfg.trigger_for(input.objective);
        below_trigger || cost::improves(from, to)
    }

    /// Removes proposals that were carried out or have timed out, and counts the other pending ones
    /// as carried out.
    fn apply_pending(&mut self, now: Timestamp, loads: &Loads, cx: &mut PlanContext) {
        let timeout = self.cfg.proposal_timeout;
        self.pending.retain(|slice, pending| {
            let moved = matches!(pending.proposal, ProposedMove::Move { .. })
                && loads.owner(*slice) != Some(pending.proposal.from());
            !moved && now.since(pending.since) < timeout
        });
        for pending in self.pending.values() {
            let proposal = &pending.proposal;
            cx.apply_move(proposal.from(), proposal.to(), proposal.load());
        }
    }

    /// Tracks for how long upstreams have been above or below their shares, and lists the local
    /// ones that may have to give slices away.
    fn track_upstreams(&mut self, now: Timestamp, input: &PlanInput<'_>, cx: &mut PlanContext) {
        let loads = input.loads;
        let base_trigger = self.cfg.trigger_for(input.objective);
        let mut fill_underloaded = false;
        for key in loads.upstream_keys() {
            let balance = cx.balance(key);
            let upstream = self.tracked.get_mut(key);
            let view = loads.view(key);
            let underloaded =
                balance.is_eligible() && balance.ratio < -base_trigger * self.cfg.underload_factor;
            update_since(&mut upstream.under_since, underloaded, now);
            if let (UpstreamState::WarmingUp { .. }, Some(since)) =
                (view.state, &mut upstream.under_since)
            {
                *since = (*since).min(now - self.cfg.underload_delay);
            }
            let lasting = |since| now.since(since) >= self.cfg.underload_delay;
            fill_underloaded |= upstream.under_since.is_some_and(lasting);
            if !view.local {
                continue;
            }
            if balance.capacity > 0.0 {
                self.track_local_upstream(now, loads, key, base_trigger, balance.ratio);
            } else if view.state == UpstreamState::Draining {
                cx.draining.push(key);
            }
        }
        let tracked = &mut self.tracked;
        cx.sources.extend(loads.upstream_keys().filter(|key| {
            let balance = cx.upstreams[key.index()];
            let may_offload = tracked.get_mut(*key).offload_hot_keys || fill_underloaded;
            may_offload && balance.ratio > 0.0 && loads.view(*key).local
        }));
        let upstreams = &cx.upstreams;
        let ratio = |key: &UpstreamKey| upstreams[key.index()].ratio;
        cx.sources.sort_by(|a, b| {
            ratio(b)
                .total_cmp(&ratio(a))
                .then_with(|| loads.name_hash(*a).cmp(&loads.name_hash(*b)))
        });
    }

    /// Tracks for how long a local upstream has been above the trigger.
    fn track_local_upstream(
        &mut self,
        now: Timestamp,
        loads: &Loads,
        key: UpstreamKey,
        base_trigger: f64,
        ratio: f64,
    ) {
        let trigger = base_trigger.max(noise_ratio(now, loads, key));
        let upstream = self.tracked.get_mut(key);
        update_since(&mut upstream.over_since, ratio > trigger, now);
        let over_since = upstream.over_since;
        let lasting = |delay| over_since.is_some_and(|since| now.since(since) >= delay);
        let high = ratio > trigger * LOW_WATER_FRACTION;
        upstream.offload_hot_keys =
            lasting(self.cfg.hot_key_delay) || (upstream.offload_hot_keys && high);
        upstream.offload_misfits =
            lasting(self.cfg.misfit_key_delay) || (upstream.offload_misfits && high);
        upstream.offload_slices =
            lasting(self.cfg.slice_delay) || (upstream.offload_slices && high);
    }

    /// Moves slices off draining upstreams, regardless of the cost.
    fn drain(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &mut PlanContext,
        out: &mut Vec<ProposedMove>,
    ) {
        let loads = input.loads;
        let mut remaining = self.cfg.max_drain_moves;
        for n in 0..cx.draining.len() {
            let from = cx.draining[n];
            for (slice, load) in loads.slice_loads(now, from) {
                if remaining == 0 {
                    return;
                }
                if self.pending.contains_key(&slice) {
                    continue;
                }
                let Some(to) = cx.choose_of_two(loads, slice, from) else {
                    return;
                };
                cx.apply_move_and_reorder(from, to, load);
                remaining -= 1;
                self.propose(
                    now,
                    ProposedMove::Move {
                        slice,
                        from,
                        to,
                        load,
                    },
                    out,
                );
            }
        }
    }

    /// Moves slices off upstreams that are above their share, if the gain exceeds the cost.
    fn offload(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        capacity: f64,
        cx: &mut PlanContext,
        out: &mut Vec<ProposedMove>,
    ) {
        let sources = std::mem::take(&mut cx.sources);
        for from in sources.iter().copied() {
            let Some(scope) = self.offload_scope(now, input, cx, from) else {
                continue;
            };
            self.collect_movable(now, input, capacity, cx, from);
            let mut movable_slices = std::mem::take(&mut cx.movable);
            sort_movable(&mut movable_slices, cx.balance(from).excess());
            self.offload_slices(now, input, cx, from, scope, &movable_slices, out);
            cx.movable = movable_slices;
        }
        cx.sources = sources;
    }

    /// Returns what should be moved off `from`, if anything should.
    fn offload_scope(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &PlanContext,
        from: UpstreamKey,
    ) -> Option<OffloadScope> {
        let trigger =
            self.cfg
                .trigger_for(input.objective)
                .max(noise_ratio(now, input.loads, from));
        let low_water = trigger * LOW_WATER_FRACTION;
        let ratio = cx.balance(from).ratio;
        let upstream = self.tracked.get_mut(from);
        if upstream.offload_slices && ratio > low_water {
            return Some(OffloadScope::AllSlices(low_water));
        }
        if upstream.offload_misfits && ratio > low_water {
            return Some(OffloadScope::HotKeys(low_water));
        }
        if upstream.offload_hot_keys && ratio > low_water {
            return Some(OffloadScope::FittingHotKeys(low_water));
        }
        let least_loaded = *cx.destinations.first()?;
        let under_since = self.tracked.get_mut(least_loaded).under_since?;
        let lasting = now.since(under_since) >= self.cfg.underload_delay;
        let standard_error = noise_ratio(now, input.loads, from) / NOISE_STANDARD_ERRORS;
        (lasting && ratio > standard_error).then_some(OffloadScope::FillUnderloaded(standard_error))
    }

    /// Lists the slices and hot keys that may be moved off `from`, densest first.
    fn collect_movable(
        &self,
        now: Timestamp,
        input: &PlanInput<'_>,
        capacity: f64,
        cx: &mut PlanContext,
        from: UpstreamKey,
    ) {
        let loads = input.loads;
        let balance = cx.balance(from);
        let slice_key_fraction = capacity / balance.capacity / f64::from(input.slices.max(1));
        cx.movable.clear();
        loads.hot_keys(
            now,
            self.cfg.carve_threshold * balance.share,
            &mut cx.hot_keys,
        );
        cx.hot_keys
            .retain(|hot| !hot.slice.is_hot() && loads.owner(hot.slice) == Some(from));
        for hot in &cx.hot_keys {
            let size = hot.load / balance.share;
            cx.movable.push(MovableSlice {
                slice: hot.key.hot_slice(),
                load: hot.load,
                key_fraction: 0.0,
                density: cost::density(size, 0.0),
                carve: Some(*hot),
            });
        }
        let Some(least_loaded) = cx.destinations.first() else {
            return;
        };
        let ratio_gap = balance.ratio - cx.balance(*least_loaded).ratio;
        for (slice, load) in loads.slice_loads(now, from) {
            let key_fraction = if slice.is_hot() {
                0.0
            } else {
                slice_key_fraction
            };
            let carved: f64 = cx
                .hot_keys
                .iter()
                .filter(|hot| hot.slice == slice)
                .map(|hot| hot.load)
                .sum();
            let load = load - carved;
            let size = load / balance.share;
            if 2.0 * size * ratio_gap < cost::churn_cost(input.objective, key_fraction, size) {
                continue;
            }
            cx.movable.push(MovableSlice {
                slice,
                load,
                key_fraction,
                density: cost::density(size, key_fraction),
                carve: None,
            });
        }
        let by_density = |a: &MovableSlice, b: &MovableSlice| {
            b.density.total_cmp(&a.density).then(a.slice.cmp(&b.slice))
        };
        if cx.movable.len() > MAX_MOVABLE {
            cx.movable.select_nth_unstable_by(MAX_MOVABLE, by_density);
            cx.movable.truncate(MAX_MOVABLE);
        }
        cx.movable.sort_unstable_by(by_density);
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one step of a plan, with all state that it changes"
    )]
    fn offload_slices(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &mut PlanContext,
        from: UpstreamKey,
        scope: OffloadScope,
        movable_slices: &[MovableSlice],
        out: &mut Vec<ProposedMove>,
    ) {
        let (OffloadScope::FittingHotKeys(low_water)
        | OffloadScope::HotKeys(low_water)
        | OffloadScope::AllSlices(low_water)
        | OffloadScope::FillUnderloaded(low_water)) = scope;
        let hot_only = matches!(
            scope,
            OffloadScope::FittingHotKeys(_) | OffloadScope::HotKeys(_)
        );
        let start = cx.balance(from).ratio;
        let stop = start - (start - low_water) * STEP_FRACTION;
        for movable in movable_slices {
            if cx.balance(from).ratio <= stop.max(low_water) {
                return;
            }
            let ordinary = !movable.slice.is_hot();
            if self.pending.contains_key(&movable.slice) || (ordinary && hot_only) {
                continue;
            }
            let falling = |carved: &CarvedKey| carved.falling;
            if self.carved_keys.get(&movable.slice).is_some_and(falling) {
                continue;
            }
            let Some(to) = self.destination_for(input, cx, from, scope, movable) else {
                continue;
            };
            if !self.budget.try_spend(now) {
                return;
            }
            cx.apply_move_and_reorder(from, to, movable.load);
            self.propose(now, proposal_for(movable, from, to), out);
        }
    }

    /// Returns the destination of `movable`, if a move is worthwhile.
    fn destination_for(
        &mut self,
        input: &PlanInput<'_>,
        cx: &PlanContext,
        from: UpstreamKey,
        scope: OffloadScope,
        movable: &MovableSlice,
    ) -> Option<UpstreamKey> {
        if movable.slice.is_hot() {
            let limit = self.cfg.trigger_for(input.objective);
            let fit = cx.best_fit(input.loads, movable, from, limit);
            let fit = fit.filter(|to| is_worthwhile(input, cx, from, *to, movable));
            if fit.is_some() || matches!(scope, OffloadScope::FittingHotKeys(_)) {
                return fit;
            }
        }
        let to = cx.choose_of_two(input.loads, movable.slice, from)?;
        if matches!(scope, OffloadScope::FillUnderloaded(_)) {
            self.tracked.get_mut(to).under_since?;
        }
        is_worthwhile(input, cx, from, to, movable).then_some(to)
    }

    /// Tracks the loads of carved-out keys, and since when they have been cold.
    fn track_carved_keys(&mut self, now: Timestamp, loads: &Loads, cx: &PlanContext) {
        self.carved_keys
            .retain(|slice, _| loads.owner(*slice).is_some());
        for slice in loads.hot_slices() {
            let Some(owner) = loads.owner(slice) else {
                continue;
            };
            let load = loads.slice_load(now, slice);
            let carved = self.carved_keys.entry(slice).or_insert(CarvedKey {
                load: 0.0,
                falling: false,
                cold_since: None,
            });
            carved.falling = load < carved.load * FALLING_FRACTION;
            carved.load = load;
            let limit = COLD_FRACTION * self.cfg.carve_threshold * cx.balance(owner).share;
            update_since(&mut carved.cold_since, load < limit, now);
        }
    }

    /// Proposes to fold back the keys that have been cold for long enough.
    fn fold_cold_keys(&mut self, now: Timestamp, loads: &Loads, out: &mut Vec<ProposedMove>) {
        for n in 0..self.carved_keys.len() {
            let Some((&slice, carved)) = self.carved_keys.get_index(n) else {
                return;
            };
            let is_cold = carved
                .cold_since
                .is_some_and(|since| now.since(since) >= self.cfg.fold_delay);
            if !is_cold || self.pending.contains_key(&slice) {
                continue;
            }
            let Some(from) = loads.owner(slice) else {
                continue;
            };
            if !self.budget.try_spend(now) {
                return;
            }
            self.propose(now, ProposedMove::Fold { slice, from }, out);
        }
    }

    /// Records a proposal as pending and adds it to `out`.
    fn propose(&mut self, now: Timestamp, proposal: ProposedMove, out: &mut Vec<ProposedMove>) {
        let since = now;
        self.pending
            .insert(proposal.slice(), Pending { proposal, since });
        out.push(proposal);
    }
}

/// Sorts the slices and hot keys that may be moved: first hot keys whose load covers the whole
/// `excess`, the lightest of them first; then other hot keys, the heaviest first; then slices, the
/// densest first.
fn sort_movable(movable_slices: &mut [MovableSlice], excess: f64) {
    let class = |movable: &MovableSlice| match movable.slice.is_hot() {
        true if movable.load >= excess => 0,
        true => 1,
        false => 2,
    };
    movable_slices.sort_unstable_by(|a, b| {
        let within = match class(a) {
            0 => a.load.total_cmp(&b.load),
            1 => b.load.total_cmp(&a.load),
            _ => b.density.total_cmp(&a.density),
        };
        class(a)
            .cmp(&class(b))
            .then(within)
            .then(a.slice.cmp(&b.slice))
    });
}

/// Returns whether the gain of moving `movable` exceeds its cost.
fn is_worthwhile(
    input: &PlanInput<'_>,
    cx: &PlanContext,
    from: UpstreamKey,
    to: UpstreamKey,
    movable: &MovableSlice,
) -> bool {
    let source = cx.balance(from).endpoint(movable.load);
    let destination = cx.balance(to).endpoint(movable.load);
    let gain = cost::gain(source, destination);
    gain > cost::churn_cost(input.objective, movable.key_fraction, source.size)
        && cost::improves(source, destination)
}

fn proposal_for(movable: &MovableSlice, from: UpstreamKey, to: UpstreamKey) -> ProposedMove {
    match movable.carve {
        Some(hot) => ProposedMove::Carve {
            key: hot.key,
            slice: hot.slice,
            from,
            to,
            load: movable.load,
        },
        None => ProposedMove::Move {
            slice: movable.slice,
            from,
            to,
            load: movable.load,
        },
    }
}

/// Returns the ratio of `key` up to which a deviation counts as noise.
///
/// With exponentially distributed work, the relative standard error of a decayed rate is one
/// divided by the square root of the decayed number of requests.
fn noise_ratio(now: Timestamp, loads: &Loads, key: UpstreamKey) -> f64 {
    NOISE_STANDARD_ERRORS / loads.requests(now, key).max(1.0).sqrt()
}
