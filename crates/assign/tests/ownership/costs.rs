//! What each trouble costs: how long keys have no holder, how many change hands, and how many calls
//! that takes.
//!
//! `cargo test -p assign --test ownership costs -- --nocapture` prints the table of docs/OWNERSHIP.md.

use std::time::Duration;

use crate::world::{Fault, Talk, Trouble, World};
use assign::AssignSettings;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HOSTS: usize = 3;
const UPSTREAMS: usize = 10;
/// Seconds before counting begins: owners are settled.
const SETTLED: f64 = 5.0;
/// Seconds that are counted.
const COUNTED: f64 = 30.0;
const SEEDS: u64 = 20;

/// A trouble and what it may cost.
struct Case {
    name: &'static str,
    /// Faults with their begin and length in seconds.
    faults: &'static [(Fault, f64, f64)],
    /// Longest time for which a key may have no holder, in seconds.
    longest: f64,
    /// Largest part of all keys that may change hands.
    moved: f64,
    /// Most orders a second.
    orders: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "none",
        faults: &[],
        longest: 0.0,
        moved: 0.0,
        orders: 14.0,
    },
    Case {
        name: "the store is away for 9 s",
        faults: &[(Fault::StoreDown, 6.0, 9.0)],
        longest: 0.0,
        moved: 0.0,
        orders: 14.0,
    },
    Case {
        name: "an upstream leaves",
        faults: &[(Fault::UpstreamLeaves(1), 6.0, 60.0)],
        longest: 0.3,
        moved: 0.25,
        orders: 40.0,
    },
    Case {
        name: "an upstream is lost",
        faults: &[(Fault::UpstreamDown(1), 6.0, 60.0)],
        longest: 5.5,
        moved: 0.25,
        orders: 40.0,
    },
    Case {
        name: "an upstream is lost while the store is away",
        faults: &[
            (Fault::StoreDown, 6.0, 8.0),
            (Fault::UpstreamDown(1), 7.0, 60.0),
        ],
        longest: 10.0,
        moved: 0.25,
        orders: 40.0,
    },
    Case {
        name: "three of ten upstreams are lost",
        faults: &[
            (Fault::UpstreamDown(1), 6.0, 60.0),
            (Fault::UpstreamDown(4), 6.0, 60.0),
            (Fault::UpstreamDown(7), 6.0, 60.0),
        ],
        longest: 5.5,
        moved: 0.5,
        orders: 40.0,
    },
    Case {
        name: "the granting host restarts",
        faults: &[(Fault::HostRestarts(0), 6.0, 0.02)],
        longest: 0.0,
        moved: 0.0,
        orders: 14.0,
    },
    Case {
        name: "the granting host can't read the store, and an upstream is lost",
        faults: &[
            (Fault::HostWithoutStore(0), 6.0, 60.0),
            (Fault::TakeOver(1), 8.5, 0.1),
            (Fault::UpstreamDown(1), 9.0, 60.0),
        ],
        longest: 5.5,
        moved: 0.25,
        orders: 40.0,
    },
    Case {
        name: "the granting host stands still, and an upstream is lost",
        faults: &[
            (Fault::HostPaused(0), 6.0, 60.0),
            (Fault::TakeOver(1), 7.5, 0.1),
            (Fault::UpstreamDown(1), 6.0, 60.0),
        ],
        longest: 16.0,
        moved: 0.25,
        orders: 40.0,
    },
    Case {
        name: "orders get no answer and are late for 6 s, while an upstream leaves",
        faults: &[
            (Fault::LateOrders, 6.0, 6.0),
            (Fault::UpstreamLeaves(1), 6.5, 60.0),
        ],
        longest: 8.0,
        moved: 0.25,
        orders: 60.0,
    },
];

#[test]
fn troubles_cost_no_more_than_they_must() {
    println!("trouble | keys without a holder: p50, p99, longest (s) | moved | orders/s | commits");
    for case in CASES {
        let mut unserved: Vec<Duration> = Vec::new();
        let (mut moved, mut orders, mut commits) = (0.0, 0, 0);
        for seed in 0..SEEDS {
            let hold = AssignSettings::default().hold.as_secs_f64();
            let world = play(case.faults, hold, seed);
            assert_eq!(world.unserved(), 0, "{}: at the end", case.name);
            let tally = world.tally();
            unserved.extend(tally.unserved());
            moved += tally.moved() / SEEDS as f64;
            orders += tally.orders;
            commits += tally.commits;
        }
        unserved.sort_unstable();
        let at = |part: f64| {
            let place = (unserved.len() as f64 * part) as usize;
            let found = unserved.get(place.min(unserved.len().saturating_sub(1)));
            found.map_or(0.0, Duration::as_secs_f64)
        };
        let longest = at(1.0);
        let per_s = f64::from(orders) / COUNTED / SEEDS as f64;
        let commits = f64::from(commits) / SEEDS as f64;
        println!(
            "{} | {:.2}, {:.2}, {longest:.2} | {:.0} % | {per_s:.1} | {commits:.1}",
            case.name,
            at(0.5),
            at(0.99),
            100.0 * moved
        );
        assert!(longest <= case.longest, "{}: {longest} s", case.name);
        assert!(moved <= case.moved, "{}: {moved} moved", case.name);
        assert!(
            per_s <= case.orders,
            "{}: {per_s} orders a second",
            case.name
        );
    }
}

/// Times without a holder and calls, by the length of a hold.
struct Hold {
    seconds: f64,
    /// Whether keys stay held when the granting host is lost and replaced as late as may be.
    outlives_granter: bool,
    /// Longest time for which a key of a lost upstream may have no holder, in seconds.
    longest: f64,
    /// Most orders a second while all is quiet.
    orders: f64,
}

const HOLDS: &[Hold] = &[
    Hold {
        seconds: 2.0,
        outlives_granter: false,
        longest: 2.5,
        orders: 21.0,
    },
    Hold {
        seconds: 3.0,
        outlives_granter: true,
        longest: 3.5,
        orders: 14.0,
    },
    Hold {
        seconds: 4.0,
        outlives_granter: true,
        longest: 4.5,
        orders: 11.0,
    },
    Hold {
        seconds: 6.0,
        outlives_granter: true,
        longest: 6.7,
        orders: 8.0,
    },
];

/// Longest time from the loss of the granting host to its successor's first renewals: its silence,
/// all patience and a commit.
const REPLACED_AFTER: f64 = 1.2 + 0.6 + 0.1;

fn play(faults: &[(Fault, f64, f64)], hold: f64, seed: u64) -> World {
    let cfg = AssignSettings {
        hold: Duration::from_secs_f64(hold),
        renew_every: Duration::from_secs_f64(hold / 4.0),
        ..AssignSettings::default()
    };
    let troubles = Trouble::list(faults);
    let rng = StdRng::seed_from_u64(seed);
    let mut world = World::with_settings(HOSTS, UPSTREAMS, troubles, rng, Talk::Yes, cfg);
    let settled = Duration::from_secs_f64(SETTLED);
    world.run(settled).expect("settled");
    world.tally_from_here();
    let end = settled + Duration::from_secs_f64(COUNTED);
    world.run(end).expect("one holder");
    world
}

/// The hold is the shortest one that outlives a change of the granting host.
#[test]
fn a_hold_is_as_short_as_it_may_be() {
    println!("hold | lost upstream, longest (s) | lost granting host, longest (s) | orders/s");
    let longest = |faults: &[(Fault, f64, f64)], hold| {
        let worst = (0..SEEDS / 4).map(|seed| play(faults, hold, seed).tally().unserved());
        worst.filter_map(|hit| hit.last().copied()).max()
    };
    for hold in HOLDS {
        let lost = longest(&[(Fault::UpstreamDown(1), 6.0, 60.0)], hold.seconds);
        let replaced = (Fault::TakeOver(1), 6.0 + REPLACED_AFTER, 0.1);
        let granter = longest(&[(Fault::HostPaused(0), 6.0, 60.0), replaced], hold.seconds);
        let orders = f64::from(play(&[], hold.seconds, 1).tally().orders) / COUNTED;
        let [lost, granter] = [lost, granter].map(|d| d.unwrap_or_default().as_secs_f64());
        println!("{} | {lost:.2} | {granter:.2} | {orders:.1}", hold.seconds);
        assert!(lost <= hold.longest, "{} s: {lost}", hold.seconds);
        assert_eq!(
            granter == 0.0,
            hold.outlives_granter,
            "{}: {granter}",
            hold.seconds
        );
        assert!(orders <= hold.orders, "{} s: {orders}", hold.seconds);
    }
}
