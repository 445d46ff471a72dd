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

/// Settings as drawn scenarios have them.
fn drawn_settings() -> OwnershipSettings {
    OwnershipSettings {
        drift_ppm: 10_000,
        deadline_margin: Duration::from_millis(450),
        commit_timeout: Duration::from_secs(1),
        ..OwnershipSettings::default()
    }
}

/// A drawn scenario that broke an invariant.
struct Seed {
    name: &'static str,
    setup: Setup,
    faults: &'static [(u64, Fault)],
}

/// Returns what the setups of these scenarios have in common.
fn common_setup() -> Setup {
    Setup {
        class: Class::NonIdempotent,
        cut_off: CutOff::FailOver,
        long_request_percent: 1,
        settings: drawn_settings(),
        ..Setup::default()
    }
}

fn seeds() -> [Seed; 4] {
    use Fault::*;
    [
        Seed {
            name: "requests held for a handover, while the upstream is handed back, are released",
            setup: Setup {
                seed: 7_925_569_270_899_903_885,
                hosts: vec![2, 2],
                upstreams: vec![(0, true), (1, true), (0, true), (0, false)],
                loss_percent: 10,
                duplicate_percent: 3,
                delay_us: 7_802,
                drift_ppm: 7_404,
                lost_confirmation_percent: 25,
                ..common_setup()
            },
            faults: &[
                (872_702, PauseUpstream(1, 627_976)),
                (2_330_763, CutHost(3, 486_730)),
                (200_000, PauseBefore(1, Step::Commit, 932_197)),
                (200_000, CutUpstream(1, 0, 50_000)),
                (1_876_120, PauseUpstream(2, 1_589_044)),
                (510_858, PauseBefore(2, Step::Lease, 495_868)),
                (366_899, LeaveHost(1)),
                (2_374_950, DrainUpstream(1)),
            ],
        },
        Seed {
            name: "an upstream is not handed over to a host of another domain",
            setup: Setup {
                seed: 18_432_399_822_310_984_335,
                hosts: vec![2, 2],
                upstreams: vec![(1, true), (0, true)],
                cut_off: CutOff::Serve,
                class: Class::Idempotent,
                loss_percent: 7,
                duplicate_percent: 2,
                delay_us: 5_660,
                drift_ppm: 2_561,
                lost_confirmation_percent: 9,
                ..common_setup()
            },
            faults: &[(872_685, Isolate(0))],
        },
        Seed {
            name: "a host that stays hands nothing over without the table, and its message is lost",
            setup: Setup {
                seed: 2_967_592_285_401_020_625,
                hosts: vec![4],
                upstreams: vec![(0, true), (0, true), (0, true), (0, true)],
                loss_percent: 10,
                duplicate_percent: 2,
                delay_us: 1_358,
                drift_ppm: 429,
                lost_confirmation_percent: 26,
                ..common_setup()
            },
            faults: &[
                (1_035_880, Carve(1)),
                (537_586, CutLinks(2, 679_403)),
                (1_318_679, Carve(0)),
                (2_214_380, CutHosts(2, 0, 319_656)),
                (1_505_666, CutUpstream(1, 1, 177_676)),
                (2_555_021, StartHost(0)),
                (200_000, PauseBefore(3, Step::Grant, 2_248_907)),
                (1_686_520, CutPlatform(0)),
                (2_316_939, PauseHost(2, 246_403)),
                (2_544_815, CutHost(0, 904_324)),
            ],
        },
        Seed {
            name: "the same, and the other host is killed",
            setup: Setup {
                seed: 2_862_045_018_114_599_170,
                hosts: vec![3, 1],
                upstreams: vec![(0, true), (1, false), (1, true), (1, true)],
                loss_percent: 7,
                duplicate_percent: 7,
                delay_us: 10_649,
                drift_ppm: 8_993,
                lost_confirmation_percent: 23,
                ..common_setup()
            },
            faults: &[
                (707_463, CutHost(0, 2_464_059)),
                (200_000, PauseBefore(0, Step::Commit, 71_182)),
                (749_328, CutHost(2, 900_000)),
                (963_265, CutHosts(2, 0, 151_055)),
                (2_167_463, TableDown),
                (509_107, KillHost(2)),
                (390_317, PauseHost(3, 1_518_206)),
                (3_785_552, KillHost(3)),
            ],
        },
    ]
}

/// Drawn scenarios in which a handover to a host that reaches the upstream gave a slice two owners or
/// none.
#[test]
fn seeds_that_broke_an_invariant() {
    for Seed {
        name,
        setup,
        faults,
    } in seeds()
    {
        let sim = run(&Scenario {
            setup,
            faults: faults.to_vec(),
            drained: None,
        });
        assert_eq!(sim.violations, [], "{name}");
        assert!(sim.failures.is_empty(), "{name}: {:?}", sim.failures);
        let unserved = sim.current_unserved_ms();
        assert!(unserved < 200, "{name}: unserved for {unserved} ms");
    }
}

fn assert_no_violation(setup: Setup, faults: &[(u64, Fault)]) {
    let sim = run(&Scenario {
        setup,
        faults: faults.to_vec(),
        drained: None,
    });
    assert_eq!(sim.violations, []);
}

/// A coordinating host that was paused and replaced issues a lease when it goes on, although another
/// host has taken slices off the upstream meanwhile.
#[test]
fn a_replaced_host_that_goes_on_issues_no_lease() {
    use Fault::*;
    let setup = Setup {
        seed: 13_135_166_023_048_000_849,
        hosts: vec![3, 1],
        upstreams: vec![(1, true), (1, true), (0, false)],
        class: Class::Idempotent,
        loss_percent: 11,
        duplicate_percent: 2,
        delay_us: 16_354,
        drift_ppm: 8_824,
        long_request_percent: 1,
        settings: drawn_settings(),
        ..Setup::default()
    };
    let faults = [
        (2_752_605, KillUpstream(2)),
        (200_000, PauseBefore(2, Step::Request, 1_788_753)),
        (840_853, CutHost(0, 763_769)),
        (2_280_853, CutHost(2, 360_000)),
        (369_017, PauseBefore(3, Step::Commit, 1_889_693)),
    ];
    assert_no_violation(setup, &faults);
}

/// A hot key that is carved out while its upstream leaves has no owner that its previous coordinating
/// host does not know of.
#[test]
fn a_key_carved_out_of_a_leaving_upstream_is_known() {
    use Fault::*;
    let setup = Setup {
        seed: 16_944_653_377_064_594_124,
        hosts: vec![3, 2],
        upstreams: vec![(0, true), (1, false)],
        cut_off: CutOff::FailOver,
        loss_percent: 7,
        duplicate_percent: 1,
        delay_us: 843,
        drift_ppm: 8_536,
        long_request_percent: 1,
        settings: drawn_settings(),
        ..Setup::default()
    };
    let faults = [
        (1_603_601, TableSlow(198_014)),
        (843_373, TableUp),
        (845_871, Carve(0)),
        (834_878, DrainUpstream(0)),
    ];
    assert_no_violation(setup, &faults);
}
