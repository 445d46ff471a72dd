//! The fault proxy between a client and an upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use ids::header;
use standin::client::{self, Connection, Protocol, SendError};
use standin::proxy::{
    COUNTS_PATH, CUT_PATH, Delay, FaultShare, PLAN_PATH, ProxyAdmin, ProxyCounts,
};
use standin::upstream::ServiceTime;
use standin::{Fault, FaultPlan, FaultProxy, JournalEvent, ProxySettings, Upstream};
use standin::{JournalLine, UpstreamSettings};

const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait after which an answer counts as missing: an answer over loopback arrives sooner, and a test
/// can afford to wait this long for one that never comes.
const NO_ANSWER_AFTER: Duration = Duration::from_millis(150);

async fn upstream() -> Upstream {
    let cfg = UpstreamSettings {
        checks_grants: false,
        service_time: ServiceTime::Fixed { ms: 0.0 },
        connect_cost_ms: 0.0,
        answer_bytes: 2_000,
        ..UpstreamSettings::default()
    };
    Upstream::bind(cfg).await.unwrap()
}

fn proxy(target: &Upstream, plan: FaultPlan) -> FaultProxy {
    FaultProxy::bind(ProxySettings {
        target: target.address(),
        plan,
        ..ProxySettings::default()
    })
    .unwrap()
}

fn request(id: &str) -> Request<Full<Bytes>> {
    Request::post("/entry")
        .header("host", "upstream")
        .header(header::REQUEST_ID, id)
        .body(Full::new(Bytes::from(vec![b'x'; 1_000])))
        .unwrap()
}

async fn open(proxy: &FaultProxy) -> Connection {
    Connection::open(proxy.address(), Protocol::Http1)
        .await
        .unwrap()
}

async fn wait_until(mut holds: impl FnMut() -> bool) {
    let poll = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, poll)
        .await
        .expect("the condition holds before the timeout");
}

fn executions(upstream: &Upstream) -> usize {
    let is_start = |line: &&JournalLine| matches!(line.event, JournalEvent::Start(_));
    upstream.journal().iter().filter(is_start).count()
}

/// Outcome of a request as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    Answer,
    Broken,
    Truncated,
    NoAnswer,
}

async fn send_and_observe(connection: &mut Connection) -> Seen {
    match tokio::time::timeout(NO_ANSWER_AFTER, connection.send(request("r"))).await {
        Ok(Ok(answer)) => check_answer(&answer),
        Ok(Err(SendError::Truncated { .. })) => Seen::Truncated,
        Ok(Err(_)) => Seen::Broken,
        Err(_) => Seen::NoAnswer,
    }
}

fn check_answer(answer: &Response<Bytes>) -> Seen {
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.body().len(), 2_000);
    Seen::Answer
}

#[tokio::test]
async fn each_fault_has_its_effect() {
    struct Case {
        fault: Fault,
        seen: Seen,
        executions: usize,
    }
    let case = |fault, seen, executions| Case {
        fault,
        seen,
        executions,
    };
    let cases = [
        case(Fault::Pass, Seen::Answer, 1),
        case(Fault::CutBeforeRequest, Seen::Broken, 0),
        case(Fault::CutRequestAfter(900), Seen::Broken, 0),
        case(Fault::CutRequestAfter(100_000), Seen::Answer, 1),
        case(Fault::CutBeforeAnswer, Seen::Broken, 1),
        case(Fault::CutAnswerAfter(1_500), Seen::Truncated, 1),
        case(Fault::CutAnswerAfter(100_000), Seen::Answer, 1),
        case(Fault::DropAnswer, Seen::NoAnswer, 1),
        case(Fault::Blackhole, Seen::NoAnswer, 0),
        case(Fault::StallRequest, Seen::NoAnswer, 0),
        case(Fault::StallAnswer, Seen::NoAnswer, 1),
        case(Fault::Stall, Seen::NoAnswer, 0),
    ];
    for Case {
        fault,
        seen,
        executions: expected,
    } in cases
    {
        let upstream = upstream().await;
        let proxy = proxy(&upstream, FaultPlan::always(fault));
        assert_eq!(
            send_and_observe(&mut open(&proxy).await).await,
            seen,
            "{fault:?}"
        );
        assert_eq!(executions(&upstream), expected, "{fault:?}");
        assert_eq!(proxy.counts().exchanges, 1, "{fault:?}");
    }
}

#[tokio::test]
async fn fault_applies_to_an_exchange_after_a_passed_one() {
    let upstream = upstream().await;
    let proxy = proxy(&upstream, FaultPlan::default());
    let mut connection = open(&proxy).await;
    assert_eq!(send_and_observe(&mut connection).await, Seen::Answer);
    proxy.set_plan(FaultPlan::always(Fault::CutAnswerAfter(1_500)));
    assert_eq!(send_and_observe(&mut connection).await, Seen::Truncated);
    assert_eq!(executions(&upstream), 2);
}

#[tokio::test]
async fn held_bytes_are_forwarded_when_the_plan_changes() {
    for fault in [Fault::Stall, Fault::StallRequest, Fault::StallAnswer] {
        let upstream = upstream().await;
        let proxy = proxy(&upstream, FaultPlan::always(fault));
        let mut connection = open(&proxy).await;
        let send = tokio::spawn(async move { connection.send(request("r")).await });
        wait_until(|| proxy.counts().exchanges == 1).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(!send.is_finished(), "{fault:?}");
        proxy.set_plan(FaultPlan::default());
        assert_eq!(check_answer(&send.await.unwrap().unwrap()), Seen::Answer);
        assert_eq!(executions(&upstream), 1, "{fault:?}");
    }
}

#[tokio::test]
async fn connections_are_refused_and_accepted_again() {
    let upstream = upstream().await;
    let proxy = proxy(&upstream, FaultPlan::default());
    let connect = || Connection::open(proxy.address(), Protocol::Http1);
    for _ in 0..3 {
        proxy.set_plan(FaultPlan::refuse());
        let refused = async {
            while connect().await.is_ok() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(CONDITION_TIMEOUT, refused)
            .await
            .unwrap();
        proxy.set_plan(FaultPlan::default());
        let accepted = async {
            while connect().await.is_err() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(CONDITION_TIMEOUT, accepted)
            .await
            .unwrap();
    }
    assert_eq!(
        send_and_observe(&mut open(&proxy).await).await,
        Seen::Answer
    );
}

#[tokio::test]
async fn cut_closes_present_connections_only() {
    let upstream = upstream().await;
    let proxy = proxy(&upstream, FaultPlan::default());
    let mut old = open(&proxy).await;
    assert_eq!(send_and_observe(&mut old).await, Seen::Answer);
    proxy.cut();
    wait_until(|| old.is_closed()).await;
    assert_eq!(
        send_and_observe(&mut open(&proxy).await).await,
        Seen::Answer
    );
}

#[tokio::test]
async fn delay_adds_to_each_way() {
    let upstream = upstream().await;
    let plan = FaultPlan {
        delay: Delay {
            request_ms: 20.0,
            answer_ms: 10.0,
            jitter_ms: 0.0,
        },
        ..FaultPlan::default()
    };
    let proxy = proxy(&upstream, plan);
    let mut connection = open(&proxy).await;
    let start = Instant::now();
    let answer = connection.send(request("r")).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(30));
    assert_eq!(check_answer(&answer), Seen::Answer);
}

#[tokio::test]
async fn faults_occur_as_often_as_planned() {
    let upstream = upstream().await;
    let plan = FaultPlan {
        faults: vec![
            FaultShare {
                fault: Fault::CutBeforeRequest,
                share: 0.25,
            },
            FaultShare {
                fault: Fault::CutBeforeAnswer,
                share: 0.25,
            },
        ],
        ..FaultPlan::default()
    };
    let proxy = proxy(&upstream, plan);
    let mut answered = 0;
    for _ in 0..200 {
        answered += usize::from(send_and_observe(&mut open(&proxy).await).await == Seen::Answer);
    }
    let ran = executions(&upstream);
    assert!((80..=120).contains(&answered), "{answered} answered");
    assert!((130..=170).contains(&ran), "{ran} ran");
}

#[tokio::test]
async fn admin_endpoint_changes_the_plan() {
    let upstream = upstream().await;
    let proxy = Arc::new(proxy(&upstream, FaultPlan::default()));
    let listen = ProxySettings::default().listen;
    let admin = ProxyAdmin::bind(Arc::clone(&proxy), listen).await.unwrap();
    let peer = admin.address();
    let mut connection = open(&proxy).await;
    let plan = FaultPlan::always(Fault::CutAnswerAfter(1_500));
    let done = client::call(peer, Method::POST, PLAN_PATH, Some(&plan)).await;
    assert_eq!(done.unwrap().status(), StatusCode::OK);
    assert_eq!(send_and_observe(&mut connection).await, Seen::Truncated);
    let done = client::call(peer, Method::POST, CUT_PATH, None::<&()>).await;
    assert_eq!(done.unwrap().status(), StatusCode::OK);
    let counts: ProxyCounts = client::get(peer, COUNTS_PATH).await.unwrap();
    assert_eq!(counts.exchanges, 1);
    let bad = client::call(peer, Method::POST, PLAN_PATH, Some(&"nonsense")).await;
    assert_eq!(bad.unwrap().status(), StatusCode::BAD_REQUEST);
}

/// Bytes that a stalled network holds are lost if the sender resets the connection meanwhile.
///
/// Otherwise a request that its caller has given up would run when the network recovers.
#[tokio::test]
async fn held_bytes_of_a_sender_that_reset_its_connection_are_lost() {
    use tokio::io::AsyncWriteExt;
    for fault in [Fault::Stall, Fault::StallRequest] {
        let upstream = upstream().await;
        let proxy = proxy(&upstream, FaultPlan::always(fault));
        let mut socket = tokio::net::TcpStream::connect(proxy.address())
            .await
            .unwrap();
        let head = "POST /entry HTTP/1.1\r\nhost: upstream\r\ncontent-length: 1\r\n";
        let id = header::REQUEST_ID;
        let text = format!("{head}{id}: r\r\n\r\nx");
        socket.write_all(text.as_bytes()).await.unwrap();
        wait_until(|| proxy.counts().exchanges == 1).await;
        socket.set_zero_linger().unwrap();
        drop(socket);
        tokio::time::sleep(NO_ANSWER_AFTER).await;
        proxy.set_plan(FaultPlan::default());
        tokio::time::sleep(NO_ANSWER_AFTER).await;
        assert_eq!(executions(&upstream), 0, "{fault:?}");
        assert_eq!(proxy.counts().request_bytes, 0, "{fault:?}");
    }
}
