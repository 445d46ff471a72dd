//! Placement of the entries whose upstreams this host coordinates.

use std::time::Duration;

use catalogue::{Catalogue, Objective, Sharding};
use gate::LoadSample;
use ids::{EntryId, KeyHash, SliceNo, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use place::{
    LoadSummary, Loads, LoadsSettings, PlanContext, PlanInput, Planner, PlannerSettings,
    ProposedMove, Sample, UpstreamState, UpstreamView, warm_up_fraction,
};
use route::Ownership;
use wire::control;

/// Time between plans.
pub(crate) const PLAN_EVERY: Duration = Duration::from_secs(1);
/// Time that an upstream takes to warm up.
const RAMP: Duration = Duration::from_secs(10);
/// Parts of a busy slot in which loads are sent.
const LOAD_UNIT: f64 = 1_000.0;

/// One entry that is divided by key.
#[derive(Debug)]
struct EntryPlan {
    slices: u32,
    objective: Objective,
    loads: Loads,
    planner: Planner,
    /// Slices that each local upstream was last known to own.
    assigned: IndexMap<UpstreamId, IndexSet<SliceNo>>,
    /// When each upstream was first seen by this host.
    since: IndexMap<UpstreamId, Timestamp>,
    /// Where keys go that are being carved out, once they are slices of their own.
    carving: IndexMap<SliceNo, UpstreamId>,
}

/// Placement of all entries that are divided by key.
#[derive(Debug)]
pub(crate) struct Placement {
    started: Timestamp,
    entries: IndexMap<EntryId, EntryPlan>,
    cx: PlanContext,
    wishes: Vec<ProposedMove>,
    summaries: Vec<LoadSummary>,
}

impl Placement {
    /// Creates the placement of a host that started at `now`.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            entries: IndexMap::new(),
            cx: PlanContext::default(),
            wishes: Vec::new(),
            summaries: Vec::new(),
        }
    }

    /// Takes what one call cost.
    pub(crate) fn sample(&mut self, now: Timestamp, sample: &LoadSample) {
        let (Some(slice), Some(key)) = (sample.slice, sample.key) else {
            return;
        };
        if let Some(plan) = self.entries.get_mut(&sample.entry) {
            let work_us = sample.work.as_micros() as u32;
            plan.loads.record(
                now,
                Sample {
                    key,
                    slice,
                    work_us,
                },
            );
        }
    }

    /// Takes the loads that another host summed up.
    pub(crate) fn learn(&mut self, now: Timestamp, loads: &control::Loads) {
        for sum in &loads.upstreams {
            let Ok(upstream) = UpstreamId::new(sum.upstream.as_str()) else {
                continue;
            };
            for plan in self.entries.values_mut() {
                if let Some(key) = plan.loads.upstream_key(&upstream) {
                    let load = f64::from(sum.milli_slots) / LOAD_UNIT;
                    plan.loads.record_remote(now, key, load);
                }
            }
        }
    }

    /// Returns the loads of the upstreams that this host coordinates, if there are any.
    pub(crate) fn summary(&mut self, now: Timestamp) -> Option<control::Loads> {
        self.summaries.clear();
        for plan in self.entries.values() {
            plan.loads.summaries(now, &mut self.summaries);
        }
        if self.summaries.is_empty() {
            return None;
        }
        let sum = |s: &LoadSummary| control::UpstreamLoad {
            upstream: s.upstream.as_str().to_owned(),
            milli_slots: (s.load * LOAD_UNIT) as u32,
        };
        Some(control::Loads {
            upstreams: self.summaries.iter().map(sum).collect(),
        })
    }

    /// Takes the catalogue in force.
    pub(crate) fn catalogue(&mut self, catalogue: &Catalogue) {
        self.entries
            .retain(|id, _| catalogue.entries.contains_key(id));
        for (id, entry) in &catalogue.entries {
            let Sharding::Key { slices, .. } = entry.sharding else {
                self.entries.shift_remove(id);
                continue;
            };
            let plan = self.entries.entry(id.clone()).or_insert_with(|| EntryPlan {
                slices,
                objective: entry.objective,
                loads: Loads::new(LoadsSettings::default()),
                planner: Planner::new(PlannerSettings::default()),
                assigned: IndexMap::new(),
                since: IndexMap::new(),
                carving: IndexMap::new(),
            });
            plan.slices = slices;
            plan.objective = entry.objective;
        }
    }

    /// Plans for the upstreams in `local`, which this host coordinates; returns what ownership is
    /// to be asked for.
    pub(crate) fn plan(
        &mut self,
        now: Timestamp,
        catalogue: &Catalogue,
        ownership: &Ownership,
        local: &IndexSet<UpstreamId>,
    ) -> Vec<own::Event> {
        let mut out = Vec::new();
        for (id, plan) in &mut self.entries {
            plan.follow(now, self.started, id, catalogue, ownership, local);
            plan.move_carved(id, &mut out);
            let input = PlanInput {
                loads: &plan.loads,
                objective: plan.objective,
                slices: plan.slices,
            };
            self.wishes.clear();
            plan.planner
                .plan(now, &input, &mut self.cx, &mut self.wishes);
            for wish in &self.wishes {
                plan.ask(id, wish, ownership, &mut out);
            }
        }
        out
    }
}

impl EntryPlan {
    /// Brings upstreams and owners up to date.
    fn follow(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        entry: &EntryId,
        catalogue: &Catalogue,
        ownership: &Ownership,
        local: &IndexSet<UpstreamId>,
    ) {
        let of_entry = catalogue
            .upstreams
            .iter()
            .filter(|(_, u)| u.entry == *entry);
        for (id, declared) in of_entry {
            let owned = ownership.upstreams.get(id);
            let has_host = owned.is_some_and(|o| o.host.is_some());
            let since = *self.since.entry(id.clone()).or_insert(now);
            let state = if declared.leaving {
                UpstreamState::Draining
            } else if !has_host {
                UpstreamState::Unavailable
            } else if since > started + RAMP {
                let fraction = warm_up_fraction(now.since(since), RAMP);
                UpstreamState::WarmingUp { fraction }
            } else {
                UpstreamState::Active
            };
            let view = UpstreamView {
                upstream: id.clone(),
                slots: declared.slots,
                state,
                local: local.contains(id),
            };
            let is_local = view.local;
            self.loads.set_upstream(now, view);
            let slices = owned.filter(|_| is_local).map(|o| o.slices.as_slice());
            self.assign(now, id, slices.unwrap_or_default(), ownership);
        }
    }

    fn assign(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        slices: &[SliceNo],
        ownership: &Ownership,
    ) {
        let Some(key) = self.loads.upstream_key(upstream) else {
            return;
        };
        let known = self.assigned.swap_remove(upstream).unwrap_or_default();
        if known.len() == slices.len() && slices.iter().all(|s| known.contains(s)) {
            self.assigned.insert(upstream.clone(), known);
            return;
        }
        let fresh: IndexSet<SliceNo> = slices.iter().copied().collect();
        for &gone in known.difference(&fresh) {
            if self.loads.owner(gone) == Some(key) {
                // The load counts at the new owner until its host tells its own sum.
                match self.loads_key_of(ownership, gone) {
                    Some(to) if to != key => self.loads.assign(now, gone, to, 0.0),
                    _ => self.loads.unassign(gone),
                }
            }
            self.planner.completed(gone);
        }
        for &came in fresh.difference(&known) {
            self.loads.assign(now, came, key, 0.0);
            self.planner.completed(came);
        }
        self.assigned.insert(upstream.clone(), fresh);
    }

    fn loads_key_of(&self, ownership: &Ownership, slice: SliceNo) -> Option<place::UpstreamKey> {
        let lists = |id: &&UpstreamId| {
            let owned = &ownership.upstreams[*id];
            self.loads.upstream_key(id).is_some() && owned.slices.binary_search(&slice).is_ok()
        };
        let owner = ownership.upstreams.keys().find(lists)?;
        self.loads.upstream_key(owner)
    }

    /// Turns a wish into what the ownership code is asked for.
    fn ask(
        &mut self,
        entry: &EntryId,
        wish: &ProposedMove,
        ownership: &Ownership,
        out: &mut Vec<own::Event>,
    ) {
        let entry = entry.clone();
        match *wish {
            ProposedMove::Move { slice, to, .. } => out.push(own::Event::MoveWish {
                entry,
                slice,
                to: self.loads.view(to).upstream.clone(),
            }),
            ProposedMove::Carve { key, slice, to, .. } => {
                let hot = KeyHash::hot_slice(key);
                let to = self.loads.view(to).upstream.clone();
                self.carving.insert(hot, to);
                out.push(own::Event::CarveWish {
                    entry,
                    base: slice,
                    hot,
                });
            }
            ProposedMove::Fold { slice, from } => {
                let from = self.loads.view(from).upstream.clone();
                out.extend(self.fold(entry, slice, &from, ownership));
            }
        }
    }

    /// A key is folded back where the slice is that it came from; it goes there first.
    fn fold(
        &self,
        entry: EntryId,
        hot: SliceNo,
        from: &UpstreamId,
        ownership: &Ownership,
    ) -> Option<own::Event> {
        let base = hot.base(self.slices);
        let owns = |id: &&UpstreamId| {
            let of_entry = self.loads.upstream_key(id).is_some();
            of_entry && ownership.upstreams[*id].slices.binary_search(&base).is_ok()
        };
        let to = ownership.upstreams.keys().find(owns)?.clone();
        if to == *from {
            return Some(own::Event::FoldWish { entry, hot });
        }
        Some(own::Event::MoveWish {
            entry,
            slice: hot,
            to,
        })
    }

    /// Moves keys that have become slices of their own.
    fn move_carved(&mut self, entry: &EntryId, out: &mut Vec<own::Event>) {
        let loads = &self.loads;
        self.carving.retain(|&hot, to| {
            if loads.owner(hot).is_none() {
                return true;
            }
            out.push(own::Event::MoveWish {
                entry: entry.clone(),
                slice: hot,
                to: to.clone(),
            });
            false
        });
    }
}
