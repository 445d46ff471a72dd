//! When a host takes over as the granting host.

use std::time::Duration;

use assign::{
    AssignSettings, DecisionContext, GranterStatus, HostIncarnation, TakeoverMonitor,
    TakeoverReason, TakeoverSettings,
};
use ids::{HostId, Incarnation, Timestamp};

const TAKEOVER_DELAY: Duration = Duration::from_millis(100);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + ms)
}

/// What a host knows of the granting host, which has been incarnation 5 since time 0.
#[derive(Debug)]
struct Case {
    name: &'static str,
    /// Time, incarnation, whether it has stopped, and age of its last read, of the last report.
    last_report: Option<(u64, u64, bool, Option<u64>)>,
    /// The incarnation that its host has announced since.
    announced: Option<u64>,
    /// For how long the deciding host has been reading the store.
    reads_for: u64,
    now: u64,
    /// Unanswered heartbeats since then.
    unanswered: u32,
    decided_at: Option<bool>,
}

const CASES: &[Case] = &[
    Case {
        name: "a new granting host has time to reply",
        last_report: None,
        announced: None,
        reads_for: 60_000,
        now: 1_200,
        unanswered: 3,
        decided_at: None,
    },
    Case {
        name: "one that never replied is replaced, and may still grant",
        last_report: None,
        announced: None,
        reads_for: 60_000,
        now: 1_400,
        unanswered: 3,
        decided_at: Some(false),
    },
    Case {
        name: "one that replied recently stays",
        last_report: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_900,
        unanswered: 3,
        decided_at: None,
    },
    Case {
        name: "an unresponsive one is replaced",
        last_report: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 6_400,
        unanswered: 3,
        decided_at: Some(false),
    },
    Case {
        name: "a host that was paused itself has sent too few heartbeats, and replaces none",
        last_report: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 9_000,
        unanswered: 2,
        decided_at: None,
    },
    Case {
        name: "a host that was cut off itself replaces none on its return",
        last_report: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 440,
        now: 9_000,
        unanswered: 10,
        decided_at: None,
    },
    Case {
        name: "but it does if there is no reply then either",
        last_report: Some((5_000, 5, false, Some(800))),
        announced: None,
        reads_for: 450,
        now: 9_000,
        unanswered: 10,
        decided_at: Some(false),
    },
    Case {
        name: "one that can't read the store is replaced by one that can",
        last_report: Some((5_000, 5, false, Some(2_700))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        unanswered: 3,
        decided_at: Some(false),
    },
    Case {
        name: "one that has just taken over and has read nothing yet stays",
        last_report: Some((400, 5, false, None)),
        announced: None,
        reads_for: 60_000,
        now: 500,
        unanswered: 0,
        decided_at: None,
    },
    Case {
        name: "but not if it still has not when its last read would be too old",
        last_report: Some((2_500, 5, false, None)),
        announced: None,
        reads_for: 60_000,
        now: 2_700,
        unanswered: 0,
        decided_at: Some(false),
    },
    Case {
        name: "but not by one that has read it only for a moment, as after an outage for all",
        last_report: Some((5_000, 5, false, Some(8_000))),
        announced: None,
        reads_for: 2_000,
        now: 5_100,
        unanswered: 3,
        decided_at: None,
    },
    Case {
        name: "one that still can't when others have for some time is replaced",
        last_report: Some((5_000, 5, false, Some(8_000))),
        announced: None,
        reads_for: 2_700,
        now: 5_100,
        unanswered: 3,
        decided_at: Some(false),
    },
    Case {
        name: "one that stopped has ended for certain",
        last_report: Some((5_000, 5, true, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        unanswered: 3,
        decided_at: Some(true),
    },
    Case {
        name: "one whose host announced another incarnation has ended for certain",
        last_report: Some((5_000, 5, false, Some(800))),
        announced: Some(6),
        reads_for: 60_000,
        now: 5_100,
        unanswered: 3,
        decided_at: Some(true),
    },
    Case {
        name: "also if that incarnation has a lower number, as after its clock was set back",
        last_report: None,
        announced: Some(3),
        reads_for: 60_000,
        now: 100,
        unanswered: 3,
        decided_at: Some(true),
    },
    Case {
        name: "one whose address another incarnation replies from has ended for certain",
        last_report: Some((5_000, 7, false, Some(800))),
        announced: None,
        reads_for: 60_000,
        now: 5_100,
        unanswered: 3,
        decided_at: Some(true),
    },
];

#[test]
fn a_granting_host_is_replaced_only_with_a_reason() {
    for case in CASES {
        let mut monitor = TakeoverMonitor::new(TakeoverSettings::default());
        let granter = HostIncarnation {
            host: HostId::new("h").expect("a valid name"),
            incarnation: Incarnation(5),
        };
        assert!(monitor.set_granter(at(0), &granter));
        assert!(!monitor.set_granter(at(1), &granter), "unchanged");
        if let Some((ms, incarnation, has_stopped, read_age)) = case.last_report {
            let status = GranterStatus {
                incarnation: Incarnation(incarnation),
                has_stopped,
                read_age: read_age.map(Duration::from_millis),
                unreachable_owners: 0,
            };
            monitor.granter_reported(at(ms), status);
        }
        (0..case.unanswered).for_each(|_| monitor.heartbeat_sent());
        let announced = case.announced.map(Incarnation);
        let decided_at = {
            let ctx = DecisionContext {
                newest: announced,
                reads_for: Duration::from_millis(case.reads_for),
                takeover_delay: TAKEOVER_DELAY,
                unreachable_owners: 0,
            };
            // An end that is certain must be known for as long as the takeover delay.
            let known = at(case.now) - TAKEOVER_DELAY;
            let _ = monitor.decide(known, &ctx);
            monitor.decide(at(case.now), &ctx)
        };
        let wanted = case
            .decided_at
            .map(|has_ended| TakeoverReason { has_ended });
        assert_eq!(decided_at, wanted, "{}", case.name);
    }
}

/// A host whose own link is saturated gets no replies, and asks other hosts whether they do.
#[test]
fn a_host_that_replies_to_others_is_not_replaced() {
    let granter = HostIncarnation {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(5),
    };
    let decides = |peer_report: Option<(u64, u64, u64)>| {
        let mut monitor = TakeoverMonitor::new(TakeoverSettings::default());
        monitor.set_granter(at(0), &granter);
        let suspected: Vec<_> = (0..3)
            .map(|_| {
                let is_suspected = monitor.is_suspected();
                monitor.heartbeat_sent();
                is_suspected
            })
            .collect();
        assert_eq!(suspected, [false, false, true]);
        if let Some((ms, incarnation, ago)) = peer_report {
            let ago = Duration::from_millis(ago);
            monitor.reported_by_peer(at(ms), Incarnation(incarnation), ago);
        }
        let ctx = DecisionContext {
            reads_for: Duration::from_mins(1),
            takeover_delay: TAKEOVER_DELAY,
            ..DecisionContext::default()
        };
        monitor.decide(at(2_000), &ctx).is_some()
    };
    assert!(decides(None));
    assert!(!decides(Some((1_500, 5, 300))));
    assert!(
        decides(Some((1_500, 4, 300))),
        "the report is of another incarnation"
    );
    assert!(decides(Some((1_500, 5, 1_000))), "the reply is too old");
}

/// All hosts learn at the same moment that the granter has ended; without delays each of them would
/// make a call to the store.
#[test]
fn hosts_that_learn_together_of_an_end_take_over_one_after_the_other() {
    let cfg = TakeoverSettings::default();
    let granter = HostIncarnation {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(5),
    };
    let status = GranterStatus {
        incarnation: granter.incarnation,
        has_stopped: true,
        read_age: Some(Duration::ZERO),
        unreachable_owners: 0,
    };
    let takes_at = |rank: usize| {
        let mut monitor = TakeoverMonitor::new(cfg);
        monitor.set_granter(at(0), &granter);
        monitor.granter_reported(at(0), status);
        let ctx = DecisionContext {
            reads_for: Duration::from_mins(1),
            takeover_delay: cfg.takeover_delay(rank, 0.5),
            ..DecisionContext::default()
        };
        (0..2_000_u64).find(|&ms| monitor.decide(at(ms), &ctx).is_some())
    };
    let times: Vec<_> = (0..5)
        .map(|rank| takes_at(rank).expect("it takes over"))
        .collect();
    assert_eq!(times, [0, 70, 140, 210, 280]);
    let within = |ms: u64| (0..295).filter(|&rank| takes_at(rank) < Some(ms)).count();
    // A commit and the notice of it take some 50 ms.
    assert_eq!(within(50), 1);
}

#[test]
fn the_longest_takeover_delay_ends_before_grants_expire() {
    let cfg = TakeoverSettings::default();
    assert_eq!(
        cfg.takeover_delay(0, 1.0),
        Duration::ZERO,
        "the first host has no delay"
    );
    // The last renewal may be as old as the time between two, and a commit and the first renewals
    // of the new granting host take some time.
    let assign = AssignSettings::default();
    let rest = Duration::from_millis(300);
    let latest = assign.renew_every + cfg.heartbeat_timeout + cfg.takeover_delay(5_000, 1.0) + rest;
    assert!(latest < assign.grant_ttl, "{latest:?}");
}

/// A granting host that had lost its links to the owners of keys kept its part, as it read the store
/// and answered heartbeats; no grant was renewed.
#[test]
fn a_granting_host_that_reaches_fewer_owners_is_replaced() {
    struct Case {
        granter: usize,
        own: usize,
        is_replaced: bool,
    }
    let cases = [
        (0, 0, false),
        (1, 0, true),
        (4, 4, false),
        (4, 2, true),
        (2, 4, false),
    ];
    for (granter, own, is_replaced) in cases {
        let case = Case {
            granter,
            own,
            is_replaced,
        };
        let granter = HostIncarnation {
            host: HostId::new("h").expect("a valid name"),
            incarnation: Incarnation(5),
        };
        let mut monitor = TakeoverMonitor::new(TakeoverSettings::default());
        monitor.set_granter(at(0), &granter);
        let status = GranterStatus {
            incarnation: granter.incarnation,
            has_stopped: false,
            read_age: Some(Duration::ZERO),
            unreachable_owners: case.granter,
        };
        let ctx = DecisionContext {
            reads_for: Duration::from_mins(1),
            takeover_delay: TAKEOVER_DELAY,
            unreachable_owners: case.own,
            ..DecisionContext::default()
        };
        monitor.granter_reported(at(0), status);
        assert_eq!(monitor.decide(at(0), &ctx), None, "others may be first");
        let decided = monitor.decide(at(0) + TAKEOVER_DELAY, &ctx);
        let wanted = case
            .is_replaced
            .then_some(TakeoverReason { has_ended: false });
        assert_eq!(decided, wanted, "{} against {}", case.granter, case.own);
    }
}
