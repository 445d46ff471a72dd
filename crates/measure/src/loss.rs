//! Measures how the slices of lost upstreams are reassigned to the others.

use std::time::Instant;

use anyhow::Result;
use ids::{ArenaKey, SliceNo};
use place::{Candidate, Placement, UnassignedSlice, place_unassigned};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::json_lines;
use crate::policy::baseline::candidates;
use crate::score::imbalance;

/// Fraction of all slots that is busy before the loss.
const UTILISATION: f64 = 0.6;
/// Exponent of the Zipf distribution of the slices' loads.
const EXPONENT: f64 = 0.3;
/// Number of failure domains, over which the upstreams are distributed round-robin.
const DOMAINS: usize = 3;
/// Number of runs of each case; the median time is reported.
const RUNS: usize = 5;

/// One result line.
#[derive(Debug)]
#[derive(Serialize)]
pub struct LossLine {
    /// Always `loss`.
    pub kind: &'static str,
    /// What was lost: `one`, `tenth` or `domain`.
    pub case: &'static str,
    /// How the slices without owner were reassigned.
    pub policy: &'static str,
    /// Seed of the loads.
    pub seed: u64,
    /// Upstreams before the loss.
    pub upstreams: usize,
    /// Slices of the entry.
    pub slices: usize,
    /// Slices that lost their owner.
    pub orphans: usize,
    /// Max/mean of the remaining upstreams' loads before the loss.
    pub before_max_by_mean: f64,
    /// Max/mean of the remaining upstreams' loads after the loss.
    pub after_max_by_mean: f64,
    /// Upstreams that received at least one slice.
    pub takers: usize,
    /// Slices that changed owner although their owner was not lost.
    pub needless_moves: usize,
    /// Time to choose all new owners, in microseconds.
    pub decide_us: f64,
}

struct Case {
    name: &'static str,
    lost: Vec<bool>,
}

/// Runs all cases and prints their lines.
///
/// # Errors
///
/// Fails if standard output is closed.
pub fn run(seed: u64) -> Result<()> {
    for (upstreams, slices) in [
        (20, 1024),
        (100, 10_000),
        (3000, 100_000),
        (3000, 1_000_000),
    ] {
        for result in measure(seed, upstreams, slices) {
            json_lines::print(&result)?;
        }
    }
    Ok(())
}

/// Measures all cases and policies with the given numbers of upstreams and slices.
#[must_use]
pub fn measure(seed: u64, upstreams: usize, slices: usize) -> Vec<LossLine> {
    let loads = slice_loads(seed, upstreams, slices);
    let owners = balanced_owners(&loads, upstreams);
    let mut lines = Vec::new();
    for case in cases(upstreams) {
        for policy in ["spread", "spread-by-summary", "next", "modulo"] {
            lines.push(measure_case(seed, &case, policy, &loads, &owners));
        }
    }
    lines
}

fn cases(upstreams: usize) -> Vec<Case> {
    let lost = |is_lost: &dyn Fn(usize) -> bool| (0..upstreams).map(is_lost).collect();
    vec![
        Case {
            name: "one",
            lost: lost(&|n| n == 0),
        },
        Case {
            name: "tenth",
            lost: lost(&|n| n % 10 == 0),
        },
        Case {
            name: "domain",
            lost: lost(&|n| n % DOMAINS == 0),
        },
    ]
}

fn slice_loads(seed: u64, upstreams: usize, slices: usize) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut loads: Vec<f64> = (1..=slices).map(|n| (n as f64).powf(-EXPONENT)).collect();
    for n in (1..slices).rev() {
        loads.swap(n, rng.random_range(0..=n));
    }
    let total: f64 = loads.iter().sum();
    let factor = UTILISATION * upstreams as f64 / total;
    for load in &mut loads {
        *load *= factor;
    }
    loads
}

fn balanced_owners(loads: &[f64], upstreams: usize) -> Vec<usize> {
    let mut placed = Vec::new();
    place_unassigned(
        &unassigned_slices(loads, |_| true),
        &candidates(upstreams),
        &mut placed,
    );
    let mut owners = vec![0; loads.len()];
    for p in placed {
        owners[p.slice.0 as usize] = p.to.index();
    }
    owners
}

fn unassigned_slices(loads: &[f64], is_unassigned: impl Fn(usize) -> bool) -> Vec<UnassignedSlice> {
    let all = loads.iter().enumerate();
    all.filter(|(n, _)| is_unassigned(*n))
        .map(|(n, load)| UnassignedSlice {
            slice: SliceNo(n as u64),
            load: *load,
        })
        .collect()
}

fn upstream_loads(loads: &[f64], owners: &[usize], upstreams: usize) -> Vec<f64> {
    let mut sums = vec![0.0; upstreams];
    for (load, owner) in loads.iter().zip(owners) {
        sums[*owner] += load;
    }
    sums
}

fn measure_case(
    seed: u64,
    case: &Case,
    policy: &'static str,
    loads: &[f64],
    owners: &[usize],
) -> LossLine {
    let upstreams = case.lost.len();
    let before = upstream_loads(loads, owners, upstreams);
    let remaining = |sums: &[f64]| -> Vec<f64> {
        let all = sums.iter().zip(&case.lost);
        all.filter(|(_, lost)| !**lost).map(|(s, _)| *s).collect()
    };
    let mut times = Vec::new();
    let mut after = Vec::new();
    for _ in 0..RUNS {
        let start = Instant::now();
        after = owners_after_loss(case, policy, loads, owners, &before);
        times.push(start.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    let is_unassigned = |slice: usize| case.lost[owners[slice]];
    let mut receives = vec![false; upstreams];
    (0..loads.len())
        .filter(|slice| is_unassigned(*slice))
        .for_each(|slice| receives[after[slice]] = true);
    let needless = |slice: &usize| !is_unassigned(*slice) && after[*slice] != owners[*slice];
    LossLine {
        kind: "loss",
        case: case.name,
        policy,
        seed,
        upstreams,
        slices: loads.len(),
        orphans: (0..loads.len()).filter(|s| is_unassigned(*s)).count(),
        before_max_by_mean: imbalance(&remaining(&before)).0,
        after_max_by_mean: imbalance(&remaining(&upstream_loads(loads, &after, upstreams))).0,
        takers: receives.iter().filter(|t| **t).count(),
        needless_moves: (0..loads.len()).filter(needless).count(),
        decide_us: times[RUNS / 2],
    }
}

/// Returns the owner of each slice after the loss.
fn owners_after_loss(
    case: &Case,
    policy: &str,
    loads: &[f64],
    owners: &[usize],
    before: &[f64],
) -> Vec<usize> {
    let upstreams = case.lost.len();
    match policy {
        "next" => {
            let next = |owner: usize| {
                (owner..upstreams)
                    .chain(0..owner)
                    .find(|n| !case.lost[*n])
                    .unwrap_or(owner)
            };
            owners.iter().map(|owner| next(*owner)).collect()
        }
        "modulo" => {
            let remaining: Vec<usize> = (0..upstreams).filter(|n| !case.lost[*n]).collect();
            (0..loads.len())
                .map(|n| remaining[n % remaining.len()])
                .collect()
        }
        _ => reassign(case, policy == "spread", loads, owners, before),
    }
}

fn reassign(
    case: &Case,
    loads_known: bool,
    loads: &[f64],
    owners: &[usize],
    before: &[f64],
) -> Vec<usize> {
    let mut lost = unassigned_slices(loads, |slice| case.lost[owners[slice]]);
    if !loads_known {
        let total: f64 = lost.iter().map(|unassigned| unassigned.load).sum();
        let mean = total / lost.len().max(1) as f64;
        for unassigned in &mut lost {
            unassigned.load = mean;
        }
    }
    let remaining: Vec<Candidate> = candidates(case.lost.len())
        .into_iter()
        .filter(|c| !case.lost[c.key.index()])
        .map(|c| Candidate {
            load: before[c.key.index()],
            ..c
        })
        .collect();
    let mut placed: Vec<Placement> = Vec::new();
    place_unassigned(&lost, &remaining, &mut placed);
    let mut after = owners.to_vec();
    for p in placed {
        after[p.slice.0 as usize] = p.to.index();
    }
    after
}
