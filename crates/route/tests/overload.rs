//! Goodput during and after overload, in the simulation of the `limits` example.

#[expect(dead_code, reason = "the example uses all of it")]
#[path = "../examples/limits/world/mod.rs"]
mod world;

use world::{Config, Keys, Phase, Reports, Tally, World};

fn goodput(tally: &Tally) -> f64 {
    tally.good as f64 / tally.secs as f64
}

#[test]
fn goodput_holds_at_double_load_and_recovers() {
    struct Case {
        name: &'static str,
        returns: u32,
        heeds_cancel: bool,
        true_slots: u32,
    }
    let cases = [
        Case {
            name: "refused callers do not retry",
            returns: 0,
            heeds_cancel: true,
            true_slots: 4,
        },
        Case {
            name: "refused callers retry and upstreams ignore cancellations",
            returns: 3,
            heeds_cancel: false,
            true_slots: 4,
        },
        Case {
            name: "the upstream has half of its declared slots",
            returns: 3,
            heeds_cancel: true,
            true_slots: 2,
        },
    ];
    for case in cases {
        let phase = |load| Phase { secs: 5, load };
        let tallies = World::run(Config {
            returns: case.returns,
            heeds_cancel: case.heeds_cancel,
            true_slots: case.true_slots,
            phases: [0.5, 0.9, 2.0, 0.5].map(phase).to_vec(),
            ..Config::default()
        });
        let rates: Vec<f64> = tallies.iter().map(goodput).collect();
        let peak = rates[0].max(rates[1]);
        assert!(rates[2] >= 0.9 * peak, "{}: {rates:?}", case.name);
        assert!(rates[3] >= 0.9 * rates[0], "{}: {rates:?}", case.name);
        let settled = tallies[3].last_bad_us;
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
        let tallies = World::run(Config {
            hosts: 2,
            upstreams: 2,
            keys: Keys::None,
            reports,
            phases: vec![Phase { secs: 5, load: 0.8 }],
            ..Config::default()
        });
        goodput(&tallies[0])
    };
    let without = run(Reports::None);
    for reports in [Reports::AlwaysFit, Reports::NeverFit, Reports::Inverted] {
        let with = run(reports);
        assert!(with >= 0.97 * without, "{reports:?}: {with} of {without}");
    }
}
