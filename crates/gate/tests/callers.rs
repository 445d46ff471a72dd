//! Callers that misbehave get a clear refusal, are counted, and do not affect other callers.

mod support;

use std::time::{Duration, Instant};

use gate::GateSettings;
use ids::Reason;
use support::caller::{Caller, Response, get, post};
use support::rig::{Rig, RigSettings};
use support::until;

/// Bytes that a caller sends, and the expected refusal.
struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    /// Status; zero if the connection ends without an answer.
    status: u16,
    reason: Reason,
    /// Whether the HTTP library refuses the request itself, without the headers of a refusal.
    bare: bool,
}

impl Case {
    fn new(name: &'static str, bytes: impl Into<Vec<u8>>, status: u16, reason: Reason) -> Self {
        Self {
            name,
            bytes: bytes.into(),
            status,
            reason,
            bare: false,
        }
    }

    fn bare(self) -> Self {
        Self { bare: true, ..self }
    }
}

fn key() -> (&'static str, &'static str) {
    ("x-key", "ESNQ")
}

fn heads() -> Vec<Case> {
    let two_lengths =
        "POST /any HTTP/1.1\r\nhost: g\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx";
    let with = |framing: &str| format!("POST /any HTTP/1.1\r\nhost: g\r\n{framing}\r\n0\r\n\r\n");
    let length_first = with("content-length: 5\r\ntransfer-encoding: chunked\r\n");
    let encoding_first = with("transfer-encoding: chunked\r\ncontent-length: 5\r\n");
    let long = get("/look", &[key(), ("x-long", &"x".repeat(9_000))]);
    let longer = get("/look", &[key(), ("x-long", &"x".repeat(80_000))]);
    let bad_id = get("/look", &[key(), ("medlardyke-request-id", "a b")]);
    let bad = Reason::BadRequest;
    vec![
        Case::new("garbage", "\x16\x03\x01\x02\r\n\r\n", 400, bad).bare(),
        Case::new("no version", "GET /look\r\n\r\n", 400, bad).bare(),
        Case::new("two lengths", two_lengths, 400, bad).bare(),
        Case::new("length, then encoding", length_first, 400, bad).bare(),
        Case::new("encoding, then length", encoding_first, 400, bad).bare(),
        Case::new("bad request id", bad_id, 400, bad),
        Case::new("head over the limit", long, 431, Reason::HeadTooLarge),
        Case::new("head far over the limit", longer, 431, Reason::HeadTooLarge).bare(),
        Case::new("slow head", "GET /look HT", 0, Reason::BodyTimeout).bare(),
        Case::new("nothing", "", 0, Reason::BodyTimeout).bare(),
    ]
}

fn bodies() -> Vec<Case> {
    let body = "b".repeat(70_000);
    let chunked = "POST /any HTTP/1.1\r\nhost: gate\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = format!("{chunked}{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let bad_chunk = format!("{chunked}zz\r\n");
    let slow = "POST /any HTTP/1.1\r\nhost: g\r\ncontent-length: 9\r\n\r\nabc";
    let whole = post("/any", &[], &body);
    vec![
        Case::new("bad chunk", bad_chunk, 400, Reason::BadRequest),
        Case::new("body over the limit", whole, 413, Reason::BodyTooLarge),
        Case::new("chunks over the limit", chunks, 413, Reason::BodyTooLarge),
        Case::new("slow body", slow, 408, Reason::BodyTimeout),
    ]
}

fn paths() -> Vec<Case> {
    let with_key = |path: &str| get(path, &[key()]);
    let deadline = |text: &str| get("/look", &[key(), ("medlardyke-deadline-ms", text)]);
    let empty = get("/look", &[("x-key", "")]);
    vec![
        Case::new("no key", get("/look", &[]), 400, Reason::MissingKey),
        Case::new("empty key", empty, 400, Reason::MissingKey),
        Case::new("no segment", get("/seg", &[]), 400, Reason::MissingKey),
        Case::new("no entry", with_key("/"), 404, Reason::UnknownEntry),
        Case::new(
            "unknown entry",
            with_key("/other/x"),
            404,
            Reason::UnknownEntry,
        ),
        Case::new("dots", with_key("/look/../any"), 400, Reason::BadRequest),
        Case::new(
            "hidden dots",
            with_key("/look/%2e%2E/any"),
            400,
            Reason::BadRequest,
        ),
        Case::new(
            "deadline of zero",
            deadline("0"),
            504,
            Reason::DeadlineExpired,
        ),
        Case::new(
            "deadline of words",
            deadline("soon"),
            400,
            Reason::BadDeadline,
        ),
        Case::new(
            "negative deadline",
            deadline("-5"),
            400,
            Reason::BadDeadline,
        ),
    ]
}

fn settings() -> RigSettings {
    RigSettings {
        gate: GateSettings {
            header_bytes: 8_192,
            header_timeout_ms: 150,
            body_timeout_ms: 150,
            ..GateSettings::default()
        },
        ..RigSettings::default()
    }
}

fn check_problem(name: &str, got: &Response, reason: Reason) {
    assert_eq!(got.reason(), reason.as_str(), "{name}: {got:?}");
    assert_eq!(got.outcome(), reason.outcome().as_str(), "{name}");
    assert_eq!(
        got.header("content-type"),
        "application/problem+json",
        "{name}"
    );
    let problem: serde_json::Value = serde_json::from_str(&got.body).expect(name);
    assert_eq!(problem["status"], reason.status(), "{name}");
    assert_eq!(problem["outcome"], reason.outcome().as_str(), "{name}");
    assert_eq!(problem["reason"], reason.as_str(), "{name}");
    assert_eq!(
        problem["request_id"],
        got.header("medlardyke-request-id"),
        "{name}"
    );
    assert!(
        problem["type"].is_string() && problem["title"].is_string(),
        "{name}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_gets_a_clear_refusal_and_harms_nobody() {
    let rig = Rig::start(settings()).await;
    for case in heads().into_iter().chain(bodies()).chain(paths()) {
        let name = case.name;
        let before = rig.metrics(0).refusals(case.reason);
        let mut caller = Caller::connect(rig.address(0)).await;
        caller.write(&case.bytes).await;
        let got = caller.read().await;
        let status = got.as_ref().map_or(0, |g| g.status);
        assert_eq!(status, case.status, "{name}: {got:?}");
        if let (Some(got), false) = (&got, case.bare) {
            check_problem(name, got, case.reason);
        }
        until(name, || rig.metrics(0).refusals(case.reason) > before).await;
    }
    assert_eq!(rig.upstream.opened(), 0, "nothing was forwarded");
    let mut caller = Caller::connect(rig.address(0)).await;
    let got = caller.ask(get("/look", &[key()])).await;
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(
        got.header("medlardyke-request-id").len(),
        32,
        "an id was generated"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_serves_one_request_after_another_and_refusals_too() {
    let rig = Rig::start(RigSettings::default()).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    for n in 0..5 {
        let id = format!("req-{n}");
        let headers = [key(), ("medlardyke-request-id", &id)];
        let got = caller.ask(get("/look", &headers)).await;
        assert_eq!(got.body, format!("answer to {id}"));
        let got = caller.ask(get("/look", &[])).await;
        assert_eq!(got.reason(), "missing-key");
    }
    // Pipelined requests are answered in their order.
    let one = get("/look", &[key(), ("medlardyke-request-id", "one")]);
    let two = get("/look", &[key(), ("medlardyke-request-id", "two")]);
    caller.write(format!("{one}{two}")).await;
    assert_eq!(caller.read().await.expect("one").body, "answer to one");
    assert_eq!(caller.read().await.expect("two").body, "answer to two");
}

/// Guards against requests that cross the close of their connection: the time between two requests
/// counted as time for a head, so that connections were closed after a few idle seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idle_connection_outlasts_the_timeout_of_heads() {
    let cfg = settings();
    let head_timeout = Duration::from_millis(cfg.gate.header_timeout_ms.into());
    let rig = Rig::start(cfg).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    for n in 0..2 {
        let id = format!("req-{n}");
        let got = caller
            .ask(get("/look", &[key(), ("medlardyke-request-id", &id)]))
            .await;
        assert_eq!(got.body, format!("answer to {id}"));
        tokio::time::sleep(head_timeout * 3).await;
    }
    let started = Instant::now();
    caller.write("GET /look HTTP/1.1\r\nhost: ga").await;
    assert!(
        caller.read().await.is_none(),
        "an incomplete head is given up"
    );
    assert!(started.elapsed() >= head_timeout, "{:?}", started.elapsed());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_over_the_limit_are_closed_at_once() {
    let rig = Rig::start(RigSettings {
        gate: GateSettings {
            max_connections: 2,
            ..GateSettings::default()
        },
        ..RigSettings::default()
    })
    .await;
    let mut callers = Vec::new();
    for _ in 0..2 {
        let mut caller = Caller::connect(rig.address(0)).await;
        assert_eq!(caller.ask(get("/look", &[key()])).await.status, 200);
        callers.push(caller);
    }
    let mut third = Caller::connect(rig.address(0)).await;
    assert!(third.read().await.is_none());
    callers.clear();
    let metrics = rig.metrics(0);
    until("the connections are closed", || {
        metrics.total(gate::counters::Count::CallersClosed) == 2
    })
    .await;
    let mut fourth = Caller::connect(rig.address(0)).await;
    assert_eq!(fourth.ask(get("/look", &[key()])).await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_are_held_up_to_a_total() {
    let rig = Rig::start(RigSettings {
        gate: GateSettings {
            buffered_bytes: 50_000,
            ..GateSettings::default()
        },
        ..RigSettings::default()
    })
    .await;
    let body = "b".repeat(30_000);
    let mut first = Caller::connect(rig.address(0)).await;
    let slow = [("x-act", "slow:500"), ("medlardyke-request-id", "first")];
    first.write(post("/any", &slow, &body)).await;
    let upstream = rig.upstream.clone();
    until("the first body is held", || upstream.times("first") == 1).await;
    let mut second = Caller::connect(rig.address(0)).await;
    let got = second.ask(post("/any", &[], &body)).await;
    assert_eq!(got.reason(), "overload", "{got:?}");
    assert_eq!(first.read().await.expect("an answer").status, 200);
    let mut third = Caller::connect(rig.address(0)).await;
    assert_eq!(third.ask(post("/any", &[], &body)).await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_queue_sends_a_retry_delay() {
    let rig = Rig::start(RigSettings::default()).await;
    let headers = [("x-act", "slow:300"), ("medlardyke-deadline-ms", "1000")];
    let mut callers = Vec::new();
    for _ in 0..90 {
        let mut caller = Caller::connect(rig.address(0)).await;
        caller.write(post("/any", &headers, "body")).await;
        callers.push(caller);
    }
    let mut refused = 0;
    for mut caller in callers {
        let got = caller.read().await.expect("an answer");
        if got.status == 200 {
            continue;
        }
        refused += 1;
        assert_eq!(got.outcome(), "not-run", "{got:?}");
        if got.reason() == "queue-full" {
            assert_ne!(got.header("retry-after"), "", "{got:?}");
            let problem: serde_json::Value = serde_json::from_str(&got.body).expect("JSON");
            assert!(problem["retry_after_ms"].as_u64() > Some(0), "{got:?}");
        }
    }
    assert!(refused > 10, "{refused}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_starting_host_says_that_it_has_no_catalogue() {
    let rig = Rig::start(RigSettings::default()).await;
    let empty = std::sync::Arc::new(route::Router::default());
    rig.hosts[0].cx.router.store(empty);
    let mut caller = Caller::connect(rig.address(0)).await;
    let got = caller.ask(get("/look", &[key()])).await;
    check_problem("no catalogue", &got, Reason::NoCatalogue);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_aborts_its_body_is_counted() {
    let rig = Rig::start(RigSettings::default()).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    caller
        .write("POST /any HTTP/1.1\r\nhost: g\r\ncontent-length: 9\r\n\r\nabc")
        .await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    drop(caller);
    let metrics = rig.metrics(0);
    let aborted = || metrics.refusals(Reason::CallerGone) + metrics.refusals(Reason::BadRequest);
    until("the abort is counted", || aborted() == 1).await;
    assert_eq!(rig.upstream.opened(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_its_answers_is_disconnected() {
    let rig = Rig::start(RigSettings {
        gate: GateSettings {
            write_timeout_ms: 100,
            ..GateSettings::default()
        },
        ..RigSettings::default()
    })
    .await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let one = get("/look", &[key(), ("x-act", "big")]);
    caller.write(one.repeat(300)).await;
    let metrics = rig.metrics(0);
    let closed = || metrics.total(gate::counters::Count::CallersClosed) == 1;
    until("the connection is closed", closed).await;
    let answered = metrics.total(gate::counters::Count::Answered);
    assert!(answered < 300, "{answered}");
}

/// Guards against a request lost at the stop of a host: a caller may send its next request while
/// the host closes the connection. The host keeps idle connections open for some time to answer it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_on_a_kept_connection_of_a_stopping_host_is_answered() {
    let rig = Rig::start(RigSettings::default()).await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let ask = |id: &str| get("/look", &[key(), ("medlardyke-request-id", id)]);
    assert_eq!(caller.ask(ask("before")).await.body, "answer to before");
    rig.hosts[0].gate.stop();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let got = caller.ask(ask("after")).await;
    assert_eq!(got.body, "answer to after");
    assert_eq!(got.header("connection"), "close");
    assert!(caller.read().await.is_none(), "the connection stays open");
}
