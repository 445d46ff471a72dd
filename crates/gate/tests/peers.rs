//! Connections between hosts: their faults, and the outcomes that the entry host reports.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::SinkExt;
use gate::counters::Count;
use gate::{GateContext, PeerTable};
use ids::Reason;
use support::caller::{Caller, get, post};
use support::rig::{Rig, RigSettings};
use support::{until, unused_address};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;
use wire::FrameCodec;
use wire::dispatch::{Cancel, DispatchFrame, DispatchMessage, Header, Reply, Request};

async fn two_hosts() -> Rig {
    Rig::start(RigSettings {
        hosts: 2,
        coordinator: 1,
        ..RigSettings::default()
    })
    .await
}

/// Sets `address` as the coordinating host's address at another host.
fn redirect(cx: &GateContext, to: &Rig, address: SocketAddr) {
    let dispatch = [(to.hosts[1].id.clone(), address)].into_iter().collect();
    cx.peers.store(Arc::new(PeerTable { dispatch }));
}

/// How a coordinating host fails.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Does not listen.
    Refuses,
    /// Closes each connection at once.
    Closes,
    /// Reads some bytes and closes.
    ReadsAndCloses,
    /// Waits, then reads some bytes and closes.
    ReadsLateAndCloses,
    /// Reads and never replies.
    Unresponsive,
    /// Sends bytes that are not a frame.
    Garbage,
    /// Replies to other calls only.
    RepliesToOthers,
}

async fn faulty_host(fault: Fault) -> SocketAddr {
    if matches!(fault, Fault::Refuses) {
        let (socket, address) = unused_address();
        // Keeps the port until the test ends.
        tokio::spawn(async move {
            let _socket = socket;
            std::future::pending::<()>().await;
        });
        return address;
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(fail(stream, fault));
        }
    });
    address
}

async fn fail(mut stream: TcpStream, fault: Fault) {
    let mut buf = [0; 4_096];
    match fault {
        Fault::Refuses | Fault::Closes => {}
        Fault::ReadsAndCloses => drop(stream.read(&mut buf).await),
        Fault::ReadsLateAndCloses => {
            tokio::time::sleep(Duration::from_millis(300)).await;
            drop(stream.read(&mut buf).await);
        }
        Fault::Unresponsive => while stream.read(&mut buf).await.unwrap_or(0) > 0 {},
        Fault::Garbage => {
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(b"\x00\x00\x00\x03abc").await;
            while stream.read(&mut buf).await.unwrap_or(0) > 0 {}
        }
        Fault::RepliesToOthers => {
            let _ = stream.read(&mut buf).await;
            let reply = Reply {
                call: 1_000,
                ..Reply::default()
            };
            let mut stream = Framed::new(stream, FrameCodec::default());
            let _ = stream.send(reply).await;
            let mut stream = stream.into_inner();
            while stream.read(&mut buf).await.unwrap_or(0) > 0 {}
        }
    }
}

#[derive(Debug)]
struct Case {
    fault: Fault,
    outcomes: &'static [&'static str],
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_outcome_shows_whether_the_request_may_have_been_sent() {
    let cases = [
        Case {
            fault: Fault::Refuses,
            outcomes: &["not-run"],
        },
        Case {
            // The frame may have been written before the close was received.
            fault: Fault::Closes,
            outcomes: &["not-run", "unknown"],
        },
        Case {
            fault: Fault::ReadsAndCloses,
            outcomes: &["unknown"],
        },
        Case {
            fault: Fault::Unresponsive,
            outcomes: &["unknown"],
        },
        Case {
            fault: Fault::Garbage,
            outcomes: &["unknown"],
        },
    ];
    for case in cases {
        let rig = two_hosts().await;
        let address = faulty_host(case.fault).await;
        redirect(&rig.hosts[0].cx, &rig, address);
        let mut caller = Caller::connect(rig.address(0)).await;
        let headers = [("medlardyke-deadline-ms", "300")];
        let begin = Instant::now();
        let got = caller.ask(post("/any", &headers, "body")).await;
        let name = format!("{case:?}: {got:?}");
        assert!(case.outcomes.contains(&got.outcome()), "{name}");
        assert!(begin.elapsed() < Duration::from_millis(900), "{name}");
        assert_eq!(rig.upstream.opened(), 0, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partly_sent_request_is_not_run() {
    check_partly_sent_is_not_run(Fault::ReadsAndCloses).await;
}

/// Guards against an `unknown` outcome where `not-run` is certain: the deadline passes during the
/// last attempt, when only a part of the request was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_partly_sent_at_its_deadline_is_not_run() {
    check_partly_sent_is_not_run(Fault::ReadsLateAndCloses).await;
}

async fn check_partly_sent_is_not_run(fault: Fault) {
    let rig = two_hosts().await;
    let address = faulty_host(fault).await;
    redirect(&rig.hosts[0].cx, &rig, address);
    let mut caller = Caller::connect(rig.address(0)).await;
    // More than the sockets' buffers hold.
    let body = "b".repeat(15 << 20);
    let headers = [("medlardyke-deadline-ms", "3000")];
    let got = caller.ask(post("/bulk", &headers, &body)).await;
    assert_eq!(got.outcome(), "not-run", "{got:?}");
    assert_eq!(got.reason(), "host-unreachable", "{got:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_to_an_unresponsive_host_are_closed_so_that_other_requests_do_not_wait() {
    let rig = two_hosts().await;
    let address = faulty_host(Fault::Unresponsive).await;
    redirect(&rig.hosts[0].cx, &rig, address);
    let ask = |deadline: &'static str| {
        let address = rig.address(0);
        async move {
            let mut caller = Caller::connect(address).await;
            let headers = [("medlardyke-deadline-ms", deadline)];
            let begin = Instant::now();
            let got = caller.ask(post("/any", &headers, "body")).await;
            (got, begin.elapsed())
        }
    };
    // Each of the two connections carries a request with a long deadline. The requests with a short
    // deadline find that the host is unresponsive, and close the connections.
    let (first, second, third, fourth) =
        tokio::join!(ask("1900"), ask("1900"), ask("100"), ask("100"));
    for (got, took) in [first, second, third, fourth] {
        assert_eq!(got.reason(), "host-lost", "{got:?}");
        assert!(took < Duration::from_millis(1_500), "{took:?}: {got:?}");
    }
    assert!(rig.metrics(0).total(Count::PeerFailed) >= 1);
}

/// Guards against `host-lost` for a request whose coordinating host is there and replies too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_reply_of_a_responsive_host_is_a_timeout() {
    let rig = two_hosts().await;
    let address = faulty_host(Fault::RepliesToOthers).await;
    redirect(&rig.hosts[0].cx, &rig, address);
    let mut caller = Caller::connect(rig.address(0)).await;
    let headers = [("medlardyke-deadline-ms", "500")];
    let got = caller.ask(post("/any", &headers, "body")).await;
    assert_eq!(got.outcome(), "unknown", "{got:?}");
    assert_eq!(got.reason(), "answer-timeout", "{got:?}");
    assert_eq!(rig.metrics(0).total(Count::PeerFailed), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_is_reachable_again_is_used_again() {
    let rig = two_hosts().await;
    let address = faulty_host(Fault::Refuses).await;
    redirect(&rig.hosts[0].cx, &rig, address);
    let mut caller = Caller::connect(rig.address(0)).await;
    let headers = [("x-key", "ESNQ"), ("medlardyke-deadline-ms", "100")];
    let got = caller.ask(get("/look", &headers)).await;
    assert_eq!(got.reason(), "host-unreachable", "{got:?}");
    redirect(&rig.hosts[0].cx, &rig, rig.hosts[1].dispatch.address());
    let got = caller.ask(get("/look", &[("x-key", "ESNQ")])).await;
    assert_eq!(got.status, 200, "{got:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_requests_share_few_connections_and_never_mix() {
    let rig = Rig::start(RigSettings {
        hosts: 2,
        coordinator: 1,
        slots: 64,
        ..RigSettings::default()
    })
    .await;
    let mut tasks = Vec::new();
    for n in 0..40 {
        let address = rig.address(0);
        tasks.push(tokio::spawn(async move {
            let mut caller = Caller::connect(address).await;
            for k in 0..20 {
                let id = format!("req-{n}-{k}");
                let key = format!("key-{n}");
                let headers = [("x-key", key.as_str()), ("medlardyke-request-id", &id)];
                let got = caller.ask(get("/look", &headers)).await;
                assert_eq!(got.body, format!("answer to {id}"), "{got:?}");
            }
        }));
    }
    for task in tasks {
        task.await.expect("all answers belong to their requests");
    }
    assert_eq!(rig.metrics(0).total(Count::HandedOn), 800);
    assert_eq!(rig.metrics(1).total(Count::HandedIn), 800);
    assert!(rig.metrics(0).total(Count::PeerConnected) <= 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_on_the_dispatch_port_harms_nobody() {
    let rig = two_hosts().await;
    for bytes in [
        &b"\xff\xff\xff\xff"[..],
        b"\x00\x00\x00\x02\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
    ] {
        let address = rig.hosts[1].dispatch.address();
        let mut stream = TcpStream::connect(address).await.expect("connect");
        stream.write_all(bytes).await.expect("write");
        let mut buf = [0; 16];
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut buf)).await;
        assert!(matches!(read, Ok(Ok(0) | Err(_))), "{bytes:?}: {read:?}");
    }
    let mut caller = Caller::connect(rig.address(0)).await;
    let got = caller.ask(get("/look", &[("x-key", "ESNQ")])).await;
    assert_eq!(got.status, 200, "{got:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_host_refuses_new_calls_and_finishes_the_rest() {
    let rig = two_hosts().await;
    let mut first = Caller::connect(rig.address(0)).await;
    let slow = [("x-act", "slow:300"), ("medlardyke-request-id", "first")];
    first.write(post("/any", &slow, "body")).await;
    let upstream = rig.upstream.clone();
    until("the first request runs", || upstream.times("first") == 1).await;
    let tx = rig.hosts[1].dispatch.tx();
    tx.send(gate::DispatchCommand::Leave)
        .await
        .expect("dispatch thread");
    let mut second = Caller::connect(rig.address(0)).await;
    let headers = [
        ("medlardyke-deadline-ms", "100"),
        ("medlardyke-request-id", "second"),
    ];
    let got = second.ask(post("/any", &headers, "body")).await;
    assert_eq!(got.outcome(), "not-run", "{got:?}");
    assert!(rig.metrics(0).retries(Reason::Leaving) > 0, "{got:?}");
    assert_eq!(rig.upstream.times("second"), 0);
    assert_eq!(first.read().await.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_coordinating_host_that_stops_replies_to_all_calls_first() {
    let mut rig = two_hosts().await;
    let mut callers = Vec::new();
    for n in 0..30 {
        let mut caller = Caller::connect(rig.address(0)).await;
        let id = format!("req-{n}");
        let act = format!("slow:{}", 20 + n);
        let headers = [("x-act", act.as_str()), ("medlardyke-request-id", &id)];
        caller.write(post("/any", &headers, "body")).await;
        callers.push((id, caller));
    }
    let upstream = rig.upstream.clone();
    until("some run", || upstream.times("req-3") == 1).await;
    let host = rig.hosts.remove(1);
    let tx = host.dispatch.tx();
    tx.send(gate::DispatchCommand::Stop)
        .await
        .expect("dispatch thread");
    let stopped = tokio::task::spawn_blocking(move || host.dispatch.join());
    // The control thread does this too, because another host may soon listen on the port.
    rig.hosts[0].cx.peers.store(Arc::default());
    for (id, mut caller) in callers {
        let got = caller.read().await.expect("an answer");
        let expected = match upstream.times(&id) {
            0 => "not-run",
            _ => "answered",
        };
        assert_eq!(got.outcome(), expected, "{id}: {got:?}");
    }
    stopped.await.expect("the dispatch thread ends");
}

fn slow_request(call: u64) -> Request {
    let act = Header {
        name: "x-act".to_owned(),
        value: "slow:8000".into(),
    };
    Request {
        call,
        entry: "any".to_owned(),
        upstream: "up-any".to_owned(),
        remaining_us: 5_000_000,
        request_id: format!("req-{call}"),
        method: "POST".to_owned(),
        path: "/any".to_owned(),
        headers: vec![act],
        ..Request::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_call_and_a_disconnected_entry_host_free_their_slots() {
    let rig = two_hosts().await;
    let stream = TcpStream::connect(rig.hosts[1].dispatch.address()).await;
    let mut entry_host = Framed::new(
        stream.expect("connect"),
        FrameCodec::<DispatchFrame>::default(),
    );
    for call in 1..=3 {
        let message = Some(DispatchMessage::Request(slow_request(call)));
        entry_host
            .send(DispatchFrame { message })
            .await
            .expect("send");
    }
    let upstream = rig.upstream.clone();
    until("the requests run", || upstream.opened() == 3).await;
    until("the requests run", || upstream.times("req-3") == 1).await;
    let message = Some(DispatchMessage::Cancel(Cancel { call: 2 }));
    entry_host
        .send(DispatchFrame { message })
        .await
        .expect("send");
    until("one exchange ends", || upstream.aborted() == 1).await;
    drop(entry_host);
    until("the others end", || upstream.aborted() == 3).await;
}
