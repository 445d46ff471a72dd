//! Tests of upstreams that announce in their answers a rate limit for all hosts together.
//!
//! Guards against hosts that ignore the limit. Two upstreams once received three times their limits
//! from eleven hosts, which had all relayed dozens of answers that contained them. The tests also
//! cover other ways of exceeding a limit: hosts that count their own requests only, upstreams that
//! are used without permits, the loss of a host that issues permits, and limits that change.

use std::time::{Duration, Instant};

use futures::future::join_all;
use rustix::process::Signal;
use standin::fleet::{FleetTarget, TargetSettings};

use crate::check_owners;
use crate::rig::{Request, Response, Rig, guarantees_not_executed};

const HOSTS: usize = 3;
/// Rate limit of limited upstreams, in requests per second.
const LIMIT: f64 = 6.0;
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the announcement of a limit from which on it must be kept.
const SETTLING: Duration = Duration::from_secs(3);
/// Time after a host's first answer with the limit in which its requests may still be in flight.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// Tolerance above the limit: a factor, and a number of requests in addition.
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time between two requests of a caller; three such callers together send about five times the
/// limit.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// A request and its response.
#[derive(Debug)]
struct Exchange {
    host: usize,
    id: String,
    start: Instant,
    end: Instant,
    response: Option<Response>,
}

impl Exchange {
    fn is_served(&self) -> bool {
        self.response
            .as_ref()
            .is_some_and(|response| response.status == 200)
    }

    fn was_answered_by(&self, upstream: &FleetTarget) -> bool {
        let by = format!("at {}", upstream.id());
        let response = self.response.as_ref();
        response.is_some_and(|response| response.status == 200 && response.body.ends_with(&by))
    }
}

/// Runs one caller for each item of `hosts` for `time`, each sending one request after the other;
/// `make_request` builds a request from an id and a number.
async fn send_for(
    rig: &Rig,
    hosts: &[usize],
    name: &str,
    time: Duration,
    make_request: impl Fn(&str, usize) -> Request,
) -> Vec<Exchange> {
    let start = Instant::now();
    let make_request = &make_request;
    let callers = hosts.iter().enumerate().map(|(caller, &host)| async move {
        let mut all = Vec::new();
        while start.elapsed() < time {
            let request = make_request(
                &format!("{name}-{caller}-{}", all.len()),
                all.len() * 3 + host,
            );
            let start = Instant::now();
            let response = rig.send(host, &request).await;
            all.push(Exchange {
                host,
                id: request.id,
                start,
                end: Instant::now(),
                response,
            });
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        all
    });
    join_all(callers).await.into_iter().flatten().collect()
}

fn post(id: &str, _n: usize) -> Request {
    Request::post(id)
}

fn read(id: &str, n: usize) -> Request {
    Request::read(id, (n * 997 % 65_536) as u16)
}

/// Checks that hosts that had relayed an answer with the limit sent no more requests to `upstream`
/// in any window of four seconds than the limit allows.
///
/// `announced` is when `upstream` announced `per_s`; the limit must be kept from `settling` later.
fn check_limit_after(
    settling: Duration,
    exchanges: &[Exchange],
    upstream: &FleetTarget,
    announced: Instant,
    per_s: f64,
) {
    let allowed = per_s * WINDOW.as_secs_f64() * TOLERANCE + SLACK;
    let informed_at = |host: usize| {
        let first = exchanges
            .iter()
            .filter(|a| a.host == host && a.end > announced);
        first
            .filter(|a| a.was_answered_by(upstream))
            .map(|a| a.end)
            .min()
    };
    let informed_at: Vec<Option<Instant>> = (0..HOSTS).map(informed_at).collect();
    let host_of = |id: &str| exchanges.iter().find(|a| a.id == id).map(|a| a.host);
    let arrived = upstream.arrivals();
    let requests: Vec<(usize, Instant)> = arrived
        .iter()
        .filter_map(|a| Some((host_of(a.request.as_ref()?)?, a.at)))
        .collect();
    for &(_, end) in requests
        .iter()
        .filter(|(_, at)| *at >= announced + settling)
    {
        let within = requests.iter().filter(|(host, at)| {
            let is_informed = informed_at[*host].is_some_and(|at| at + IN_FLIGHT <= end);
            is_informed && *at <= end && *at + WINDOW > end
        });
        let within = within.count();
        assert!(
            within as f64 <= allowed,
            "{}: {within} requests in {WINDOW:?} at {:?}; {allowed} allowed",
            upstream.id(),
            end - announced
        );
    }
}

fn check_limit(exchanges: &[Exchange], upstream: &FleetTarget, announced: Instant, per_s: f64) {
    check_limit_after(SETTLING, exchanges, upstream, announced, per_s);
}

/// Checks that requests and grant calls together stay within the limit once keys had time to move.
fn check_limit_with_grant_calls(upstream: &FleetTarget, announced: Instant, per_s: f64) {
    let allowed = per_s * WINDOW.as_secs_f64() * TOLERANCE + SLACK;
    let arrived = upstream.arrivals();
    for end in arrived.iter().map(|a| a.at) {
        let within = arrived
            .iter()
            .filter(|a| a.at <= end && a.at + WINDOW > end);
        let must_hold = end >= announced + SETTLING + WINDOW;
        let within = within.count();
        assert!(
            !must_hold || within as f64 <= allowed,
            "{within} requests and grant calls"
        );
    }
}

/// Checks that refusals are immediate, guarantee that the request was not executed, and contain a
/// delay for the retry.
fn check_refused(exchanges: &[Exchange]) {
    let refused: Vec<&Exchange> = exchanges.iter().filter(|a| !a.is_served()).collect();
    for a in &refused {
        let response = a.response.as_ref().expect("an answer");
        assert!(guarantees_not_executed(response), "{response:?}");
        let after: f64 = response
            .retry_after
            .as_deref()
            .expect("a time")
            .parse()
            .expect("a number");
        assert!(after > 0.0);
    }
    let slow = refused
        .iter()
        .filter(|a| a.end - a.start > Duration::from_secs(1));
    assert_eq!(slow.count(), 0, "refusals are delayed");
}

#[tokio::test(flavor = "multi_thread")]
async fn postings_keep_to_a_servers_limit_and_others_serve_the_rest() {
    let rig = Rig::start(HOSTS).await;
    let announced = Instant::now();
    rig.posts[0].announce_limit(Some(LIMIT));
    let exchanges = send_for(&rig, &[0, 1, 2], "p", Duration::from_secs(9), post).await;
    check_limit(&exchanges, &rig.posts[0], announced, LIMIT);
    let refused = exchanges.iter().filter(|a| !a.is_served()).count();
    assert_eq!(refused, 0, "others serve them");
    // The other upstream can't serve all of these requests.
    let callers = [0, 1, 2, 0, 1, 2, 0, 1, 2];
    let more = send_for(&rig, &callers, "more", Duration::from_secs(6), post).await;
    let by_limited = more.iter().filter(|a| a.was_answered_by(&rig.posts[0]));
    let by_limited = by_limited.count();
    assert!(
        by_limited > 20,
        "the limited upstream is used up to its limit: {by_limited}"
    );
    let all: Vec<Exchange> = exchanges.into_iter().chain(more).collect();
    check_limit(&all, &rig.posts[0], announced, LIMIT);
}

/// No other upstream may execute requests with its keys until they have moved.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_keys_keep_to_their_owners_limit_and_keys_move_away() {
    let rig = Rig::start(HOSTS).await;
    let announced = Instant::now();
    rig.reads[0].announce_limit(Some(LIMIT));
    let exchanges = send_for(&rig, &[0, 1, 2], "r", Duration::from_secs(12), read).await;
    check_limit(&exchanges, &rig.reads[0], announced, LIMIT);
    check_limit_with_grant_calls(&rig.reads[0], announced, LIMIT);
    check_refused(&exchanges);
    check_owners(&rig.journal.all());
    let late: Vec<&Exchange> = exchanges
        .iter()
        .filter(|a| a.start > announced + Duration::from_secs(8))
        .collect();
    let refused = late.iter().filter(|a| !a.is_served()).count();
    assert!(
        refused * 10 < late.len(),
        "{refused} of {} refused at the end",
        late.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_at_once_when_all_servers_are_limited() {
    let rig = Rig::start(HOSTS).await;
    let announced = Instant::now();
    rig.posts.iter().for_each(|s| s.announce_limit(Some(LIMIT)));
    let exchanges = send_for(&rig, &[0, 1, 2], "p", Duration::from_secs(9), post).await;
    for upstream in &rig.posts {
        check_limit(&exchanges, upstream, announced, LIMIT);
    }
    check_refused(&exchanges);
    assert!(exchanges.iter().any(|a| !a.is_served()));
}

/// Hosts send to upstreams that answer quickly without requesting permits.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_at_servers_that_need_no_permits() {
    let mut rig = Rig::start(HOSTS).await;
    let fast = TargetSettings {
        service: "posts".into(),
        service_time: Duration::from_millis(2),
        ..TargetSettings::default()
    };
    for _ in 0..2 {
        let upstream = rig.target(fast.clone()).await;
        rig.posts.push(upstream);
    }
    for slow in rig.posts.drain(..2) {
        slow.drain();
        slow.unregister();
    }
    send_for(&rig, &[0, 1, 2], "before", Duration::from_secs(3), post).await;
    let announced = Instant::now();
    rig.posts[0].announce_limit(Some(LIMIT));
    let exchanges = send_for(&rig, &[0, 1, 2], "p", Duration::from_secs(9), post).await;
    check_limit(&exchanges, &rig.posts[0], announced, LIMIT);
    let refused = exchanges.iter().filter(|a| !a.is_served()).count();
    assert_eq!(refused, 0, "others serve them");
}

/// Hosts are stopped or killed one after the other, so that hosts that issue permits are among
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_hosts_that_issue_permits_are_lost() {
    let rig = Rig::start(HOSTS).await;
    let upstreams = || rig.posts.iter().chain(&rig.reads);
    let announced = Instant::now();
    upstreams().for_each(|s| s.announce_limit(Some(LIMIT)));
    let either = |id: &str, n: usize| {
        if n.is_multiple_of(2) {
            post(id, n)
        } else {
            read(id, n)
        }
    };
    let mut exchanges = send_for(&rig, &[0, 1, 2], "all", Duration::from_secs(5), either).await;
    rig.signal(0, Signal::STOP);
    exchanges.extend(send_for(&rig, &[1, 2], "two", Duration::from_secs(5), either).await);
    rig.signal(1, Signal::KILL);
    exchanges.extend(send_for(&rig, &[2], "one", Duration::from_secs(5), either).await);
    rig.signal(0, Signal::CONT);
    exchanges.extend(send_for(&rig, &[0, 2], "back", Duration::from_secs(4), either).await);
    for upstream in upstreams() {
        check_limit(&exchanges, upstream, announced, LIMIT);
    }
    let alone = exchanges
        .iter()
        .filter(|a| a.id.starts_with("one") && a.is_served());
    assert!(alone.count() > 0, "the remaining host serves requests");
}

/// Covers limits that are lowered or withdrawn, and a limit that the upstream's next incarnation
/// does not announce.
#[tokio::test(flavor = "multi_thread")]
async fn the_newest_announcement_of_a_server_applies() {
    let mut rig = Rig::start(HOSTS).await;
    let lost = rig.posts.remove(1);
    lost.drain();
    lost.unregister();
    let second = Duration::from_secs(1);
    rig.posts[0].announce_limit(Some(20.0));
    let mut exchanges = send_for(&rig, &[0, 1, 2], "more", 4 * second, post).await;
    let announced = Instant::now();
    rig.posts[0].announce_limit(Some(2.0));
    exchanges.extend(send_for(&rig, &[0, 1, 2], "less", 8 * second, post).await);
    // The window must not include requests under the earlier limit.
    check_limit_after(WINDOW, &exchanges, &rig.posts[0], announced, 2.0);
    rig.posts[0].announce_limit(None);
    send_for(&rig, &[0, 1, 2], "settles", 3 * second, post).await;
    let free = send_for(&rig, &[0, 1, 2], "free", 2 * second, post).await;
    let refused = free.iter().filter(|a| !a.is_served()).count();
    assert_eq!(refused, 0, "of {}: the limit was withdrawn", free.len());
    rig.posts[0].announce_limit(Some(1.0));
    send_for(&rig, &[0, 1, 2], "limited", 3 * second, post).await;
    let again = rig.posts.remove(0).restart(second, second).await;
    rig.posts.push(again.expect("it starts again"));
    send_for(&rig, &[0, 1, 2], "learns", 3 * second, post).await;
    let free = send_for(&rig, &[0, 1, 2], "new", 2 * second, post).await;
    let refused = free.iter().filter(|a| !a.is_served()).count();
    assert_eq!(
        refused,
        0,
        "of {}: its next incarnation announces no limit",
        free.len()
    );
}
