//! The upstream stand-in over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catalogue::KeyLocation;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use ids::{EntryId, Epoch, HostId, SliceNo, header};
use standin::client::{self, Connection, Protocol};
use standin::upstream::{ADMIN_PATH, AnswerBody, ColdStart, JOURNAL_PATH, LoadReport, ServiceTime};
use standin::{AdminCommand, JournalEvent, JournalLine, Upstream, UpstreamSettings, journal};
use wire::grant::{GRANT_PATH, GrantReply, GrantRequest, GrantScope, GrantSlices};
use wire::grant::{HEALTH_PATH, HealthReport};

const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);

fn fast_settings() -> UpstreamSettings {
    UpstreamSettings {
        checks_grants: false,
        service_time: ServiceTime::Fixed { ms: 0.0 },
        connect_cost_ms: 0.0,
        probe_cost_ms: 0.0,
        ..UpstreamSettings::default()
    }
}

fn request(id: &str, headers: &[(&str, &str)], body: &'static str) -> Request<Full<Bytes>> {
    let mut req = Request::builder()
        .method(Method::POST)
        .uri("/entry/key-1")
        .header("host", "upstream")
        .header(header::REQUEST_ID, id);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Full::new(Bytes::from_static(body.as_bytes())))
        .unwrap()
}

async fn send(peer: SocketAddr, req: Request<Full<Bytes>>) -> Response<Bytes> {
    let mut connection = Connection::open(peer, Protocol::Http1).await.unwrap();
    connection.send(req).await.unwrap()
}

fn reason(answer: &Response<Bytes>) -> &str {
    answer.headers()[header::REASON].to_str().unwrap()
}

fn starts(lines: &[JournalLine]) -> Vec<&str> {
    let id = |line| match line {
        &JournalLine {
            event: JournalEvent::Start(ref started),
            ..
        } => started.id.as_deref(),
        _ => None,
    };
    lines.iter().filter_map(id).collect()
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

#[tokio::test]
async fn answer_names_its_request() {
    let cfg = UpstreamSettings {
        key: Some(KeyLocation::PathSegment(0)),
        answer_bytes: 5_000,
        ..fast_settings()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let answer = send(upstream.address(), request("r-1", &[], "hello")).await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.headers()[header::REQUEST_ID], "r-1");
    assert_eq!(answer.body().len(), 5_000);
    let body: AnswerBody = serde_json::from_slice(answer.body()).unwrap();
    assert!(body.belongs_to("r-1", b"hello"));
    assert!(!body.belongs_to("r-2", b"hello"));
    assert!(!body.belongs_to("r-1", b"hellO"));
    assert_eq!(body.key.as_deref(), Some("key-1"));
}

#[tokio::test]
async fn requests_run_in_slots_and_the_rest_is_shed() {
    let cfg = UpstreamSettings {
        slots: 2,
        shed_above: 1,
        service_time: ServiceTime::Fixed { ms: 60_000.0 },
        ..fast_settings()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let peer = upstream.address();
    for id in ["r-1", "r-2", "r-3"] {
        tokio::spawn(send(peer, request(id, &[], "")));
    }
    wait_until(|| upstream.health().running == 2 && upstream.health().queued == 1).await;
    let answer = send(peer, request("r-4", &[], "")).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers()[header::OUTCOME], "not-run");
    assert_eq!(reason(&answer), "upstream-shed");
    assert_eq!(starts(&upstream.journal()).len(), 2);
}

#[tokio::test]
async fn work_that_nobody_waits_for_does_not_start() {
    let cfg = UpstreamSettings {
        slots: 1,
        service_time: ServiceTime::Fixed { ms: 200.0 },
        ..fast_settings()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let peer = upstream.address();
    let first = tokio::spawn(send(peer, request("first", &[], "")));
    wait_until(|| upstream.health().running == 1).await;
    let abandoned = tokio::spawn(send(peer, request("gone", &[], "")));
    wait_until(|| upstream.health().queued == 1).await;
    abandoned.abort();
    wait_until(|| upstream.health().queued == 0).await;
    let late = send(peer, request("late", &[(header::DEADLINE_MS, "20")], "")).await;
    assert_eq!(reason(&late), "deadline-expired");
    assert_eq!(first.await.unwrap().status(), StatusCode::OK);
    let next = send(peer, request("next", &[], "")).await;
    assert_eq!(next.status(), StatusCode::OK);
    assert_eq!(starts(&upstream.journal()), ["first", "next"]);
}

#[tokio::test]
async fn work_ends_when_its_client_disconnects_if_the_upstream_cancels() {
    for cancels in [false, true] {
        let cfg = UpstreamSettings {
            cancels,
            service_time: ServiceTime::Fixed { ms: 100.0 },
            ..fast_settings()
        };
        let upstream = Upstream::bind(cfg).await.unwrap();
        let client = tokio::spawn(send(upstream.address(), request("r-1", &[], "")));
        wait_until(|| upstream.health().running == 1).await;
        client.abort();
        wait_until(|| upstream.health().running == 0).await;
        let lines = upstream.journal();
        let JournalEvent::End { cancelled, .. } = lines.last().unwrap().event else {
            panic!("the last line is not an end: {lines:?}");
        };
        assert_eq!(cancelled, cancels);
        let took = lines.last().unwrap().at_us - lines[lines.len() - 2].at_us;
        assert_eq!(took < 100_000, cancels, "{took} us");
    }
}

fn grant(seq: u64, reply: &GrantReply, slices: &[u64]) -> GrantRequest {
    GrantRequest {
        epoch: Epoch(3),
        seq,
        coordinator: HostId::new("host-1").unwrap(),
        boot: Some(reply.boot),
        scope: GrantScope::Slices(GrantSlices {
            entry: EntryId::new("entry").unwrap(),
            slices: slices.iter().copied().map(SliceNo).collect(),
        }),
        ttl_ms: 60_000,
        reading_us: Some(reply.reading_us),
    }
}

const GRANTED: &[(&str, &str)] = &[(header::EPOCH, "3"), (header::SLICE, "7")];

#[tokio::test]
async fn revocation_reports_running_requests() {
    let cfg = UpstreamSettings {
        checks_grants: true,
        service_time: ServiceTime::Fixed { ms: 100.0 },
        ..fast_settings()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let peer = upstream.address();
    let refused = send(peer, request("early", GRANTED, "")).await;
    assert_eq!(refused.status(), StatusCode::CONFLICT);
    assert_eq!(refused.headers()[header::OUTCOME], "not-run");
    assert_eq!(reason(&refused), "grant-refused");

    let initial = client::get::<GrantReply>(peer, GRANT_PATH).await.unwrap();
    let granted = grant(1, &initial, &[7, 8]);
    let reply = client::post::<_, GrantReply>(peer, GRANT_PATH, &granted).await;
    assert!(reply.unwrap().accepted);
    let running = tokio::spawn(send(peer, request("running", GRANTED, "")));
    wait_until(|| upstream.health().running == 1).await;

    let revoked = grant(2, &initial, &[8]);
    let reply = client::post::<_, GrantReply>(peer, GRANT_PATH, &revoked)
        .await
        .unwrap();
    assert!(reply.accepted);
    assert_eq!(reply.running.len(), 1);
    assert_eq!(reply.running[0].slice, SliceNo(7));
    assert_eq!(reply.running[0].running, 1);
    let refused = send(peer, request("after", GRANTED, "")).await;
    assert_eq!(reason(&refused), "grant-refused");

    assert_eq!(running.await.unwrap().status(), StatusCode::OK);
    let reply = client::get::<GrantReply>(peer, GRANT_PATH).await.unwrap();
    assert_eq!(reply.running, []);
    assert_eq!(starts(&upstream.journal()), ["running"]);
}

#[tokio::test]
async fn grant_is_checked_at_the_start_of_the_work() {
    let cfg = UpstreamSettings {
        checks_grants: true,
        slots: 1,
        service_time: ServiceTime::Fixed { ms: 100.0 },
        ..fast_settings()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let peer = upstream.address();
    let initial = client::get::<GrantReply>(peer, GRANT_PATH).await.unwrap();
    client::post::<_, GrantReply>(peer, GRANT_PATH, &grant(1, &initial, &[7]))
        .await
        .unwrap();
    let first = tokio::spawn(send(peer, request("first", GRANTED, "")));
    wait_until(|| upstream.health().running == 1).await;
    let waiting = tokio::spawn(send(peer, request("waits", GRANTED, "")));
    wait_until(|| upstream.health().queued == 1).await;
    client::post::<_, GrantReply>(peer, GRANT_PATH, &grant(2, &initial, &[]))
        .await
        .unwrap();
    assert_eq!(first.await.unwrap().status(), StatusCode::OK);
    assert_eq!(reason(&waiting.await.unwrap()), "grant-refused");
    assert_eq!(starts(&upstream.journal()), ["first"]);
}

#[tokio::test]
async fn health_reports_the_configured_load() {
    struct Case {
        report: LoadReport,
        running: u32,
    }
    let cfg = UpstreamSettings {
        service_time: ServiceTime::Fixed { ms: 60_000.0 },
        ..fast_settings()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let peer = upstream.address();
    tokio::spawn(send(peer, request("r-1", &[], "")));
    wait_until(|| upstream.health().running == 1).await;
    let cases = [
        Case {
            report: LoadReport::Honest,
            running: 1,
        },
        Case {
            report: LoadReport::Lagging { ms: 600_000 },
            running: 0,
        },
        Case {
            report: LoadReport::FrozenZero,
            running: 0,
        },
        Case {
            report: LoadReport::FrozenFull,
            running: 4,
        },
        Case {
            report: LoadReport::Inverted,
            running: 3,
        },
    ];
    for case in cases {
        let command = AdminCommand::LoadReport(case.report);
        let done = client::call(peer, Method::POST, ADMIN_PATH, Some(&command)).await;
        assert_eq!(done.unwrap().status(), StatusCode::OK);
        let health = client::get::<HealthReport>(peer, HEALTH_PATH)
            .await
            .unwrap();
        assert_eq!(health.running, case.running, "{:?}", case.report);
        assert!(!health.draining);
    }
    upstream.admin(&AdminCommand::Drain);
    let health = client::get::<HealthReport>(peer, HEALTH_PATH)
        .await
        .unwrap();
    assert!(health.draining);
}

#[tokio::test]
async fn frozen_upstream_does_nothing() {
    let upstream = Upstream::bind(fast_settings()).await.unwrap();
    let peer = upstream.address();
    upstream.admin(&AdminCommand::FreezeMs(60_000));
    let mut frozen = tokio::spawn(send(peer, request("r-1", &[], "")));
    let wait = tokio::time::timeout(Duration::from_millis(50), &mut frozen).await;
    assert!(wait.is_err(), "a frozen upstream must not answer");
    upstream.admin(&AdminCommand::FreezeMs(0));
    assert_eq!(starts(&upstream.journal()).len(), 0);
    assert_eq!(frozen.await.unwrap().status(), StatusCode::OK);
}

#[tokio::test]
async fn stop_finishes_work_and_kill_does_not() {
    struct Case {
        kill: bool,
        ends: usize,
    }
    let cases = [
        Case {
            kill: false,
            ends: 1,
        },
        Case {
            kill: true,
            ends: 0,
        },
    ];
    for case in cases {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("journal");
        let cfg = UpstreamSettings {
            service_time: ServiceTime::Fixed { ms: 100.0 },
            journal: Some(path.clone()),
            ..fast_settings()
        };
        let upstream = Upstream::bind(cfg).await.unwrap();
        let mut connection = Connection::open(upstream.address(), Protocol::Http1)
            .await
            .unwrap();
        let client = tokio::spawn(async move { connection.send(request("r-1", &[], "")).await });
        wait_until(|| upstream.health().running == 1).await;
        if case.kill {
            upstream.kill();
        } else {
            upstream.stop().await;
        }
        assert_eq!(client.await.unwrap().is_ok(), !case.kill);
        let lines = journal::read_journal(&path).unwrap();
        let is_end = |line: &&JournalLine| matches!(line.event, JournalEvent::End { .. });
        assert_eq!(starts(&lines), ["r-1"]);
        assert_eq!(lines.iter().filter(is_end).count(), case.ends);
    }
}

#[tokio::test]
async fn journal_endpoint_gives_lines() {
    let upstream = Upstream::bind(fast_settings()).await.unwrap();
    let peer = upstream.address();
    send(peer, request("r-1", GRANTED, "")).await;
    let answer = client::call(peer, Method::GET, JOURNAL_PATH, None::<&()>)
        .await
        .unwrap();
    let text = std::str::from_utf8(answer.body()).unwrap();
    assert_eq!(journal::parse_journal(text).unwrap(), upstream.journal());
}

#[tokio::test]
async fn connections_over_the_limit_are_closed() {
    let cfg = UpstreamSettings {
        connections: 1,
        ..fast_settings()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let peer = upstream.address();
    let mut first = Connection::open(peer, Protocol::Http1).await.unwrap();
    first.send(request("r-1", &[], "")).await.unwrap();
    let mut second = Connection::open(peer, Protocol::Http1).await.unwrap();
    second.send(request("r-2", &[], "")).await.unwrap_err();
    drop(first);
    let retry = async {
        loop {
            let mut next = Connection::open(peer, Protocol::Http1).await.unwrap();
            if next.send(request("r-3", &[], "")).await.is_ok() {
                return;
            }
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, retry)
        .await
        .unwrap();
}

#[tokio::test]
async fn upstream_is_slow_after_its_start() {
    let cfg = UpstreamSettings {
        service_time: ServiceTime::Fixed { ms: 1.0 },
        cold_start: ColdStart {
            factor: 21.0,
            decay_ms: 100,
        },
        ..fast_settings()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let planned = || {
        let planned = |line: &JournalLine| match &line.event {
            JournalEvent::Start(started) => Some(started.planned_us),
            _ => None,
        };
        upstream.journal().iter().rev().find_map(planned)
    };
    send(upstream.address(), request("r-1", &[], "")).await;
    let mut last = planned().unwrap();
    assert!((1_001..=21_000).contains(&last), "{last} us");
    while last > 1_000 {
        send(upstream.address(), request("r-2", &[], "")).await;
        let next = planned().unwrap();
        assert!(next < last, "{next} us after {last} us");
        last = next;
    }
    assert_eq!(last, 1_000);
}
