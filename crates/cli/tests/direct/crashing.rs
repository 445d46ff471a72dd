//! Requests under which the processes of upstreams end.
//!
//! Callers saw lookups fail in waves: one upstream after the other ended, three to four seconds apart, and the
//! keys of each were unserved until others had them. In each wave one request came again and again, by its
//! caller's retries, with the same path and body and at any host; whoever got it sent it on as if it were new.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::fleet::{FleetTarget, TargetSettings, TargetTrouble};
use tokio::task::JoinSet;

use crate::rig::{Ask, Rig, send};

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
async fn replace_ended(rig: &Rig, case: &Case, servers: &mut Vec<Watched>) {
    for server in servers.iter_mut() {
        if server.target.has_ended() && server.ended.is_none() {
            server.ended = Some(Instant::now());
        }
        if server.ended.is_some_and(|at| at.elapsed() > BACK_AFTER) {
            server.target.unregister();
            let target = rig.target(case.settings()).await;
            target.set_trouble(TargetTrouble::EndsUnder(case.path));
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
        target.set_trouble(TargetTrouble::EndsUnder(case.path));
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
