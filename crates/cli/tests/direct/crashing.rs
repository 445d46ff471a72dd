//! Requests under which the processes of upstreams end.
//!
//! Callers saw lookups fail in waves: one upstream after the other ended, three to four seconds apart, and the
//! keys of each were unserved until others had them. In each wave one request came again and again, by its
//! caller's retries, with the same path and body and at any host; whoever got it sent it on as if it were new.
//!
//! The cause: nobody counted under which request upstreams ended. A host knew a request by its id, which each
//! repeat has anew, and took an upstream that had ended for one that broke a connection. The hosts' own lines
//! proved it: in a wave only requests of one content were cut by each of the upstreams that ended, at seven hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::fleet::{FleetTarget, StoreMode, TargetFault, TargetSettings};
use tokio::task::JoinSet;

use crate::rig::{Ask, Got, Rig, promises_not_run, send, until};

/// Time between two repeats of the request.
const REPEAT_EVERY: Duration = Duration::from_millis(250);
/// Time after which a server that has ended is taken off the store, and another one starts.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// Runs under which servers may end before anybody can know.
const KNOWN_AFTER: usize = 3;
/// Time in which every host must know then.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Runs that may come all the same after that.
const LEFT_OVER: usize = 3;

/// A request that ends the process of each server that runs it.
struct Case {
    service: &'static str,
    path: &'static str,
    ask: fn(&str) -> Ask,
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

    fn repeat(&self, n: usize) -> Ask {
        Ask {
            path: self.path,
            wait_ms: 1_500,
            ..(self.ask)(&format!("crash-{n}"))
        }
    }
}

/// A server and since when it is known to have ended.
struct Watched {
    target: FleetTarget,
    ended: Option<Instant>,
}

/// Replaces servers that have ended for a while.
async fn replace_ended(rig: &Rig, case: &Case, servers: &mut [Watched]) {
    for server in servers {
        if server.target.has_ended() && server.ended.is_none() {
            server.ended = Some(Instant::now());
        }
        if server.ended.is_some_and(|at| at.elapsed() > BACK_AFTER) {
            server.target.unregister();
            let target = rig.target(case.settings()).await;
            target.set_fault(TargetFault::ExitsDuring(case.path));
            *server = Watched {
                target,
                ended: None,
            };
        }
    }
}

/// Repeats the request of `case` at all hosts in turn, and checks how often it runs.
async fn check(case: Case) {
    let mut rig = Rig::start(3).await;
    let servers = if case.service == "reads" {
        std::mem::take(&mut rig.reads)
    } else {
        std::mem::take(&mut rig.posts)
    };
    let watched = |target: FleetTarget| {
        target.set_fault(TargetFault::ExitsDuring(case.path));
        Watched {
            target,
            ended: None,
        }
    };
    let mut servers: Vec<Watched> = servers.into_iter().map(watched).collect();
    let began = Instant::now();
    let mut asked = JoinSet::new();
    let mut n = 0;
    while began.elapsed() < case.repeated_for {
        let ask = Arc::new(case.repeat(n));
        let address = rig.callers(n % rig.hosts.len());
        asked.spawn(async move { send(address, &ask).await });
        n += 1;
        tokio::time::sleep(REPEAT_EVERY).await;
        replace_ended(&rig, &case, &mut servers).await;
    }
    while asked.join_next().await.is_some() {}
    let ran = rig.journal.all();
    let times: Vec<Instant> = ran
        .iter()
        .filter(|r| r.request.starts_with("crash-"))
        .map(|r| r.at)
        .collect();
    let known = times.get(KNOWN_AFTER - 1).map(|&at| at + KNOWN_WITHIN);
    let later = times.iter().filter(|&&at| known.is_some_and(|k| at > k));
    let later = later.count();
    assert!(
        later <= LEFT_OVER,
        "it ran {} times, {later} of them long after the third",
        times.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_that_ends_upstreams_is_not_sent_on_for_ever() {
    check(Case {
        service: "reads",
        path: "/r/crash",
        ask: |id| Ask::read(id, 1_000),
        repeated_for: Duration::from_secs(28),
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_posting_that_ends_upstreams_is_not_sent_on_for_ever() {
    check(Case {
        service: "posts",
        path: "/p/crash",
        ask: Ask::post,
        repeated_for: Duration::from_secs(14),
    })
    .await;
}

/// Path of the postings that end the servers which run them.
const CRASH: &str = "/p/crash";

fn crash(id: &str) -> Ask {
    Ask {
        path: CRASH,
        wait_ms: 1_500,
        ..Ask::post(id)
    }
}

fn is_quarantined(got: Option<&Got>) -> bool {
    got.is_some_and(|got| got.body.contains("crashes-upstreams"))
}

/// Lets a posting end the two servers of its entry; returns once each host refuses it.
async fn quarantined(rig: &Rig) {
    quarantined_by(rig, TargetFault::ExitsDuring(CRASH)).await;
}

async fn quarantined_by(rig: &Rig, trouble: TargetFault) {
    for posts in &rig.posts {
        posts.set_fault(trouble);
    }
    for host in 0..rig.hosts.len() {
        until("the host refuses it", async || {
            let id = format!("crash-{host}-{:?}", Instant::now());
            is_quarantined(rig.ask(host, &crash(&id)).await.as_ref())
        })
        .await;
    }
}

/// Starts a server that runs any posting, and waits until each host knows it.
async fn sound_server(rig: &Rig) -> FleetTarget {
    let settings = TargetSettings {
        service: "posts".into(),
        ..TargetSettings::default()
    };
    let sound = rig.target(settings).await;
    for host in 0..rig.hosts.len() {
        until("other postings are served", async || {
            let post = Ask::post(&format!("other-{host}-{:?}", Instant::now()));
            let got = rig.ask(host, &post).await;
            got.is_some_and(|got| got.status == 200)
        })
        .await;
    }
    sound
}

/// Checks that each host refuses the posting at once, truthfully, and says when to come back.
async fn check_refused(rig: &Rig) {
    let before = rig.journal.all().len();
    for host in 0..rig.hosts.len() {
        let began = Instant::now();
        let got = rig.ask(host, &crash(&format!("late-{host}"))).await;
        let got = got.expect("an answer");
        assert!(is_quarantined(Some(&got)), "{got:?}");
        assert!(promises_not_run(&got), "{got:?}");
        let after = got.retry_after.expect("a time").parse::<f64>();
        assert!(after.expect("a number") > 60.0, "it stays so for minutes");
        assert!(began.elapsed() < Duration::from_millis(500));
    }
    assert_eq!(rig.journal.all().len(), before, "nothing ran");
}

/// What hosts count would be lost with them.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_start_later_know_what_ends_upstreams() {
    let mut rig = Rig::start(3).await;
    quarantined(&rig).await;
    let _sound = sound_server(&rig).await;
    check_refused(&rig).await;
    until("it is in the store", async || {
        rig.store.read("medlardyke", "quarantine").is_some()
    })
    .await;
    for host in 0..rig.hosts.len() {
        rig.hosts[host] = rig.host(host);
    }
    for host in 0..rig.hosts.len() {
        until("the new host serves", async || {
            let post = Ask::post(&format!("new-{host}-{:?}", Instant::now()));
            let got = rig.ask(host, &post).await;
            got.is_some_and(|got| got.status == 200)
        })
        .await;
    }
    check_refused(&rig).await;
}

/// Hosts tell each other directly: an outage of the store must not cost further servers.
#[tokio::test(flavor = "multi_thread")]
async fn what_ends_upstreams_is_known_everywhere_while_the_store_is_away() {
    let rig = Rig::start(3).await;
    rig.store.set_mode(StoreMode::Unavailable);
    quarantined(&rig).await;
    check_refused(&rig).await;
}

/// Beside load a host asked an upstream that was about to end for a connection, got one, and took it for alive.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_that_takes_a_moment_is_found() {
    let rig = Rig::start(2).await;
    quarantined_by(&rig, TargetFault::ExitsSlowlyDuring(CRASH)).await;
    check_refused(&rig).await;
}

/// An upstream that breaks connections has not ended, and its requests are not to blame.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_answers_are_lost_is_not_quarantined() {
    let rig = Rig::start(2).await;
    for posts in &rig.posts {
        posts.set_fault(TargetFault::DropsAnswers);
    }
    for n in 0..12 {
        let got = rig.ask(n % 2, &Ask::post(&format!("lost-{n}"))).await;
        assert_eq!(got.map(|got| got.status), Some(502));
    }
    for posts in &rig.posts {
        posts.set_fault(TargetFault::None);
    }
    for host in 0..2 {
        let got = rig.ask(host, &Ask::post(&format!("found-{host}"))).await;
        assert_eq!(got.map(|got| got.status), Some(200));
    }
}

/// A request that many callers make may well be under way at two upstreams that end for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_answered_as_a_rule_is_not_quarantined() {
    let mut rig = Rig::start(2).await;
    let often = Ask::post("often");
    for host in 0..2 {
        let got = rig.ask(host, &often).await;
        assert_eq!(got.map(|got| got.status), Some(200));
    }
    for posts in &rig.posts {
        posts.set_fault(TargetFault::ExitsDuring(often.path));
    }
    for n in 0..2 {
        let got = rig.ask(n, &Ask::post(&format!("cut-{n}"))).await;
        assert!(!is_quarantined(got.as_ref()), "{got:?}");
    }
    until("the servers have ended", async || {
        rig.ask(0, &Ask::post("cut")).await;
        rig.posts.iter().all(FleetTarget::has_ended)
    })
    .await;
    rig.posts.clear();
    let _sound = sound_server(&rig).await;
}
