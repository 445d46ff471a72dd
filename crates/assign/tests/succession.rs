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
    /// Heartbeats since then that it has not answered.
    unanswered: u32,
    decided: Option<bool>,
}

const CASES: &[Case] = &[
    Case {
        name: "a new granting host has time to speak",
        heard: None,
        announced: None,
        reads_for: 60_000,
        now: 1_200,
        unanswered: 3,
        decided: None,
    },
    Case {
        name: "one that never spoke is replaced, and may still grant",
        heard: None,
        announced: None,
        reads_for: 60_000,
        now: 1_400,
        unanswered: 3,
        decided: Some(false),
    },
    Case {
        name: "one that spoke lately stays",
        heard: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_900,
        unanswered: 3,
        decided: None,
    },
    Case {
        name: "one that fell silent is replaced",
        heard: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 6_400,
        unanswered: 3,
        decided: Some(false),
    },
    Case {
        name: "whoever stood still itself has not asked, and replaces nobody",
        heard: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 9_000,
        unanswered: 2,
        decided: None,
    },
    Case {
        name: "whoever was cut off itself replaces nobody on its return",
        heard: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 440,
        now: 9_000,
        unanswered: 10,
        decided: None,
    },
    Case {
        name: "but it does if it has no answer then either",
        heard: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 450,
        now: 9_000,
        unanswered: 10,
        decided: Some(false),
    },
    Case {
        name: "one that can't read the store is replaced by one that can",
        heard: Some((5_000, 5, false, Some(2_700))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        unanswered: 3,
        decided: Some(false),
    },
    Case {
        name: "one that has just taken over and has read nothing yet stays",
        heard: Some((400, 5, false, None)),
        announced: None,
        reads_for: 60_000,
        now: 500,
        unanswered: 0,
        decided: None,
    },
    Case {
        name: "but not if it still has not when its knowledge would be too old",
        heard: Some((2_500, 5, false, None)),
        announced: None,
        reads_for: 60_000,
        now: 2_700,
        unanswered: 0,
        decided: Some(false),
    },
    Case {
        name: "but not by one that can do so only since a moment, as after an outage for all",
        heard: Some((5_000, 5, false, Some(8_000))),
        announced: None,
        reads_for: 2_000,
        now: 5_100,
        unanswered: 3,
        decided: None,
    },
    Case {
        name: "one that still can't when others have for a while is replaced",
        heard: Some((5_000, 5, false, Some(8_000))),
        announced: None,
        reads_for: 2_700,
        now: 5_100,
        unanswered: 3,
        decided: Some(false),
    },
    Case {
        name: "one that stopped is surely over",
        heard: Some((5_000, 5, true, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        unanswered: 3,
        decided: Some(true),
    },
    Case {
        name: "one whose host announced another run is surely over",
        heard: Some((5_000, 5, false, Some(800))),
        announced: Some(6),
        reads_for: 60_000,
        now: 5_100,
        unanswered: 3,
        decided: Some(true),
    },
    Case {
        name: "also if that run has a lower number, as after its clock was set back",
        heard: None,
        announced: Some(3),
        reads_for: 60_000,
        now: 100,
        unanswered: 3,
        decided: Some(true),
    },
    Case {
        name: "another run that answers at its address tells the same",
        heard: Some((5_000, 7, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        unanswered: 3,
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
        (0..case.unanswered).for_each(|_| succession.asked());
        let announced = case.announced.map(Incarnation);
        let decided = {
            let reads_for = Duration::from_millis(case.reads_for);
            // What is known for certain is known for as long as the patience of the host lasts.
            let known = at(case.now) - PATIENCE;
            let _ = succession.decide(known, announced, reads_for, PATIENCE);
            succession.decide(at(case.now), announced, reads_for, PATIENCE)
        };
        let wanted = case.decided.map(|is_over| TakeOver { is_over });
        assert_eq!(decided, wanted, "{}", case.name);
    }
}

/// A host whose own link is full hears nobody, and asks others whether they do.
#[test]
fn a_host_that_others_hear_is_not_replaced() {
    let granter = Run {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(5),
    };
    let decides = |vouched: Option<(u64, u64, u64)>| {
        let mut succession = Succession::new(SuccessionSettings::default());
        succession.granter(at(0), &granter);
        let doubts: Vec<_> = (0..3)
            .map(|_| {
                let is_doubtful = succession.is_doubtful();
                succession.asked();
                is_doubtful
            })
            .collect();
        assert_eq!(doubts, [false, false, true]);
        if let Some((ms, run, ago)) = vouched {
            let ago = Duration::from_millis(ago);
            succession.vouched(at(ms), Incarnation(run), ago);
        }
        let reads_for = Duration::from_mins(1);
        succession
            .decide(at(2_000), None, reads_for, PATIENCE)
            .is_some()
    };
    assert!(decides(None));
    assert!(!decides(Some((1_500, 5, 300))));
    assert!(decides(Some((1_500, 4, 300))), "that was another run");
    assert!(decides(Some((1_500, 5, 1_000))), "that was long ago");
}

/// All hosts learn at the same moment that the granting run is over; a call to the store by each
/// would be one for each host.
#[test]
fn hosts_that_learn_together_of_an_end_take_over_one_after_the_other() {
    let cfg = SuccessionSettings::default();
    let granter = Run {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(5),
    };
    let word = Word {
        incarnation: granter.incarnation,
        has_stopped: true,
        evidence: Some(Duration::ZERO),
    };
    let takes_at = |rank: usize| {
        let mut succession = Succession::new(cfg);
        succession.granter(at(0), &granter);
        succession.heard(at(0), word);
        let patience = cfg.patience(rank, 0.5);
        let reads_for = Duration::from_mins(1);
        (0..2_000_u64).find(|&ms| {
            succession
                .decide(at(ms), None, reads_for, patience)
                .is_some()
        })
    };
    let times: Vec<_> = (0..5)
        .map(|rank| takes_at(rank).expect("it does"))
        .collect();
    assert_eq!(times, [0, 70, 140, 210, 280]);
    let within = |ms: u64| (0..295).filter(|&rank| takes_at(rank) < Some(ms)).count();
    // A commit and the word of it take some 50 ms.
    assert_eq!(within(50), 1);
}

#[test]
fn each_host_comes_before_holds_end() {
    let cfg = SuccessionSettings::default();
    assert_eq!(
        cfg.patience(0, 1.0),
        Duration::ZERO,
        "the first one waits for nobody"
    );
    // The last renewal may be as old as the time between two, and a commit and the first renewals
    // of the new granting host take a while.
    let assign = AssignSettings::default();
    let rest = Duration::from_millis(300);
    let latest = assign.renew_every + cfg.silence + cfg.patience(5_000, 1.0) + rest;
    assert!(latest < assign.hold, "{latest:?}");
}
