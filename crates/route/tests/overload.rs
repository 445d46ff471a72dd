//! Goodput during and after overload, in the simulation of the `limits` example.

#[expect(dead_code, reason = "the example uses all of it")]
#[path = "../examples/limits/world/mod.rs"]
mod world;

use world::{Config, Keys, Phase, PhaseStats, Reports, Simulation};

fn goodput(phase_stats: &PhaseStats) -> f64 {
    phase_stats.good as f64 / phase_stats.secs as f64
}

#[test]
fn goodput_holds_at_double_load_and_recovers() {
    struct Case {
        name: &'static str,
        caller_retries: u32,
        honors_cancel: bool,
        true_slots: u32,
    }
    let cases = [
        Case {
            name: "refused callers do not retry",
            caller_retries: 0,
            honors_cancel: true,
            true_slots: 4,
        },
        Case {
            name: "refused callers retry and upstreams ignore cancellations",
            caller_retries: 3,
            honors_cancel: false,
            true_slots: 4,
        },
        Case {
            name: "the upstream has half of its declared slots",
            caller_retries: 3,
            honors_cancel: true,
            true_slots: 2,
        },
    ];
    for case in cases {
        let phase = |load| Phase { secs: 5, load };
        let stats = Simulation::run(Config {
            caller_retries: case.caller_retries,
            honors_cancel: case.honors_cancel,
            true_slots: case.true_slots,
            phases: [0.5, 0.9, 2.0, 0.5].map(phase).to_vec(),
            ..Config::default()
        });
        let rates: Vec<f64> = stats.iter().map(goodput).collect();
        let peak = rates[0].max(rates[1]);
        assert!(rates[2] >= 0.9 * peak, "{}: {rates:?}", case.name);
        assert!(rates[3] >= 0.9 * rates[0], "{}: {rates:?}", case.name);
        let settled = stats[3].last_bad_us;
        assert!(
            settled < 1_000_000,
            "{}: refused at {settled} us",
            case.name
        );
    }
}

#[test]
fn reports_change_little() {
    let run = |reports| {
        let stats = Simulation::run(Config {
            hosts: 2,
            upstreams: 2,
            keys: Keys::None,
            reports,
            phases: vec![Phase { secs: 5, load: 0.8 }],
            ..Config::default()
        });
        goodput(&stats[0])
    };
    let without = run(Reports::None);
    for reports in [
        Reports::AlwaysHealthy,
        Reports::NeverHealthy,
        Reports::Inverted,
    ] {
        let with = run(reports);
        assert!(with >= 0.97 * without, "{reports:?}: {with} of {without}");
    }
}
