//! Any faults in any order: the invariants hold throughout, and afterwards all slices are served.

use std::time::Duration;

use catalogue::{Class, CutOff};
use own::OwnershipSettings;
use proptest::prelude::*;

use crate::simulation::{Fault, LONGEST_DELAY, MS, Setup, Step, World};

/// When faults start and end.
const FAULTS_FROM: u64 = 200 * MS;
const FAULTS_TO: u64 = 4_000 * MS;
/// Time after the last fault within which all must be served again.
const RECOVERY: u64 = 5_000 * MS;

fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 50 * MS..900 * MS,
        3 => 900 * MS..2_500 * MS,
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Commit),
        2 => Just(Step::Grant),
        1 => Just(Step::Peer),
        1 => Just(Step::Lease),
        2 => Just(Step::Request),
    ]
}

fn fault(hosts: usize, upstreams: usize, domains: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..hosts).prop_map(Fault::KillHost),
        2 => (0..hosts).prop_map(Fault::StartHost),
        6 => (0..hosts, pause()).prop_map(|(h, us)| Fault::PauseHost(h, us)),
        8 => (0..hosts, step(), pause()).prop_map(|(h, s, us)| Fault::PauseBefore(h, s, us)),
        1 => (0..hosts).prop_map(Fault::LeaveHost),
        2 => (0..upstreams).prop_map(Fault::KillUpstream),
        2 => (0..upstreams).prop_map(Fault::StartUpstream),
        4 => (0..upstreams, pause()).prop_map(|(u, us)| Fault::PauseUpstream(u, us)),
        2 => Just(Fault::TableDown),
        2 => Just(Fault::TableUp),
        1 => (0..800 * MS).prop_map(Fault::TableSlow),
        2 => (0..domains).prop_map(Fault::CutDomain),
        2 => (0..domains).prop_map(Fault::HealDomain),
        1 => (0..domains).prop_map(Fault::CutPlatform),
        2 => (0..domains).prop_map(Fault::Isolate),
        4 => (0..hosts, pause()).prop_map(|(h, us)| Fault::CutAlone(h, us)),
        3 => (0..hosts, 0..hosts, pause()).prop_map(|(a, b, us)| Fault::CutHosts(a, b, us)),
        3 => (0..hosts, 0..upstreams, pause()).prop_map(|(h, u, us)| Fault::CutUpstream(h, u, us)),
        4 => (0..8_u64, 0..upstreams).prop_map(|(s, u)| Fault::Wish(s, u)),
        2 => (0..2_u64).prop_map(Fault::Carve),
        3 => (0..2_u64, 0..upstreams).prop_map(|(s, u)| Fault::MoveHot(s, u)),
        1 => (0..2_u64).prop_map(Fault::Fold),
    ]
}

#[derive(Debug, Clone)]
struct Trial {
    setup: Setup,
    faults: Vec<(u64, Fault)>,
    /// An upstream that is emptied at some time, perhaps.
    emptied: Option<(u64, usize)>,
}

fn setup() -> impl Strategy<Value = Setup> {
    let hosts = prop_oneof![
        Just(vec![2, 2]),
        Just(vec![3, 1]),
        Just(vec![3, 2]),
        Just(vec![4]),
    ];
    let kinds = prop::collection::vec((0..2_usize, prop::bool::weighted(0.7)), 2..=4);
    let class = prop_oneof![Just(Class::Idempotent), Just(Class::NonIdempotent)];
    let cut_off = prop_oneof![Just(CutOff::Serve), Just(CutOff::FailOver)];
    let noise = (0..15_u32, 0..10_u32, 500..20 * MS, 0..40_u32);
    let rest = (class, cut_off, 0..10_000_i64, any::<u64>());
    (hosts, kinds, noise, rest).prop_map(|(hosts, kinds, noise, rest)| {
        let domains = hosts.len();
        let place = |(d, checks): (usize, bool)| (d % domains, checks);
        Setup {
            hosts,
            upstreams: kinds.into_iter().map(place).collect(),
            loss: noise.0,
            twice: noise.1,
            delay_us: noise.2,
            unconfirmed: noise.3,
            long: 1,
            class: rest.0,
            cut_off: rest.1,
            ppm: rest.2,
            seed: rest.3,
            settings: OwnershipSettings {
                deadline_margin: Duration::from_micros(LONGEST_DELAY),
                ..OwnershipSettings::default()
            },
            ..Setup::default()
        }
    })
}

fn trial() -> impl Strategy<Value = Trial> {
    setup().prop_flat_map(|setup| {
        let hosts = setup.hosts.iter().sum();
        let (upstreams, domains) = (setup.upstreams.len(), setup.hosts.len());
        let fault = (FAULTS_FROM..FAULTS_TO, fault(hosts, upstreams, domains));
        let faults = prop::collection::vec(fault, 0..20);
        let emptied = prop::option::weighted(0.2, (FAULTS_FROM..FAULTS_TO, 0..upstreams));
        (Just(setup), faults, emptied).prop_map(|(setup, faults, emptied)| Trial {
            setup,
            faults,
            emptied,
        })
    })
}

fn run(trial: &Trial) -> World {
    let mut w = World::new(trial.setup.clone());
    for (t, fault) in &trial.faults {
        w.fault_at(*t, *fault);
    }
    if let Some((t, u)) = trial.emptied {
        w.fault_at(t, Fault::EmptyUpstream(u));
    }
    w.run_until(FAULTS_TO + 100 * MS);
    w.mend();
    w.run_until(w.t + RECOVERY);
    w.check_history();
    w
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_owner_whatever_happens(trial in trial()) {
        let w = run(&trial);
        prop_assert!(w.violations.is_empty(), "{:?}", w.violations);
        prop_assert!(w.broken.is_empty(), "{:?}", w.broken);
        let served = w.last_served_ms();
        prop_assert!(served < 200, "a slice is unserved for {served} ms");
    }
}
