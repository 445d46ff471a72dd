//! Plans the placement of slices on the upstreams that this host coordinates.

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
pub(crate) const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Time that an upstream needs to warm up.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Factor from a load in busy slots to the thousandths of a slot that are sent to other hosts.
const MILLI_SLOTS_PER_SLOT: f64 = 1_000.0;

/// Loads and planner of one entry that is sharded by key.
#[derive(Debug)]
struct EntryPlan {
    slices: u32,
    objective: Objective,
    loads: Loads,
    planner: Planner,
    /// Slices that each local upstream was last known to own.
    assigned: IndexMap<UpstreamId, IndexSet<SliceNo>>,
    /// Time at which this host first saw each upstream.
    first_seen: IndexMap<UpstreamId, Timestamp>,
    /// Upstream to which the slice of each key that is being carved out moves once it exists.
    carving: IndexMap<SliceNo, UpstreamId>,
}

/// Planner state of all entries that are sharded by key.
#[derive(Debug)]
pub(crate) struct Placement {
    started: Timestamp,
    entries: IndexMap<EntryId, EntryPlan>,
    cx: PlanContext,
    proposals: Vec<ProposedMove>,
    summaries: Vec<LoadSummary>,
}

impl Placement {
    /// Creates the planner state of a host that started at `now`.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            entries: IndexMap::new(),
            cx: PlanContext::default(),
            proposals: Vec::new(),
            summaries: Vec::new(),
        }
    }

    /// Records the cost of one call.
    pub(crate) fn record_sample(&mut self, now: Timestamp, sample: &LoadSample) {
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

    /// Records the loads of upstreams that another host reported.
    pub(crate) fn record_remote(&mut self, now: Timestamp, loads: &control::Loads) {
        for remote in &loads.upstreams {
            let Ok(upstream) = UpstreamId::new(remote.upstream.as_str()) else {
                continue;
            };
            for plan in self.entries.values_mut() {
                if let Some(key) = plan.loads.upstream_key(&upstream) {
                    let load = f64::from(remote.milli_slots) / MILLI_SLOTS_PER_SLOT;
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
        let to_wire = |s: &LoadSummary| control::UpstreamLoad {
            upstream: s.upstream.as_str().to_owned(),
            milli_slots: (s.load * MILLI_SLOTS_PER_SLOT) as u32,
        };
        Some(control::Loads {
            upstreams: self.summaries.iter().map(to_wire).collect(),
        })
    }

    /// Sets the catalogue in force.
    pub(crate) fn set_catalogue(&mut self, catalogue: &Catalogue) {
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
                first_seen: IndexMap::new(),
                carving: IndexMap::new(),
            });
            plan.slices = slices;
            plan.objective = entry.objective;
        }
    }

    /// Plans placement for the upstreams in `local`, which this host coordinates. Returns the
    /// proposals as events for the ownership machine.
    pub(crate) fn plan(
        &mut self,
        now: Timestamp,
        catalogue: &Catalogue,
        ownership: &Ownership,
        local: &IndexSet<UpstreamId>,
    ) -> Vec<own::Event> {
        let mut out = Vec::new();
        for (id, plan) in &mut self.entries {
            plan.update(now, self.started, id, catalogue, ownership, local);
            plan.move_carved(id, &mut out);
            let input = PlanInput {
                loads: &plan.loads,
                objective: plan.objective,
                slices: plan.slices,
            };
            self.proposals.clear();
            plan.planner
                .plan(now, &input, &mut self.cx, &mut self.proposals);
            for proposal in &self.proposals {
                plan.propose(id, proposal, ownership, &mut out);
            }
        }
        out
    }
}

impl EntryPlan {
    /// Updates the upstreams of the entry and the owners of its slices.
    fn update(
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
            let first_seen = *self.first_seen.entry(id.clone()).or_insert(now);
            let state = if declared.leaving {
                UpstreamState::Draining
            } else if !has_host {
                UpstreamState::Unavailable
            } else if first_seen > started + WARM_UP_TIME {
                let fraction = warm_up_fraction(now.since(first_seen), WARM_UP_TIME);
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
        let previous = self.assigned.swap_remove(upstream).unwrap_or_default();
        if previous.len() == slices.len() && slices.iter().all(|s| previous.contains(s)) {
            self.assigned.insert(upstream.clone(), previous);
            return;
        }
        let current: IndexSet<SliceNo> = slices.iter().copied().collect();
        for &removed in previous.difference(&current) {
            if self.loads.owner(removed) == Some(key) {
                // The load is attributed to the new owner until that owner's host reports its loads.
                match self.owner_key(ownership, removed) {
                    Some(to) if to != key => self.loads.assign(now, removed, to, 0.0),
                    _ => self.loads.unassign(removed),
                }
            }
            self.planner.completed(removed);
        }
        for &added in current.difference(&previous) {
            self.loads.assign(now, added, key, 0.0);
            self.planner.completed(added);
        }
        self.assigned.insert(upstream.clone(), current);
    }

    fn owner_key(&self, ownership: &Ownership, slice: SliceNo) -> Option<place::UpstreamKey> {
        let owns_slice = |id: &&UpstreamId| {
            let owned = &ownership.upstreams[*id];
            self.loads.upstream_key(id).is_some() && owned.slices.binary_search(&slice).is_ok()
        };
        let owner = ownership.upstreams.keys().find(owns_slice)?;
        self.loads.upstream_key(owner)
    }

    /// Appends the event that proposes a move to the ownership machine.
    fn propose(
        &mut self,
        entry: &EntryId,
        proposal: &ProposedMove,
        ownership: &Ownership,
        out: &mut Vec<own::Event>,
    ) {
        let entry = entry.clone();
        match *proposal {
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
                out.extend(self.fold_event(entry, slice, &from, ownership));
            }
        }
    }

    /// Returns the next event towards folding a hot key back into its slice. If another upstream
    /// owns that slice, the key moves to that upstream first.
    fn fold_event(
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

    /// Proposes to move the keys that have been carved out into slices of their own.
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
