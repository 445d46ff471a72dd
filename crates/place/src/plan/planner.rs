//! When an upstream sheds slices, and which.

use catalogue::Objective;
use ids::{ArenaKey, SliceNo, Timestamp};
use indexmap::IndexMap;

use super::balance::{Item, PlanContext};
use super::budget::Budget;
use super::cost;
use super::settings::PlannerSettings;
use super::watch::{Watches, note};
use super::wish::Wish;
use crate::loads::{Loads, UpstreamKey, UpstreamState};

/// Part of the trigger down to which an upstream sheds once it has started.
const LOW_WATER: f64 = 0.5;

/// Part of its excess over the low water mark that an upstream sheds in one plan.
const STEP: f64 = 0.5;

/// Standard errors of the observed load that count as nothing.
const NOISE_ERRORS: f64 = 3.0;

/// Part of the threshold for carving below which a carved-out key is cool.
const COOL_SHARE: f64 = 0.25;

/// Part of its load a second ago below which a carved-out key is falling.
const FALLING: f64 = 0.85;

/// Most slices of one upstream that a plan weighs closely.
const MAX_ITEMS: usize = 512;

/// What a plan is made from.
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
    wish: Wish,
    since: Timestamp,
}

/// A carved-out key as it was at the last plan.
#[derive(Debug, Clone, Copy)]
struct Carved {
    load: f64,
    /// Whether its load falls as fast as if there were no more requests.
    falling: bool,
    cool_since: Option<Timestamp>,
}

/// Why an upstream sheds slices, and how far.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Shed {
    /// It has just got over the trigger: hot keys, to where they fit, down to this ratio.
    Fitting(f64),
    /// It has been over the trigger for a while: hot keys, to any upstream, down to this ratio.
    Hot(f64),
    /// It has been over the trigger: anything, to any upstream, down to this ratio.
    Over(f64),
    /// Others are far below their share: only to those, down to this ratio.
    Fill(f64),
}

/// Plans for the slices of one host's upstreams of one entry.
#[derive(Debug)]
pub struct Planner {
    cfg: PlannerSettings,
    budget: Budget,
    watches: Watches,
    pending: IndexMap<SliceNo, Pending>,
    carved: IndexMap<SliceNo, Carved>,
}

impl Planner {
    /// Creates a planner.
    #[must_use]
    pub fn new(cfg: PlannerSettings) -> Self {
        Self {
            cfg,
            budget: Budget::new(cfg.budget, cfg.window),
            watches: Watches::default(),
            pending: IndexMap::new(),
            carved: IndexMap::new(),
        }
    }

    /// Makes a plan and adds its wishes to `out`; to be called about once a second.
    ///
    /// The same calls with the same inputs give the same wishes.
    pub fn plan(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &mut PlanContext,
        out: &mut Vec<Wish>,
    ) {
        let capacity = cx.begin(now, input.loads);
        if capacity <= 0.0 {
            return;
        }
        self.count_pending(now, input.loads, cx);
        self.follow_carved(now, input.loads, cx);
        self.watch(now, input, cx);
        if !cx.leaving.is_empty() || !cx.sources.is_empty() {
            cx.order(input.loads, |key| self.watches.is_open(now, key));
            self.evacuate(now, input, cx, out);
            self.shed(now, input, capacity, cx, out);
        }
        self.fold(now, input.loads, out);
    }

    /// Takes note that the wish for `slice` (see [`Wish::slice`]) was carried out.
    pub fn settle(&mut self, slice: SliceNo) {
        self.pending.swap_remove(&slice);
    }

    /// Takes note that the wish for `slice` (see [`Wish::slice`]) has failed or was declined: nothing
    /// is moved to its target for a while.
    pub fn fail(&mut self, now: Timestamp, slice: SliceNo) {
        let Some(pending) = self.pending.swap_remove(&slice) else {
            return;
        };
        if let Some(to) = pending.wish.to() {
            self.watches.get_mut(to).closed_until = now + self.cfg.patience;
        }
    }

    /// Tells whether a local upstream should take what another host wishes to move to it.
    ///
    /// Its own coordinating host knows its load best, and sees all moves to it: this check keeps
    /// several hosts from filling the same upstream at once. The wish's keys must be those of
    /// this host's [`Loads`].
    #[must_use]
    pub fn admits(&self, now: Timestamp, input: &PlanInput<'_>, wish: &Wish) -> bool {
        let Some(to) = wish.to() else { return true };
        if input.loads.capacity(to) <= 0.0 {
            return false;
        }
        if input.loads.capacity(wish.from()) <= 0.0 {
            return true;
        }
        let mut cx = PlanContext::default();
        cx.begin(now, input.loads);
        let from = cx.standing(wish.from()).end(wish.load());
        let to = cx.standing(to).end(wish.load());
        let modest = to.ratio + to.size <= self.cfg.trigger_for(input.objective);
        modest || cost::improves(from, to)
    }

    /// Counts wishes on their way as if they were done.
    fn count_pending(&mut self, now: Timestamp, loads: &Loads, cx: &mut PlanContext) {
        let patience = self.cfg.patience;
        self.pending.retain(|slice, pending| {
            let moved = matches!(pending.wish, Wish::Move { .. })
                && loads.owner(*slice) != Some(pending.wish.from());
            !moved && now.since(pending.since) < patience
        });
        for pending in self.pending.values() {
            let wish = &pending.wish;
            cx.shift(wish.from(), wish.to(), wish.load());
        }
    }

    /// Notes for how long upstreams have been above or below their shares, and lists those local
    /// ones that may have to shed.
    fn watch(&mut self, now: Timestamp, input: &PlanInput<'_>, cx: &mut PlanContext) {
        let loads = input.loads;
        let base = self.cfg.trigger_for(input.objective);
        let mut filling = false;
        for key in loads.keys() {
            let standing = cx.standing(key);
            let watch = self.watches.get_mut(key);
            let view = loads.view(key);
            let far_below = standing.is_open() && standing.ratio < -base * self.cfg.pull;
            note(&mut watch.under, far_below, now);
            if let (UpstreamState::Arriving { .. }, Some(since)) = (view.state, &mut watch.under) {
                *since = (*since).min(now - self.cfg.pull_persistence);
            }
            let lasting = |since| now.since(since) >= self.cfg.pull_persistence;
            filling |= watch.under.is_some_and(lasting);
            if !view.local {
                continue;
            }
            if standing.capacity > 0.0 {
                self.watch_local(now, loads, key, base, standing.ratio);
            } else if view.state == UpstreamState::Leaving {
                cx.leaving.push(key);
            }
        }
        let watches = &mut self.watches;
        cx.sources.extend(loads.keys().filter(|key| {
            let standing = cx.standings[key.index()];
            let over = watches.get_mut(*key).sheds_hot || filling;
            over && standing.ratio > 0.0 && loads.view(*key).local
        }));
        let standings = &cx.standings;
        let ratio = |key: &UpstreamKey| standings[key.index()].ratio;
        cx.sources.sort_by(|a, b| {
            ratio(b)
                .total_cmp(&ratio(a))
                .then_with(|| loads.tag(*a).cmp(&loads.tag(*b)))
        });
    }

    /// Notes for how long a local upstream has been above the trigger.
    fn watch_local(
        &mut self,
        now: Timestamp,
        loads: &Loads,
        key: UpstreamKey,
        base: f64,
        ratio: f64,
    ) {
        let trigger = base.max(noise(now, loads, key));
        let watch = self.watches.get_mut(key);
        note(&mut watch.over, ratio > trigger, now);
        let over = watch.over;
        let lasting = |span| over.is_some_and(|since| now.since(since) >= span);
        let high = ratio > trigger * LOW_WATER;
        watch.sheds_hot = lasting(self.cfg.hot_persistence) || (watch.sheds_hot && high);
        watch.sheds_misfits = lasting(self.cfg.misfit_persistence) || (watch.sheds_misfits && high);
        watch.sheds_all = lasting(self.cfg.persistence) || (watch.sheds_all && high);
    }

    /// Moves slices off leaving upstreams, whatever it costs.
    fn evacuate(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &mut PlanContext,
        out: &mut Vec<Wish>,
    ) {
        let loads = input.loads;
        let mut left = self.cfg.evacuations;
        for n in 0..cx.leaving.len() {
            let from = cx.leaving[n];
            for (slice, load) in loads.slice_loads(now, from) {
                if left == 0 {
                    return;
                }
                if self.pending.contains_key(&slice) {
                    continue;
                }
                let Some(to) = cx.choose(loads, slice, from) else {
                    return;
                };
                cx.transfer(from, to, load);
                left -= 1;
                self.wish(
                    now,
                    Wish::Move {
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

    /// Moves slices off upstreams that are above their share, as far as it pays.
    fn shed(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        capacity: f64,
        cx: &mut PlanContext,
        out: &mut Vec<Wish>,
    ) {
        let sources = std::mem::take(&mut cx.sources);
        for from in sources.iter().copied() {
            let Some(shed) = self.reason(now, input, cx, from) else {
                continue;
            };
            self.collect(now, input, capacity, cx, from);
            let mut items = std::mem::take(&mut cx.items);
            order(&mut items, cx.standing(from).excess());
            self.shed_items(now, input, cx, from, shed, &items, out);
            cx.items = items;
        }
        cx.sources = sources;
    }

    /// Tells why `from` should shed slices, if it should.
    fn reason(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &PlanContext,
        from: UpstreamKey,
    ) -> Option<Shed> {
        let trigger = self
            .cfg
            .trigger_for(input.objective)
            .max(noise(now, input.loads, from));
        let low = trigger * LOW_WATER;
        let ratio = cx.standing(from).ratio;
        let watch = self.watches.get_mut(from);
        if watch.sheds_all && ratio > low {
            return Some(Shed::Over(low));
        }
        if watch.sheds_misfits && ratio > low {
            return Some(Shed::Hot(low));
        }
        if watch.sheds_hot && ratio > low {
            return Some(Shed::Fitting(low));
        }
        let emptiest = *cx.light.first()?;
        let under = self.watches.get_mut(emptiest).under?;
        let lasting = now.since(under) >= self.cfg.pull_persistence;
        let rest = noise(now, input.loads, from) / NOISE_ERRORS;
        (lasting && ratio > rest).then_some(Shed::Fill(rest))
    }

    /// Lists what could be moved off `from`, that with the most load for its price first.
    fn collect(
        &self,
        now: Timestamp,
        input: &PlanInput<'_>,
        capacity: f64,
        cx: &mut PlanContext,
        from: UpstreamKey,
    ) {
        let loads = input.loads;
        let standing = cx.standing(from);
        let slice_keys = capacity / standing.capacity / f64::from(input.slices.max(1));
        cx.items.clear();
        loads.hot_keys(now, self.cfg.carve_share * standing.share, &mut cx.hot);
        cx.hot
            .retain(|hot| !hot.slice.is_hot() && loads.owner(hot.slice) == Some(from));
        for hot in &cx.hot {
            let size = hot.load / standing.share;
            cx.items.push(Item {
                slice: hot.key.hot_slice(),
                load: hot.load,
                keys: 0.0,
                density: cost::density(size, 0.0),
                carve: Some(*hot),
            });
        }
        let Some(emptiest) = cx.light.first() else {
            return;
        };
        let reach = standing.ratio - cx.standing(*emptiest).ratio;
        for (slice, load) in loads.slice_loads(now, from) {
            let keys = if slice.is_hot() { 0.0 } else { slice_keys };
            let carved: f64 = cx
                .hot
                .iter()
                .filter(|hot| hot.slice == slice)
                .map(|hot| hot.load)
                .sum();
            let load = load - carved;
            let size = load / standing.share;
            if 2.0 * size * reach < cost::price(input.objective, keys, size) {
                continue;
            }
            cx.items.push(Item {
                slice,
                load,
                keys,
                density: cost::density(size, keys),
                carve: None,
            });
        }
        let by_density =
            |a: &Item, b: &Item| b.density.total_cmp(&a.density).then(a.slice.cmp(&b.slice));
        if cx.items.len() > MAX_ITEMS {
            cx.items.select_nth_unstable_by(MAX_ITEMS, by_density);
            cx.items.truncate(MAX_ITEMS);
        }
        cx.items.sort_unstable_by(by_density);
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one step of a plan, with all that it changes"
    )]
    fn shed_items(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &mut PlanContext,
        from: UpstreamKey,
        shed: Shed,
        items: &[Item],
        out: &mut Vec<Wish>,
    ) {
        let (Shed::Fitting(low) | Shed::Hot(low) | Shed::Over(low) | Shed::Fill(low)) = shed;
        let hot_only = matches!(shed, Shed::Fitting(_) | Shed::Hot(_));
        let start = cx.standing(from).ratio;
        let stop = start - (start - low) * STEP;
        for item in items {
            if cx.standing(from).ratio <= stop.max(low) {
                return;
            }
            let ordinary = !item.slice.is_hot();
            if self.pending.contains_key(&item.slice) || (ordinary && hot_only) {
                continue;
            }
            let falling = |carved: &Carved| carved.falling;
            if self.carved.get(&item.slice).is_some_and(falling) {
                continue;
            }
            let Some(to) = self.target(input, cx, from, shed, item) else {
                continue;
            };
            if !self.budget.spend(now) {
                return;
            }
            cx.transfer(from, to, item.load);
            self.wish(now, wish_for(item, from, to), out);
        }
    }

    /// Returns where `item` should go, if a move pays.
    fn target(
        &mut self,
        input: &PlanInput<'_>,
        cx: &PlanContext,
        from: UpstreamKey,
        shed: Shed,
        item: &Item,
    ) -> Option<UpstreamKey> {
        if item.slice.is_hot() {
            let limit = self.cfg.trigger_for(input.objective);
            let fit = cx.fit(input.loads, item, from, limit);
            let fit = fit.filter(|to| pays(input, cx, from, *to, item));
            if fit.is_some() || matches!(shed, Shed::Fitting(_)) {
                return fit;
            }
        }
        let to = cx.choose(input.loads, item.slice, from)?;
        if matches!(shed, Shed::Fill(_)) {
            self.watches.get_mut(to).under?;
        }
        pays(input, cx, from, to, item).then_some(to)
    }

    /// Notes which carved-out keys are cooling.
    fn follow_carved(&mut self, now: Timestamp, loads: &Loads, cx: &PlanContext) {
        self.carved.retain(|slice, _| loads.owner(*slice).is_some());
        for slice in loads.hot_slices() {
            let Some(owner) = loads.owner(slice) else {
                continue;
            };
            let load = loads.slice_load(now, slice);
            let carved = self.carved.entry(slice).or_insert(Carved {
                load: 0.0,
                falling: false,
                cool_since: None,
            });
            carved.falling = load < carved.load * FALLING;
            carved.load = load;
            let limit = COOL_SHARE * self.cfg.carve_share * cx.standing(owner).share;
            note(&mut carved.cool_since, load < limit, now);
        }
    }

    /// Folds back keys that have been cool for long enough.
    fn fold(&mut self, now: Timestamp, loads: &Loads, out: &mut Vec<Wish>) {
        for n in 0..self.carved.len() {
            let Some((&slice, carved)) = self.carved.get_index(n) else {
                return;
            };
            let cool = carved
                .cool_since
                .is_some_and(|since| now.since(since) >= self.cfg.cooling);
            if !cool || self.pending.contains_key(&slice) {
                continue;
            }
            let Some(from) = loads.owner(slice) else {
                continue;
            };
            if !self.budget.spend(now) {
                return;
            }
            self.wish(now, Wish::Fold { slice, from }, out);
        }
    }

    fn wish(&mut self, now: Timestamp, wish: Wish, out: &mut Vec<Wish>) {
        let since = now;
        self.pending.insert(wish.slice(), Pending { wish, since });
        out.push(wish);
    }
}

/// Orders what could be moved: first hot keys that take away the whole `excess`, the lightest of
/// them first; then other hot keys, the heaviest first; then slices, with the most load for their
/// price first.
fn order(items: &mut [Item], excess: f64) {
    let class = |item: &Item| match item.slice.is_hot() {
        true if item.load >= excess => 0,
        true => 1,
        false => 2,
    };
    items.sort_unstable_by(|a, b| {
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

/// Tells whether moving `item` is worth its churn.
fn pays(
    input: &PlanInput<'_>,
    cx: &PlanContext,
    from: UpstreamKey,
    to: UpstreamKey,
    item: &Item,
) -> bool {
    let source = cx.standing(from).end(item.load);
    let target = cx.standing(to).end(item.load);
    let gain = cost::gain(source, target);
    gain > cost::price(input.objective, item.keys, source.size) && cost::improves(source, target)
}

fn wish_for(item: &Item, from: UpstreamKey, to: UpstreamKey) -> Wish {
    match item.carve {
        Some(hot) => Wish::Carve {
            key: hot.key,
            slice: hot.slice,
            from,
            to,
            load: item.load,
        },
        None => Wish::Move {
            slice: item.slice,
            from,
            to,
            load: item.load,
        },
    }
}

/// Returns the ratio that chance alone may well show for `key`.
///
/// With exponentially distributed work, the relative standard error of a decayed rate is one by
/// the root of the decayed number of requests.
fn noise(now: Timestamp, loads: &Loads, key: UpstreamKey) -> f64 {
    NOISE_ERRORS / loads.requests(now, key).max(1.0).sqrt()
}
