//! The planner of the crate `place`, running on one or more coordinating hosts.

use std::time::{Duration, Instant};

use catalogue::Objective;
use ids::{ArenaKey, SliceNo, Timestamp, UpstreamId};
use place::{
    LoadSummary, Loads, LoadsSettings, PlanContext, PlanInput, Planner, PlannerSettings,
    ProposedMove, Sample, UpstreamKey, UpstreamState, UpstreamView,
};
use smol_str::SmolStr;

use super::{Ownership, Policy};
use crate::workload::Request;

/// Settings of [`PlannerPolicy`].
#[derive(Debug, Clone)]
pub struct PlannerPolicySettings {
    /// Name in results.
    pub name: SmolStr,
    /// Number of coordinating hosts, over which the upstreams are distributed round-robin.
    pub hosts: usize,
    /// Number of other hosts to which a host sends its loads each second, round-robin.
    pub recipients_per_second: usize,
    /// Weights of imbalance and churn.
    pub objective: Objective,
    /// Settings of the planners.
    pub planner: PlannerSettings,
    /// Settings of the observed loads.
    pub loads: LoadsSettings,
}

impl Default for PlannerPolicySettings {
    fn default() -> Self {
        Self {
            name: SmolStr::new_static("place"),
            hosts: 11,
            recipients_per_second: 16,
            objective: Objective::default(),
            planner: PlannerSettings::default(),
            loads: LoadsSettings::default(),
        }
    }
}

#[derive(Debug)]
struct Host {
    loads: Loads,
    planner: Planner,
}

impl Host {
    fn record_summaries(&mut self, now: Timestamp, summaries: &[LoadSummary]) {
        for summary in summaries {
            if let Some(key) = self.loads.upstream_key(&summary.upstream) {
                self.loads.record_remote(now, key, summary.load);
            }
        }
    }
}

/// Counts of what the planners did, and the time that they took.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlanStats {
    /// Total time of all planners.
    pub time: Duration,
    /// Number of plans.
    pub plans: u64,
    /// Proposed moves that the destination's coordinating host declined.
    pub declined: u64,
    /// Hot keys carved out of their slices.
    pub carved: u64,
    /// Hot keys folded back into their slices.
    pub folded: u64,
}

/// Policy that runs one planner on each coordinating host.
///
/// A host receives the loads of the others with a delay of one second.
#[derive(Debug)]
pub struct PlannerPolicy {
    cfg: PlannerPolicySettings,
    hosts: Vec<Host>,
    ownership: Ownership,
    /// The load summaries of each host, as of the last second.
    summaries: Vec<Vec<LoadSummary>>,
    slices: u32,
    stats: PlanStats,
    cx: PlanContext,
    proposed_moves: Vec<ProposedMove>,
}

impl PlannerPolicy {
    /// Creates the hosts, which start from the given owners.
    ///
    /// # Panics
    ///
    /// Panics if `cfg` has no hosts.
    #[must_use]
    pub fn new(
        cfg: PlannerPolicySettings,
        upstreams: u32,
        slots: u32,
        ownership: Ownership,
    ) -> Self {
        assert!(cfg.hosts > 0, "the planner needs at least one host");
        let slices = ownership.slices().len() as u32;
        let summaries = vec![Vec::new(); cfg.hosts];
        let hosts = (0..cfg.hosts)
            .map(|host| Host {
                loads: initial_loads(&cfg, host, upstreams, slots, &ownership),
                planner: Planner::new(cfg.planner),
            })
            .collect();
        Self {
            cfg,
            hosts,
            ownership,
            summaries,
            slices,
            stats: PlanStats::default(),
            cx: PlanContext::default(),
            proposed_moves: Vec::new(),
        }
    }

    /// Returns what the planners did and the time that they took.
    #[must_use]
    pub const fn stats(&self) -> PlanStats {
        self.stats
    }

    /// Sends the summaries of one second ago from each host to the next ones in its rotation.
    fn exchange_summaries(&mut self, now: Timestamp) {
        let hosts = self.hosts.len();
        let second = (now.as_micros() / 1_000_000) as usize;
        for from in 0..hosts {
            let first = from + 1 + second * self.cfg.recipients_per_second;
            for n in 0..self.cfg.recipients_per_second.min(hosts - 1) {
                let to = (first + n) % hosts;
                if to != from {
                    self.hosts[to].record_summaries(now, &self.summaries[from]);
                }
            }
        }
        for (host, summary) in self.hosts.iter().zip(&mut self.summaries) {
            host.loads.summaries(now, summary);
        }
    }

    fn plan(&mut self, now: Timestamp, host: usize) {
        self.proposed_moves.clear();
        let Host { loads, planner } = &mut self.hosts[host];
        let input = PlanInput {
            loads,
            objective: self.cfg.objective,
            slices: self.slices,
        };
        let start = Instant::now();
        planner.plan(now, &input, &mut self.cx, &mut self.proposed_moves);
        self.stats.time += start.elapsed();
        self.stats.plans += 1;
    }

    fn apply(&mut self, now: Timestamp, host: usize, proposed: ProposedMove) {
        if !self.is_admitted(now, &proposed) {
            self.decline(now, host, &proposed);
            return;
        }
        let moved = proposed.slice();
        match proposed {
            ProposedMove::Fold { slice, .. } => {
                self.stats.folded += 1;
                self.hosts[host].loads.unassign(slice);
                self.ownership.fold(slice);
            }
            ProposedMove::Move { slice, to, .. } => self.ownership.assign(slice, to.index()),
            ProposedMove::Carve { key, slice, to, .. } => {
                self.stats.carved += 1;
                self.ownership.carve(key, slice, to.index());
            }
        }
        if let Some(to) = proposed.to() {
            self.hosts[host]
                .loads
                .assign(now, moved, to, proposed.load());
            self.assign(now, host, moved, to, proposed.load());
        }
        self.hosts[host].planner.completed(moved);
    }

    /// Returns whether the destination's coordinating host accepts the move.
    fn is_admitted(&self, now: Timestamp, proposed: &ProposedMove) -> bool {
        let Some(to) = proposed.to() else { return true };
        let target = &self.hosts[to.index() % self.cfg.hosts];
        let input = PlanInput {
            loads: &target.loads,
            objective: self.cfg.objective,
            slices: self.slices,
        };
        target.planner.admits(now, &input, proposed)
    }

    /// Reports to the source that the destination declined, and the destination's current load.
    fn decline(&mut self, now: Timestamp, host: usize, proposed: &ProposedMove) {
        self.stats.declined += 1;
        let Some(to) = proposed.to() else { return };
        let load = self.hosts[to.index() % self.cfg.hosts].loads.load(now, to);
        let source = &mut self.hosts[host];
        if !source.loads.view(to).local {
            source.loads.record_remote(now, to, load);
        }
        source.planner.failed(now, proposed.slice());
    }

    fn assign(&mut self, now: Timestamp, host: usize, slice: SliceNo, to: UpstreamKey, load: f64) {
        let target = to.index() % self.cfg.hosts;
        if target != host {
            self.hosts[target].loads.assign(now, slice, to, load);
        }
    }
}

impl Policy for PlannerPolicy {
    fn name(&self) -> &str {
        &self.cfg.name
    }

    fn serve(&mut self, now: Timestamp, req: &Request) -> usize {
        let (slice, owner) = self.ownership.locate(req.key, req.slice);
        let sample = Sample {
            key: req.key,
            slice,
            work_us: req.work_us,
        };
        let host = owner % self.cfg.hosts;
        self.hosts[host].loads.record(now, sample);
        owner
    }

    fn tick(&mut self, now: Timestamp) {
        self.exchange_summaries(now);
        for host in 0..self.hosts.len() {
            self.plan(now, host);
            let proposed_moves = std::mem::take(&mut self.proposed_moves);
            for proposed in &proposed_moves {
                self.apply(now, host, *proposed);
            }
            self.proposed_moves = proposed_moves;
        }
        debug_assert!(self.hosts.iter().all(|h| h.loads.verify().is_empty()));
    }

    fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    fn ownership_mut(&mut self) -> &mut Ownership {
        &mut self.ownership
    }
}

fn initial_loads(
    cfg: &PlannerPolicySettings,
    host: usize,
    upstreams: u32,
    slots: u32,
    ownership: &Ownership,
) -> Loads {
    let mut loads = Loads::new(cfg.loads);
    let now = Timestamp::ZERO;
    for n in 0..upstreams as usize {
        loads.set_upstream(
            now,
            UpstreamView {
                upstream: upstream_name(n),
                slots,
                state: UpstreamState::Active,
                local: n % cfg.hosts == host,
            },
        );
    }
    for (slice, owner) in ownership.slices().iter().enumerate() {
        if owner % cfg.hosts == host {
            let key = UpstreamKey::from_index(*owner);
            loads.assign(now, SliceNo(slice as u64), key, 0.0);
        }
    }
    loads
}

/// Returns the name of an upstream in measurements.
///
/// # Panics
///
/// Never: the name is valid.
#[must_use]
pub fn upstream_name(n: usize) -> UpstreamId {
    UpstreamId::new(format!("upstream-{n:04}")).expect("letters, digits and a hyphen are valid")
}
