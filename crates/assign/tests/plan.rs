//! Which ranges move under which load.

use assign::{
    FencingToken, HostIncarnation, KeyLoads, KeyRange, Partition, PartitionRow, PlannedUpstream,
    Planner,
};
use ids::{HostId, Incarnation, Timestamp, UpstreamId};
use std::collections::HashMap;
use std::time::Duration;

/// Most bytes of a row in the store.
const ROW_BYTES: usize = 65_536;

fn id(i: usize) -> UpstreamId {
    UpstreamId::new(format!("u{i}")).expect("a valid name")
}

fn row(owners: usize) -> PartitionRow {
    let incarnation = HostIncarnation {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(1),
    };
    let owners: Vec<_> = (0..owners).map(id).collect();
    PartitionRow::split_evenly(incarnation, Partition::WHOLE, &owners)
}

fn planned_upstreams(services: &[f64]) -> Vec<PlannedUpstream> {
    let upstream = |(i, &service_time): (usize, &f64)| PlannedUpstream {
        id: id(i),
        slots: 4,
        service_time,
        is_observed: true,
        max_ranges: None,
    };
    services.iter().enumerate().map(upstream).collect()
}

/// Loads of `even` requests a second over all keys, and `hot` over a stretch of 200 keys.
fn loads(even: u32, hot: u32) -> KeyLoads {
    steady(even, |i| 20_000 + (i % 200) as u16, hot)
}

/// Loads of `even` requests a second over all keys, and `hot` on the keys of `hot_key`, after 20 s.
fn steady(even: u32, hot_key: impl Fn(u32) -> u16, hot: u32) -> KeyLoads {
    let begin = Timestamp::from_millis(1);
    let mut loads = KeyLoads::new(begin);
    let (mut evens, mut hots) = (0, 0);
    for step in 1..=40 {
        while evens < even * step / 2 {
            loads.add((u64::from(evens) * 15_013 % 65_536) as u16, 1);
            evens += 1;
        }
        while hots < hot * step / 2 {
            loads.add(hot_key(hots), 1);
            hots += 1;
        }
        loads.sum_up(begin + Duration::from_millis(500) * step);
    }
    loads
}

fn utilizations(
    row: &PartitionRow,
    loads: &KeyLoads,
    ups: &[PlannedUpstream],
) -> HashMap<UpstreamId, f64> {
    let mut utilizations: HashMap<UpstreamId, f64> =
        ups.iter().map(|u| (u.id.clone(), 0.0)).collect();
    for range in &row.ranges {
        if let Some(utilization) = utilizations.get_mut(&range.owner) {
            let up = ups.iter().find(|u| u.id == range.owner).expect("listed");
            *utilization += loads.rate(range.range) * up.service_time / f64::from(up.slots);
        }
    }
    utilizations
}

/// Plans until no range moves any more, and applies each plan at once; returns the number of plans.
fn settle(row: &mut PartitionRow, loads: &KeyLoads, ups: &[PlannedUpstream]) -> usize {
    let planner = Planner::default();
    for plans in 0..60 {
        let moves = planner.balance(row, loads, ups);
        if moves.is_empty() {
            return plans;
        }
        let token = row.highest_token.next();
        for m in moves {
            row.reassign(m.range, &m.from, &m.to, token);
        }
        for range in &mut row.ranges {
            range.previous_owners.clear();
        }
        row.check().expect("a valid row");
    }
    panic!("the plan does not settle");
}

struct Case {
    name: &'static str,
    services: &'static [f64],
    owners: usize,
    even: u32,
    hot: u32,
    /// Highest utilization of an upstream, as a multiple of the mean, after the last move.
    highest: f64,
    /// Most plans until then.
    plans: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "even load stays",
        services: &[0.1; 8],
        owners: 8,
        even: 200,
        hot: 0,
        highest: 1.35,
        plans: 0,
    },
    Case {
        name: "a stretch of hot keys is divided",
        services: &[0.1; 8],
        owners: 8,
        even: 120,
        hot: 100,
        highest: 1.5,
        plans: 12,
    },
    Case {
        name: "slow upstreams get less",
        services: &[0.07, 0.07, 0.16, 0.07, 0.07, 0.16],
        owners: 6,
        even: 200,
        hot: 0,
        highest: 1.5,
        plans: 12,
    },
    Case {
        name: "upstreams that join get keys",
        services: &[0.1; 8],
        owners: 5,
        even: 200,
        hot: 0,
        highest: 1.5,
        plans: 12,
    },
    Case {
        name: "upstreams whose keys get no requests are no reason to move",
        services: &[0.01; 8],
        owners: 8,
        even: 0,
        hot: 20,
        highest: 8.0,
        plans: 0,
    },
    Case {
        name: "an idle entry stays as it is",
        services: &[0.01; 8],
        owners: 8,
        even: 20,
        hot: 20,
        highest: 8.0,
        plans: 0,
    },
];

#[test]
fn load_is_spread_by_speed_and_settles() {
    for case in CASES {
        let ups = planned_upstreams(case.services);
        let mut row = row(case.owners);
        let loads = loads(case.even, case.hot);
        let plans = settle(&mut row, &loads, &ups);
        assert!(plans <= case.plans, "{}: {plans} plans", case.name);
        let utilizations = utilizations(&row, &loads, &ups);
        let mean = utilizations.values().sum::<f64>() / utilizations.len() as f64;
        let highest = utilizations.values().fold(0.0_f64, |a, &b| a.max(b));
        assert!(
            highest <= mean * case.highest,
            "{}: {:.2} of {mean:.2}",
            case.name,
            highest
        );
    }
}

#[test]
fn keys_of_a_withdrawn_upstream_are_spread_over_several() {
    let mut row = row(6);
    let loads = loads(200, 0);
    let ups: Vec<_> = planned_upstreams(&[0.1; 6])
        .into_iter()
        .filter(|u| u.id != id(2))
        .collect();
    let moves = Planner::default().evacuate(&row, &loads, &ups);
    let destinations: std::collections::HashSet<_> = moves.iter().map(|m| m.to.clone()).collect();
    assert_eq!(destinations.len(), 5);
    for m in moves {
        row.reassign(m.range, &m.from, &m.to, FencingToken(2));
    }
    row.check().expect("a valid row");
    assert!(row.ranges.iter().all(|p| p.owner != id(2)));
    let given = row.ranges.iter().filter(|p| !p.previous_owners.is_empty());
    assert!(
        given
            .clone()
            .all(|p| p.previous_owners == [id(2)] && p.token == FencingToken(2))
    );
    assert!(given.count() >= 5);
}

#[test]
fn reassigning_keys_splits_their_range() {
    let mut row = row(2);
    let range = KeyRange {
        first: 100,
        last: 199,
    };
    row.reassign(range, &id(0), &id(1), FencingToken(2));
    row.check().expect("a valid row");
    let owners: Vec<_> = row
        .ranges
        .iter()
        .map(|p| (p.range.first, p.owner.as_str()))
        .collect();
    assert_eq!(
        owners,
        [(0, "u0"), (100, "u1"), (200, "u0"), (32_768, "u1")]
    );
    let decoded = PartitionRow::decode(&row.encode()).expect("it decodes");
    assert_eq!(decoded, row);
}

/// Guards against an upstream that is overloaded by renewals: those of many small ranges alone
/// could exceed the rate limit that it announces.
#[test]
fn an_upstream_with_a_range_limit_gives_its_least_busy_ranges_away() {
    let mut row = row(4);
    for i in 0..6_u16 {
        let first = 20_000 + i * 1_000;
        let last = first + 99;
        row.reassign(KeyRange { first, last }, &id(1), &id(0), FencingToken(2));
    }
    // All of these moves have ended.
    for range in &mut row.ranges {
        range.previous_owners.clear();
    }
    let mut ups = planned_upstreams(&[0.1; 4]);
    ups[0].max_ranges = Some(2);
    let ranges = |row: &PartitionRow| row.ranges.iter().filter(|p| p.owner == id(0)).count();
    assert_eq!(ranges(&row), 7);
    let loads = loads(40, 0);
    let moves = Planner::default().balance(&row, &loads, &ups);
    for m in &moves {
        assert_ne!(m.to, id(0));
        row.reassign(m.range, &m.from, &m.to, FencingToken(3));
    }
    assert_eq!(ranges(&row), 2, "{moves:?}");
    row.check().expect("a valid row");
}

#[test]
fn inconsistent_rows_are_refused() {
    let good = row(3);
    let mut gap = good.clone();
    gap.ranges.remove(1);
    let mut token = good.clone();
    token.ranges[0].token = FencingToken(9);
    let mut early = good.clone();
    early.ranges.pop();
    for bad in [gap, token, early] {
        bad.check().expect_err("an inconsistent row");
    }
    PartitionRow::decode(&good.encode()).expect("a valid row");
}

#[test]
fn inconsistent_encoded_rows_are_refused() {
    let cases = [
        ("two ranges", "[[9,0,1,[]],[65535,1,1,[0]]]", true),
        ("backwards", "[[9,0,1,[]],[9,1,1,[]],[65535,1,1,[]]]", false),
        ("after the last key", "[[65535,0,1,[]],[9,1,1,[]]]", false),
        ("an early end", "[[9,0,1,[]],[65534,1,1,[]]]", false),
        ("no range", "[]", false),
        ("a key too high", "[[65536,0,1,[]]]", false),
        (
            "a fencing token that was not issued",
            "[[9,0,1,[]],[65535,1,8,[]]]",
            false,
        ),
        (
            "an owner that is not listed",
            "[[9,2,1,[]],[65535,1,1,[]]]",
            false,
        ),
        (
            "a previous owner that is not listed",
            "[[9,0,1,[2]],[65535,1,1,[]]]",
            false,
        ),
        ("a field too few", "[[9,0,1],[65535,1,1,[]]]", false),
    ];
    for (name, ranges, is_valid) in cases {
        let text = format!(
            "{{\"granter\":{{\"host\":\"h\",\"incarnation\":1}},\"fence\":7,\
             \"upstreams\":[\"u0\",\"u1\"],\"pieces\":{ranges}}}"
        );
        let decoded = PartitionRow::decode(text.as_bytes());
        assert_eq!(decoded.is_ok(), is_valid, "{name}: {decoded:?}");
    }
    PartitionRow::decode(b"{}").expect_err("no row");
}

/// A key that is too hot for any upstream goes to the fastest one, which keeps few other keys.
#[test]
fn a_single_hot_key_gets_the_fastest_upstream() {
    let services = [0.16, 0.16, 0.07, 0.16, 0.16, 0.16];
    let ups = planned_upstreams(&services);
    for owner_at_first in 0..services.len() {
        let mut row = row(services.len());
        let hot = row.ranges[owner_at_first].range.first + 500;
        let loads = steady(60, |_| hot, 50);
        let plans = settle(&mut row, &loads, &ups);
        assert!(plans <= 12, "{plans} plans");
        let range = row
            .ranges
            .iter()
            .find(|p| p.range.contains(hot))
            .expect("a range");
        assert_eq!(range.owner, id(2), "started at {owner_at_first}");
        let beside: f64 = row
            .ranges
            .iter()
            .filter(|p| p.owner == id(2))
            .map(|p| loads.rate(p.range))
            .sum::<f64>()
            - 50.0;
        assert!(
            beside < 6.0,
            "{beside} requests a second besides the hot key"
        );
    }
}

/// Half of many upstreams are replaced one after the other under load.
#[test]
fn a_wave_of_replacements_keeps_the_row_small() {
    let all = 216;
    let mut row = row(all);
    // Six tenths of all slots are busy, which is above the utilization below which upstreams give
    // nothing away.
    let loads = loads(4_600, 600);
    let mut ups = planned_upstreams(&vec![0.1; all]);
    let planner = Planner::default();
    for replaced in 0..all / 2 {
        ups[replaced].id = id(1_000 + replaced);
        for _ in 0..4 {
            let mut moves = planner.evacuate(&row, &loads, &ups);
            if moves.is_empty() {
                moves = planner.balance(&row, &loads, &ups);
            }
            let token = row.highest_token.next();
            for m in moves {
                row.reassign(m.range, &m.from, &m.to, token);
            }
            let bytes = row.encode().len();
            assert!(bytes <= ROW_BYTES, "{bytes} bytes after {replaced}");
            row.ranges
                .iter_mut()
                .for_each(|p| p.previous_owners.clear());
            row.merge_adjacent();
            row.check().expect("a valid row");
        }
    }
    settle(&mut row, &loads, &ups);
    assert!(row.ranges.len() <= 5 * all, "{} ranges", row.ranges.len());
    let utilizations = utilizations(&row, &loads, &ups);
    let mean = utilizations.values().sum::<f64>() / utilizations.len() as f64;
    let highest = utilizations.values().fold(0.0_f64, |a, &b| a.max(b));
    assert!(highest <= mean * 2.0, "{highest:.2} of {mean:.2}");
}

/// A merged range keeps the higher fencing token, and ranges that are still moving are not merged.
#[test]
fn adjacent_ranges_of_one_owner_are_merged() {
    let mut row = row(2);
    let range = |first, last| KeyRange { first, last };
    row.reassign(range(100, 199), &id(0), &id(1), FencingToken(2));
    row.reassign(range(100, 199), &id(1), &id(0), FencingToken(3));
    let apart = row.clone();
    row.merge_adjacent();
    assert_eq!(row, apart, "a previous owner may still hold keys");
    row.ranges
        .iter_mut()
        .for_each(|p| p.previous_owners.clear());
    row.merge_adjacent();
    row.check().expect("a valid row");
    let ranges: Vec<_> = row.ranges.iter().map(|p| (p.range, p.token)).collect();
    assert_eq!(
        ranges,
        [
            (range(0, 32_767), FencingToken(3)),
            (range(32_768, u16::MAX), FencingToken(1))
        ]
    );
}

/// Among many upstreams each has little headroom, so that a hot stretch has to be split into many
/// parts.
#[test]
fn a_hot_stretch_is_divided_soon_among_many() {
    let all = 216;
    let mut row = row(all);
    let loads = loads(4_600, 600);
    let ups = planned_upstreams(&vec![0.1; all]);
    let plans = settle(&mut row, &loads, &ups);
    assert!(plans <= 12, "{plans} plans");
    let utilizations = utilizations(&row, &loads, &ups);
    let mean = utilizations.values().sum::<f64>() / utilizations.len() as f64;
    let highest = utilizations.values().fold(0.0_f64, |a, &b| a.max(b));
    assert!(highest <= mean * 1.5, "{highest:.2} of {mean:.2}");
    assert!(row.ranges.len() <= 2 * all, "{} ranges", row.ranges.len());
}

/// Requests of a test: keys, from the first to the last.
type KeySequence = fn(u32) -> u16;

struct JoinCase {
    name: &'static str,
    /// Keys that are requested before the upstreams join and not any more afterwards, and how often.
    before: (&'static [u16], u32),
    /// Key of the `n`-th request after that.
    key: KeySequence,
    /// Time between two requests.
    every: Duration,
}

/// Time in which upstreams that joined get requests at all.
const FIRST_REQUEST_WITHIN: Duration = Duration::from_secs(15);

/// Returns when each of two upstreams that join three others gets its first request.
fn first_requests(case: &JoinCase) -> [Option<Duration>; 2] {
    let planner = Planner::default();
    let mut row = row(3);
    let begin = Timestamp::from_millis(1);
    let mut loads = KeyLoads::new(begin);
    for &key in case.before.0 {
        loads.add(key, case.before.1);
    }
    let mut first = [None; 2];
    let mut requests = 0;
    let plan_every = Duration::from_millis(500);
    for plan in 1..=40 {
        let now = begin + plan_every * plan;
        while case.every * requests < plan_every * plan {
            let key = (case.key)(requests);
            loads.add(key, 1);
            requests += 1;
            let owner = row.ranges.iter().find(|r| r.range.contains(key));
            let owner = &owner.expect("all keys have owners").owner;
            for (i, first) in first.iter_mut().enumerate() {
                if *owner == id(3 + i) {
                    first.get_or_insert(case.every * requests);
                }
            }
        }
        loads.sum_up(now);
        let mut ups = planned_upstreams(&[0.02; 5]);
        for (up, first) in ups[3..].iter_mut().zip(&first) {
            up.is_observed = first.is_some();
        }
        let token = row.highest_token.next();
        for m in planner.balance(&row, &loads, &ups) {
            row.reassign(m.range, &m.from, &m.to, token);
        }
        for range in &mut row.ranges {
            range.previous_owners.clear();
        }
        row.merge_adjacent();
    }
    first
}

/// Guards against upstreams that join and get no requests: the keys that they were given had been
/// requested before and were not requested any more.
#[test]
fn upstreams_that_join_get_requests_if_the_keys_requested_last_are_not_requested_again() {
    let cases = [
        JoinCase {
            name: "two keys, then all from the lowest to the highest",
            before: (&[1_000, 30_000], 4),
            key: |n| ((n + 1) * 997 % 65_536) as u16,
            every: Duration::from_millis(47),
        },
        JoinCase {
            name: "three keys, then all in no order",
            before: (&[1_000, 30_000, 60_000], 20),
            key: |n| (n * 15_013 % 65_536) as u16,
            every: Duration::from_millis(200),
        },
        JoinCase {
            name: "three keys, then all from the highest to the lowest",
            before: (&[1_000, 30_000, 60_000], 20),
            key: |n| 65_535 - (n * 997 % 65_536) as u16,
            every: Duration::from_millis(100),
        },
    ];
    for case in &cases {
        let first = first_requests(case);
        let in_time = |t: &Option<Duration>| t.is_some_and(|t| t <= FIRST_REQUEST_WITHIN);
        assert!(first.iter().all(in_time), "{}: {first:?}", case.name);
    }
}
