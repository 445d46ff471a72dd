//! Tests of upstreams that refuse requests and announce for how long they accept none.
//!
//! Guards against hosts that read the refusal but not its duration. They sent to such an upstream
//! again with each request for which it seemed the best one, and with each request on its keys: up
//! to 11 requests of one host in three seconds, where 2 may still be in flight.

use std::time::{Duration, Instant};

use standin::fleet::{FleetTarget, TargetFault};

use crate::rig::{Request, Response, Rig, guarantees_not_executed};

const HOSTS: usize = 3;
/// Seconds for which an upstream accepts no requests.
const REFUSES_FOR_S: u32 = 3;
/// Time after such a refusal in which other requests may still be in flight.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// Maximum number of requests from one host in the rest of the announced time.
const MAX_STRAY_REQUESTS: usize = 2;
const LOAD_DURATION: Duration = Duration::from_millis(3_500);

/// Sends requests to all hosts in turn; returns the responses and their latencies.
async fn send_to_all(
    rig: &Rig,
    make_request: impl Fn(usize) -> Request,
) -> Vec<(Response, Duration)> {
    let mut all = Vec::new();
    let start = Instant::now();
    while start.elapsed() < LOAD_DURATION {
        let n = all.len();
        let sent_at = Instant::now();
        let response = rig
            .send(n % HOSTS, &make_request(n))
            .await
            .expect("an answer");
        all.push((response, sent_at.elapsed()));
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    all
}

/// Returns the number of the host that a request was sent to, derived from the number in its id.
fn host_of(id: &str) -> Option<usize> {
    let (_, n) = id.rsplit_once('-')?;
    n.parse::<usize>().ok().map(|n| n % HOSTS)
}

/// Checks that no host sent more than a few requests to `upstream` in the announced time.
fn check_refusals_respected(upstream: &FleetTarget) {
    let all = upstream.refused();
    for host in 0..HOSTS {
        let of_host = all.iter().filter(|(id, _)| host_of(id) == Some(host));
        let times: Vec<Instant> = of_host.map(|(_, at)| *at).collect();
        for &refused_at in &times {
            let until = refused_at + Duration::from_secs(REFUSES_FOR_S.into());
            let during = times
                .iter()
                .filter(|&&at| at > refused_at + IN_FLIGHT && at < until);
            let during = during.count();
            assert!(
                during <= MAX_STRAY_REQUESTS,
                "host {host}: {during} requests in the announced time"
            );
        }
    }
}

fn refusals(all: &[(Response, Duration)]) -> Vec<&(Response, Duration)> {
    all.iter()
        .filter(|(response, _)| response.status != 200)
        .collect()
}

/// Checks that refusals are immediate, guarantee that the request was not executed, and contain a
/// delay for the retry that is not much longer than the announced time.
fn check_refused(all: &[(Response, Duration)]) {
    let refused = refusals(all);
    assert!(!refused.is_empty());
    for (response, _) in &refused {
        assert!(guarantees_not_executed(response), "{response:?}");
        let after = response.retry_after.as_deref().expect("a time");
        let after: f64 = after.parse().expect("a number");
        assert!(after <= 1.4 * f64::from(REFUSES_FOR_S), "{after}");
    }
    let slow = refused
        .iter()
        .filter(|(_, took)| *took > Duration::from_millis(100));
    assert!(slow.count() <= 2 * HOSTS, "refusals are delayed");
}

#[tokio::test(flavor = "multi_thread")]
async fn postings_go_to_others_while_a_server_accepts_none() {
    let rig = Rig::start(HOSTS).await;
    rig.posts[0].set_fault(TargetFault::RefusesFor(REFUSES_FOR_S));
    let all = send_to_all(&rig, |n| Request::post(&format!("post-{n}"))).await;
    check_refusals_respected(&rig.posts[0]);
    assert_eq!(refusals(&all).len(), 0, "others serve them");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_while_no_server_accepts_any() {
    let rig = Rig::start(HOSTS).await;
    for posts in &rig.posts {
        posts.set_fault(TargetFault::RefusesFor(REFUSES_FOR_S));
    }
    let all = send_to_all(&rig, |n| Request::post(&format!("post-{n}"))).await;
    rig.posts.iter().for_each(check_refusals_respected);
    check_refused(&all);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_on_keys_are_refused_while_their_owner_accepts_none() {
    let rig = Rig::start(HOSTS).await;
    rig.reads[0].set_fault(TargetFault::RefusesFor(REFUSES_FOR_S));
    let read = |n: usize| Request::read(&format!("read-{n}"), (n * 997 % 65_536) as u16);
    let all = send_to_all(&rig, read).await;
    check_refusals_respected(&rig.reads[0]);
    check_refused(&all);
    assert!(
        refusals(&all).len() < all.len() / 2,
        "other keys are served"
    );
}
