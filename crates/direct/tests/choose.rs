//! Selection of an upstream from estimates of its load.

use std::time::Duration;

use direct::{
    Candidate, Choice, ChooseSettings, LoadReport, LoadSettings, Priority, RequestNeeds,
    UpstreamLoad, choose,
};
use ids::Timestamp;

const OBJECTIVE: Duration = Duration::from_millis(300);
const NEEDS: RequestNeeds = RequestNeeds {
    objective: OBJECTIVE,
    entry_service_time: 0.1,
    priority: Priority::Equal,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + ms)
}

/// Events observed at one upstream.
#[derive(Debug, Clone, Copy)]
enum Observation {
    Nothing,
    /// Answered a request after so many milliseconds.
    Answered(u64),
    /// Reported so many running requests.
    Reported(u32),
    /// Could not be reached just now.
    Unreachable,
    /// Failed all requests.
    Failing,
    /// Rejected a request without running it.
    Shed,
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    upstreams: &'static [(Observation, bool)],
    chosen: Choice<usize>,
}

const fn chosen(key: usize, expected_time: f64) -> Choice<usize> {
    Choice::Chosen { key, expected_time }
}

const CASES: &[Case] = &[
    Case {
        name: "none",
        upstreams: &[],
        chosen: Choice::None,
    },
    Case {
        name: "the faster one",
        upstreams: &[
            (Observation::Answered(200), false),
            (Observation::Answered(50), false),
        ],
        chosen: chosen(1, 0.05),
    },
    Case {
        name: "a local one that is a little slower",
        upstreams: &[
            (Observation::Answered(100), false),
            (Observation::Answered(60), true),
        ],
        chosen: chosen(0, 0.1),
    },
    Case {
        name: "a local one that is slower by less than three fifths of the objective",
        upstreams: &[
            (Observation::Answered(200), false),
            (Observation::Answered(60), true),
        ],
        chosen: chosen(0, 0.2),
    },
    Case {
        name: "a remote one that is much faster",
        upstreams: &[
            (Observation::Answered(260), false),
            (Observation::Answered(60), true),
        ],
        chosen: chosen(1, 0.06),
    },
    Case {
        name: "the one that reports less load",
        upstreams: &[
            (Observation::Reported(10), false),
            (Observation::Reported(1), false),
        ],
        chosen: chosen(1, NEEDS.entry_service_time),
    },
    Case {
        name: "not the one that can't be reached",
        upstreams: &[
            (Observation::Unreachable, false),
            (Observation::Answered(250), true),
        ],
        chosen: chosen(1, 0.25),
    },
    Case {
        name: "one that can't be reached, if there is no other",
        upstreams: &[(Observation::Unreachable, false)],
        chosen: chosen(0, NEEDS.entry_service_time),
    },
    Case {
        name: "not the one that fails",
        upstreams: &[
            (Observation::Failing, false),
            (Observation::Answered(150), false),
        ],
        chosen: chosen(1, 0.15),
    },
    Case {
        name: "not the one that has just rejected a request",
        upstreams: &[(Observation::Shed, false), (Observation::Nothing, false)],
        chosen: chosen(1, NEEDS.entry_service_time),
    },
    Case {
        name: "none of those that are full",
        upstreams: &[
            (Observation::Reported(16), false),
            (Observation::Reported(18), false),
        ],
        chosen: Choice::Full {
            retry_after: NEEDS.entry_service_time,
        },
    },
];

fn observed(observation: Observation, cfg: &LoadSettings) -> UpstreamLoad {
    let mut load = UpstreamLoad::new(4);
    match observation {
        Observation::Nothing => {}
        Observation::Answered(ms) => {
            let sent = load.sent(at(0), cfg);
            load.ended();
            load.answered(at(ms), sent, cfg);
        }
        Observation::Reported(running) => {
            let report = LoadReport {
                running,
                waiting: 0,
                slots: 4,
                slowdown: None,
            };
            load.reported(at(990), report);
        }
        Observation::Unreachable => load.connect_failed(at(990), cfg),
        Observation::Failing => (0..10).for_each(|_| load.failed(at(990), cfg)),
        Observation::Shed => load.shed(at(990), cfg),
    }
    load
}

#[test]
fn chooses_by_what_is_known() {
    let load_cfg = LoadSettings::default();
    for case in CASES {
        let loads: Vec<_> = case
            .upstreams
            .iter()
            .map(|&(observation, _)| observed(observation, &load_cfg))
            .collect();
        let candidates = loads.iter().enumerate().map(|(key, load)| Candidate {
            key,
            load,
            is_remote: case.upstreams[key].1,
            is_cold: false,
            is_connected: true,
        });
        let cfg = ChooseSettings::default();
        let choice = choose(at(1_000), NEEDS, candidates, &load_cfg, &cfg);
        match (choice, case.chosen) {
            (
                Choice::Chosen { key, expected_time },
                Choice::Chosen {
                    key: k,
                    expected_time: e,
                },
            ) => {
                assert_eq!(key, k, "{}", case.name);
                assert!(
                    (expected_time - e).abs() < 0.01,
                    "{}: {expected_time}",
                    case.name
                );
            }
            (choice, expected) => assert_eq!(choice, expected, "{}", case.name),
        }
    }
}

/// A host's own requests count in full; the estimate of the others decays with the age of the
/// report.
#[test]
fn reports_decay_and_own_requests_do_not() {
    let cfg = LoadSettings::default();
    let mut load = UpstreamLoad::new(4);
    let report = LoadReport {
        running: 4,
        waiting: 4,
        slots: 4,
        slowdown: None,
    };
    load.reported(at(0), report);
    assert!((load.occupancy(at(0), &cfg) - 2.0).abs() < 1e-6);
    assert!((load.occupancy(at(500), &cfg) - 1.0).abs() < 1e-6);
    for _ in 0..4 {
        load.sent(at(60_000), &cfg);
    }
    assert!((load.occupancy(at(60_000), &cfg) - 1.0).abs() < 1e-6);
}

/// An upstream that becomes five times slower is estimated as twice as slow within two answers.
#[test]
fn a_slow_upstream_is_detected_within_two_answers() {
    let cfg = LoadSettings::default();
    let mut load = UpstreamLoad::new(4);
    let mut now = 0;
    let mut answer = |load: &mut UpstreamLoad, ms: u64| {
        let sent = load.sent(at(now), &cfg);
        load.ended();
        now += ms;
        load.answered(at(now), sent, &cfg);
    };
    for _ in 0..20 {
        answer(&mut load, 100);
    }
    answer(&mut load, 500);
    answer(&mut load, 500);
    assert!(load.service_time().expect("observed") > 0.2);
}
