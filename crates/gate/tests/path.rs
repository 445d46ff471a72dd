//! The request path end to end: caller, entry host, coordinating host, upstream and back.

mod support;

use gate::counters::Count;
use support::caller::{Caller, get, post};
use support::rig::{Rig, RigSettings};
use tokio::io::AsyncReadExt;

#[derive(Debug)]
struct Case {
    name: &'static str,
    coordinator: usize,
    request: String,
    line: &'static str,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_goes_to_the_upstream_and_its_answer_back() {
    let key = ("x-key", "ESNQ");
    let id = ("medlardyke-request-id", "req-1");
    let cases = [
        Case {
            name: "one host, key by header",
            coordinator: 0,
            request: get("/look/a/b?c=d", &[key, id]),
            line: "GET /look/a/b?c=d HTTP/1.1",
        },
        Case {
            name: "one host, key by segment",
            coordinator: 0,
            request: post("/seg/ESNQ", &[id], "landing"),
            line: "POST /seg/ESNQ HTTP/1.1",
        },
        Case {
            name: "two hosts, key by header",
            coordinator: 1,
            request: get("/look", &[key, id]),
            line: "GET /look HTTP/1.1",
        },
        Case {
            name: "two hosts, not divided",
            coordinator: 1,
            request: post("/any/x", &[id], "invoice"),
            line: "POST /any/x HTTP/1.1",
        },
    ];
    let joint_too = [false, true];
    for (case, joint) in cases.iter().flat_map(|c| joint_too.map(|j| (c, j))) {
        let rig = Rig::start(RigSettings {
            hosts: 2,
            coordinator: case.coordinator,
            joint,
            ..RigSettings::default()
        })
        .await;
        let mut caller = Caller::connect(rig.address(0)).await;
        let got = caller.ask(&case.request).await;
        let name = case.name;
        assert_eq!(got.status, 200, "{name}: {got:?}");
        assert_eq!(got.outcome(), "answered", "{name}");
        assert_eq!(got.header("medlardyke-request-id"), "req-1", "{name}");
        assert_eq!(got.body, "answer to req-1", "{name}");
        let seen = rig.upstream.last();
        assert_eq!(seen.line, case.line, "{name}");
        assert_eq!(seen.header("medlardyke-epoch"), "3", "{name}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_a_body_keeps_its_declared_length() {
    let rig = Rig::start(RigSettings::default()).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let head = get("/look", &[("x-key", "ESNQ"), ("x-act", "head")]).replacen("GET", "HEAD", 1);
    caller.write(head).await;
    let mut buf = [0; 1_024];
    let count = caller.stream.read(&mut buf).await.expect("an answer");
    let text = String::from_utf8_lossy(&buf[..count]).into_owned();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains("content-length: 7"), "{text}");
    assert!(text.contains("medlardyke-outcome: answered"), "{text}");
    let got = caller.ask(get("/look", &[("x-key", "ESNQ")])).await;
    assert_eq!(got.status, 200, "the connection stays open: {got:?}");
    assert_eq!(
        rig.upstream.opened(),
        1,
        "the upstream's connection stays open as well"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_too_large_for_a_frame_are_refused_and_the_connection_stays() {
    let rig = Rig::start(RigSettings {
        hosts: 2,
        coordinator: 1,
        ..RigSettings::default()
    })
    .await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let got = caller.ask(post("/bulk", &[], &"b".repeat(17 << 20))).await;
    assert_eq!(got.reason(), "body-too-large", "{got:?}");
    let got = caller.ask(post("/bulk", &[("x-act", "bulk")], "b")).await;
    assert_eq!(got.reason(), "answer-too-large", "{got:?}");
    let got = caller.ask(post("/bulk", &[], &"b".repeat(8 << 20))).await;
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(rig.metrics(0).total(Count::PeerFailed), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeat_gets_the_whole_kept_answer_and_does_not_run() {
    let rig = Rig::start(RigSettings::default()).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let request = post(
        "/seg/ESNQ",
        &[("medlardyke-request-id", "req-7")],
        "landing",
    );
    let first = caller.ask(&request).await;
    let again = caller.ask(&request).await;
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(again.body, "answer to req-7");
    assert_eq!(again.outcome(), "answered");
    assert_eq!(
        again.header("medlardyke-request-id"),
        first.header("medlardyke-request-id")
    );
    assert_eq!(rig.upstream.times("req-7"), 1);
}
