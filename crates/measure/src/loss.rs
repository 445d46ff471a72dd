//! Measures how the slices of lost upstreams are reassigned to the others.

use std::time::Instant;

use anyhow::Result;
use ids::{ArenaKey, SliceNo};
use place::{Candidate, Placement, UnassignedSlice, place_unassigned};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::line;
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
            line::print(&result)?;
        }
    }
    Ok(())
}

/// Measures all cases and policies with the given numbers of upstreams and slices.
#[must_use]
pub fn measure(seed: u64, upstreams: usize, slices: usize) -> Vec<LossLine> {
    let loads = slice_loads(seed, upstreams, slices);
    let owners = balanced(&loads, upstreams);
    let mut lines = Vec::new();
    for case in cases(upstreams) {
        for policy in ["spread", "spread-by-summary", "next", "modulo"] {
            lines.push(lose(seed, &case, policy, &loads, &owners));
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

fn balanced(loads: &[f64], upstreams: usize) -> Vec<usize> {
    let mut placed = Vec::new();
    place_unassigned(
        &orphans(loads, |_| true),
        &candidates(upstreams),
        &mut placed,
    );
    let mut owners = vec![0; loads.len()];
    for p in placed {
        owners[p.slice.0 as usize] = p.to.index();
    }
    owners
}

fn orphans(loads: &[f64], is_orphan: impl Fn(usize) -> bool) -> Vec<UnassignedSlice> {
    let all = loads.iter().enumerate();
    all.filter(|(n, _)| is_orphan(*n))
        .map(|(n, load)| UnassignedSlice {
            slice: SliceNo(n as u64),
            load: *load,
        })
        .collect()
}

fn sums(loads: &[f64], owners: &[usize], upstreams: usize) -> Vec<f64> {
    let mut sums = vec![0.0; upstreams];
    for (load, owner) in loads.iter().zip(owners) {
        sums[*owner] += load;
    }
    sums
}

fn lose(seed: u64, case: &Case, policy: &'static str, loads: &[f64], owners: &[usize]) -> LossLine {
    let upstreams = case.lost.len();
    let before = sums(loads, owners, upstreams);
    let alive = |sums: &[f64]| -> Vec<f64> {
        let all = sums.iter().zip(&case.lost);
        all.filter(|(_, lost)| !**lost).map(|(s, _)| *s).collect()
    };
    let mut times = Vec::new();
    let mut after = Vec::new();
    for _ in 0..RUNS {
        let start = Instant::now();
        after = place(case, policy, loads, owners, &before);
        times.push(start.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    let orphan = |slice: usize| case.lost[owners[slice]];
    let mut takers = vec![false; upstreams];
    (0..loads.len())
        .filter(|slice| orphan(*slice))
        .for_each(|slice| takers[after[slice]] = true);
    let needless = |slice: &usize| !orphan(*slice) && after[*slice] != owners[*slice];
    LossLine {
        kind: "loss",
        case: case.name,
        policy,
        seed,
        upstreams,
        slices: loads.len(),
        orphans: (0..loads.len()).filter(|s| orphan(*s)).count(),
        before_max_by_mean: imbalance(&alive(&before)).0,
        after_max_by_mean: imbalance(&alive(&sums(loads, &after, upstreams))).0,
        takers: takers.iter().filter(|t| **t).count(),
        needless_moves: (0..loads.len()).filter(needless).count(),
        decide_us: times[RUNS / 2],
    }
}

/// Returns the owner of each slice after the loss.
fn place(case: &Case, policy: &str, loads: &[f64], owners: &[usize], before: &[f64]) -> Vec<usize> {
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
            let alive: Vec<usize> = (0..upstreams).filter(|n| !case.lost[*n]).collect();
            (0..loads.len()).map(|n| alive[n % alive.len()]).collect()
        }
        _ => spread(case, policy == "spread", loads, owners, before),
    }
}

fn spread(
    case: &Case,
    loads_known: bool,
    loads: &[f64],
    owners: &[usize],
    before: &[f64],
) -> Vec<usize> {
    let mut lost = orphans(loads, |slice| case.lost[owners[slice]]);
    if !loads_known {
        let total: f64 = lost.iter().map(|orphan| orphan.load).sum();
        let mean = total / lost.len().max(1) as f64;
        for orphan in &mut lost {
            orphan.load = mean;
        }
    }
    let takers: Vec<Candidate> = candidates(case.lost.len())
        .into_iter()
        .filter(|c| !case.lost[c.key.index()])
        .map(|c| Candidate {
            load: before[c.key.index()],
            ..c
        })
        .collect();
    let mut placed: Vec<Placement> = Vec::new();
    place_unassigned(&lost, &takers, &mut placed);
    let mut after = owners.to_vec();
    for p in placed {
        after[p.slice.0 as usize] = p.to.index();
    }
    after
}
