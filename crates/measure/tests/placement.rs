//! Tests that loads are reproducible, scores are correct, and the report contains all cases.

use std::fs;
use std::path::PathBuf;

use measure::placement::compare;
use measure::policy::baseline::{BaselinePolicy, Rule};
use measure::policy::planner::{PlannerPolicy, PlannerPolicySettings};
use measure::policy::{Ownership, Policy};
use measure::score::{Scores, SeriesStats, imbalance};
use measure::workload::{Workload, WorkloadSettings};
use measure::{loss, placement, report};

fn small() -> WorkloadSettings {
    WorkloadSettings {
        upstreams: 6,
        slices: 96,
        keys: 10_000,
        utilisation: 0.2,
        seconds: 420,
        ..WorkloadSettings::default()
    }
    .limit_key_share(0.8)
}

#[test]
fn the_same_seed_gives_the_same_load() {
    let run = |seed| {
        let mut workload = Workload::new(WorkloadSettings { seed, ..small() });
        let mut batch = Vec::new();
        let mut all = Vec::new();
        for _ in 0..3 {
            workload.next_second(&mut batch);
            all.extend_from_slice(&batch);
        }
        all
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

#[test]
fn no_key_exceeds_its_part_of_a_share() {
    let cfg = small();
    let part = cfg.top_key_fraction() * f64::from(cfg.upstreams);
    assert!(part <= 0.8 && part > 0.3, "{part}");
}

#[test]
fn imbalance_is_max_by_mean_and_variation() {
    struct Case {
        work: &'static [f64],
        max_by_mean: f64,
        variation: f64,
    }
    let cases = [
        Case {
            work: &[1.0, 1.0, 1.0],
            max_by_mean: 1.0,
            variation: 0.0,
        },
        Case {
            work: &[0.0, 2.0],
            max_by_mean: 2.0,
            variation: 1.0,
        },
        Case {
            work: &[0.0, 0.0],
            max_by_mean: 1.0,
            variation: 0.0,
        },
    ];
    for case in cases {
        let (max_by_mean, variation) = imbalance(case.work);
        assert!((max_by_mean - case.max_by_mean).abs() < 1e-9);
        assert!((variation - case.variation).abs() < 1e-9);
    }
    assert!((SeriesStats::of(&[1.0, 3.0]).mean - 2.0).abs() < 1e-9);
}

#[test]
fn a_shift_that_never_settles_counts_in_full() {
    let mut scores = Scores::new(2, 1.25);
    for second in 0..40 {
        if second == 10 || second == 30 {
            scores.record_shift(second);
        }
        scores.add_work(0, if second < 30 { 300 } else { 100 });
        scores.add_work(1, 100);
        scores.end_second(second, true);
    }
    let settled = scores.settling_stats();
    assert!((settled.max - 20.0).abs() < 1e-9, "{settled:?}");
    assert!(settled.p50 <= 20.0);
}

#[test]
fn churn_counts_every_change_of_owner() {
    let mut ownership = Ownership::new(vec![0, 1, 0, 1], 400);
    let slice = |n| ids::SliceNo(n);
    ownership.assign(slice(0), 0);
    assert_eq!(ownership.churn().moves(), 0);
    ownership.assign(slice(0), 1);
    let key = ids::KeyHash::of(b"key");
    let base = key.slice(4);
    let owner = ownership.owner(base).expect("an owner");
    ownership.carve(key, base, 1 - owner);
    assert_eq!(ownership.locate(key, base), (key.hot_slice(), 1 - owner));
    ownership.fold(key.hot_slice());
    assert_eq!(ownership.locate(key, base), (base, owner));
    let churn = ownership.churn();
    assert_eq!((churn.slice_moves, churn.key_moves), (1, 2));
    assert!((churn.keys - 102.0).abs() < 1e-9);
}

#[test]
fn the_planner_balances_what_plain_hashing_does_not() {
    let cfg = small();
    let plain = BaselinePolicy::new(
        "plain",
        Rule::Static,
        cfg.upstreams,
        placement::initial_ownership(&cfg),
    );
    let settings = PlannerPolicySettings {
        hosts: 3,
        ..PlannerPolicySettings::default()
    };
    let planned = PlannerPolicy::new(
        settings,
        cfg.upstreams,
        cfg.slots,
        placement::initial_ownership(&cfg),
    );
    let policies: Vec<Box<dyn Policy>> = vec![Box::new(plain), Box::new(planned)];
    let lines = compare(&cfg, policies);
    let [plain, planned] = lines.as_slice() else {
        panic!("a line for each policy");
    };
    assert_eq!(plain.churn.moves(), 0);
    assert!(planned.churn.moves() > 0);
    let (before, after) = (plain.variation.mean, planned.variation.mean);
    assert!(after < before, "{after} against {before}");
}

#[test]
fn unassigned_slices_are_spread_over_the_others() {
    for line in loss::measure(1, 20, 1024) {
        if line.policy == "spread" {
            assert!(line.after_max_by_mean < 1.05, "{line:?}");
            assert_eq!(line.needless_moves, 0);
        }
    }
}

#[test]
fn a_page_compares_two_sets() {
    let dir = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| -> PathBuf {
        let path = dir.path().join(name);
        fs::write(&path, text).expect("a file");
        path
    };
    let line = |value: u32| {
        format!("{{\"kind\":\"loss\",\"case\":\"one\",\"upstreams\":20,\"takers\":{value}}}\n\n")
    };
    let before = write("before.jsonl", &line(10));
    let after = write("after.jsonl", &line(15));
    let out = dir.path().join("report.html");
    report::run(&[before.clone(), after], &out).expect("a page");
    let page = fs::read_to_string(&out).expect("the page");
    for part in ["<svg", "one, 20 upstreams", "takers", "<td>1.50</td>"] {
        assert!(page.contains(part), "{part}");
    }
    let bad = write("bad.jsonl", "{}\nnot json\n");
    let error = report::run(&[before, bad], &out).expect_err("no JSON");
    assert!(format!("{error:#}").contains("line 2"), "{error:#}");
}
