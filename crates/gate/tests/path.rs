//! The path end to end: caller, host, coordinating host, upstream and back.

mod support;

use support::caller::{Caller, get, post};
use support::rig::{Rig, RigSettings};

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
    for case in cases {
        let rig = Rig::start(RigSettings {
            hosts: 2,
            coordinator: case.coordinator,
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
