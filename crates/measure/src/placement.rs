//! Runs all placement policies on the same load.

use std::time::Instant;

use anyhow::Result;
use catalogue::Objective;
use ids::{ArenaKey, SliceNo, Timestamp};
use indexmap::IndexSet;
use place::even_split;
use serde::Serialize;
use smol_str::SmolStr;

use crate::json_lines;
use crate::policy::baseline::{BaselinePolicy, Rule, candidates};
use crate::policy::planner::{PlannerPolicy, PlannerPolicySettings};
use crate::policy::{Ownership, Policy};
use crate::score::{Churn, Scores, SeriesStats};
use crate::workload::{Request, Workload, WorkloadSettings};

/// Seconds at the start that are not counted, in which every policy reaches its first balance.
const WARM_UP_S: u64 = 120;

/// Seconds from a shift of the hot set until the load counts as steady again.
const STEADY_AFTER_S: u64 = 30;

/// Above this number of upstreams, only the three most informative policies run, with one host to
/// 1.15 upstreams.
const MANY_UPSTREAMS: u32 = 100;

/// Max/mean that users require.
pub const REQUIRED_MAX_BY_MEAN: f64 = 1.25;

/// One result line.
#[derive(Debug)]
#[derive(Serialize)]
pub struct PlacementLine {
    /// Always `placement`.
    pub kind: &'static str,
    /// Name of the load.
    pub case: SmolStr,
    /// Name of the policy.
    pub policy: SmolStr,
    /// Seed of the load.
    pub seed: u64,
    /// Upstreams.
    pub upstreams: u32,
    /// Slices.
    pub slices: u32,
    /// Seconds counted, without the warm-up.
    pub seconds: u64,
    /// Requests a second, on average.
    pub rate: f64,
    /// Load of the heaviest key, as a fraction of an upstream's share: a lower bound of max/mean.
    pub top_key_shares: f64,
    /// Max/mean of work per upstream and second, over all seconds.
    pub max_by_mean: SeriesStats,
    /// The same for seconds in steady state: from 30 s after each shift of the hot set.
    pub steady_max_by_mean: SeriesStats,
    /// Coefficient of variation of work per upstream and second, over all seconds.
    pub variation: SeriesStats,
    /// Seconds from a shift of the hot set until the load had settled.
    pub settling_s: SeriesStats,
    /// Changes of ownership.
    pub churn: Churn,
    /// Changes of owner per key and hour.
    pub owner_changes_per_key_hour: f64,
    /// Moves of slices and single keys per hour.
    pub moves_per_hour: f64,
    /// Fraction of all requests that arrived within a second after their slice changed owner.
    /// Multiplied by the duration of a move in seconds, it gives the fraction of requests that
    /// arrive during a move.
    pub moved_requests: f64,
    /// Wall time that the policy took for serving and planning, in seconds.
    pub wall_s: f64,
}

#[derive(Debug)]
struct PolicyRun {
    policy: Box<dyn Policy>,
    scores: Scores,
    steady: Scores,
    churn_at_start: Churn,
    changed: IndexSet<SliceNo>,
    moved_requests: u64,
    requests: u64,
    wall_s: f64,
}

/// Runs all policies on the load that `cfg` describes and prints a line for each.
///
/// # Errors
///
/// Fails if standard output is closed.
pub fn run(cfg: &WorkloadSettings) -> Result<Vec<PlacementLine>> {
    let lines = compare(cfg, policies(cfg));
    for result in &lines {
        json_lines::print(result)?;
    }
    Ok(lines)
}

/// Runs `policies` on the load that `cfg` describes.
#[must_use]
pub fn compare(cfg: &WorkloadSettings, policies: Vec<Box<dyn Policy>>) -> Vec<PlacementLine> {
    let top_key_shares = cfg.top_key_fraction() * f64::from(cfg.upstreams);
    let limit = REQUIRED_MAX_BY_MEAN * top_key_shares.max(1.0);
    let upstreams = cfg.upstreams as usize;
    let mut policy_runs: Vec<PolicyRun> = policies
        .into_iter()
        .map(|policy| PolicyRun {
            policy,
            scores: Scores::new(upstreams, limit),
            steady: Scores::new(upstreams, limit),
            churn_at_start: Churn::default(),
            changed: IndexSet::new(),
            moved_requests: 0,
            requests: 0,
            wall_s: 0.0,
        })
        .collect();
    let mut workload = Workload::new(cfg.clone());
    let mut batch = Vec::new();
    let mut since_shift = STEADY_AFTER_S;
    for second in 0..cfg.seconds {
        let shifted = workload.next_second(&mut batch);
        since_shift = if shifted { 0 } else { since_shift + 1 };
        let counted = second >= WARM_UP_S;
        for policy_run in &mut policy_runs {
            if second == WARM_UP_S {
                policy_run.churn_at_start = policy_run.policy.ownership().churn();
            }
            if shifted && counted {
                policy_run.scores.record_shift(second);
            }
            let steady = counted && since_shift >= STEADY_AFTER_S;
            policy_run.run_second(second, &batch, counted, steady);
        }
    }
    policy_runs
        .iter()
        .map(|policy_run| policy_run.result_line(cfg, top_key_shares))
        .collect()
}

impl PolicyRun {
    fn run_second(&mut self, second: u64, batch: &[Request], counted: bool, steady: bool) {
        if counted {
            self.count_moved(batch);
        }
        let start = Instant::now();
        let now = Timestamp::from_millis(second * 1000 + 500);
        for req in batch {
            let owner = self.policy.serve(now, req);
            self.scores.add_work(owner, req.work_us);
            self.steady.add_work(owner, req.work_us);
        }
        self.scores.end_second(second, counted);
        self.steady.end_second(second, steady);
        self.policy
            .tick(Timestamp::from_millis((second + 1) * 1000));
        self.wall_s += start.elapsed().as_secs_f64();
    }

    fn count_moved(&mut self, batch: &[Request]) {
        self.policy.ownership_mut().take_changed(&mut self.changed);
        self.requests += batch.len() as u64;
        if self.changed.is_empty() {
            return;
        }
        let ownership = self.policy.ownership();
        let moved = |req: &&Request| {
            let (slice, _) = ownership.locate(req.key, req.slice);
            self.changed.contains(&slice)
        };
        self.moved_requests += batch.iter().filter(moved).count() as u64;
    }

    fn result_line(&self, cfg: &WorkloadSettings, top_key_shares: f64) -> PlacementLine {
        let churn = self.policy.ownership().churn().since(&self.churn_at_start);
        let seconds = cfg.seconds - WARM_UP_S;
        let hours = seconds as f64 / 3600.0;
        PlacementLine {
            kind: "placement",
            case: cfg.name.clone(),
            policy: SmolStr::new(self.policy.name()),
            seed: cfg.seed,
            upstreams: cfg.upstreams,
            slices: cfg.slices,
            seconds,
            rate: cfg.rate(),
            top_key_shares,
            max_by_mean: self.scores.max_by_mean(),
            steady_max_by_mean: self.steady.max_by_mean(),
            variation: self.scores.variation(),
            settling_s: self.scores.settling_stats(),
            churn,
            owner_changes_per_key_hour: churn.keys / cfg.keys as f64 / hours,
            moves_per_hour: churn.moves() as f64 / hours,
            moved_requests: self.moved_requests as f64 / self.requests.max(1) as f64,
            wall_s: self.wall_s,
        }
    }
}

/// Returns the initial owners, which are the same for every policy.
#[must_use]
pub fn initial_ownership(cfg: &WorkloadSettings) -> Ownership {
    let owners = even_split(cfg.slices, &candidates(cfg.upstreams as usize));
    let owners = owners.into_iter().map(ArenaKey::index).collect();
    Ownership::new(owners, cfg.keys)
}

/// Landavgift's weights: an overloaded upstream costs more than a move.
pub const LANDAVGIFT: Objective = Objective {
    imbalance: 2.0,
    churn: 1.0,
};

/// Kōtuku's weights: each change of owner risks a doubled booking.
pub const KOTUKU: Objective = Objective {
    imbalance: 1.0,
    churn: 2.0,
};

fn policies(cfg: &WorkloadSettings) -> Vec<Box<dyn Policy>> {
    let baseline = |name: &str, rule: Rule| -> Box<dyn Policy> {
        Box::new(BaselinePolicy::new(
            name,
            rule,
            cfg.upstreams,
            initial_ownership(cfg),
        ))
    };
    let planned = |name: &'static str, hosts: usize, objective: Objective| -> Box<dyn Policy> {
        let settings = PlannerPolicySettings {
            name: SmolStr::new_static(name),
            hosts,
            objective,
            ..PlannerPolicySettings::default()
        };
        Box::new(PlannerPolicy::new(
            settings,
            cfg.upstreams,
            cfg.slots,
            initial_ownership(cfg),
        ))
    };
    let greedy = |slack: f64, max_moves: usize, interval_s: u64| Rule::Greedy {
        slack,
        max_moves,
        interval_s,
    };
    let rendezvous = Rule::RendezvousBounded {
        slack: 0.1,
        interval_s: 10,
    };
    let window = Rule::MinimizeSquares {
        min_gain: 0.002,
        interval_s: 30,
    };
    let mut policies = vec![
        baseline("plain", Rule::Static),
        baseline("greedy-10", greedy(0.1, 16, 5)),
        baseline("greedy-20", greedy(0.2, 16, 10)),
        baseline("rendezvous-bounded", rendezvous),
        baseline("window", window),
        planned("place-central", 1, Objective::default()),
        planned("place", 11, Objective::default()),
        planned("place-landavgift", 11, LANDAVGIFT),
        planned("place-kotuku", 11, KOTUKU),
    ];
    if cfg.upstreams > MANY_UPSTREAMS {
        policies.truncate(2);
        let hosts = cfg.upstreams as usize * 13 / 15;
        policies.push(planned("place", hosts, Objective::default()));
    }
    policies
}
