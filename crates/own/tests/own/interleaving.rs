//! Injects random faults in random order: the invariants must hold throughout, and afterwards all
//! slices must be served.

use std::time::Duration;

use catalogue::{Class, CutOff};
use own::OwnershipSettings;
use proptest::prelude::*;

use crate::simulation::{Fault, MAX_DELAY_US, MS, Setup, Simulation, Step};

/// Times between which faults are injected.
const FAULTS_START: u64 = 200 * MS;
const FAULTS_END: u64 = 4_000 * MS;
/// Time after the last fault within which all slices must be served again.
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
        4 => (0..hosts, pause()).prop_map(|(h, us)| Fault::CutHost(h, us)),
        3 => (0..hosts, 0..hosts, pause()).prop_map(|(a, b, us)| Fault::CutHosts(a, b, us)),
        3 => (0..hosts, 0..upstreams, pause()).prop_map(|(h, u, us)| Fault::CutUpstream(h, u, us)),
        3 => (0..hosts, pause()).prop_map(|(h, us)| Fault::CutLinks(h, us)),
        4 => (0..8_u64, 0..upstreams).prop_map(|(s, u)| Fault::MoveSlice(s, u)),
        2 => (0..2_u64).prop_map(Fault::Carve),
        3 => (0..2_u64, 0..upstreams).prop_map(|(s, u)| Fault::MoveHot(s, u)),
        1 => (0..2_u64).prop_map(Fault::Fold),
    ]
}

#[derive(Debug, Clone)]
struct Scenario {
    setup: Setup,
    faults: Vec<(u64, Fault)>,
    /// Time at which an upstream is drained, and the upstream; absent if none is.
    drained: Option<(u64, usize)>,
}

fn setup() -> impl Strategy<Value = Setup> {
    let hosts = prop_oneof![
        Just(vec![2, 2]),
        Just(vec![3, 1]),
        Just(vec![3, 2]),
        Just(vec![4]),
    ];
    let upstreams = prop::collection::vec((0..2_usize, prop::bool::weighted(0.7)), 2..=4);
    let class = prop_oneof![Just(Class::Idempotent), Just(Class::NonIdempotent)];
    let cut_off = prop_oneof![Just(CutOff::Serve), Just(CutOff::FailOver)];
    let network = (0..15_u32, 0..10_u32, 500..20 * MS, 0..40_u32);
    let others = (class, cut_off, 0..10_000_i64, any::<u64>());
    (hosts, upstreams, network, others).prop_map(|(hosts, upstreams, network, others)| {
        let domains = hosts.len();
        let with_valid_domain = |(d, checks): (usize, bool)| (d % domains, checks);
        Setup {
            hosts,
            upstreams: upstreams.into_iter().map(with_valid_domain).collect(),
            loss_percent: network.0,
            duplicate_percent: network.1,
            delay_us: network.2,
            lost_confirmation_percent: network.3,
            long_request_percent: 1,
            class: others.0,
            cut_off: others.1,
            drift_ppm: others.2,
            seed: others.3,
            settings: OwnershipSettings {
                deadline_margin: Duration::from_micros(MAX_DELAY_US),
                ..OwnershipSettings::default()
            },
            ..Setup::default()
        }
    })
}

fn scenario() -> impl Strategy<Value = Scenario> {
    setup().prop_flat_map(|setup| {
        let hosts = setup.hosts.iter().sum();
        let (upstreams, domains) = (setup.upstreams.len(), setup.hosts.len());
        let fault = (FAULTS_START..FAULTS_END, fault(hosts, upstreams, domains));
        let faults = prop::collection::vec(fault, 0..20);
        let drained = prop::option::weighted(0.2, (FAULTS_START..FAULTS_END, 0..upstreams));
        (Just(setup), faults, drained).prop_map(|(setup, faults, drained)| Scenario {
            setup,
            faults,
            drained,
        })
    })
}

fn run(scenario: &Scenario) -> Simulation {
    let mut sim = Simulation::new(scenario.setup.clone());
    for (t, fault) in &scenario.faults {
        sim.schedule_fault(*t, *fault);
    }
    if let Some((t, u)) = scenario.drained {
        sim.schedule_fault(t, Fault::DrainUpstream(u));
    }
    sim.run_until(FAULTS_END + 100 * MS);
    sim.repair_all();
    sim.run_until(sim.t + RECOVERY);
    sim.check_history();
    sim
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_owner_whatever_happens(scenario in scenario()) {
        let sim = run(&scenario);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        prop_assert!(sim.failures.is_empty(), "{:?}", sim.failures);
        let unserved = sim.current_unserved_ms();
        prop_assert!(unserved < 200, "a slice is unserved for {unserved} ms");
    }
}
