//! A host that stops aborts no request, over HTTP/1.1 and HTTP/2.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use bytes::Bytes;
use gate::{DispatchCommand, GateSettings, HostAnswer, HostEndpoints, HostRequest, Phase};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::caller::{Caller, get, post};
use support::rig::{Rig, RigSettings};
use support::until;
use tokio::net::TcpStream;

async fn http2(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("connect");
    let io = TokioIo::new(stream);
    let (sender, connection) = http2::handshake(TokioExecutor::new(), io)
        .await
        .expect("handshake");
    tokio::spawn(connection);
    sender
}

fn request(path: &str, id: &str, act: &str) -> Request<Full<Bytes>> {
    Request::post(format!("http://gate{path}"))
        .header("medlardyke-request-id", id)
        .header("x-key", "ESNQ")
        .header("x-act", act)
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("a request")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_streams_are_answered_each_with_its_own_answer() {
    let rig = Rig::start(RigSettings::default()).await;
    let sender = http2(rig.address(0)).await;
    let asks = (0..20).map(|n| {
        let mut sender = sender.clone();
        async move {
            let id = format!("req-{n}");
            let answer = sender.send_request(request("/look", &id, "slow:5")).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
            assert_eq!(answer.headers()["medlardyke-outcome"], "answered");
            let body = answer
                .into_body()
                .collect()
                .await
                .expect("a body")
                .to_bytes();
            assert_eq!(body, format!("answer to {id}"));
        }
    });
    futures::future::join_all(asks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reset_stream_ends_the_exchange() {
    let rig = Rig::start(RigSettings::default()).await;
    let mut sender = http2(rig.address(0)).await;
    let asked = sender.send_request(request("/any", "mine", "slow:8000"));
    let asked = tokio::spawn(asked);
    let upstream = rig.upstream.clone();
    until("the upstream has the request", || {
        upstream.times("mine") == 1
    })
    .await;
    asked.abort();
    until("the exchange ends", || upstream.aborted() == 1).await;
    let answer = sender.send_request(request("/any", "next", "")).await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_finishes_requests_in_flight() {
    let mut rig = Rig::start(RigSettings::default()).await;
    let address = rig.address(0);
    let mut one = Caller::connect(address).await;
    one.write(post(
        "/any",
        &[("x-act", "slow:400"), ("medlardyke-request-id", "one")],
        "b",
    ))
    .await;
    let mut two = http2(address).await;
    let two = tokio::spawn(two.send_request(request("/any", "two", "slow:400")));
    let mut idle = Caller::connect(address).await;
    assert_eq!(
        idle.ask(get("/look", &[("x-key", "ESNQ")])).await.status,
        200
    );
    let upstream = rig.upstream.clone();
    until("both requests run", || {
        upstream.times("one") + upstream.times("two") == 2
    })
    .await;

    let host = rig.hosts.remove(0);
    host.gate.stop();
    assert!(idle.read().await.is_none(), "idle connections are closed");
    until("no connection is accepted", || {
        std::net::TcpStream::connect(address).is_err()
    })
    .await;
    let got = one.read().await.expect("an answer");
    assert_eq!((got.status, got.body.as_str()), (200, "answer to one"));
    assert!(
        one.read().await.is_none(),
        "the connection is closed after it"
    );
    let got = two.await.expect("joined").expect("an answer");
    assert_eq!(got.status(), StatusCode::OK);

    let tx = host.dispatch.tx();
    tx.send(DispatchCommand::Stop)
        .await
        .expect("dispatch thread");
    drop(tx);
    tokio::task::spawn_blocking(move || {
        host.gate.join();
        host.dispatch.join();
    })
    .await
    .expect("both threads end");
}

/// An endpoint that blocks the callers' thread between two meetings at a barrier.
#[derive(Debug)]
struct Blocking(Arc<Barrier>);

impl HostEndpoints for Blocking {
    fn answer(&self, _request: HostRequest<'_>) -> Option<HostAnswer> {
        self.0.wait();
        self.0.wait();
        None
    }
}

/// Guards against requests that a planned stop cuts: their connections were opened, but not
/// accepted yet as the callers' thread was late, and were reset when the listener was closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stop_answers_requests_on_connections_that_were_not_accepted_yet() {
    const CALLERS: usize = 16;
    let barrier = Arc::new(Barrier::new(2));
    let rig = Rig::start(RigSettings {
        endpoints: Arc::new(Blocking(Arc::clone(&barrier))),
        ..RigSettings::default()
    })
    .await;
    let meet = || {
        let barrier = Arc::clone(&barrier);
        tokio::task::spawn_blocking(move || barrier.wait())
    };
    let mut blocking = Caller::connect(rig.address(0)).await;
    blocking.write(get("/medlardyke/blocking", &[])).await;
    meet().await.expect("the callers' thread is blocked");
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = Caller::connect(rig.address(0)).await;
        caller.write(get("/look", &[("x-key", "ESNQ")])).await;
        callers.push(caller);
    }
    rig.hosts[0].gate.stop();
    meet().await.expect("the callers' thread continues");
    for (n, mut caller) in callers.into_iter().enumerate() {
        let got = caller.read().await;
        let status = got.map(|got| got.status);
        assert_eq!(status, Some(200), "caller {n}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_ends_after_its_timeout() {
    let mut rig = Rig::start(RigSettings {
        gate: GateSettings {
            stop_ms: 100,
            ..GateSettings::default()
        },
        ..RigSettings::default()
    })
    .await;
    let mut caller = Caller::connect(rig.address(0)).await;
    let slow = [("x-act", "slow:8000"), ("medlardyke-deadline-ms", "8000")];
    caller.write(post("/any", &slow, "b")).await;
    let upstream = rig.upstream.clone();
    until("the request runs", || upstream.opened() == 1).await;
    let begin = Instant::now();
    let host = rig.hosts.remove(0);
    tokio::task::spawn_blocking(move || host.gate.join())
        .await
        .expect("the thread ends");
    assert!(begin.elapsed() < Duration::from_secs(5));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_health_check_reports_each_phase_and_a_leaving_host_closes_connections() {
    let rig = Rig::start(RigSettings::default()).await;
    let cases = [
        (Phase::Starting, 503, "starting\n"),
        (Phase::Serving, 200, "serving\n"),
        (Phase::Leaving, 503, "leaving\n"),
    ];
    for (phase, status, body) in cases {
        rig.hosts[0].cx.set_phase(phase);
        let mut caller = Caller::connect(rig.address(0)).await;
        let got = caller.ask(get("/medlardyke/health", &[])).await;
        assert_eq!((got.status, got.body.as_str()), (status, body), "{phase:?}");
        let mut caller = Caller::connect(rig.address(0)).await;
        let got = caller.ask(get("/look", &[("x-key", "ESNQ")])).await;
        assert_eq!(got.status, 200, "{phase:?}: {got:?}");
        let closes = got.header("connection") == "close";
        assert_eq!(closes, phase == Phase::Leaving, "{phase:?}: {got:?}");
    }
    let mut caller = Caller::connect(rig.address(0)).await;
    let got = caller.ask(get("/medlardyke/other", &[])).await;
    assert_eq!(got.status, 404);
}
