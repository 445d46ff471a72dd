//! Tests of upstreams that announce in their answers that they drain.
//!
//! Guards against hosts that learn of a draining upstream from its registration only and ignore the
//! announcement in its answers. While the store was unavailable and the registration could not
//! change, requests still reached such an upstream twelve seconds after its announcement, although
//! each host had relayed dozens of answers that contained it. Its share of requests changed only
//! once the store was available again, and no log line named it.

use std::time::{Duration, Instant};

use standin::fleet::{ExecutedRequest, FleetTarget, StoreMode};

use crate::rig::{Request, Rig, wait_until};
use crate::{DRAIN_TIMEOUT, check_owners};

/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(6);
const HOSTS: usize = 3;

/// A request and how a host answered it.
struct Exchange {
    host: usize,
    id: String,
    start: Instant,
    end: Instant,
    status: u16,
    /// Whether the draining upstream answered.
    by_leaving: bool,
}

/// Sends requests to all hosts in turn for `time`; `make_request` builds the request with a number.
async fn send_for(
    rig: &Rig,
    time: Duration,
    leaving: &FleetTarget,
    make_request: impl Fn(usize) -> Request,
) -> Vec<Exchange> {
    let mut all = Vec::new();
    let start = Instant::now();
    let by = format!("at {}", leaving.id());
    while start.elapsed() < time {
        let n = all.len();
        let (host, request) = (n % HOSTS, make_request(n));
        let start = Instant::now();
        let response = rig.send(host, &request).await.expect("an answer");
        all.push(Exchange {
            host,
            id: request.id,
            start,
            end: Instant::now(),
            status: response.status,
            by_leaving: response.body.ends_with(&by),
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    all
}

fn was_executed_at(ran: &[ExecutedRequest], id: &str, upstream: &FleetTarget) -> bool {
    ran.iter()
        .any(|r| r.request == id && r.target == *upstream.id())
}

/// Checks that no host sent a request to `leaving` later than `DRAIN_TIMEOUT`, two seconds, after
/// it had relayed one of its answers.
fn check_not_used_after_drain(rig: &Rig, exchanges: &[Exchange], leaving: &FleetTarget) {
    let ran = rig.journal.all();
    for host in 0..HOSTS {
        let of_host = || exchanges.iter().filter(move |a| a.host == host);
        let Some(announced) = of_host().find(|a| a.by_leaving).map(|a| a.end) else {
            continue;
        };
        let late = of_host().filter(|a| a.start > announced + DRAIN_TIMEOUT);
        let late: Vec<&str> = late
            .filter(|a| was_executed_at(&ran, &a.id, leaving))
            .map(|a| a.id.as_str())
            .collect();
        assert!(late.is_empty(), "host {host}: {} late", late.len());
    }
}

/// Any other upstream may execute a request without a key, so these requests must not fail.
#[tokio::test(flavor = "multi_thread")]
async fn postings_go_elsewhere_while_the_store_is_away() {
    let rig = Rig::start(HOSTS).await;
    // Hosts prefer upstreams that they are connected to. A fixed choice could be one without
    // connections, so the upstream that answered is chosen.
    let response = rig.send(0, &Request::post("who")).await.expect("an answer");
    let answered = |s: &&FleetTarget| response.body.ends_with(&format!("at {}", s.id()));
    let leaving = rig.posts.iter().find(answered).expect("one of them");
    rig.store.set_mode(StoreMode::Unresponsive);
    leaving.announce_leaving();
    let exchanges = send_for(&rig, LOAD_DURATION, leaving, |n| {
        Request::post(&format!("p-{n}"))
    })
    .await;
    check_not_used_after_drain(&rig, &exchanges, leaving);
    assert!(
        exchanges.iter().any(|a| a.by_leaving),
        "some hosts received the announcement"
    );
    assert!(exchanges.iter().all(|a| a.status == 200), "all are served");
}

/// No other upstream may execute requests with its keys until they have moved, which requires the
/// store.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_leaving_server_are_refused_while_the_store_is_away() {
    let rig = Rig::start(HOSTS).await;
    rig.store.set_mode(StoreMode::Unresponsive);
    let leaving = &rig.reads[0];
    leaving.announce_leaving();
    let read = |n: usize| Request::read(&format!("r-{n}"), (n * 997 % 65_536) as u16);
    let exchanges = send_for(&rig, LOAD_DURATION, leaving, read).await;
    check_not_used_after_drain(&rig, &exchanges, leaving);
    let refused: Vec<&Exchange> = exchanges.iter().filter(|a| a.status != 200).collect();
    assert!(refused.iter().all(|a| a.status == 503));
    let last = refused.last().expect("some are refused");
    assert!(
        last.end - last.start < Duration::from_millis(100),
        "refusals are delayed"
    );
    rig.store.set_mode(StoreMode::Up);
    wait_until("its keys are served", async || {
        let again = send_for(&rig, Duration::from_millis(600), leaving, |n| Request {
            id: format!("again-{n}-{:?}", Instant::now()),
            ..read(n)
        });
        again.await.iter().all(|a| a.status == 200 && !a.by_leaving)
    })
    .await;
    check_owners(&rig.journal.all());
}

/// The granting host receives the announcement in the answers to its own grant calls, so that keys
/// move before any request is refused.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_leaving_server_move_before_requests_are_refused() {
    let rig = Rig::start(HOSTS).await;
    let leaving = &rig.reads[0];
    leaving.announce_leaving();
    let read = |n: usize| Request::read(&format!("r-{n}"), (n * 997 % 65_536) as u16);
    let exchanges = send_for(&rig, LOAD_DURATION, leaving, read).await;
    check_not_used_after_drain(&rig, &exchanges, leaving);
    let refused = exchanges.iter().filter(|a| a.status != 200).count();
    assert_eq!(refused, 0);
    let last = exchanges.iter().rfind(|a| a.by_leaving);
    let last = last.map_or(Duration::ZERO, |a| a.end - exchanges[0].start);
    assert!(last < Duration::from_secs(3), "its keys moved: {last:?}");
    check_owners(&rig.journal.all());
}
