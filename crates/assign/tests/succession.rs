//! When a host takes the granting of keys over.

use std::time::Duration;

use assign::{AssignSettings, Run, Succession, SuccessionSettings, TakeOver, Word};
use ids::{HostId, Incarnation, Timestamp};

const PATIENCE: Duration = Duration::from_millis(100);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + ms)
}

/// What was heard of the granting host, which is its run 5 since time 0.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// When it spoke last, as which run, whether it has stopped, and how old its knowledge was.
    heard: Option<(u64, u64, bool, Option<u64>)>,
    /// The run that its host announced since.
    announced: Option<u64>,
    /// For how long the host that decides has read the store.
    reads_for: u64,
    now: u64,
    decided: Option<bool>,
}

const CASES: &[Case] = &[
    Case {
        name: "a new granting host has time to speak",
        heard: None,
        announced: None,
        reads_for: 60_000,
        now: 1_200,
        decided: None,
    },
    Case {
        name: "one that never spoke is replaced, and may still grant",
        heard: None,
        announced: None,
        reads_for: 60_000,
        now: 1_400,
        decided: Some(false),
    },
    Case {
        name: "one that spoke lately stays",
        heard: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_900,
        decided: None,
    },
    Case {
        name: "one that fell silent is replaced",
        heard: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 6_400,
        decided: Some(false),
    },
    Case {
        name: "one that can't read the store is replaced by one that can",
        heard: Some((5_000, 5, false, Some(2_700))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        decided: Some(false),
    },
    Case {
        name: "but not by one that can do so only since a moment, as after an outage for all",
        heard: Some((5_000, 5, false, Some(8_000))),
        announced: None,
        reads_for: 2_000,
        now: 5_100,
        decided: None,
    },
    Case {
        name: "one that still can't when others have for a while is replaced",
        heard: Some((5_000, 5, false, Some(8_000))),
        announced: None,
        reads_for: 2_700,
        now: 5_100,
        decided: Some(false),
    },
    Case {
        name: "one that stopped is surely over",
        heard: Some((5_000, 5, true, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        decided: Some(true),
    },
    Case {
        name: "one whose host announced another run is surely over",
        heard: Some((5_000, 5, false, Some(800))),
        announced: Some(6),
        reads_for: 60_000,
        now: 5_100,
        decided: Some(true),
    },
    Case {
        name: "also if that run has a lower number, as after its clock was set back",
        heard: None,
        announced: Some(3),
        reads_for: 60_000,
        now: 100,
        decided: Some(true),
    },
    Case {
        name: "another run that answers at its address tells the same",
        heard: Some((5_000, 7, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        decided: Some(true),
    },
];

#[test]
fn a_granting_host_is_replaced_only_with_a_reason() {
    for case in CASES {
        let mut succession = Succession::new(SuccessionSettings::default());
        let granter = Run {
            host: HostId::new("h").expect("a valid name"),
            incarnation: Incarnation(5),
        };
        assert!(succession.granter(at(0), &granter));
        assert!(!succession.granter(at(1), &granter), "no news");
        if let Some((ms, run, has_stopped, evidence)) = case.heard {
            let word = Word {
                incarnation: Incarnation(run),
                has_stopped,
                evidence: evidence.map(Duration::from_millis),
            };
            succession.heard(at(ms), word);
        }
        let announced = case.announced.map(Incarnation);
        let decided = {
            let reads_for = Duration::from_millis(case.reads_for);
            succession.decide(at(case.now), announced, reads_for, PATIENCE)
        };
        let wanted = case.decided.map(|is_over| TakeOver { is_over });
        assert_eq!(decided, wanted, "{}", case.name);
    }
}

#[test]
fn strong_hosts_come_first_and_all_come_before_holds_end() {
    let cfg = SuccessionSettings::default();
    assert!(cfg.patience(1.0, false) <= cfg.patience(0.0, true));
    // The last renewal may be as old as the time between two, and a commit and the first renewals
    // of the new granting host take a while.
    let assign = AssignSettings::default();
    let rest = Duration::from_millis(300);
    let latest = assign.renew_every + cfg.silence + cfg.patience(1.0, true) + rest;
    assert!(latest < assign.hold, "{latest:?}");
}
