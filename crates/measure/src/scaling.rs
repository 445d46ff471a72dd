//! Measures the planner's time and memory by number of slices and upstreams.

use std::fs;
use std::time::{Duration, Instant};

use anyhow::Result;
use catalogue::Objective;
use ids::{KeyHash, SliceNo, Timestamp};
use place::{
    Loads, LoadsSettings, PlanContext, PlanInput, Planner, PlannerSettings, ProposedMove, Sample,
    UpstreamKey, UpstreamState, UpstreamView,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::json_lines;
use crate::policy::planner::upstream_name;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Number of samples whose recording is timed.
const SAMPLES: u64 = 1_000_000;
/// Number of plans of which the median time is reported.
const PLANS: usize = 21;
/// Slots of each upstream.
const SLOTS: u32 = 4;

/// One result line.
#[derive(Debug)]
#[derive(Serialize)]
pub struct ScalingLine {
    /// Always `scaling`.
    pub kind: &'static str,
    /// `central` if one planner holds all slices, `host` if it holds those of two upstreams.
    pub case: &'static str,
    /// Seed of the load.
    pub seed: u64,
    /// Upstreams of the entry.
    pub upstreams: u32,
    /// Slices of the entry.
    pub slices: u32,
    /// Slices that the planner holds.
    pub held: usize,
    /// Memory of the load data, computed from the capacities of its collections, in bytes.
    pub heap_bytes: usize,
    /// Growth of the process's resident memory, in bytes; zero if freed memory was reused.
    pub resident_bytes: u64,
    /// Time to record one request, in nanoseconds.
    pub record_ns: f64,
    /// Median time of a plan with nothing to do, in microseconds.
    pub quiet_plan_us: f64,
    /// Median time of a plan with one overloaded upstream, in microseconds.
    pub busy_plan_us: f64,
    /// Time to record the loads of all remote upstreams, in microseconds.
    pub learn_us: f64,
    /// Moves that the last plan with an overloaded upstream proposed.
    pub wishes: usize,
}

/// Runs all sizes and prints their lines.
///
/// # Errors
///
/// Fails if standard output is closed.
pub fn run(seed: u64) -> Result<()> {
    for slices in [1_000, 10_000, 100_000, 1_000_000] {
        for upstreams in [10, 100, 1_000, 3_000] {
            if slices < upstreams {
                continue;
            }
            json_lines::print(&measure(seed, "host", upstreams, slices))?;
            json_lines::print(&measure(seed, "central", upstreams, slices))?;
        }
    }
    Ok(())
}

struct Bench {
    loads: Loads,
    planner: Planner,
    slices: u32,
    cx: PlanContext,
    proposed_moves: Vec<ProposedMove>,
}

/// Measures one size.
#[must_use]
pub fn measure(seed: u64, case: &'static str, upstreams: u32, slices: u32) -> ScalingLine {
    let before = resident_bytes();
    let mut bench = Bench::new(case, upstreams, slices);
    let mut rng = StdRng::seed_from_u64(seed);
    let keys: Vec<KeyHash> = (0..SAMPLES).map(|_| KeyHash(rng.random())).collect();
    let mut held: Vec<SliceNo> = bench.held();
    held.shuffle(&mut rng);
    let record = bench.record_all(&keys, &held);
    let resident = resident_bytes().saturating_sub(before);
    let now = Timestamp::from_millis(2000);
    let remote_loads = bench.record_remote_loads(now);
    let quiet_plan = bench.median_plan_time(now);
    bench.overload(now);
    let busy_plan = bench.median_plan_time(now);
    ScalingLine {
        kind: "scaling",
        case,
        seed,
        upstreams,
        slices,
        held: held.len(),
        heap_bytes: bench.loads.heap_bytes(),
        resident_bytes: resident.saturating_sub(SAMPLES * 8),
        record_ns: record.as_secs_f64() * 1e9 / SAMPLES as f64,
        quiet_plan_us: quiet_plan.as_secs_f64() * 1e6,
        busy_plan_us: busy_plan.as_secs_f64() * 1e6,
        learn_us: remote_loads.as_secs_f64() * 1e6,
        wishes: bench.proposed_moves.len(),
    }
}

impl Bench {
    fn new(case: &str, upstreams: u32, slices: u32) -> Self {
        let local = |n: u32| case == "central" || n < 2;
        let mut loads = Loads::new(LoadsSettings::default());
        let now = Timestamp::ZERO;
        let keys: Vec<UpstreamKey> = (0..upstreams)
            .map(|n| {
                let view = UpstreamView {
                    upstream: upstream_name(n as usize),
                    slots: SLOTS,
                    state: UpstreamState::Active,
                    local: local(n),
                };
                loads.set_upstream(now, view)
            })
            .collect();
        for n in 0..slices {
            let owner = n % upstreams;
            if local(owner) {
                loads.assign(now, SliceNo(u64::from(n)), keys[owner as usize], 0.0);
            }
        }
        Self {
            loads,
            planner: Planner::new(PlannerSettings {
                hot_key_delay: Duration::ZERO,
                misfit_key_delay: Duration::ZERO,
                slice_delay: Duration::ZERO,
                max_moves: usize::MAX >> 8,
                ..PlannerSettings::default()
            }),
            slices,
            cx: PlanContext::default(),
            proposed_moves: Vec::new(),
        }
    }

    fn held(&self) -> Vec<SliceNo> {
        let keys = self.loads.upstream_keys();
        keys.flat_map(|key| self.loads.slices(key).to_vec())
            .collect()
    }

    fn record_all(&mut self, keys: &[KeyHash], held: &[SliceNo]) -> Duration {
        let start = Instant::now();
        for (n, key) in keys.iter().enumerate() {
            let sample = Sample {
                key: *key,
                slice: held[n % held.len()],
                work_us: 1000,
            };
            let now = Timestamp::from_micros(n as u64 * 2);
            self.loads.record(now, sample);
        }
        start.elapsed()
    }

    /// Records for each remote upstream the load of the first local one; returns the time taken.
    fn record_remote_loads(&mut self, now: Timestamp) -> Duration {
        let keys: Vec<UpstreamKey> = self.loads.upstream_keys().collect();
        let load = self.loads.load(now, keys[0]);
        let start = Instant::now();
        for key in keys {
            if !self.loads.view(key).local {
                self.loads.record_remote(now, key, load);
            }
        }
        start.elapsed()
    }

    /// Increases the load of the first upstream by half.
    fn overload(&mut self, now: Timestamp) {
        let first = self
            .loads
            .upstream_keys()
            .next()
            .expect("the benchmark has upstreams");
        let load = self.loads.load(now, first);
        let owned: Vec<SliceNo> = self.loads.slices(first).to_vec();
        let time_constant_s = LoadsSettings::default().time_constant.as_secs_f64();
        let work_us = load * 0.5 * time_constant_s / owned.len() as f64 * 1e6;
        for slice in owned {
            let key = KeyHash(slice.0);
            let work_us = work_us as u32;
            self.loads.record(
                now,
                Sample {
                    key,
                    slice,
                    work_us,
                },
            );
        }
    }

    fn median_plan_time(&mut self, now: Timestamp) -> Duration {
        let mut times = Vec::with_capacity(PLANS);
        for _ in 0..PLANS {
            self.proposed_moves.clear();
            let input = PlanInput {
                loads: &self.loads,
                objective: Objective::default(),
                slices: self.slices,
            };
            let start = Instant::now();
            self.planner
                .plan(now, &input, &mut self.cx, &mut self.proposed_moves);
            times.push(start.elapsed());
            for proposed in &self.proposed_moves {
                self.planner.completed(proposed.slice());
            }
        }
        times.sort();
        times[PLANS / 2]
    }
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
