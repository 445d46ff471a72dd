//! No key ever has two holders, whatever goes wrong, and each has one again soon after.

mod costs;
mod world;

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use world::{Fault, Talk, Trouble, World};

const HOSTS: usize = 3;
const UPSTREAMS: usize = 5;

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// One kind of trouble, and for how long keys may have no holder.
struct Case {
    name: &'static str,
    troubles: &'static [(Fault, f64, f64)],
    talk: Talk,
    /// Most keys of 48 without a holder at each of these seconds.
    unserved: &'static [(f64, usize)],
}

const CASES: &[Case] = &[
    Case {
        name: "nothing",
        troubles: &[],
        talk: Talk::No,
        unserved: &[(2.0, 0), (10.0, 0)],
    },
    Case {
        name: "an outage of the store alone takes no keys",
        troubles: &[(Fault::StoreDown, 5.0, 9.0)],
        talk: Talk::No,
        unserved: &[(6.0, 0), (10.0, 0), (13.9, 0), (16.0, 0)],
    },
    Case {
        name: "a planned leave empties an upstream within its two seconds",
        troubles: &[(Fault::UpstreamLeaves(1), 5.0, 30.0)],
        talk: Talk::No,
        unserved: &[(6.5, 0), (9.0, 0)],
    },
    Case {
        name: "keys of a lost upstream go to others once its grant has run out",
        troubles: &[(Fault::UpstreamDown(2), 5.0, 30.0)],
        talk: Talk::No,
        unserved: &[(10.0, 0)],
    },
    Case {
        name: "a host that restarts takes over from itself and moves nothing",
        troubles: &[(Fault::HostRestarts(0), 5.0, 0.02)],
        talk: Talk::No,
        unserved: &[(6.0, 0), (8.0, 0), (12.0, 0)],
    },
    Case {
        name: "after a take-over from a host that may still grant, a planned leave is served at once",
        troubles: &[
            (Fault::HostPaused(0), 5.0, 20.0),
            (Fault::TakeOver(1), 6.5, 0.1),
            (Fault::UpstreamLeaves(1), 8.0, 30.0),
        ],
        talk: Talk::No,
        unserved: &[(7.0, 0), (10.0, 0), (12.0, 0)],
    },
    Case {
        name: "a host without the store grants on for its evidence, and its successor waits for that",
        troubles: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::TakeOver(1), 6.0, 0.1),
        ],
        talk: Talk::No,
        unserved: &[(12.0, 0), (25.0, 0)],
    },
    Case {
        name: "a successor that is itself replaced leaves its wait to the next one",
        troubles: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::TakeOver(1), 6.0, 0.1),
            (Fault::HostRestarts(1), 7.5, 0.02),
        ],
        talk: Talk::No,
        unserved: &[(12.0, 0), (30.0, 0)],
    },
    Case {
        name: "hosts that start anew go on with a wait for one that is gone for good",
        troubles: &[
            (Fault::HostPaused(0), 5.0, 60.0),
            (Fault::TakeOver(1), 6.5, 0.1),
            (Fault::UpstreamDown(2), 10.0, 60.0),
            (Fault::HostRestarts(1), 17.0, 0.02),
            (Fault::HostRestarts(2), 17.0, 0.02),
        ],
        talk: Talk::No,
        unserved: &[(23.5, 0), (28.0, 0)],
    },
    Case {
        name: "hosts that start anew go on with a wait for one that still grants, to its end",
        troubles: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::TakeOver(1), 6.0, 0.1),
            (Fault::HostRestarts(1), 8.5, 0.02),
            (Fault::HostRestarts(2), 8.5, 0.02),
        ],
        talk: Talk::No,
        unserved: &[(14.0, 0), (22.0, 0), (30.0, 0)],
    },
    Case {
        name: "a host without the store that hears of its successor grants no more at once",
        troubles: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::TakeOver(1), 6.0, 0.1),
        ],
        talk: Talk::Yes,
        unserved: &[(10.5, 0), (25.0, 0)],
    },
    Case {
        name: "one that answers without having heard of it is waited for",
        troubles: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::NobodyTold, 5.0, 40.0),
            (Fault::TakeOver(1), 6.0, 0.1),
        ],
        talk: Talk::Yes,
        unserved: &[(12.0, 0), (25.0, 0)],
    },
    Case {
        name: "one that granted again meanwhile is waited for from when it was replaced last",
        troubles: &[
            (Fault::TakeOver(1), 6.0, 0.1),
            (Fault::HostWithoutStore(2), 8.0, 12.0),
            (Fault::TakeOver(0), 9.0, 0.1),
            (Fault::HostWithoutStore(0), 17.0, 60.0),
            (Fault::HostWithoutUpstream(1, 2), 17.0, 60.0),
            (Fault::HostWithoutUpstream(2, 2), 17.0, 60.0),
            (Fault::TakeOver(1), 18.0, 0.1),
            (Fault::HostRestarts(1), 21.5, 0.02),
            (Fault::HostPaused(1), 21.5, 60.0),
        ],
        talk: Talk::No,
        unserved: &[(20.0, 0), (45.0, 0)],
    },
    Case {
        name: "one that can't hear of it is waited for",
        troubles: &[
            (Fault::HostWithoutStore(0), 5.0, 40.0),
            (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
            (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
            (Fault::HostsApart(0, 1), 5.0, 40.0),
            (Fault::TakeOver(1), 6.0, 0.1),
        ],
        talk: Talk::Yes,
        unserved: &[(12.0, 0), (25.0, 0)],
    },
];

#[test]
fn keys_have_a_holder_again_in_time() {
    for case in CASES {
        let troubles = Trouble::list(case.troubles);
        let mut world = World::new(HOSTS, UPSTREAMS, troubles, rng(1), case.talk);
        for &(at, most) in case.unserved {
            world.run(seconds(at)).expect(case.name);
            let unserved = world.unserved();
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
        host.prop_map(Fault::TakeOver),
        upstream.clone().prop_map(Fault::UpstreamLeaves),
        upstream.prop_map(Fault::UpstreamDown),
        Just(Fault::StoreDown),
        Just(Fault::LateOrders),
        Just(Fault::LostCommits),
    ]
}

fn trouble() -> impl Strategy<Value = Trouble> {
    (fault(), 2_000_u64..25_000, 20_u64..14_000).prop_map(|(fault, at, lasts)| Trouble {
        fault,
        at: Duration::from_millis(at),
        lasts: Duration::from_millis(lasts),
    })
}

fn apart() -> impl Strategy<Value = Trouble> {
    let faults = prop_oneof![
        3 => (0..HOSTS, 1..HOSTS).prop_map(|(a, b)| Fault::HostsApart(a, (a + b) % HOSTS)),
        1 => Just(Fault::NobodyTold),
    ];
    (faults, 2_000_u64..25_000, 20_u64..14_000).prop_map(|(fault, at, lasts)| Trouble {
        fault,
        at: Duration::from_millis(at),
        lasts: Duration::from_millis(lasts),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..ProptestConfig::default() })]

    /// Faults overlap in any way; at the end all is quiet for long enough for every wait.
    #[test]
    fn no_key_has_two_holders(
        troubles in prop::collection::vec(trouble(), 0..14),
        seed: u64,
    ) {
        let mut world = World::new(HOSTS, UPSTREAMS, troubles, rng(seed), Talk::No);
        prop_assert_eq!(world.run(seconds(60.0)), Ok(()));
        prop_assert_eq!(world.unserved(), 0);
        prop_assert!(world.holders() > 0);
    }

    /// The same where earlier granting hosts are told that they were replaced, and some of them
    /// can't be told.
    #[test]
    fn no_key_has_two_holders_where_hosts_talk(
        troubles in prop::collection::vec(prop_oneof![4 => trouble(), 1 => apart()], 0..14),
        seed: u64,
    ) {
        let mut world = World::new(HOSTS, UPSTREAMS, troubles, rng(seed), Talk::Yes);
        prop_assert_eq!(world.run(seconds(60.0)), Ok(()));
        prop_assert_eq!(world.unserved(), 0);
        prop_assert!(world.holders() > 0);
    }
}

/// A take-over whose answer is lost may stand seconds later; until then the host that it replaces
/// goes on reading that it grants.
#[test]
fn a_take_over_that_stands_late_waits_from_then() {
    let case = [
        (Fault::TakeOver(1), 6.0, 0.1),
        (Fault::LostCommits, 6.0, 0.3),
        (Fault::HostWithoutStore(0), 8.0, 40.0),
        (Fault::HostWithoutUpstream(1, 2), 5.5, 40.0),
        (Fault::HostWithoutUpstream(2, 2), 5.5, 40.0),
    ];
    for seed in 0..60 {
        let troubles = Trouble::list(&case);
        let mut world = World::new(HOSTS, UPSTREAMS, troubles, rng(seed), Talk::No);
        assert_eq!(world.run(seconds(30.0)), Ok(()), "seed {seed}");
    }
}

/// Seen with real hosts: a domain was cut off, and the host that granted was killed before it gave up a renewal to
/// an upstream there. The network delivered that renewal 0.85 s after the cut, when the keys had long had another
/// owner under a higher fence. Once the wait for the former owner was over, nobody told it of that fence any more.
#[test]
fn a_renewal_that_a_cut_held_is_refused_after_it() {
    for killed_after_ms in (20..600).step_by(20) {
        let killed = 5.0 + f64::from(killed_after_ms) / 1_000.0;
        let case = [
            (Fault::NetworkHolds(2), 5.0, 6.0),
            (Fault::HostRestarts(0), killed, 0.02),
        ];
        let mut world = World::new(HOSTS, UPSTREAMS, Trouble::list(&case), rng(1), Talk::No);
        assert_eq!(world.run(seconds(30.0)), Ok(()), "killed at {killed}");
        assert_eq!(world.unserved(), 0);
    }
}
