//! Tests of the dispatcher, one event after the other.
//!
//! Each step is the time in milliseconds, an event in the syntax of [`script`], and the expected
//! actions.

mod script;

use std::time::Duration;

use ids::Timestamp;
use route::{Dispatcher, DispatcherSettings, LimiterSettings, QueueOrder, QueueSettings};
use script::{ms, parse, show};

/// Time in milliseconds, event, actions.
type Step = (u64, &'static str, &'static [&'static str]);

#[derive(Default)]
struct Case {
    name: &'static str,
    settings: DispatcherSettings,
    steps: &'static [Step],
}

fn case(name: &'static str, steps: &'static [Step]) -> Case {
    Case {
        name,
        steps,
        ..Case::default()
    }
}

/// Runs each case on a dispatcher that coordinates `u1` under a lease on slice 1 until 10 s.
fn run(cases: &[Case]) {
    for case in cases {
        let mut dispatcher = Dispatcher::new(case.settings.clone());
        let mut actions = Vec::new();
        let first: [Step; 2] = [
            (0, "declare u1", &[]),
            (0, "lease u1 epoch=5 until=10000 slices=1", &[]),
        ];
        for (i, (at, event, expect)) in first.iter().chain(case.steps).enumerate() {
            let context = format!("{}: step {i}: {event}", case.name);
            actions.clear();
            dispatcher.step(ms(*at), parse(ms(*at), event), &mut actions);
            let shown: Vec<String> = actions.iter().map(show).collect();
            assert_eq!(shown, *expect, "{context}");
            assert_eq!(dispatcher.verify(), [], "{context}");
        }
    }
}

/// Settings under which waiting calls are dropped for their deadline alone.
fn fifo_settings() -> DispatcherSettings {
    DispatcherSettings {
        queue: QueueSettings {
            order: QueueOrder::Fifo,
            ..QueueSettings::default()
        },
        ..DispatcherSettings::default()
    }
}

#[test]
fn slots_and_connections() {
    run(&[
        case(
            "calls beyond the slots wait, and those beyond the queue are refused",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &[]),
                (0, "arrive 4", &[]),
                (0, "arrive 5", &[]),
                (0, "arrive 6", &["refuse 6 queue-full"]),
                (
                    9,
                    "answered 2",
                    &["answer 2 from 2", "keep 2", "send 3 u1 e5"],
                ),
                (
                    9,
                    "failed 1 upstream-reset",
                    &["refuse 1 upstream-reset", "send 4 u1 e5"],
                ),
            ],
        ),
        case(
            "additional slots are used at once",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &[]),
                (1, "declare u1 slots=3", &["send 3 u1 e5"]),
            ],
        ),
        case(
            "connections are limited separately",
            &[
                (0, "declare u1 connections=1", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &[]),
                (
                    5,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "send 2 u1 e5"],
                ),
            ],
        ),
        case(
            "without a queue, a call is sent or refused",
            &[
                (0, "declare u1 queue=0 slots=1", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["refuse 2 queue-full"]),
            ],
        ),
        case(
            "without slots nothing is sent",
            &[
                (0, "declare u1 slots=0", &[]),
                (0, "arrive 1 deadline=50", &[]),
                (50, "tick", &["refuse 1 deadline-expired"]),
            ],
        ),
    ]);
}

#[test]
fn deadlines() {
    run(&[
        case(
            "a call that can't finish in time is refused on arrival",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (100, "answered 1", &["answer 1 from 1", "keep 1"]),
                (100, "arrive 2", &["send 2 u1 e5"]),
                (100, "arrive 3", &["send 3 u1 e5"]),
                (
                    100,
                    "arrive 4 deadline=240",
                    &["refuse 4 deadline-too-short"],
                ),
                (100, "arrive 5 deadline=100", &["refuse 5 deadline-expired"]),
                (100, "arrive 6 deadline=300", &[]),
            ],
        ),
        case(
            "a waiting call is dropped once it can't finish in time",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (100, "answered 1", &["answer 1 from 1", "keep 1"]),
                (100, "arrive 2", &["send 2 u1 e5"]),
                (100, "arrive 3", &["send 3 u1 e5"]),
                (100, "arrive 4 deadline=300", &[]),
                (199, "tick", &[]),
                (200, "tick", &["refuse 4 deadline-too-short"]),
            ],
        ),
        case(
            "without an estimate a waiting call is dropped at its deadline",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3 deadline=50", &[]),
                (50, "tick", &["refuse 3 deadline-expired"]),
            ],
        ),
        case(
            "an idle upstream gets a call despite the estimate, to renew it",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (900, "answered 1", &["answer 1 from 1", "keep 1"]),
                (901, "arrive 2 deadline=950", &["send 2 u1 e5"]),
                (
                    901,
                    "arrive 3 deadline=950",
                    &["refuse 3 deadline-too-short"],
                ),
            ],
        ),
        case(
            "calls that waited too long in a standing queue are dropped, oldest first",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (10, "answered 1", &["answer 1 from 1", "keep 1"]),
                (10, "arrive 2", &["send 2 u1 e5"]),
                (10, "arrive 3", &["send 3 u1 e5"]),
                (10, "arrive 4", &[]),
                (
                    60,
                    "answered 2",
                    &["answer 2 from 2", "keep 2", "send 4 u1 e5"],
                ),
                (60, "arrive 5", &[]),
                (90, "arrive 6", &[]),
                (150, "arrive 7", &[]),
                (161, "arrive 8", &["refuse 5 overload"]),
                (
                    161,
                    "answered 3",
                    &["answer 3 from 3", "keep 3", "send 6 u1 e5"],
                ),
            ],
        ),
    ]);
}

/// Guards against calls that end without a known result at their deadline, because they were sent
/// when their answer could hardly come in time any more.
#[test]
fn calls_that_waited_long() {
    run(&[
        case(
            "without an estimate, a tenth of the total time must be left",
            &[
                (
                    0,
                    "arrive 1 waited=983 deadline=17",
                    &["refuse 1 deadline-too-short"],
                ),
                (0, "arrive 2 waited=890 deadline=110", &["send 2 u1 e5"]),
            ],
        ),
        case(
            "more than the mean service time must be left, also at an idle upstream",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (10, "answered 1", &["answer 1 from 1", "keep 1"]),
                (
                    10,
                    "arrive 2 waited=975 deadline=35",
                    &["refuse 2 deadline-too-short"],
                ),
                (10, "arrive 3 waited=974 deadline=36", &["send 3 u1 e5"]),
                (
                    10,
                    "arrive 4 waited=975 deadline=35",
                    &["refuse 4 deadline-too-short"],
                ),
                (10, "arrive 5 waited=974 deadline=36", &["send 5 u1 e5"]),
            ],
        ),
        case(
            "a call that has not waited is sent if the mean service time is left",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (10, "answered 1", &["answer 1 from 1", "keep 1"]),
                (10, "arrive 2", &["send 2 u1 e5"]),
                (10, "arrive 3 deadline=21", &["send 3 u1 e5"]),
            ],
        ),
        case(
            "a waiting call is dropped while its answer could still come, but not surely",
            &[
                (0, "declare u1 slots=1", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (10, "answered 1", &["answer 1 from 1", "keep 1"]),
                (10, "arrive 2", &["send 2 u1 e5"]),
                (10, "arrive 3 deadline=110", &[]),
                (84, "tick", &[]),
                (85, "tick", &["refuse 3 deadline-too-short"]),
            ],
        ),
        case(
            "a call released from a hold is dropped as well",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (10, "answered 1", &["answer 1 from 1", "keep 1"]),
                (10, "hold u1", &["drained u1 1"]),
                (10, "arrive 2 deadline=110", &[]),
                (84, "tick", &[]),
                (85, "tick", &["refuse 2 moving"]),
            ],
        ),
    ]);
}

#[test]
fn observations_adjust_the_limit() {
    run(&[
        case(
            "a restarted upstream's slots are opened one by one",
            &[
                (0, "restarted u1", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2 deadline=9000", &[]),
                (2_999, "tick", &["refuse 1 answer-timeout", "abort 1"]),
                (3_001, "tick", &["send 2 u1 e5"]),
            ],
        ),
        Case {
            name: "a shed call shrinks the limit; it grows back slowly",
            settings: fifo_settings(),
            steps: &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (1, "failed 1 upstream-shed", &["refuse 1 upstream-shed"]),
                (1, "arrive 3 deadline=9000", &[]),
                (
                    2,
                    "answered 2",
                    &["answer 2 from 2", "keep 2", "send 3 u1 e5"],
                ),
                (3, "arrive 4 deadline=9000", &[]),
                (1_999, "tick", &[]),
                (2_002, "tick", &["send 4 u1 e5"]),
            ],
        },
        case(
            "calls sent before the limit shrank don't shrink it again",
            &[
                (0, "declare u1 slots=4 connections=9", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &["send 3 u1 e5"]),
                (0, "arrive 4", &["send 4 u1 e5"]),
                (1, "failed 1 upstream-shed", &["refuse 1 upstream-shed"]),
                (1, "failed 2 upstream-shed", &["refuse 2 upstream-shed"]),
                (1, "failed 3 upstream-shed", &["refuse 3 upstream-shed"]),
                (1, "arrive 5", &["send 5 u1 e5"]),
                (1, "arrive 6", &["send 6 u1 e5"]),
                (1, "arrive 7", &[]),
            ],
        ),
        case(
            "an upstream's health report is used only without recent observations",
            &[
                (0, "unhealthy u1", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &[]),
                (
                    5,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "send 2 u1 e5"],
                ),
                (6, "arrive 5", &["send 5 u1 e5"]),
                (900, "answered 5", &["answer 5 from 5", "keep 5"]),
                (950, "answered 2", &["answer 2 from 2", "keep 2"]),
                (1_949, "unhealthy u1", &[]),
                (1_949, "arrive 3 deadline=9000", &["send 3 u1 e5"]),
                (1_949, "arrive 4 deadline=9000", &["send 4 u1 e5"]),
                (1_950, "unhealthy u1", &[]),
                (1_951, "arrive 6 deadline=9000", &[]),
                (
                    1_952,
                    "answered 3",
                    &["answer 3 from 3", "keep 3", "send 6 u1 e5"],
                ),
            ],
        ),
    ]);
}

#[test]
fn upstreams_that_fail() {
    run(&[
        case(
            "an upstream that keeps failing is probed by one call at a time",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &[]),
                (
                    1,
                    "failed 1 connect-failed",
                    &["refuse 1 connect-failed", "send 3 u1 e5"],
                ),
                (2, "failed 2 connect-failed", &["refuse 2 connect-failed"]),
                (2, "arrive 4", &["send 4 u1 e5"]),
                (2, "arrive 5", &[]),
                (
                    3,
                    "failed 3 connect-failed",
                    &["refuse 3 connect-failed", "refuse 5 connect-failed"],
                ),
                (4, "failed 4 connect-failed", &["refuse 4 connect-failed"]),
                (4, "arrive 6", &["refuse 6 connect-failed"]),
                (53, "arrive 7", &["send 7 u1 e5"]),
                (53, "arrive 8", &[]),
                (
                    54,
                    "answered 7",
                    &["answer 7 from 7", "keep 7", "send 8 u1 e5"],
                ),
            ],
        ),
        Case {
            name: "calls of a frozen upstream count as faults once they took far too long",
            settings: DispatcherSettings {
                limiter: LimiterSettings {
                    faults: 1,
                    ..LimiterSettings::default()
                },
                ..DispatcherSettings::default()
            },
            steps: &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (4, "answered 1", &["answer 1 from 1", "keep 1"]),
                (10, "arrive 2 deadline=60", &["send 2 u1 e5"]),
                (60, "tick", &["refuse 2 answer-timeout", "abort 2"]),
                (61, "arrive 3", &["send 3 u1 e5"]),
                (1_000, "tick", &["refuse 3 answer-timeout", "abort 3"]),
                (
                    1_001,
                    "arrive 4 deadline=9000",
                    &["refuse 4 connect-failed"],
                ),
            ],
        },
    ]);
}

#[test]
fn leases() {
    run(&[
        case(
            "nothing is sent under a lease that is about to end",
            &[
                (0, "lease u1 epoch=6 until=100 slices=1", &[]),
                (79, "arrive 1", &["send 1 u1 e6"]),
                (80, "arrive 2", &["refuse 2 no-lease"]),
                (81, "lease u1 epoch=6 until=200", &[]),
                (82, "arrive 3", &["send 3 u1 e6"]),
            ],
        ),
        case(
            "a lower epoch changes nothing, a higher one replaces a longer lease",
            &[
                (0, "lease u1 epoch=4 until=20000 slices=2", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "lease u1 epoch=6 until=500 slices=1", &[]),
                (490, "arrive 2", &["refuse 2 no-lease"]),
            ],
        ),
        case(
            "waiting calls are refused when the lease ends",
            &[
                (0, "lease u1 epoch=6 until=100", &[]),
                (0, "arrive 1", &["send 1 u1 e6"]),
                (0, "arrive 2", &["send 2 u1 e6"]),
                (0, "arrive 3", &[]),
                (80, "tick", &["refuse 3 no-lease"]),
                (90, "answered 1", &["answer 1 from 1", "keep 1"]),
            ],
        ),
        case(
            "a lease that ended early can be granted again",
            &[
                (0, "lease-ended u1", &[]),
                (0, "arrive 1", &["refuse 1 no-lease"]),
                (0, "lease u1 epoch=5 until=10000", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
            ],
        ),
        case(
            "only calls for slices of the lease are sent, also after waiting",
            &[
                (0, "arrive 1 slice=2", &["refuse 1 stale-route"]),
                (0, "arrive 2 slice=none", &["refuse 2 stale-route"]),
                (0, "arrive 3 upstream=u9", &["refuse 3 stale-route"]),
                (0, "arrive 4", &["send 4 u1 e5"]),
                (0, "arrive 5", &["send 5 u1 e5"]),
                (0, "arrive 6", &[]),
                (0, "lease u1 epoch=5 until=10000 slices=2", &[]),
                (
                    1,
                    "answered 4",
                    &["answer 4 from 4", "keep 4", "refuse 6 stale-route"],
                ),
            ],
        ),
    ]);
}

#[test]
fn callers_that_leave() {
    run(&[
        case(
            "the queue position of a disconnected waiting call is free",
            &[
                (0, "declare u1 queue=1", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &[]),
                (0, "disconnect 3", &[]),
                (0, "arrive 4", &[]),
                (
                    1,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "send 4 u1 e5"],
                ),
            ],
        ),
        case(
            "a call in flight is aborted; its slot is free once the upstream certainly stopped",
            &[
                (0, "arrive 9", &["send 9 u1 e5"]),
                (4, "answered 9", &["answer 9 from 9", "keep 9"]),
                (10, "arrive 1", &["send 1 u1 e5"]),
                (10, "arrive 2", &["send 2 u1 e5"]),
                (10, "arrive 3", &[]),
                (11, "disconnect 1", &["abort 1"]),
                (11, "failed 1 caller-gone", &[]),
                (39, "tick", &[]),
                (40, "tick", &["send 3 u1 e5"]),
                (41, "arrive 4", &[]),
            ],
        ),
        case(
            "a call past its deadline is aborted, and its connection counts until it is closed",
            &[
                (0, "declare u1 connections=2", &[]),
                (0, "arrive 1 deadline=40", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &[]),
                (40, "tick", &["refuse 1 answer-timeout", "abort 1"]),
                (60, "tick", &[]),
                (70, "failed 1 answer-timeout", &["send 3 u1 e5"]),
            ],
        ),
        case(
            "a late answer of an aborted call is discarded",
            &[
                (0, "arrive 1 deadline=40", &["send 1 u1 e5"]),
                (40, "tick", &["refuse 1 answer-timeout", "abort 1"]),
                (41, "answered 1", &[]),
                (42, "arrive 2 id=1", &["refuse 2 duplicate-unknown"]),
            ],
        ),
        case(
            "a disconnect that crosses the call's end is ignored",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (1, "answered 1", &["answer 1 from 1", "keep 1"]),
                (1, "disconnect 1", &[]),
            ],
        ),
    ]);
}

#[test]
fn repeats_of_requests_in_flight() {
    run(&[
        case(
            "a repeat of a call in flight ends as that call does",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2 id=1", &[]),
                (
                    1,
                    "answered 1",
                    &["answer 1 from 1", "answer 2 from 1", "keep 1"],
                ),
            ],
        ),
        case(
            "a repeat of a shed call gets the same refusal",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2 id=1", &[]),
                (
                    1,
                    "failed 1 upstream-shed",
                    &["refuse 1 upstream-shed", "refuse 2 upstream-shed"],
                ),
                (2, "arrive 3 id=1", &["send 3 u1 e5"]),
            ],
        ),
        case(
            "a repeat replaces a first call that disconnects unsent",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &[]),
                (0, "arrive 4 id=3", &[]),
                (0, "arrive 5 id=3", &[]),
                (1, "disconnect 3", &[]),
                (
                    2,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "send 4 u1 e5"],
                ),
                (
                    3,
                    "answered 4",
                    &["answer 4 from 4", "answer 5 from 4", "keep 4"],
                ),
            ],
        ),
        case(
            "a call in flight continues while a repeat waits for it",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2 id=1", &[]),
                (1, "disconnect 1", &[]),
                (2, "disconnect 2", &["abort 1"]),
                (3, "arrive 3 id=1", &["refuse 3 duplicate-unknown"]),
            ],
        ),
        case(
            "a repeat has a deadline of its own",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2 id=1 deadline=5", &[]),
                (0, "arrive 3", &["send 3 u1 e5"]),
                (0, "arrive 4", &[]),
                (0, "arrive 5 id=4 deadline=5", &[]),
                (
                    5,
                    "tick",
                    &["refuse 2 answer-timeout", "refuse 5 duplicate"],
                ),
                (
                    6,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "send 4 u1 e5"],
                ),
            ],
        ),
    ]);
}

#[test]
fn ids_used_again() {
    run(&[
        case(
            "an id with another fingerprint is another request, refused if not idempotent",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2 id=1 fingerprint=8", &["refuse 2 duplicate"]),
                (1, "answered 1", &["answer 1 from 1", "keep 1"]),
                (
                    1,
                    "arrive 3 id=1 fingerprint=8",
                    &["refuse 3 duplicate-unknown"],
                ),
                (1, "arrive 4 id=1", &["answer 4 from 1"]),
                (1, "arrive 5 id=1 entry=other", &["send 5 u1 e5"]),
            ],
        ),
        case(
            "an idempotent request with a used id and another fingerprint runs",
            &[
                (0, "arrive 1 idempotent", &["send 1 u1 e5"]),
                (
                    0,
                    "arrive 2 id=1 idempotent fingerprint=8",
                    &["send 2 u1 e5"],
                ),
                (1, "answered 2", &["answer 2 from 2"]),
                (1, "arrive 3 id=1 idempotent", &[]),
                (2, "answered 1", &["answer 1 from 1", "answer 3 from 1"]),
            ],
        ),
    ]);
}

#[test]
fn repeats_of_ended_requests() {
    run(&[
        case(
            "idempotent requests are not remembered and run again",
            &[
                (0, "arrive 1 idempotent", &["send 1 u1 e5"]),
                (1, "answered 1", &["answer 1 from 1"]),
                (2, "arrive 2 id=1 idempotent", &["send 2 u1 e5"]),
            ],
        ),
        case(
            "a request that may have run is not run again until its id is forgotten",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (1, "failed 1 answer-cut", &["refuse 1 answer-cut"]),
                (2, "arrive 2 id=1", &["refuse 2 duplicate-unknown"]),
                (70_000, "lease u1 epoch=5 until=90000", &[]),
                (70_000, "arrive 3 id=1 deadline=71000", &["send 3 u1 e5"]),
            ],
        ),
        Case {
            name: "answers over the byte limit are not kept, but their ids are",
            settings: DispatcherSettings {
                repeat_bytes: 15,
                ..DispatcherSettings::default()
            },
            steps: &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (1, "answered 1", &["answer 1 from 1", "keep 1"]),
                (1, "arrive 2", &["send 2 u1 e5"]),
                (2, "answered 2", &["answer 2 from 2", "keep 2", "discard 1"]),
                (3, "arrive 3 id=1", &["refuse 3 duplicate-unknown"]),
                (3, "arrive 4 id=2", &["answer 4 from 2"]),
                (3, "arrive 5", &["send 5 u1 e5"]),
                (4, "answered 5 bytes=16", &["answer 5 from 5"]),
                (61_000, "tick", &["discard 2"]),
            ],
        },
        Case {
            name: "the oldest ids are forgotten first",
            settings: DispatcherSettings {
                repeat_ids: 1,
                ..DispatcherSettings::default()
            },
            steps: &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (1, "answered 1", &["answer 1 from 1", "keep 1"]),
                (1, "arrive 2", &["send 2 u1 e5"]),
                (2, "answered 2", &["answer 2 from 2", "keep 2", "discard 1"]),
                (3, "arrive 3 id=1", &["send 3 u1 e5"]),
            ],
        },
    ]);
}

#[test]
fn moves() {
    run(&[
        case(
            "calls wait while their slice moves away, and are refused as stale-route",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &[]),
                (1, "hold u1", &[]),
                (1, "arrive 4", &[]),
                (2, "answered 1", &["answer 1 from 1", "keep 1"]),
                (
                    3,
                    "answered 2",
                    &["answer 2 from 2", "keep 2", "drained u1 1"],
                ),
                (
                    4,
                    "release u1",
                    &["refuse 3 stale-route", "refuse 4 stale-route"],
                ),
            ],
        ),
        case(
            "calls continue at an upstream that this host coordinates too",
            &[
                (0, "declare u2", &[]),
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "hold u1", &[]),
                (0, "arrive 2", &[]),
                (
                    1,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "drained u1 1"],
                ),
                (1, "lease u2 epoch=9 until=10000 slices=1", &[]),
                (2, "release u1 to=u2", &["send 2 u2 e9"]),
            ],
        ),
        case(
            "the new owner's host holds early calls until it has the slice",
            &[
                (0, "lease u1 epoch=5 until=10000 slices=", &[]),
                (0, "hold u1", &["drained u1 1"]),
                (0, "arrive 1", &[]),
                (1, "lease u1 epoch=5 until=10000 slices=1", &[]),
                (1, "release u1 to=u1", &["send 1 u1 e5"]),
            ],
        ),
        case(
            "an aborted call keeps its slice from being drained until it certainly stopped",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (1, "disconnect 1", &["abort 1"]),
                (1, "hold u1", &[]),
                (2, "failed 1 caller-gone", &[]),
                (1_019, "tick", &[]),
                (1_020, "tick", &["drained u1 1"]),
            ],
        ),
        case(
            "calls do not wait for a move that takes too long",
            &[
                (0, "hold u1", &["drained u1 1"]),
                (500, "arrive 1 deadline=9000", &[]),
                (1_999, "tick", &[]),
                (2_000, "tick", &["refuse 1 moving"]),
            ],
        ),
        case(
            "the queue limit also applies to held calls",
            &[
                (0, "hold u1", &["drained u1 1"]),
                (0, "arrive 1", &[]),
                (0, "arrive 2", &[]),
                (0, "arrive 3", &[]),
                (0, "arrive 4", &["refuse 4 queue-full"]),
                (0, "disconnect 1", &[]),
                (0, "arrive 5", &[]),
            ],
        ),
    ]);
}

#[test]
fn keys_carved_out() {
    run(&[
        case(
            "a hold of all calls is drained once none is in flight",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "hold u1 all", &[]),
                (0, "arrive 2", &[]),
                (
                    1,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "drained u1"],
                ),
                (2, "release u1 all", &["refuse 2 stale-route"]),
            ],
        ),
        case(
            "a call that came before its key was carved out moves with the key",
            &[
                (0, "arrive 1 key=7", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3 key=7", &[]),
                (1, "hot u1 key=7", &[]),
                (1, "hold u1 key=7", &[]),
                (2, "answered 2", &["answer 2 from 2", "keep 2"]),
                (
                    3,
                    "answered 1",
                    &[
                        "answer 1 from 1",
                        "keep 1",
                        "drained u1 hot-0000000000000003",
                    ],
                ),
                (4, "release u1 key=7", &["refuse 3 stale-route"]),
                (5, "arrive 4 key=7", &["refuse 4 stale-route"]),
            ],
        ),
        case(
            "calls of a key that was carved out don't keep its old slice from moving",
            &[
                (0, "lease u1 epoch=5 until=10000 slices=1,h8", &[]),
                (0, "hot u1 key=8", &[]),
                (0, "arrive 1 key=8", &["send 1 u1 e5"]),
                (0, "hold u1", &["drained u1 1"]),
            ],
        ),
        case(
            "a call of a key that was folded back keeps any slice from moving until it ends",
            &[
                (0, "lease u1 epoch=5 until=10000 slices=1,h8", &[]),
                (0, "hot u1 key=8", &[]),
                (0, "arrive 1 key=8", &["send 1 u1 e5"]),
                (0, "hot u1", &[]),
                (0, "hold u1", &[]),
                (
                    1,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "drained u1 1"],
                ),
            ],
        ),
        case(
            "a held hot slice counts its key's calls before the key is known to be carved out",
            &[
                (0, "arrive 1 key=8", &["send 1 u1 e5"]),
                (0, "hold u1 key=8", &[]),
                (0, "arrive 2 key=8", &[]),
                (
                    1,
                    "answered 1",
                    &[
                        "answer 1 from 1",
                        "keep 1",
                        "drained u1 hot-0000000000000004",
                    ],
                ),
                (2, "release u1 key=8", &["refuse 2 stale-route"]),
            ],
        ),
        case(
            "a waiting call whose key is carved out waits behind the hold of its new slice",
            &[
                (0, "declare u1 slots=1", &[]),
                (0, "arrive 1 key=20", &["send 1 u1 e5"]),
                (0, "arrive 2 key=8", &[]),
                (0, "hold u1 key=8", &["drained u1 hot-0000000000000004"]),
                (0, "hot u1 key=8", &[]),
                (1, "answered 1", &["answer 1 from 1", "keep 1"]),
                (1, "lease u1 epoch=5 until=10000 slices=1,h8", &[]),
                (1, "release u1 key=8 to=u1", &["send 2 u1 e5"]),
            ],
        ),
    ]);
}

#[test]
fn upstreams_that_leave() {
    run(&[
        case(
            "a draining upstream gets no new calls and finishes those in flight",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "arrive 2", &["send 2 u1 e5"]),
                (0, "arrive 3", &[]),
                (1, "draining u1", &["refuse 3 moving"]),
                (1, "arrive 4", &["refuse 4 moving"]),
                (2, "answered 1", &["answer 1 from 1", "keep 1"]),
                (
                    3,
                    "answered 2",
                    &["answer 2 from 2", "keep 2", "drained u1"],
                ),
                (4, "declare u1", &[]),
                (4, "arrive 5", &["send 5 u1 e5"]),
            ],
        ),
        case(
            "a draining upstream's undivided calls are refused as stale-route, to be served elsewhere",
            &[
                (0, "declare u1 undivided", &[]),
                (0, "arrive 1 slice=none", &["send 1 u1 e5"]),
                (1, "draining u1", &[]),
                (1, "arrive 2 slice=none", &["refuse 2 stale-route"]),
                (
                    2,
                    "answered 1",
                    &["answer 1 from 1", "keep 1", "drained u1"],
                ),
            ],
        ),
        case(
            "calls in flight at a removed upstream end as usual",
            &[
                (0, "arrive 1", &["send 1 u1 e5"]),
                (0, "hold u1", &[]),
                (0, "arrive 2", &[]),
                (1, "removed u1", &["refuse 2 stale-route"]),
                (1, "arrive 3", &["refuse 3 stale-route"]),
                (2, "answered 1", &["answer 1 from 1", "keep 1"]),
                (3, "arrive 4", &["refuse 4 stale-route"]),
            ],
        ),
    ]);
}

#[test]
fn wakes() {
    struct Wake {
        name: &'static str,
        events: &'static [(u64, &'static str)],
        /// Milliseconds; never if none.
        expect: Option<u64>,
    }
    let cases = [
        Wake {
            name: "nothing is due while nothing is in flight",
            events: &[(0, "arrive 1"), (5, "answered 1")],
            expect: None,
        },
        Wake {
            name: "a deadline",
            events: &[(0, "arrive 1 deadline=700"), (0, "arrive 2")],
            expect: Some(700),
        },
        Wake {
            name: "the end of the lease under which a call waits",
            events: &[
                (0, "declare u1 slots=1"),
                (0, "lease u1 epoch=6 until=500"),
                (0, "arrive 1"),
                (0, "arrive 2"),
            ],
            expect: Some(480),
        },
        Wake {
            name: "the end of a hold",
            events: &[(0, "hold u1"), (0, "arrive 1 deadline=9000")],
            expect: Some(2_000),
        },
        Wake {
            name: "a slot that is opened while a call waits",
            events: &[
                (0, "restarted u1"),
                (0, "arrive 1 deadline=9000"),
                (0, "arrive 2 deadline=9000"),
            ],
            expect: Some(3_000),
        },
        Wake {
            name: "the time from which a waiting call would be late",
            events: &[
                (0, "declare u1 slots=1"),
                (0, "arrive 1"),
                (100, "answered 1"),
                (100, "arrive 2"),
                (100, "arrive 3 deadline=800"),
            ],
            // The deadline less the mean of 100 ms and three mean deviations of 50 ms.
            expect: Some(550),
        },
    ];
    for case in cases {
        let mut dispatcher = Dispatcher::new(fifo_settings());
        let mut actions = Vec::new();
        let first = [
            (0, "declare u1"),
            (0, "lease u1 epoch=5 until=10000 slices=1"),
        ];
        let mut now = ms(0);
        for &(at, event) in first.iter().chain(case.events) {
            now = ms(at);
            dispatcher.step(now, parse(now, event), &mut actions);
        }
        let wake = dispatcher.next_wake(now);
        let expect = case.expect.map_or(Timestamp::NEVER, ms);
        // Slots open up to a microsecond after the computed time.
        let late = wake.since(expect) + expect.since(wake);
        assert!(late <= Duration::from_micros(1), "{}: {wake}", case.name);
    }
}
