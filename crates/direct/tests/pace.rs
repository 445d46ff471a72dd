//! Speed of an upstream: lasting differences, slow moments, changes and reports.

use std::time::Duration;

use direct::{Pace, PaceReport, PaceSettings};
use ids::Timestamp;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 20;

fn at(ms: f64) -> Timestamp {
    Timestamp::from_micros(10_000_000 + (ms * 1e3) as u64)
}

/// Requests at an upstream.
#[derive(Debug)]
struct Case {
    service_ms: f64,
    per_s: f64,
    /// Fraction of the mean by which service times differ from it.
    jitter: f64,
}

const fn case(service_ms: f64, per_s: f64, jitter: f64) -> Case {
    Case {
        service_ms,
        per_s,
        jitter,
    }
}

const CASES: [Case; 5] = [
    case(40.0, 5.0, 0.2),
    case(40.0, 50.0, 0.2),
    case(20.0, 500.0, 0.2),
    case(160.0, 5.0, 0.5),
    case(500.0, 8.0, 0.8),
];

/// A request and its answer; times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Answer {
    sent: f64,
    answered: f64,
    service_time: f64,
}

/// Returns the answers to requests that are sent until `until`, in the order of the answers;
/// `factor` gives the factor on the service time of a request by the time at which it is sent.
fn answers(case: &Case, seed: u64, until: f64, factor: impl Fn(f64) -> f64) -> Vec<Answer> {
    let mut rng = StdRng::seed_from_u64(seed);
    let every = 1e3 / case.per_s;
    let mut answer = |i: u32| {
        let sent = every * (f64::from(i) + rng.random_range(0.0..0.5));
        let jitter = rng.random_range(1.0 - case.jitter..1.0 + case.jitter);
        let service_time = case.service_ms * jitter * factor(sent);
        Answer {
            sent,
            answered: sent + service_time,
            service_time,
        }
    };
    let mut answers: Vec<_> = (0..(until / every) as u32).map(&mut answer).collect();
    answers.sort_by(|a, b| a.answered.total_cmp(&b.answered));
    answers
}

fn pace_after(answers: &[Answer]) -> Pace {
    let mut pace = Pace::new(PaceSettings::default());
    for answer in answers {
        pace.observe(at(answer.answered), answer.service_time / 1e3);
    }
    pace
}

fn mean_after(answers: &[Answer]) -> f64 {
    pace_after(answers).mean().expect("observed") * 1e3
}

/// Guards against an estimate that is too noisy to tell upstreams apart, and against one that is
/// too steady to follow a lasting change.
#[test]
fn lasting_differences_and_changes_are_noticed() {
    for case in &CASES {
        for seed in 0..SEEDS {
            // Within 20 answers, one that is half as fast.
            let until = 20e3 / case.per_s;
            let usual = mean_after(&answers(case, seed, until, |_| 1.0));
            let slow = mean_after(&answers(case, seed + SEEDS, until, |_| 2.0));
            let between = case.service_ms * 2.0_f64.sqrt();
            let is_told = usual < between && between < slow;
            assert!(is_told, "{case:?}, seed {seed}: {usual} {slow}");
            // Within 10 s, a change.
            for (before, after) in [(1.0, 2.0), (1.0, 3.0), (1.0, 0.5), (2.0, 1.0)] {
                let factor = |ms: f64| if ms < 20_000.0 { before } else { after };
                let mean = mean_after(&answers(case, seed, 30_000.0, factor));
                let error = (mean / case.service_ms / after).ln().abs();
                assert!(error < 0.25, "{case:?}, seed {seed}, to {after}: {mean}");
            }
        }
    }
}

/// Guards against slow moments that look like a slow upstream, which would move its keys, and
/// against ones that are noticed after they have ended, or not at all.
///
/// Where times vary more than in these cases, chance alone changes the mean of some tens of answers
/// by 15 %. Requests that take as long as a slow moment can't tell of it in time.
#[test]
fn slow_moments_are_told_from_slow_upstreams() {
    let is_slow = |ms: f64| ms % 2_000.0 < 400.0;
    let factor = |ms| if is_slow(ms) { 3.0 } else { 1.0 };
    for case in CASES.iter().filter(|case| case.jitter <= 0.5) {
        for seed in 0..SEEDS {
            let usual = mean_after(&answers(case, seed, 60_000.0, |_| 1.0));
            let mut pace = Pace::new(PaceSettings::default());
            let mut slow_answers = 0;
            for answer in answers(case, seed, 60_000.0, factor) {
                let now = at(answer.answered);
                pace.observe(now, answer.service_time / 1e3);
                let context = format!("{case:?}, seed {seed}: {answer:?}");
                assert!(!pace.is_slow_now(now + Duration::from_millis(400)));
                slow_answers = if is_slow(answer.sent) {
                    slow_answers + 1
                } else {
                    0
                };
                if answer.sent < 20_000.0 {
                    continue;
                }
                let ratio = pace.mean().expect("observed") * 1e3 / usual;
                assert!((1.0..1.4 * 1.15).contains(&ratio), "{context} {ratio}");
                if slow_answers >= 2 && is_slow(answer.answered) && case.service_ms <= 40.0 {
                    assert!(pace.is_slow_now(now), "{context}");
                }
            }
        }
    }
}

/// Guards against an upstream that loses its requests because one of them took long.
#[test]
fn one_long_request_is_no_evidence() {
    for case in &CASES {
        for long_factor in [3.0, 10.0, 100.0] {
            let mut all = answers(case, 1, 20_000.0, |_| 1.0);
            let before = mean_after(&all);
            let mut long = *all.last().expect("an answer");
            long.service_time *= long_factor;
            all.push(long);
            let after = mean_after(&all);
            assert!(after < before * 1.3, "{case:?}: {before} {after}");
            assert!(!pace_after(&all).is_slow_now(at(long.answered)), "{case:?}");
        }
    }
}

/// Guards against an upstream that stays slow in the estimate for ever because it gets no requests,
/// and against one that is forgotten at once.
#[test]
fn an_estimate_ages_towards_the_mean_of_the_entry() {
    let mut pace = Pace::new(PaceSettings::default());
    (1..=30).for_each(|i| pace.observe(at(f64::from(i) * 200.0), 0.4));
    let after = |s: f64| pace.service_time(at(6_000.0 + s * 1e3), 0.1);
    assert!(after(60.0) > 0.35, "{}", after(60.0));
    assert!(after(900.0) < 0.11, "{}", after(900.0));
}

/// Guards against a host that keeps its poor estimate, and against a permit host that has just
/// started and replaces the good estimates of others.
#[test]
fn reports_are_merged_by_what_they_are_worth() {
    // Own observations of 100 ms, weight of a report of 200 ms, and the merged mean.
    for (own, weight, mean) in [
        (0, 25.0, Some(0.2)),
        (4, 25.0, Some(0.2)),
        (40, 25.0, Some(0.2)),
        (20, 2.0, Some(0.1)),
        (0, 0.0, None),
    ] {
        let mut pace = Pace::new(PaceSettings::default());
        (0..own).for_each(|i| pace.observe(at(f64::from(i) * 200.0), 0.1));
        let report = PaceReport {
            service_time: 0.2,
            spread: 0.4,
            weight,
        };
        pace.merge(at(f64::from(own) * 200.0), &report);
        let merged = pace.mean().map(|mean| (mean * 1e3).round() / 1e3);
        assert_eq!(merged, mean, "{own} observations, weight {weight}");
    }
}

proptest! {
    /// Guards against estimates that no observation supports, and against quantiles out of order.
    #[test]
    fn estimates_stay_within_the_observations(
        observed in prop::collection::vec((0_u64..3_000, 1_u64..20_000), 1..200),
        entry_ms in 1_u64..20_000,
        idle_ms in 0_u64..600_000,
    ) {
        let mut pace = Pace::new(PaceSettings::default());
        let mut now = at(0.0);
        for &(after_ms, took_ms) in &observed {
            now += Duration::from_millis(after_ms);
            pace.observe(now, took_ms as f64 / 1e3);
        }
        now += Duration::from_millis(idle_ms);
        let times = observed.iter().map(|&(_, ms)| ms as f64 / 1e3);
        let low = times.clone().fold(f64::INFINITY, f64::min) * 0.999;
        let high = times.fold(0.0, f64::max) * 1.001;
        for estimate in [pace.mean(), pace.recent_time(now)] {
            let estimate = estimate.expect("observed");
            prop_assert!((low..=high).contains(&estimate), "{} of {}..{}", estimate, low, high);
        }
        let entry = entry_ms as f64 / 1e3;
        let aged = pace.service_time(now, entry);
        prop_assert!((low.min(entry)..=high.max(entry)).contains(&aged));
        let quantile = |i: u32| pace.quantile(now, entry, f64::from(i) / 100.0);
        let quantiles: Vec<f64> = (0..=100).map(quantile).collect();
        prop_assert!(quantiles.is_sorted());
        prop_assert!(quantiles.iter().all(|q| q.is_finite() && *q > 0.0));
    }
}
