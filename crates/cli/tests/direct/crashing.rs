//! Tests of requests that crash the upstreams that execute them.
//!
//! Guards against hosts that forward repeats of such a request until one upstream after the other
//! has crashed. Lookups failed in waves: upstreams crashed three to four seconds apart, and the
//! keys of each were unserved until they had new owners. In each wave the caller repeated one
//! request with the same path and body at any host, and each host forwarded it as a new one.
//!
//! No host counted the requests during which upstreams crashed. Hosts identified requests by their
//! id, which differs between repeats, and treated a crashed upstream as a broken connection. The
//! logs of seven hosts showed that in a wave the crashes cut only requests with the same
//! fingerprint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::fleet::{FleetTarget, StoreMode, TargetFault, TargetSettings};
use tokio::task::JoinSet;

use crate::rig::{Request, Response, Rig, guarantees_not_executed, send, wait_until};

/// Time between two repeats of the request.
const REPEAT_EVERY: Duration = Duration::from_millis(250);
/// Time after which a crashed upstream is unregistered and another one starts.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// Number of executions that may crash upstreams before the request is quarantined.
const QUARANTINED_AFTER: usize = 3;
/// Time from then within which every host must refuse the request.
const QUARANTINED_WITHIN: Duration = Duration::from_secs(3);
/// Maximum number of executions after that time.
const MAX_LATE_EXECUTIONS: usize = 3;

/// A request that crashes each upstream that executes it.
struct Case {
    service: &'static str,
    path: &'static str,
    make_request: fn(&str) -> Request,
    /// How long the request is repeated.
    repeated_for: Duration,
}

impl Case {
    fn settings(&self) -> TargetSettings {
        TargetSettings {
            service: self.service.into(),
            is_divided: self.service == "reads",
            ..TargetSettings::default()
        }
    }

    fn repeat(&self, n: usize) -> Request {
        Request {
            path: self.path,
            wait_ms: 1_500,
            ..(self.make_request)(&format!("crash-{n}"))
        }
    }
}

/// An upstream and when its crash was observed.
struct ObservedUpstream {
    target: FleetTarget,
    ended: Option<Instant>,
}

/// Replaces upstreams some time after their crash.
async fn replace_ended(rig: &Rig, case: &Case, upstreams: &mut [ObservedUpstream]) {
    for upstream in upstreams {
        if upstream.target.has_ended() && upstream.ended.is_none() {
            upstream.ended = Some(Instant::now());
        }
        if upstream
            .ended
            .is_some_and(|at| at.elapsed() > REPLACED_AFTER)
        {
            upstream.target.unregister();
            let target = rig.target(case.settings()).await;
            target.set_fault(TargetFault::ExitsDuring(case.path));
            *upstream = ObservedUpstream {
                target,
                ended: None,
            };
        }
    }
}

/// Repeats the request of `case` at all hosts in turn and checks how often it is executed.
async fn check(case: Case) {
    let mut rig = Rig::start(3).await;
    let upstreams = if case.service == "reads" {
        std::mem::take(&mut rig.reads)
    } else {
        std::mem::take(&mut rig.posts)
    };
    let observed = |target: FleetTarget| {
        target.set_fault(TargetFault::ExitsDuring(case.path));
        ObservedUpstream {
            target,
            ended: None,
        }
    };
    let mut upstreams: Vec<ObservedUpstream> = upstreams.into_iter().map(observed).collect();
    let start = Instant::now();
    let mut pending = JoinSet::new();
    let mut n = 0;
    while start.elapsed() < case.repeated_for {
        let request = Arc::new(case.repeat(n));
        let address = rig.callers(n % rig.hosts.len());
        pending.spawn(async move { send(address, &request).await });
        n += 1;
        tokio::time::sleep(REPEAT_EVERY).await;
        replace_ended(&rig, &case, &mut upstreams).await;
    }
    while pending.join_next().await.is_some() {}
    let ran = rig.journal.all();
    let times: Vec<Instant> = ran
        .iter()
        .filter(|r| r.request.starts_with("crash-"))
        .map(|r| r.at)
        .collect();
    let deadline = times
        .get(QUARANTINED_AFTER - 1)
        .map(|&at| at + QUARANTINED_WITHIN);
    let later = times.iter().filter(|&&at| deadline.is_some_and(|d| at > d));
    let later = later.count();
    assert!(
        later <= MAX_LATE_EXECUTIONS,
        "the request was executed {} times, {later} of them long after the third",
        times.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_that_crashes_upstreams_is_quarantined() {
    check(Case {
        service: "reads",
        path: "/r/crash",
        make_request: |id| Request::read(id, 1_000),
        repeated_for: Duration::from_secs(28),
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_posting_that_crashes_upstreams_is_quarantined() {
    check(Case {
        service: "posts",
        path: "/p/crash",
        make_request: Request::post,
        repeated_for: Duration::from_secs(14),
    })
    .await;
}

/// Path of the posts that crash the upstreams that execute them.
const CRASH: &str = "/p/crash";

fn crashing_post(id: &str) -> Request {
    Request {
        path: CRASH,
        wait_ms: 1_500,
        ..Request::post(id)
    }
}

fn is_quarantined(response: Option<&Response>) -> bool {
    response.is_some_and(|response| response.body.contains("crashes-upstreams"))
}

/// Crashes the two upstreams of an entry with a post; returns once each host refuses it.
async fn quarantine_post(rig: &Rig) {
    quarantine_post_with(rig, TargetFault::ExitsDuring(CRASH)).await;
}

async fn quarantine_post_with(rig: &Rig, trouble: TargetFault) {
    for posts in &rig.posts {
        posts.set_fault(trouble);
    }
    for host in 0..rig.hosts.len() {
        wait_until("the host refuses the post", async || {
            let id = format!("crash-{host}-{:?}", Instant::now());
            is_quarantined(rig.send(host, &crashing_post(&id)).await.as_ref())
        })
        .await;
    }
}

/// Starts an upstream that does not crash and waits until each host uses it.
async fn start_healthy_upstream(rig: &Rig) -> FleetTarget {
    let settings = TargetSettings {
        service: "posts".into(),
        ..TargetSettings::default()
    };
    let upstream = rig.target(settings).await;
    for host in 0..rig.hosts.len() {
        wait_until("other posts are served", async || {
            let post = Request::post(&format!("other-{host}-{:?}", Instant::now()));
            let response = rig.send(host, &post).await;
            response.is_some_and(|response| response.status == 200)
        })
        .await;
    }
    upstream
}

/// Checks that each host refuses the post immediately, guarantees that it was not executed, and
/// returns a delay for the retry.
async fn check_refused(rig: &Rig) {
    let before = rig.journal.all().len();
    for host in 0..rig.hosts.len() {
        let start = Instant::now();
        let response = rig
            .send(host, &crashing_post(&format!("late-{host}")))
            .await;
        let response = response.expect("an answer");
        assert!(is_quarantined(Some(&response)), "{response:?}");
        assert!(guarantees_not_executed(&response), "{response:?}");
        let after = response.retry_after.expect("a time").parse::<f64>();
        assert!(
            after.expect("a number") > 60.0,
            "the quarantine lasts for minutes"
        );
        assert!(start.elapsed() < Duration::from_millis(500));
    }
    assert_eq!(rig.journal.all().len(), before, "no request was executed");
}

/// Guards against quarantines that are lost when hosts restart.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_start_later_apply_the_quarantine() {
    let mut rig = Rig::start(3).await;
    quarantine_post(&rig).await;
    let _healthy = start_healthy_upstream(&rig).await;
    check_refused(&rig).await;
    wait_until("the quarantine is in the store", async || {
        rig.store.read("medlardyke", "quarantine").is_some()
    })
    .await;
    for host in 0..rig.hosts.len() {
        rig.hosts[host] = rig.host(host);
    }
    for host in 0..rig.hosts.len() {
        wait_until("the new host serves", async || {
            let post = Request::post(&format!("new-{host}-{:?}", Instant::now()));
            let response = rig.send(host, &post).await;
            response.is_some_and(|response| response.status == 200)
        })
        .await;
    }
    check_refused(&rig).await;
}

/// Guards against quarantines that are lost when the store returns from a copy without them.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_that_the_store_has_lost_is_written_again() {
    let rig = Rig::start(3).await;
    let copy = rig.store.copy();
    quarantine_post(&rig).await;
    let is_in_store = || rig.store.read("medlardyke", "quarantine").is_some();
    wait_until("the quarantine is in the store", async || is_in_store()).await;
    // Long enough for all hosts to read it.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let lost = rig.store.return_from(&copy);
    rig.store.rewrite_rows(lost);
    assert!(!is_in_store());
    wait_until("the quarantine is in the store again", async || {
        is_in_store()
    })
    .await;
    check_refused(&rig).await;
}

/// Hosts exchange quarantines directly, so that further upstreams don't crash during an outage of
/// the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_reaches_all_hosts_while_the_store_is_away() {
    let rig = Rig::start(3).await;
    rig.store.set_mode(StoreMode::Unavailable);
    quarantine_post(&rig).await;
    check_refused(&rig).await;
}

/// Under load a host connected to an upstream that was about to crash and concluded from the
/// successful connection that it was alive.
#[tokio::test(flavor = "multi_thread")]
async fn a_delayed_crash_is_detected() {
    let rig = Rig::start(2).await;
    quarantine_post_with(&rig, TargetFault::ExitsSlowlyDuring(CRASH)).await;
    check_refused(&rig).await;
}

/// An upstream that closes connections has not crashed, and its requests must not be quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_answers_are_lost_is_not_quarantined() {
    let rig = Rig::start(2).await;
    for posts in &rig.posts {
        posts.set_fault(TargetFault::DropsAnswers);
    }
    for n in 0..12 {
        let response = rig.send(n % 2, &Request::post(&format!("lost-{n}"))).await;
        assert_eq!(response.map(|response| response.status), Some(502));
    }
    for posts in &rig.posts {
        posts.set_fault(TargetFault::None);
    }
    for host in 0..2 {
        let response = rig
            .send(host, &Request::post(&format!("found-{host}")))
            .await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
}

/// A frequent request may be in flight at two upstreams that crash for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_usually_answered_is_not_quarantined() {
    let mut rig = Rig::start(2).await;
    let frequent = Request::post("often");
    for host in 0..2 {
        let response = rig.send(host, &frequent).await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    for posts in &rig.posts {
        posts.set_fault(TargetFault::ExitsDuring(frequent.path));
    }
    for n in 0..2 {
        let response = rig.send(n, &Request::post(&format!("cut-{n}"))).await;
        assert!(!is_quarantined(response.as_ref()), "{response:?}");
    }
    wait_until("the upstreams have crashed", async || {
        rig.send(0, &Request::post("cut")).await;
        rig.posts.iter().all(FleetTarget::has_ended)
    })
    .await;
    rig.posts.clear();
    let _healthy = start_healthy_upstream(&rig).await;
}
