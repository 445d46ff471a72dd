//! Which ranges move under which load.

use assign::{EntryRow, Fence, KeyLoads, KeyRange, Part, Planner, Run, UpstreamView};
use ids::{HostId, Incarnation, Timestamp, UpstreamId};
use std::collections::HashMap;
use std::time::Duration;

/// Most bytes of a row in the store.
const ROW_BYTES: usize = 65_536;

fn id(i: usize) -> UpstreamId {
    UpstreamId::new(format!("u{i}")).expect("a valid name")
}

fn row(owners: usize) -> EntryRow {
    let run = Run {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(1),
    };
    let owners: Vec<_> = (0..owners).map(id).collect();
    EntryRow::even(run, Part::WHOLE, &owners)
}

fn views(services: &[f64]) -> Vec<UpstreamView> {
    let view = |(i, &service): (usize, &f64)| UpstreamView {
        id: id(i),
        slots: 4,
        service,
        most_pieces: None,
    };
    services.iter().enumerate().map(view).collect()
}

/// Loads of `even` requests a second over all keys, and `hot` over a stretch of 200 keys.
fn loads(even: u32, hot: u32) -> KeyLoads {
    steady(even, |i| 20_000 + (i % 200) as u16, hot)
}

/// Loads of `even` requests a second over all keys, and `hot` on others, after 20 s of them.
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

fn levels(row: &EntryRow, loads: &KeyLoads, ups: &[UpstreamView]) -> HashMap<UpstreamId, f64> {
    let mut levels: HashMap<UpstreamId, f64> = ups.iter().map(|u| (u.id.clone(), 0.0)).collect();
    for piece in &row.pieces {
        if let Some(level) = levels.get_mut(&piece.owner) {
            let up = ups.iter().find(|u| u.id == piece.owner).expect("listed");
            *level += loads.rate(piece.range) * up.service / f64::from(up.slots);
        }
    }
    levels
}

/// Plans until nothing moves any more, as if each plan was carried out at once.
fn settle(row: &mut EntryRow, loads: &KeyLoads, ups: &[UpstreamView]) -> usize {
    let planner = Planner::default();
    for plans in 0..60 {
        let moves = planner.balance(row, loads, ups);
        if moves.is_empty() {
            return plans;
        }
        let fence = row.fence.next();
        for m in moves {
            row.give(m.range, &m.from, &m.to, fence);
        }
        for piece in &mut row.pieces {
            piece.former.clear();
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
    /// Highest level of an upstream, as a multiple of the mean, once nothing moves.
    worst: f64,
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
        worst: 1.35,
        plans: 0,
    },
    Case {
        name: "a stretch of hot keys is divided",
        services: &[0.1; 8],
        owners: 8,
        even: 120,
        hot: 100,
        worst: 1.5,
        plans: 12,
    },
    Case {
        name: "slow upstreams get less",
        services: &[0.07, 0.07, 0.16, 0.07, 0.07, 0.16],
        owners: 6,
        even: 200,
        hot: 0,
        worst: 1.5,
        plans: 12,
    },
    Case {
        name: "upstreams that join get keys",
        services: &[0.1; 8],
        owners: 5,
        even: 200,
        hot: 0,
        worst: 1.5,
        plans: 12,
    },
    Case {
        name: "upstreams whose keys nobody asks for are no reason to move",
        services: &[0.01; 8],
        owners: 8,
        even: 0,
        hot: 20,
        worst: 8.0,
        plans: 0,
    },
    Case {
        name: "an idle entry stays as it is",
        services: &[0.01; 8],
        owners: 8,
        even: 20,
        hot: 20,
        worst: 8.0,
        plans: 0,
    },
];

#[test]
fn load_is_spread_by_speed_and_settles() {
    for case in CASES {
        let ups = views(case.services);
        let mut row = row(case.owners);
        let loads = loads(case.even, case.hot);
        let plans = settle(&mut row, &loads, &ups);
        assert!(plans <= case.plans, "{}: {plans} plans", case.name);
        let levels = levels(&row, &loads, &ups);
        let mean = levels.values().sum::<f64>() / levels.len() as f64;
        let worst = levels.values().fold(0.0_f64, |a, &b| a.max(b));
        assert!(
            worst <= mean * case.worst,
            "{}: {:.2} of {mean:.2}",
            case.name,
            worst
        );
    }
}

#[test]
fn keys_of_a_lost_upstream_are_spread_over_several() {
    let mut row = row(6);
    let loads = loads(200, 0);
    let ups: Vec<_> = views(&[0.1; 6])
        .into_iter()
        .filter(|u| u.id != id(2))
        .collect();
    let moves = Planner::default().evacuate(&row, &loads, &ups);
    let takers: std::collections::HashSet<_> = moves.iter().map(|m| m.to.clone()).collect();
    assert_eq!(takers.len(), 5);
    for m in moves {
        row.give(m.range, &m.from, &m.to, Fence(2));
    }
    row.check().expect("a valid row");
    assert!(row.pieces.iter().all(|p| p.owner != id(2)));
    let given = row.pieces.iter().filter(|p| !p.former.is_empty());
    assert!(
        given
            .clone()
            .all(|p| p.former == [id(2)] && p.fence == Fence(2))
    );
    assert!(given.count() >= 5);
}

#[test]
fn giving_a_part_splits_its_piece() {
    let mut row = row(2);
    let part = KeyRange {
        first: 100,
        last: 199,
    };
    row.give(part, &id(0), &id(1), Fence(2));
    row.check().expect("a valid row");
    let owners: Vec<_> = row
        .pieces
        .iter()
        .map(|p| (p.range.first, p.owner.as_str()))
        .collect();
    assert_eq!(
        owners,
        [(0, "u0"), (100, "u1"), (200, "u0"), (32_768, "u1")]
    );
    let decoded = EntryRow::decode(&row.encode()).expect("it decodes");
    assert_eq!(decoded, row);
}

/// Renewals of many small pieces alone would be more than what an upstream in need says it takes.
#[test]
fn an_upstream_that_should_own_few_pieces_gives_the_quiet_ones_away() {
    let mut row = row(4);
    for i in 0..6_u16 {
        let first = 20_000 + i * 1_000;
        let last = first + 99;
        row.give(KeyRange { first, last }, &id(1), &id(0), Fence(2));
    }
    // All of these moves are over.
    for piece in &mut row.pieces {
        piece.former.clear();
    }
    let mut ups = views(&[0.1; 4]);
    ups[0].most_pieces = Some(2);
    let pieces = |row: &EntryRow| row.pieces.iter().filter(|p| p.owner == id(0)).count();
    assert_eq!(pieces(&row), 7);
    let loads = loads(40, 0);
    let moves = Planner::default().balance(&row, &loads, &ups);
    for m in &moves {
        assert_ne!(m.to, id(0));
        row.give(m.range, &m.from, &m.to, Fence(3));
    }
    assert_eq!(pieces(&row), 2, "{moves:?}");
    row.check().expect("a valid row");
}

#[test]
fn rows_that_break_their_rules_are_refused() {
    let good = row(3);
    let mut gap = good.clone();
    gap.pieces.remove(1);
    let mut fence = good.clone();
    fence.pieces[0].fence = Fence(9);
    let mut early = good.clone();
    early.pieces.pop();
    for bad in [gap, fence, early] {
        bad.check().expect_err("a broken rule");
    }
    EntryRow::decode(&good.encode()).expect("a valid row");
}

#[test]
fn written_rows_that_break_their_rules_are_refused() {
    let cases = [
        ("two pieces", "[[9,0,1,[]],[65535,1,1,[0]]]", true),
        ("backwards", "[[9,0,1,[]],[9,1,1,[]],[65535,1,1,[]]]", false),
        ("behind the last key", "[[65535,0,1,[]],[9,1,1,[]]]", false),
        ("an early end", "[[9,0,1,[]],[65534,1,1,[]]]", false),
        ("no piece", "[]", false),
        ("a key too high", "[[65536,0,1,[]]]", false),
        (
            "a fence that was not given out",
            "[[9,0,1,[]],[65535,1,8,[]]]",
            false,
        ),
        (
            "an owner that is not listed",
            "[[9,2,1,[]],[65535,1,1,[]]]",
            false,
        ),
        (
            "a former owner that is not listed",
            "[[9,0,1,[2]],[65535,1,1,[]]]",
            false,
        ),
        ("a field too few", "[[9,0,1],[65535,1,1,[]]]", false),
    ];
    for (name, pieces, is_valid) in cases {
        let text = format!(
            "{{\"granter\":{{\"host\":\"h\",\"incarnation\":1}},\"fence\":7,\
             \"upstreams\":[\"u0\",\"u1\"],\"pieces\":{pieces}}}"
        );
        let decoded = EntryRow::decode(text.as_bytes());
        assert_eq!(decoded.is_ok(), is_valid, "{name}: {decoded:?}");
    }
    EntryRow::decode(b"{}").expect_err("no row");
}

/// A key that is too hot for any upstream gets the fastest one, nearly for itself.
#[test]
fn a_single_hot_key_gets_the_fastest_upstream() {
    let services = [0.16, 0.16, 0.07, 0.16, 0.16, 0.16];
    let ups = views(&services);
    for owner_at_first in 0..services.len() {
        let mut row = row(services.len());
        let hot = row.pieces[owner_at_first].range.first + 500;
        let loads = steady(60, |_| hot, 50);
        let plans = settle(&mut row, &loads, &ups);
        assert!(plans <= 12, "{plans} plans");
        let piece = row
            .pieces
            .iter()
            .find(|p| p.range.contains(hot))
            .expect("a piece");
        assert_eq!(piece.owner, id(2), "begun at {owner_at_first}");
        let beside: f64 = row
            .pieces
            .iter()
            .filter(|p| p.owner == id(2))
            .map(|p| loads.rate(p.range))
            .sum::<f64>()
            - 50.0;
        assert!(
            beside < 6.0,
            "{beside} requests a second beside the hot key"
        );
    }
}

/// Half of many upstreams are replaced, one after the other, each while load goes on.
#[test]
fn a_wave_of_replacements_keeps_the_row_small() {
    let all = 216;
    let mut row = row(all);
    // Six tenths of all slots are busy: above the level at which upstreams have room anyway.
    let loads = loads(4_600, 600);
    let mut ups = views(&vec![0.1; all]);
    let planner = Planner::default();
    for replaced in 0..all / 2 {
        ups[replaced].id = id(1_000 + replaced);
        for _ in 0..4 {
            let mut moves = planner.evacuate(&row, &loads, &ups);
            if moves.is_empty() {
                moves = planner.balance(&row, &loads, &ups);
            }
            let fence = row.fence.next();
            for m in moves {
                row.give(m.range, &m.from, &m.to, fence);
            }
            let bytes = row.encode().len();
            assert!(bytes <= ROW_BYTES, "{bytes} bytes after {replaced}");
            row.pieces.iter_mut().for_each(|p| p.former.clear());
            row.join_neighbours();
            row.check().expect("a valid row");
        }
    }
    settle(&mut row, &loads, &ups);
    assert!(row.pieces.len() <= 5 * all, "{} pieces", row.pieces.len());
    let levels = levels(&row, &loads, &ups);
    let mean = levels.values().sum::<f64>() / levels.len() as f64;
    let worst = levels.values().fold(0.0_f64, |a, &b| a.max(b));
    assert!(worst <= mean * 2.0, "{worst:.2} of {mean:.2}");
}

/// A piece that is joined keeps the higher fence, and pieces that are still moving stay apart.
#[test]
fn neighbours_of_one_owner_are_joined() {
    let mut row = row(2);
    let part = |first, last| KeyRange { first, last };
    row.give(part(100, 199), &id(0), &id(1), Fence(2));
    row.give(part(100, 199), &id(1), &id(0), Fence(3));
    let apart = row.clone();
    row.join_neighbours();
    assert_eq!(row, apart, "a former owner may still hold keys");
    row.pieces.iter_mut().for_each(|p| p.former.clear());
    row.join_neighbours();
    row.check().expect("a valid row");
    let pieces: Vec<_> = row.pieces.iter().map(|p| (p.range, p.fence)).collect();
    assert_eq!(
        pieces,
        [
            (part(0, 32_767), Fence(3)),
            (part(32_768, u16::MAX), Fence(1))
        ]
    );
}

/// Among many upstreams each has little room, so that a hot stretch has to be cut into many parts.
#[test]
fn a_hot_stretch_is_divided_soon_among_many() {
    let all = 216;
    let mut row = row(all);
    let loads = loads(4_600, 600);
    let ups = views(&vec![0.1; all]);
    let plans = settle(&mut row, &loads, &ups);
    assert!(plans <= 12, "{plans} plans");
    let levels = levels(&row, &loads, &ups);
    let mean = levels.values().sum::<f64>() / levels.len() as f64;
    let worst = levels.values().fold(0.0_f64, |a, &b| a.max(b));
    assert!(worst <= mean * 1.5, "{worst:.2} of {mean:.2}");
    assert!(row.pieces.len() <= 2 * all, "{} pieces", row.pieces.len());
}
