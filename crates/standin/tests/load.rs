//! The load generator against the upstream stand-in.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use catalogue::KeyLocation;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use ids::{KeyHash, header};
use smol_str::SmolStr;
use standin::load::schedule::{PlannedRequest, Schedule};
use standin::load::{self, KeyDistribution, Summary};
use standin::upstream::{AnswerBody, ServiceTime};
use standin::{AdminCommand, ClientOutcome, EntryLoad, JournalEvent, LoadSettings, Record};
use standin::{Fault, FaultPlan, FaultProxy, ProxySettings, Upstream, UpstreamSettings};

fn sharded_entry() -> EntryLoad {
    EntryLoad {
        key: Some(KeyLocation::PathSegment(0)),
        ..EntryLoad::default()
    }
}

fn settings(target: std::net::SocketAddr) -> LoadSettings {
    LoadSettings {
        targets: vec![target],
        rate_per_s: 500.0,
        duration_ms: 400,
        entries: vec![sharded_entry()],
        ..LoadSettings::default()
    }
}

async fn upstream(service_ms: f64) -> Upstream {
    let cfg = UpstreamSettings {
        checks_grants: false,
        service_time: ServiceTime::Fixed { ms: service_ms },
        connect_cost_ms: 0.0,
        answer_bytes: 1_000,
        key: Some(KeyLocation::PathSegment(0)),
        ..UpstreamSettings::default()
    };
    Upstream::bind(cfg).await.unwrap()
}

fn planned(cfg: &LoadSettings) -> Vec<PlannedRequest> {
    Schedule::new(cfg, SmolStr::new("t")).unwrap().collect()
}

#[test]
fn schedule_follows_its_settings() {
    let target = "127.0.0.1:1".parse().unwrap();
    let cfg = LoadSettings {
        targets: vec![target; 3],
        rate_per_s: 1_000.0,
        duration_ms: 10_000,
        entries: vec![
            EntryLoad {
                share: 3.0,
                ..sharded_entry()
            },
            EntryLoad::default(),
        ],
        keys: KeyDistribution {
            count: 1_000,
            exponent: 1.0,
            move_every_ms: 5_000,
        },
        ..LoadSettings::default()
    };
    let all = planned(&cfg);
    assert_eq!(all, planned(&cfg), "the same seed gives the same schedule");
    assert!((9_500..10_500).contains(&all.len()), "{}", all.len());
    assert!(all.is_sorted_by_key(|p| p.at));
    let first = all.iter().filter(|p| p.entry == 0).count();
    assert!((7_000..8_000).contains(&first), "{first}");
    assert!(all.iter().all(|p| p.key.is_some() == (p.entry == 0)));
    for target in 0..3 {
        let count = all.iter().filter(|p| p.target == target).count();
        assert!((3_000..3_700).contains(&count), "{count}");
    }
    let count = |key: &str, from: u64, to: u64| {
        let time = Duration::from_secs(from)..Duration::from_secs(to);
        all.iter()
            .filter(|p| time.contains(&p.at) && p.key.as_deref() == Some(key))
            .count()
    };
    // The hottest key has 1 / H(1000) = 13% of the requests of the sharded entry.
    let hot = count("key-1", 0, 5);
    assert!((400..600).contains(&hot), "{hot}");
    let moved = count("key-4", 5, 10);
    assert!((400..600).contains(&moved), "{moved}");
    assert!(count("key-1", 5, 10) < 50);
}

#[test]
fn repeats_have_the_id_of_their_request() {
    let cfg = LoadSettings {
        duration_ms: 10_000,
        repeat_share: 0.5,
        ..settings("127.0.0.1:1".parse().unwrap())
    };
    let all = planned(&cfg);
    let repeats = all.windows(2).filter(|w| w[0].id == w[1].id).count();
    let originals = all.len() - repeats;
    assert!(repeats * 10 > originals * 4 && repeats * 10 < originals * 6);
}

#[test]
fn settings_without_load_are_refused() {
    struct Case {
        name: &'static str,
        cfg: LoadSettings,
    }
    let valid = settings("127.0.0.1:1".parse().unwrap());
    let cases = [
        Case {
            name: "no target",
            cfg: LoadSettings {
                targets: Vec::new(),
                ..valid.clone()
            },
        },
        Case {
            name: "no entry",
            cfg: LoadSettings {
                entries: Vec::new(),
                ..valid.clone()
            },
        },
        Case {
            name: "a negative rate",
            cfg: LoadSettings {
                rate_per_s: -1.0,
                ..valid.clone()
            },
        },
        Case {
            name: "no key",
            cfg: LoadSettings {
                keys: KeyDistribution {
                    count: 0,
                    ..KeyDistribution::default()
                },
                ..valid
            },
        },
    ];
    for case in cases {
        let result = Schedule::new(&case.cfg, SmolStr::new("t"));
        assert!(result.is_err(), "{}", case.name);
    }
}

fn starts(upstream: &Upstream) -> usize {
    let lines = upstream.journal();
    let is_start = |e: &JournalEvent| matches!(e, JournalEvent::Start(_));
    lines.iter().filter(|l| is_start(&l.event)).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_request_gets_its_answer() {
    for method in ["POST", "GET"] {
        let upstream = upstream(0.0).await;
        let mut cfg = settings(upstream.address());
        cfg.entries[0].method = SmolStr::new(method);
        let run = load::run(cfg).await.unwrap();
        assert!((100..300).contains(&run.records.len()));
        assert_eq!(run.summary.sent as usize, run.records.len());
        assert_eq!(run.summary.answered, run.summary.sent, "{:?}", run.summary);
        assert_eq!(starts(&upstream), run.records.len());
        let of_upstream = |r: &Record| r.upstream.as_deref() == Some("upstream-1");
        assert!(run.records.iter().all(of_upstream));
    }
}

/// Guards against latencies that leave out the time before a request could be sent.
///
/// The stall begins with the first request, so that it holds up the others however late the load
/// starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_held_up_by_a_stall_count_with_their_whole_delay() {
    let upstream = upstream(300.0).await;
    let cfg = LoadSettings {
        connections: 1,
        duration_ms: 200,
        ..settings(upstream.address())
    };
    let run = load::start(cfg).unwrap();
    while starts(&upstream) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let at_once = ServiceTime::Fixed { ms: 0.0 };
    upstream.admin(&AdminCommand::ServiceTime(at_once));
    let run = run.finish().await.unwrap();
    assert_eq!(run.summary.answered, run.summary.sent);
    let median = run.summary.answers.p50_us;
    assert!(
        median > 150_000,
        "half the requests waited longer: {median} us"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_distinguished() {
    struct Case {
        name: &'static str,
        plan: FaultPlan,
        seen: ClientOutcome,
        reason: &'static str,
    }
    let cases = [
        Case {
            name: "shed",
            plan: FaultPlan::default(),
            seen: ClientOutcome::NotRun,
            reason: "upstream-shed",
        },
        Case {
            name: "cut",
            plan: FaultPlan::always(Fault::CutBeforeAnswer),
            seen: ClientOutcome::Unknown,
            reason: "client-broken",
        },
        Case {
            name: "truncated",
            plan: FaultPlan::always(Fault::CutAnswerAfter(600)),
            seen: ClientOutcome::Unknown,
            reason: "client-truncated",
        },
        Case {
            name: "no answer",
            plan: FaultPlan::always(Fault::Blackhole),
            seen: ClientOutcome::Unknown,
            reason: "client-timeout",
        },
        Case {
            name: "refused",
            plan: FaultPlan::refuse(),
            seen: ClientOutcome::NotRun,
            reason: "client-connect",
        },
    ];
    for case in cases {
        let upstream = upstream(0.0).await;
        upstream.admin(&AdminCommand::Shed(case.name == "shed"));
        let refuses = case.plan.refuse;
        let proxy = FaultProxy::bind(ProxySettings {
            target: upstream.address(),
            plan: case.plan,
            ..ProxySettings::default()
        })
        .unwrap();
        if refuses {
            let connect = || tokio::net::TcpStream::connect(proxy.address());
            while connect().await.is_ok() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        let cfg = LoadSettings {
            duration_ms: 100,
            timeout_ms: 300,
            ..settings(proxy.address())
        };
        let run = load::run(cfg).await.unwrap();
        assert!(run.summary.sent > 0, "{}", case.name);
        for record in &run.records {
            assert_eq!(record.seen, case.seen, "{}: {record:?}", case.name);
            assert_eq!(record.reason.as_deref(), Some(case.reason), "{}", case.name);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_target_takes_what_the_first_refuses() {
    let upstream = upstream(0.0).await;
    // A socket that is bound and does not listen keeps its port closed.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let closed = socket.local_addr().unwrap();
    let cfg = LoadSettings {
        targets: vec![closed, upstream.address()],
        duration_ms: 100,
        ..settings(closed)
    };
    let run = load::run(cfg).await.unwrap();
    assert_eq!(run.summary.answered, run.summary.sent, "{:?}", run.summary);
}

#[test]
fn summary_counts_by_outcome_and_reason() {
    let record = |seen, reason: Option<&str>, latency_ms: u64| Record {
        id: SmolStr::new("t-1"),
        entry: SmolStr::new("entry"),
        key: None,
        idempotent: true,
        target: 0,
        intended_us: 5_000,
        done_us: 5_000 + latency_ms * 1_000,
        seen,
        reason: reason.map(SmolStr::new),
        upstream: None,
    };
    let records = [
        record(ClientOutcome::Answered, None, 10),
        record(ClientOutcome::Answered, None, 2_000),
        record(ClientOutcome::NotRun, Some("queue-full"), 1),
        record(ClientOutcome::NotRun, Some("no-owner"), 1),
        record(ClientOutcome::NotRun, Some("queue-full"), 1),
        record(ClientOutcome::Unknown, Some("answer-cut"), 1),
        record(ClientOutcome::Wrong, Some("client-other-answer"), 1),
    ];
    let summary = Summary::of(&records, 500, Some(1_000));
    assert_eq!(summary.sent, 7);
    assert_eq!(summary.answered, 2);
    assert_eq!(summary.late, 1);
    assert_eq!(summary.not_run["queue-full"], 2);
    assert_eq!(summary.not_run["no-owner"], 1);
    assert_eq!(summary.unknown["answer-cut"], 1);
    assert_eq!(summary.wrong["client-other-answer"], 1);
    assert!((summary.goodput_per_s - 2.0).abs() < f64::EPSILON);
    assert!((1_990_000..2_010_000).contains(&summary.answers.max_us));
}

/// Answers requests like the upstream stand-in, over HTTP/2, and counts the connections.
async fn serve_http2(listener: tokio::net::TcpListener, connections: Arc<AtomicUsize>) {
    loop {
        let (socket, _) = listener.accept().await.unwrap();
        connections.fetch_add(1, Ordering::Relaxed);
        let service = service_fn(|req: Request<Incoming>| async {
            let id = req.headers()[header::REQUEST_ID].to_str().unwrap().into();
            let body = req.into_body().collect().await?.to_bytes();
            let answer = AnswerBody {
                request_id: Some(id),
                body_len: body.len() as u64,
                body_hash: KeyHash::of(&body).0,
                ..AnswerBody::default()
            };
            let body = serde_json::to_vec(&answer).unwrap();
            Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from(body))))
        });
        let server = http2::Builder::new(TokioExecutor::new());
        tokio::spawn(server.serve_connection(TokioIo::new(socket), service));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_share_a_connection_over_http2() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve_http2(listener, Arc::clone(&connections)));
    let cfg = LoadSettings {
        http2: true,
        ..settings(target)
    };
    let run = load::run(cfg).await.unwrap();
    assert!(run.summary.sent > 0);
    assert_eq!(run.summary.answered, run.summary.sent, "{:?}", run.summary);
    assert_eq!(connections.load(Ordering::Relaxed), 1);
}
