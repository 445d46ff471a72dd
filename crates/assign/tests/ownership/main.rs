//! No key ever has two holders, whichever faults occur, and each key has a holder again soon after.

mod costs;
mod simulation;

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use simulation::{Fault, Heartbeats, ScheduledFault, Simulation};

const HOSTS: usize = 3;
const UPSTREAMS: usize = 5;

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

const fn seconds_const(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// A set of faults, and how many keys may have no holder at given times.
struct Case {
    name: &'static str,
    faults: &'static [(Fault, f64, f64)],
    heartbeats: Heartbeats,
    /// Seconds, and the most keys of 48 that may have no holder at that time.
    unserved: &'static [(f64, usize)],
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        faults: &[],
        heartbeats: Heartbeats::Off,
        unserved: &[(2.0, 0), (10.0, 0)],
    },
    Case {
        name: "an outage of the store alone leaves all keys with their holders",
        faults: &[(Fault::StoreDown, 5.0, 9.0)],
        heartbeats: Heartbeats::Off,
        unserved: &[(6.0, 0), (10.0, 0), (13.9, 0), (16.0, 0)],
    },
    Case {
        name: "keys of a draining upstream go to others within its two seconds",
        faults: &[(Fault::UpstreamDrains(1), 5.0, 30.0)],
        heartbeats: Heartbeats::Off,
        unserved: &[(6.5, 0), (9.0, 0)],
    },
    Case {
        name: "keys of a failed upstream go to others once its grant has expired",
        faults: &[(Fault::UpstreamDown(2), 5.0, 30.0)],
        heartbeats: Heartbeats::Off,
        unserved: &[(10.0, 0)],
    },
    Case {
        name: "a host that restarts takes over from its previous incarnation and moves no keys",
        faults: &[(Fault::HostRestarts(0), 5.0, 0.02)],
        heartbeats: Heartbeats::Off,
        unserved: &[(6.0, 0), (8.0, 0), (12.0, 0)],
    },
    Case {
        name: "after a takeover from a possible granter, keys of a draining upstream move at once",
        faults: &[
            (Fault::HostPaused(0), 5.0, 20.0),
            (Fault::Takeover(1), 6.5, 0.1),
            (Fault::UpstreamDrains(1), 8.0, 30.0),
        ],
        heartbeats: Heartbeats::Off,
        unserved: &[(7.0, 0), (10.0, 0), (12.0, 0)],
    },
    Case {
        name: "a host without the store grants until its read lease expires, and is waited for",
        faults: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::Takeover(1), 6.0, 0.1),
        ],
        heartbeats: Heartbeats::Off,
        unserved: &[(12.0, 0), (25.0, 0)],
    },
    Case {
        name: "a successor that is itself replaced passes its wait on to the next one",
        faults: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::Takeover(1), 6.0, 0.1),
            (Fault::HostRestarts(1), 7.5, 0.02),
        ],
        heartbeats: Heartbeats::Off,
        unserved: &[(12.0, 0), (30.0, 0)],
    },
    Case {
        name: "restarted hosts continue the wait for a granter that never returns",
        faults: &[
            (Fault::HostPaused(0), 5.0, 60.0),
            (Fault::Takeover(1), 6.5, 0.1),
            (Fault::UpstreamDown(2), 10.0, 60.0),
            (Fault::HostRestarts(1), 17.0, 0.02),
            (Fault::HostRestarts(2), 17.0, 0.02),
        ],
        heartbeats: Heartbeats::Off,
        unserved: &[(23.5, 0), (28.0, 0)],
    },
    Case {
        name: "restarted hosts continue the wait for a granter that still grants, to its end",
        faults: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::Takeover(1), 6.0, 0.1),
            (Fault::HostRestarts(1), 8.5, 0.02),
            (Fault::HostRestarts(2), 8.5, 0.02),
        ],
        heartbeats: Heartbeats::Off,
        unserved: &[(14.0, 0), (22.0, 0), (30.0, 0)],
    },
    Case {
        name: "a host without the store that is informed of its successor stops granting at once",
        faults: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::Takeover(1), 6.0, 0.1),
        ],
        heartbeats: Heartbeats::On,
        unserved: &[(10.5, 0), (25.0, 0)],
    },
    Case {
        name: "the successor waits for a granter that replies without having been informed",
        faults: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::ReplacementNotSent, 5.0, 40.0),
            (Fault::Takeover(1), 6.0, 0.1),
        ],
        heartbeats: Heartbeats::On,
        unserved: &[(12.0, 0), (25.0, 0)],
    },
    Case {
        name: "a granter that granted again in between is waited for from its last replacement",
        faults: &[
            (Fault::Takeover(1), 6.0, 0.1),
            (Fault::HostWithoutStore(2), 8.0, 12.0),
            (Fault::Takeover(0), 9.0, 0.1),
            (Fault::HostWithoutStore(0), 17.0, 60.0),
            (Fault::HostWithoutUpstream(1, 2), 17.0, 60.0),
            (Fault::HostWithoutUpstream(2, 2), 17.0, 60.0),
            (Fault::Takeover(1), 18.0, 0.1),
            (Fault::HostRestarts(1), 21.5, 0.02),
            (Fault::HostPaused(1), 21.5, 60.0),
        ],
        heartbeats: Heartbeats::Off,
        unserved: &[(20.0, 0), (45.0, 0)],
    },
    Case {
        name: "a return of the store from a copy alone leaves all keys with their holders",
        faults: &[(Fault::StoreReturnsFromCopy(seconds_const(4)), 6.0, 2.0)],
        heartbeats: Heartbeats::Off,
        unserved: &[
            (9.0, 0),
            (15.0, 0),
            (20.0, 0),
            (22.5, 0),
            (25.0, 0),
            (30.0, 0),
        ],
    },
    Case {
        name: "keys of a draining upstream move soon after all hosts confirmed the new era",
        faults: &[
            (Fault::StoreReturnsFromCopy(seconds_const(4)), 6.0, 2.0),
            (Fault::UpstreamDrains(1), 8.5, 30.0),
        ],
        heartbeats: Heartbeats::On,
        unserved: &[(15.0, 0), (30.0, 0)],
    },
    Case {
        name: "a granter that is lost at the store's return is replaced once its grants have expired",
        faults: &[
            (Fault::UpstreamDrains(1), 5.0, 60.0),
            (Fault::StoreReturnsFromCopy(seconds_const(2)), 6.0, 1.0),
            (Fault::HostRestarts(0), 6.5, 0.02),
        ],
        heartbeats: Heartbeats::On,
        unserved: &[(14.0, 0), (30.0, 0)],
    },
    Case {
        name: "the successor waits for a granter that can't be informed",
        faults: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::HostsDisconnected(0, 1), 5.0, 40.0),
            (Fault::Takeover(1), 6.0, 0.1),
        ],
        heartbeats: Heartbeats::On,
        unserved: &[(12.0, 0), (25.0, 0)],
    },
];

#[test]
fn keys_have_a_holder_again_in_time() {
    for case in CASES {
        let faults = ScheduledFault::list(case.faults);
        let mut sim = Simulation::new(HOSTS, UPSTREAMS, faults, rng(1), case.heartbeats);
        for &(at, most) in case.unserved {
            sim.run(seconds(at)).expect(case.name);
            let unserved = sim.unserved();
            assert!(
                unserved <= most,
                "{}: {unserved} keys without a holder at {at} s",
                case.name
            );
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let host = 0..HOSTS;
    let upstream = 0..UPSTREAMS;
    prop_oneof![
        host.clone().prop_map(Fault::HostWithoutStore),
        (host.clone(), upstream.clone()).prop_map(|(h, u)| Fault::HostWithoutUpstream(h, u)),
        host.clone().prop_map(Fault::HostPaused),
        host.clone().prop_map(Fault::HostRestarts),
        host.prop_map(Fault::Takeover),
        upstream.clone().prop_map(Fault::UpstreamDrains),
        upstream.prop_map(Fault::UpstreamDown),
        Just(Fault::StoreDown),
        Just(Fault::LateCalls),
        Just(Fault::CommitAnswersLost),
    ]
}

fn scheduled_fault() -> impl Strategy<Value = ScheduledFault> {
    (fault(), 2_000_u64..25_000, 20_u64..14_000).prop_map(|(fault, at, lasts)| ScheduledFault {
        fault,
        at: Duration::from_millis(at),
        lasts: Duration::from_millis(lasts),
    })
}

fn connectivity_fault() -> impl Strategy<Value = ScheduledFault> {
    let faults = prop_oneof![
        3 => (0..HOSTS, 1..HOSTS).prop_map(|(a, b)| Fault::HostsDisconnected(a, (a + b) % HOSTS)),
        1 => Just(Fault::ReplacementNotSent),
    ];
    (faults, 2_000_u64..25_000, 20_u64..14_000).prop_map(|(fault, at, lasts)| ScheduledFault {
        fault,
        at: Duration::from_millis(at),
        lasts: Duration::from_millis(lasts),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..ProptestConfig::default() })]

    /// Faults overlap in any way; after the last one there is enough time for every wait to end.
    #[test]
    fn no_key_has_two_holders(
        faults in prop::collection::vec(scheduled_fault(), 0..14),
        seed: u64,
    ) {
        let mut sim = Simulation::new(HOSTS, UPSTREAMS, faults, rng(seed), Heartbeats::Off);
        prop_assert_eq!(sim.run(seconds(60.0)), Ok(()));
        prop_assert_eq!(sim.unserved(), 0);
        prop_assert!(sim.holders() > 0);
    }

    /// The same with heartbeats that inform previous granting hosts of their replacement, some of
    /// which are not delivered.
    #[test]
    fn no_key_has_two_holders_with_heartbeats(
        faults in prop::collection::vec(
            prop_oneof![4 => scheduled_fault(), 1 => connectivity_fault()],
            0..14,
        ),
        seed: u64,
    ) {
        let mut sim = Simulation::new(HOSTS, UPSTREAMS, faults, rng(seed), Heartbeats::On);
        prop_assert_eq!(sim.run(seconds(60.0)), Ok(()));
        prop_assert_eq!(sim.unserved(), 0);
        prop_assert!(sim.holders() > 0);
    }
}

fn store_return() -> impl Strategy<Value = ScheduledFault> {
    (0_u64..6_000, 2_000_u64..25_000, 20_u64..8_000).prop_map(|(age, at, lasts)| {
        let age = Duration::from_millis(age);
        ScheduledFault {
            fault: Fault::StoreReturnsFromCopy(age),
            at: Duration::from_millis(at),
            lasts: Duration::from_millis(lasts),
        }
    })
}

/// Draws faults that overlap in any way, among them returns of the store from a copy.
fn faults_with_returns() -> impl Strategy<Value = Vec<ScheduledFault>> {
    let other = prop_oneof![4 => scheduled_fault(), 1 => connectivity_fault()];
    (
        prop::collection::vec(store_return(), 1..4),
        prop::collection::vec(other, 0..12),
    )
        .prop_map(|(mut returns, others)| {
            returns.extend(others);
            returns
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against two holders after the store has returned from a copy: hosts learn of it late,
    /// and commits of the lost history arrive late or twice.
    #[test]
    fn no_key_has_two_holders_after_the_store_returned_from_a_copy(
        faults in faults_with_returns(),
        heartbeats: bool,
        seed: u64,
    ) {
        let heartbeats = if heartbeats { Heartbeats::On } else { Heartbeats::Off };
        let mut sim = Simulation::new(HOSTS, UPSTREAMS, faults, rng(seed), heartbeats);
        prop_assert_eq!(sim.run(seconds(80.0)), Ok(()));
        prop_assert_eq!(sim.unserved(), 0);
        prop_assert!(sim.holders() > 0);
    }
}

/// A takeover whose answer is lost may be committed seconds later; until then the host that it
/// replaces still reads that it grants.
#[test]
fn a_takeover_that_is_committed_late_waits_from_then() {
    let case = [
        (Fault::Takeover(1), 6.0, 0.1),
        (Fault::CommitAnswersLost, 6.0, 0.3),
        (Fault::HostWithoutStore(0), 8.0, 40.0),
        (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
        (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
    ];
    for seed in 0..60 {
        let faults = ScheduledFault::list(&case);
        let mut sim = Simulation::new(HOSTS, UPSTREAMS, faults, rng(seed), Heartbeats::Off);
        assert_eq!(sim.run(seconds(30.0)), Ok(()), "seed {seed}");
    }
}

/// Guards against a renewal that reaches an upstream after its keys have moved.
///
/// Seen with real hosts: a domain was cut off, and the granting host was killed before it timed out
/// a renewal to an upstream there. The network delivered that renewal 0.85 s after the cut, when
/// the keys had long had another owner under a higher fencing token. After the wait for the
/// previous owner, no host had sent it that token.
#[test]
fn a_renewal_delayed_by_the_network_is_refused() {
    for killed_after_ms in (20..600).step_by(20) {
        let killed = 5.0 + f64::from(killed_after_ms) / 1_000.0;
        let case = [
            (Fault::NetworkHolds(2), 5.0, 6.0),
            (Fault::HostRestarts(0), killed, 0.02),
        ];
        let mut sim = Simulation::new(
            HOSTS,
            UPSTREAMS,
            ScheduledFault::list(&case),
            rng(1),
            Heartbeats::Off,
        );
        assert_eq!(sim.run(seconds(30.0)), Ok(()), "killed at {killed}");
        assert_eq!(sim.unserved(), 0);
    }
}
