//! What each fault costs: how long keys have no holder, how many change holders, and how many calls
//! and commits it takes.
//!
//! `cargo test -p assign --test ownership costs -- --nocapture` prints the table of
//! docs/OWNERSHIP.md.

use std::time::Duration;

use crate::simulation::{Fault, Heartbeats, ScheduledFault, Simulation};
use assign::AssignSettings;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HOSTS: usize = 3;
const UPSTREAMS: usize = 10;
/// Seconds before counting starts; owners are settled by then.
const SETTLED: f64 = 5.0;
/// Seconds in which costs are counted.
const COUNTED: f64 = 30.0;
const SEEDS: u64 = 20;

/// A set of faults and the limits of its cost.
struct Case {
    name: &'static str,
    /// Faults with their start and duration in seconds.
    faults: &'static [(Fault, f64, f64)],
    /// Longest time for which a key may have no holder, in seconds.
    longest: f64,
    /// Largest fraction of all keys that may change holders.
    moved: f64,
    /// Most grant calls a second.
    calls: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "none",
        faults: &[],
        longest: 0.0,
        moved: 0.0,
        calls: 14.0,
    },
    Case {
        name: "the store is down for 9 s",
        faults: &[(Fault::StoreDown, 6.0, 9.0)],
        longest: 0.0,
        moved: 0.0,
        calls: 14.0,
    },
    Case {
        name: "an upstream drains",
        faults: &[(Fault::UpstreamDrains(1), 6.0, 60.0)],
        longest: 0.3,
        moved: 0.25,
        calls: 40.0,
    },
    Case {
        name: "an upstream fails",
        faults: &[(Fault::UpstreamDown(1), 6.0, 60.0)],
        longest: 5.5,
        moved: 0.25,
        calls: 40.0,
    },
    Case {
        name: "an upstream fails while the store is down",
        faults: &[
            (Fault::StoreDown, 6.0, 8.0),
            (Fault::UpstreamDown(1), 7.0, 60.0),
        ],
        longest: 10.0,
        moved: 0.25,
        calls: 40.0,
    },
    Case {
        name: "three of ten upstreams fail",
        faults: &[
            (Fault::UpstreamDown(1), 6.0, 60.0),
            (Fault::UpstreamDown(4), 6.0, 60.0),
            (Fault::UpstreamDown(7), 6.0, 60.0),
        ],
        longest: 5.5,
        moved: 0.5,
        calls: 40.0,
    },
    Case {
        name: "the granting host restarts",
        faults: &[(Fault::HostRestarts(0), 6.0, 0.02)],
        longest: 0.0,
        moved: 0.0,
        calls: 14.0,
    },
    Case {
        name: "the granting host can't read the store, and an upstream fails",
        faults: &[
            (Fault::HostWithoutStore(0), 6.0, 60.0),
            (Fault::Takeover(1), 8.5, 0.1),
            (Fault::UpstreamDown(1), 9.0, 60.0),
        ],
        longest: 5.5,
        moved: 0.25,
        calls: 40.0,
    },
    Case {
        name: "the granting host is paused, and an upstream fails",
        faults: &[
            (Fault::HostPaused(0), 6.0, 60.0),
            (Fault::Takeover(1), 7.5, 0.1),
            (Fault::UpstreamDown(1), 6.0, 60.0),
        ],
        longest: 16.0,
        moved: 0.25,
        calls: 40.0,
    },
    Case {
        name: "grant calls get no answer and are late for 6 s, while an upstream drains",
        faults: &[
            (Fault::LateCalls, 6.0, 6.0),
            (Fault::UpstreamDrains(1), 6.5, 60.0),
        ],
        longest: 8.0,
        moved: 0.25,
        calls: 60.0,
    },
];

#[test]
fn faults_cost_no_more_than_allowed() {
    println!("fault | keys without a holder: p50, p99, longest (s) | moved | calls/s | commits");
    for case in CASES {
        let mut unserved: Vec<Duration> = Vec::new();
        let (mut moved, mut calls, mut commits) = (0.0, 0, 0);
        for seed in 0..SEEDS {
            let ttl = AssignSettings::default().grant_ttl.as_secs_f64();
            let sim = simulate(case.faults, ttl, seed);
            assert_eq!(sim.unserved(), 0, "{}: at the end", case.name);
            let tally = sim.tally();
            unserved.extend(tally.unserved());
            moved += tally.moved() / SEEDS as f64;
            calls += tally.calls;
            commits += tally.commits;
        }
        unserved.sort_unstable();
        let at = |fraction: f64| {
            let place = (unserved.len() as f64 * fraction) as usize;
            let found = unserved.get(place.min(unserved.len().saturating_sub(1)));
            found.map_or(0.0, Duration::as_secs_f64)
        };
        let longest = at(1.0);
        let per_s = f64::from(calls) / COUNTED / SEEDS as f64;
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
            per_s <= case.calls,
            "{}: {per_s} grant calls a second",
            case.name
        );
    }
}

/// Limits of times without a holder and of calls, for one grant TTL.
struct GrantTtl {
    seconds: f64,
    /// Whether keys keep their holder when the granting host fails and is replaced as late as
    /// possible.
    outlives_granter: bool,
    /// Longest time for which a key of a failed upstream may have no holder, in seconds.
    longest: f64,
    /// Most grant calls a second without faults.
    calls: f64,
}

const GRANT_TTLS: &[GrantTtl] = &[
    GrantTtl {
        seconds: 2.0,
        outlives_granter: false,
        longest: 2.5,
        calls: 21.0,
    },
    GrantTtl {
        seconds: 3.0,
        outlives_granter: true,
        longest: 3.5,
        calls: 14.0,
    },
    GrantTtl {
        seconds: 4.0,
        outlives_granter: true,
        longest: 4.5,
        calls: 11.0,
    },
    GrantTtl {
        seconds: 6.0,
        outlives_granter: true,
        longest: 6.7,
        calls: 8.0,
    },
];

/// Longest time from the failure of the granting host to its successor's first renewals: the
/// heartbeat timeout, the longest takeover delay and a commit.
const REPLACED_AFTER: f64 = 1.2 + 0.6 + 0.1;

fn simulate(faults: &[(Fault, f64, f64)], ttl: f64, seed: u64) -> Simulation {
    let cfg = AssignSettings {
        grant_ttl: Duration::from_secs_f64(ttl),
        renew_every: Duration::from_secs_f64(ttl / 4.0),
        ..AssignSettings::default()
    };
    let faults = ScheduledFault::list(faults);
    let rng = StdRng::seed_from_u64(seed);
    let mut sim = Simulation::with_settings(HOSTS, UPSTREAMS, faults, rng, Heartbeats::On, cfg);
    let settled = Duration::from_secs_f64(SETTLED);
    sim.run(settled).expect("settled");
    sim.reset_tally();
    let end = settled + Duration::from_secs_f64(COUNTED);
    sim.run(end).expect("one holder");
    sim
}

/// The grant TTL is the shortest one that outlives a change of the granting host.
#[test]
fn the_grant_ttl_is_as_short_as_possible() {
    println!(
        "grant TTL | failed upstream, longest (s) | failed granting host, longest (s) | calls/s"
    );
    let longest = |faults: &[(Fault, f64, f64)], ttl| {
        let times = (0..SEEDS / 4).map(|seed| simulate(faults, ttl, seed).tally().unserved());
        times.filter_map(|times| times.last().copied()).max()
    };
    for ttl in GRANT_TTLS {
        let failed = longest(&[(Fault::UpstreamDown(1), 6.0, 60.0)], ttl.seconds);
        let replaced = (Fault::Takeover(1), 6.0 + REPLACED_AFTER, 0.1);
        let granter = longest(&[(Fault::HostPaused(0), 6.0, 60.0), replaced], ttl.seconds);
        let calls = f64::from(simulate(&[], ttl.seconds, 1).tally().calls) / COUNTED;
        let [failed, granter] = [failed, granter].map(|d| d.unwrap_or_default().as_secs_f64());
        println!("{} | {failed:.2} | {granter:.2} | {calls:.1}", ttl.seconds);
        assert!(failed <= ttl.longest, "{} s: {failed}", ttl.seconds);
        assert_eq!(
            granter == 0.0,
            ttl.outlives_granter,
            "{}: {granter}",
            ttl.seconds
        );
        assert!(calls <= ttl.calls, "{} s: {calls}", ttl.seconds);
    }
}
