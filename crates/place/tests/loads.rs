//! Loads, reports, the sketch, and the placement of unassigned slices.

mod support;

use std::time::Duration;

use ids::{ArenaKey, KeyHash, SliceNo, Timestamp};
use place::{
    Candidate, Decay, LoadConfidence, Loads, LoadsSettings, ReportStats, Sample, Sketch,
    SketchSettings, UnassignedSlice, UpstreamKey, UpstreamState, even_split, place_unassigned,
    rendezvous_bounded, warm_up_fraction,
};
use proptest::prelude::*;
use support::view;

fn candidate(n: usize, capacity: f64, load: f64) -> Candidate {
    Candidate {
        key: UpstreamKey::from_index(n),
        name_hash: n as u64 * 7919,
        capacity,
        load,
    }
}

#[test]
fn a_steady_rate_is_observed_over_any_time() {
    let mut loads = Loads::new(LoadsSettings::default());
    let key = loads.set_upstream(Timestamp::ZERO, view(0, UpstreamState::Active));
    loads.assign(Timestamp::ZERO, SliceNo(1), key, 0.0);
    for tenth in 0..20_000_u64 {
        let sample = Sample {
            key: KeyHash(1),
            slice: SliceNo(1),
            work_us: 50_000,
        };
        loads.record(Timestamp::from_millis(tenth * 100), sample);
    }
    let load = loads.load(Timestamp::from_millis(2_000_000), key);
    assert!((load - 0.5).abs() < 0.02, "{load} busy slots");
    assert_eq!(loads.verify(), Vec::<String>::new());
}

#[test]
fn a_move_to_another_host_counts_until_its_summary_shows_it() {
    let mut loads = Loads::new(LoadsSettings::default());
    let local = loads.set_upstream(Timestamp::ZERO, view(0, UpstreamState::Active));
    let mut remote = view(1, UpstreamState::Active);
    remote.local = false;
    let remote = loads.set_upstream(Timestamp::ZERO, remote);
    loads.assign(Timestamp::ZERO, SliceNo(1), local, 2.0);
    loads.record_remote(Timestamp::ZERO, remote, 1.0);
    loads.assign(Timestamp::ZERO, SliceNo(1), remote, 0.0);
    let at = Timestamp::from_millis;
    assert!((loads.load(at(0), remote) - 3.0).abs() < 1e-9);
    loads.record_remote(at(1000), remote, 1.0);
    assert!((loads.load(at(1000), remote) - 3.0).abs() < 1e-9);
    loads.record_remote(at(3000), remote, 3.1);
    assert!((loads.load(at(3000), remote) - 3.1).abs() < 1e-9);
    assert_eq!(loads.owner(SliceNo(1)), None);
    assert_eq!(loads.confidence(at(4000), local), LoadConfidence::Fresh);
    assert_eq!(loads.confidence(at(4000), remote), LoadConfidence::Fresh);
    assert_eq!(loads.confidence(at(60_000), remote), LoadConfidence::Stale);
}

#[test]
fn a_key_carved_out_takes_its_load_along() {
    let mut loads = Loads::new(LoadsSettings::default());
    let owner = loads.set_upstream(Timestamp::ZERO, view(0, UpstreamState::Active));
    let key = KeyHash::of(b"hot");
    let base = key.slice(8);
    loads.assign(Timestamp::ZERO, base, owner, 0.0);
    let sample = Sample {
        key,
        slice: base,
        work_us: 600_000,
    };
    let now = Timestamp::from_millis(1);
    loads.record(now, sample);
    loads.assign(now, key.hot_slice(), owner, 0.0);
    let mut hot = Vec::new();
    loads.hot_keys(now, 0.0, &mut hot);
    assert!(hot.is_empty(), "the key is still reported as hot");
    assert!(loads.slice_load(now, base) < 1e-9);
    assert!((loads.slice_load(now, key.hot_slice()) - 0.2).abs() < 1e-9);
    assert_eq!(loads.verify(), Vec::<String>::new());
}

#[test]
fn reports_count_as_far_as_they_correlate_with_the_observed_load() {
    struct Case {
        name: &'static str,
        report: fn(f64) -> f64,
        counted: bool,
    }
    let cases = [
        Case {
            name: "honest, with one slot more than observed",
            report: |load| load + 1.0,
            counted: true,
        },
        Case {
            name: "frozen",
            report: |_| 3.0,
            counted: false,
        },
        Case {
            name: "inverted",
            report: |load| 4.0 - load,
            counted: false,
        },
    ];
    for case in cases {
        let mut reports = ReportStats::default();
        for second in 0..60_u64 {
            let observed = 1.0 + (second % 7) as f64 / 4.0;
            let now = Timestamp::from_millis(second * 1000);
            reports.record(now, (case.report)(observed), observed);
        }
        let extra = reports.extra_load(4.0);
        assert_eq!(extra > 0.5, case.counted, "{}: {extra}", case.name);
        assert!(
            extra <= 1.0,
            "{}: more than a quarter of the slots",
            case.name
        );
    }
}

#[test]
fn upstreams_ramp_up() {
    let duration = Duration::from_secs(30);
    for (age, share) in [(0, 0.1), (15, 0.5), (30, 1.0), (300, 1.0)] {
        let got = warm_up_fraction(Duration::from_secs(age), duration);
        assert!((got - share).abs() < 1e-9, "{got} at {age} s");
    }
}

#[test]
fn the_first_placement_is_even_and_stays_when_others_come() {
    let upstreams: Vec<Candidate> = (0..7).map(|n| candidate(n, 4.0, 0.0)).collect();
    let owners = even_split(700, &upstreams);
    for n in 0..7 {
        let key = UpstreamKey::from_index(n);
        assert_eq!(owners.iter().filter(|o| **o == key).count(), 100);
    }
    assert!(even_split(10, &[candidate(0, 0.0, 0.0)]).is_empty());
    let slices: Vec<UnassignedSlice> = (0..700)
        .map(|n| UnassignedSlice {
            slice: SliceNo(n),
            load: 1.0,
        })
        .collect();
    let before = rendezvous_bounded(&slices, &upstreams[..6], 10.0);
    let after = rendezvous_bounded(&slices, &upstreams, 10.0);
    let newcomer = UpstreamKey::from_index(6);
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a);
    assert!(moved.clone().all(|(_, a)| *a == newcomer));
    assert!((50..150).contains(&moved.count()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn unassigned_slices_go_to_spare_capacity(
        loads in proptest::collection::vec(0.0..1.0_f64, 1..200),
        others in proptest::collection::vec((0.0..8.0_f64, 0.0..4.0_f64), 1..20),
        rotation in 0..20_usize,
    ) {
        let unassigned: Vec<UnassignedSlice> = loads
            .iter()
            .enumerate()
            .map(|(n, load)| UnassignedSlice { slice: SliceNo(n as u64), load: *load })
            .collect();
        let mut upstreams: Vec<Candidate> = others
            .iter()
            .enumerate()
            .map(|(n, (capacity, load))| candidate(n, *capacity, *load))
            .collect();
        upstreams.push(candidate(others.len(), 0.0, 0.0));
        let mut placed = Vec::new();
        place_unassigned(&unassigned, &upstreams, &mut placed);
        let any_capacity = others.iter().any(|(capacity, _)| *capacity > 0.0);
        prop_assert_eq!(placed.len(), if any_capacity { unassigned.len() } else { 0 });
        let without_capacity = UpstreamKey::from_index(others.len());
        prop_assert!(placed.iter().all(|p| p.to != without_capacity), "a slice on an upstream without capacity");
        let mid = rotation % upstreams.len();
        upstreams.rotate_left(mid);
        let mut again = Vec::new();
        place_unassigned(&unassigned, &upstreams, &mut again);
        prop_assert_eq!(placed, again, "the result depends on the order of upstreams");
    }

    #[test]
    fn the_sketch_holds_every_heavy_key(seed in any::<u64>(), heavy in 1..8_u64) {
        let mut sketch = Sketch::new(SketchSettings { capacity: 32, ..SketchSettings::default() });
        let now = Timestamp::from_millis(1);
        for n in 0..4000_u64 {
            let key = if n % 2 == 0 { n / 2 % heavy } else { 1000 + (seed ^ n) % 100_000 };
            sketch.record(now, Sample { key: KeyHash(key), slice: SliceNo(0), work_us: 1000 });
        }
        prop_assert!(sketch.len() < 64);
        let mut hot = Vec::new();
        sketch.hot_keys(now, 0.0, &mut hot);
        let decay = Decay::new(SketchSettings::default().time_constant);
        for key in 0..heavy {
            let found = hot.iter().find(|h| h.key == KeyHash(key));
            let requests = (2000 - key).div_ceil(heavy) as f64;
            let true_load = decay.rate(now, decay.weight(now) * requests / 1000.0);
            let load = found.map_or(0.0, |h| h.load);
            prop_assert!(load <= true_load * 1.001 && load > true_load * 0.8, "{load} {true_load}");
        }
    }
}
