//! Upstreams that misbehave: the caller gets the complete answer to its request, or a refusal with
//! the correct outcome.

mod support;

use std::time::Duration;

use support::caller::{Caller, get, post};
use support::rig::{Rig, RigSettings};
use support::until;

#[derive(Debug)]
struct Case {
    act: &'static str,
    path: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
    /// How often the upstream receives the request.
    times: usize,
}

const CASES: &[Case] = &[
    Case {
        act: "whole",
        path: "/any",
        status: 200,
        outcome: "answered",
        reason: "",
        times: 1,
    },
    Case {
        act: "half-head",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "upstream-reset",
        times: 1,
    },
    Case {
        act: "half-body",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "answer-cut",
        times: 1,
    },
    Case {
        act: "half-chunk",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "answer-cut",
        times: 1,
    },
    Case {
        act: "two-ends",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "answer-cut",
        times: 1,
    },
    Case {
        act: "unending",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "answer-cut",
        times: 1,
    },
    Case {
        act: "garbage",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "upstream-reset",
        times: 1,
    },
    Case {
        act: "drop",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "upstream-reset",
        times: 1,
    },
    Case {
        act: "other-id",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "answer-mismatch",
        times: 1,
    },
    Case {
        act: "no-id",
        path: "/any",
        status: 200,
        outcome: "answered",
        reason: "",
        times: 1,
    },
    Case {
        act: "no-id",
        path: "/echo",
        status: 502,
        outcome: "unknown",
        reason: "answer-mismatch",
        times: 1,
    },
    Case {
        act: "huge",
        path: "/any",
        status: 502,
        outcome: "unknown",
        reason: "answer-too-large",
        times: 1,
    },
    Case {
        act: "slow:5000",
        path: "/any",
        status: 504,
        outcome: "unknown",
        reason: "answer-timeout",
        times: 1,
    },
    // A request that the upstream did not execute is retried, within the retry budget.
    Case {
        act: "not-run",
        path: "/any",
        status: 503,
        outcome: "not-run",
        reason: "upstream-shed",
        times: 4,
    },
    // An idempotent request is retried after an unknown outcome.
    Case {
        act: "drop",
        path: "/look",
        status: 502,
        outcome: "unknown",
        reason: "upstream-reset",
        times: 4,
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_caller_gets_its_own_whole_answer_or_a_truthful_refusal() {
    for (n, case) in CASES.iter().enumerate() {
        let rig = Rig::start(RigSettings::default()).await;
        let mut caller = Caller::connect(rig.address(0)).await;
        let id = format!("req-{n}");
        let headers = [
            ("x-act", case.act),
            ("x-key", "ESNQ"),
            ("medlardyke-request-id", &id),
            ("medlardyke-deadline-ms", "400"),
        ];
        let got = caller.ask(post(case.path, &headers, "body")).await;
        let name = format!("{} at {}: {got:?}", case.act, case.path);
        assert_eq!(got.status, case.status, "{name}");
        assert_eq!(got.outcome(), case.outcome, "{name}");
        assert_eq!(got.reason(), case.reason, "{name}");
        assert_eq!(got.header("medlardyke-request-id"), id, "{name}");
        assert_eq!(rig.upstream.times(&id), case.times, "{name}");
        if case.outcome == "answered" {
            assert_eq!(got.body, format!("answer to {id}"), "{name}");
        }
    }
}

/// Whether a second request reuses the connection of the first one.
#[derive(Debug)]
struct Reuse {
    act: &'static str,
    /// Number of connections opened for both requests.
    connections: usize,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_clean_connections_are_reused() {
    let cases = [
        Reuse {
            act: "whole",
            connections: 1,
        },
        Reuse {
            act: "close",
            connections: 2,
        },
        Reuse {
            act: "close-silent",
            connections: 2,
        },
        Reuse {
            act: "twice",
            connections: 2,
        },
        Reuse {
            act: "late-extra:20",
            connections: 2,
        },
        Reuse {
            act: "other-id",
            connections: 2,
        },
        Reuse {
            act: "huge",
            connections: 2,
        },
        Reuse {
            act: "slow:150",
            connections: 2,
        },
    ];
    for case in cases {
        let rig = Rig::start(RigSettings::default()).await;
        let mut caller = Caller::connect(rig.address(0)).await;
        let first = [
            ("x-act", case.act),
            ("medlardyke-request-id", "first"),
            ("medlardyke-deadline-ms", "100"),
        ];
        caller.ask(post("/any", &first, "body")).await;
        // Waits for the data that the upstream sends late.
        tokio::time::sleep(Duration::from_millis(150)).await;
        let second = [("medlardyke-request-id", "second")];
        let got = caller.ask(post("/any", &second, "body")).await;
        let name = case.act;
        assert_eq!(got.body, "answer to second", "{name}: {got:?}");
        assert_eq!(rig.upstream.times("second"), 1, "{name}");
        assert_eq!(rig.upstream.opened(), case.connections, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_grant_is_not_run_and_reported_to_the_control_thread() {
    let mut rig = Rig::start(RigSettings::default()).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let headers = [("x-act", "grant"), ("medlardyke-deadline-ms", "100")];
    let got = caller.ask(post("/any", &headers, "body")).await;
    assert_eq!(got.outcome(), "not-run", "{got:?}");
    let event = rig.hosts[0].events.recv().await.expect("an event");
    let text = format!("{event:?}");
    assert!(text.contains("GrantRefused"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_headers_pass_neither_way() {
    let rig = Rig::start(RigSettings::default()).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let headers = [
        ("x-act", "control"),
        ("medlardyke-request-id", "mine"),
        ("medlardyke-epoch", "77"),
        ("medlardyke-slice", "5"),
        ("medlardyke-entry", "look"),
        ("medlardyke-anything", "x"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("x-plain", "kept"),
    ];
    let got = caller.ask(post("/any", &headers, "body")).await;
    assert_eq!(got.status, 201, "{got:?}");
    assert_eq!(got.header("x-plain"), "yes");
    for name in ["medlardyke-reason", "medlardyke-epoch", "keep-alive"] {
        assert_eq!(got.header(name), "", "{name}");
    }
    let seen = rig.upstream.last();
    assert_eq!(seen.header("medlardyke-request-id"), "mine");
    assert_eq!(seen.header("medlardyke-epoch"), "3");
    assert_eq!(seen.header("medlardyke-entry"), "any");
    assert_eq!(seen.header("x-plain"), "kept");
    for name in ["medlardyke-slice", "medlardyke-anything", "x-hop", "te"] {
        assert_eq!(seen.header(name), "", "{name}");
    }
    let left: u64 = seen.header("medlardyke-deadline-ms").parse().expect("ms");
    assert!((1..=2000).contains(&left), "{left}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_sent_without_a_lease() {
    let cases = [None, Some(Duration::from_millis(10))];
    for lease in cases {
        let rig = Rig::start(RigSettings {
            lease,
            ..RigSettings::default()
        })
        .await;
        let mut caller = Caller::connect(rig.address(0)).await;
        let headers = [
            ("x-key", "ESNQ"),
            ("medlardyke-request-id", "mine"),
            ("medlardyke-deadline-ms", "100"),
        ];
        let got = caller.ask(get("/look", &headers)).await;
        assert_eq!(got.outcome(), "not-run", "{lease:?}: {got:?}");
        assert_eq!(got.reason(), "no-lease", "{lease:?}");
        assert_eq!(rig.upstream.times("mine"), 0, "{lease:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_ends_the_exchange() {
    for coordinator in [0, 1] {
        let rig = Rig::start(RigSettings {
            hosts: 2,
            coordinator,
            ..RigSettings::default()
        })
        .await;
        let mut caller = Caller::connect(rig.address(0)).await;
        let headers = [("x-act", "slow:8000"), ("medlardyke-request-id", "mine")];
        caller.write(post("/any", &headers, "body")).await;
        let upstream = rig.upstream.clone();
        until("the upstream has the request", || {
            upstream.times("mine") == 1
        })
        .await;
        drop(caller);
        until("the upstream's connection is closed", || {
            upstream.aborted() == 1
        })
        .await;
        let metrics = rig.metrics(0);
        until("the caller is counted", || {
            metrics.refusals(ids::Reason::CallerGone) == 1
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn samples_record_the_cost_of_answers() {
    let mut rig = Rig::start(RigSettings::default()).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let headers = [("x-key", "ESNQ"), ("x-act", "slow:30")];
    caller.ask(get("/look", &headers)).await;
    let sample = rig.hosts[0].samples.recv().await.expect("a sample");
    assert_eq!(sample.entry, support::rig::entry("look"));
    assert!(sample.slice.is_some() && sample.key.is_some(), "{sample:?}");
    assert!(sample.work >= Duration::from_millis(25), "{sample:?}");
}
