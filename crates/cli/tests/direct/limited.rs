//! Servers that say in their answers how many requests a second they take from all hosts together.
//!
//! Two of them got as many as ever, three times what they had named, from eleven hosts that had all passed on
//! dozens of such answers.
//!
//! The cause: nobody read the answers for it. Each test here also guards a way by which requests could still pass
//! the bound: hosts that count for themselves, upstreams that no permits are asked for, a host that hands out permits
//! and is lost, and words that change.

use std::time::{Duration, Instant};

use futures::future::join_all;
use rustix::process::Signal;
use standin::fleet::{FleetTarget, TargetSettings};

use crate::check_owners;
use crate::rig::{Ask, Got, Rig, promises_not_run};

const HOSTS: usize = 3;
/// Requests a second that limited servers take.
const LIMIT: f64 = 6.0;
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Time after the first word from which on the bound holds.
const STABLE: Duration = Duration::from_secs(3);
/// Time from a host's first such answer within which requests may still be on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// What may come beyond the limit: as a factor, and requests beside that.
const OVER: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time between two requests of a caller: three such callers ask for some five times the limit.
const PAUSE: Duration = Duration::from_millis(10);

/// A request and what became of it.
#[derive(Debug)]
struct Asked {
    host: usize,
    id: String,
    began: Instant,
    ended: Instant,
    got: Option<Got>,
}

impl Asked {
    fn is_served(&self) -> bool {
        self.got.as_ref().is_some_and(|got| got.status == 200)
    }

    fn was_answered_by(&self, server: &FleetTarget) -> bool {
        let by = format!("at {}", server.id());
        let got = self.got.as_ref();
        got.is_some_and(|got| got.status == 200 && got.body.ends_with(&by))
    }
}

/// Asks each of `hosts` for `time`, one request after the other for each of them; `ask` builds one with a name and a number.
async fn ask_for(
    rig: &Rig,
    hosts: &[usize],
    name: &str,
    time: Duration,
    ask: impl Fn(&str, usize) -> Ask,
) -> Vec<Asked> {
    let began = Instant::now();
    let ask = &ask;
    let callers = hosts.iter().enumerate().map(|(caller, &host)| async move {
        let mut all = Vec::new();
        while began.elapsed() < time {
            let ask = ask(
                &format!("{name}-{caller}-{}", all.len()),
                all.len() * 3 + host,
            );
            let began = Instant::now();
            let got = rig.ask(host, &ask).await;
            all.push(Asked {
                host,
                id: ask.id,
                began,
                ended: Instant::now(),
                got,
            });
            tokio::time::sleep(PAUSE).await;
        }
        all
    });
    join_all(callers).await.into_iter().flatten().collect()
}

fn post(id: &str, _n: usize) -> Ask {
    Ask::post(id)
}

fn read(id: &str, n: usize) -> Ask {
    Ask::read(id, (n * 997 % 65_536) as u16)
}

/// Checks that in no four seconds more requests reached `server` than its limit allows, from hosts that had passed on
/// such an answer; `named` is when it first named `per_s`, and the bound holds `stable` later.
fn check_bound_after(
    stable: Duration,
    asked: &[Asked],
    server: &FleetTarget,
    named: Instant,
    per_s: f64,
) {
    let allowed = per_s * SPAN.as_secs_f64() * OVER + SLACK;
    let told = |host: usize| {
        let first = asked.iter().filter(|a| a.host == host && a.ended > named);
        first
            .filter(|a| a.was_answered_by(server))
            .map(|a| a.ended)
            .min()
    };
    let told: Vec<Option<Instant>> = (0..HOSTS).map(told).collect();
    let host_of = |id: &str| asked.iter().find(|a| a.id == id).map(|a| a.host);
    let arrived = server.arrivals();
    let requests: Vec<(usize, Instant)> = arrived
        .iter()
        .filter_map(|a| Some((host_of(a.request.as_ref()?)?, a.at)))
        .collect();
    for &(_, end) in requests.iter().filter(|(_, at)| *at >= named + stable) {
        let within = requests.iter().filter(|(host, at)| {
            let is_told = told[*host].is_some_and(|told| told + ON_THE_WAY <= end);
            is_told && *at <= end && *at + SPAN > end
        });
        let within = within.count();
        assert!(
            within as f64 <= allowed,
            "{}: {within} requests in {SPAN:?} at {:?}; {allowed} allowed",
            server.id(),
            end - named
        );
    }
}

fn check_bound(asked: &[Asked], server: &FleetTarget, named: Instant, per_s: f64) {
    check_bound_after(STABLE, asked, server, named, per_s);
}

/// Checks that requests and renewals together stay within the bound once keys had time to move.
fn check_bound_with_orders(server: &FleetTarget, named: Instant, per_s: f64) {
    let allowed = per_s * SPAN.as_secs_f64() * OVER + SLACK;
    let arrived = server.arrivals();
    for end in arrived.iter().map(|a| a.at) {
        let within = arrived.iter().filter(|a| a.at <= end && a.at + SPAN > end);
        let is_bound = end >= named + STABLE + SPAN;
        let within = within.count();
        assert!(
            !is_bound || within as f64 <= allowed,
            "{within} with renewals"
        );
    }
}

/// Checks that callers who were not served were told so truthfully, at once, and when to come back.
fn check_refused(asked: &[Asked]) {
    let refused: Vec<&Asked> = asked.iter().filter(|a| !a.is_served()).collect();
    for a in &refused {
        let got = a.got.as_ref().expect("an answer");
        assert!(promises_not_run(got), "{got:?}");
        let after: f64 = got
            .retry_after
            .as_deref()
            .expect("a time")
            .parse()
            .expect("a number");
        assert!(after > 0.0);
    }
    let held = refused
        .iter()
        .filter(|a| a.ended - a.began > Duration::from_secs(1));
    assert_eq!(held.count(), 0, "nobody is held");
}

#[tokio::test(flavor = "multi_thread")]
async fn postings_keep_to_a_servers_limit_and_others_serve_the_rest() {
    let rig = Rig::start(HOSTS).await;
    let named = Instant::now();
    rig.posts[0].announce_limit(Some(LIMIT));
    let asked = ask_for(&rig, &[0, 1, 2], "p", Duration::from_secs(9), post).await;
    check_bound(&asked, &rig.posts[0], named, LIMIT);
    let refused = asked.iter().filter(|a| !a.is_served()).count();
    assert_eq!(refused, 0, "others serve them");
    // The other one can't do all of that.
    let callers = [0, 1, 2, 0, 1, 2, 0, 1, 2];
    let more = ask_for(&rig, &callers, "more", Duration::from_secs(6), post).await;
    let by_limited = more.iter().filter(|a| a.was_answered_by(&rig.posts[0]));
    let by_limited = by_limited.count();
    assert!(by_limited > 20, "it gets what it takes: {by_limited}");
    let all: Vec<Asked> = asked.into_iter().chain(more).collect();
    check_bound(&all, &rig.posts[0], named, LIMIT);
}

/// Nobody else may run requests on its keys before they have moved.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_keys_keep_to_their_owners_limit_and_keys_move_away() {
    let rig = Rig::start(HOSTS).await;
    let named = Instant::now();
    rig.reads[0].announce_limit(Some(LIMIT));
    let asked = ask_for(&rig, &[0, 1, 2], "r", Duration::from_secs(12), read).await;
    check_bound(&asked, &rig.reads[0], named, LIMIT);
    check_bound_with_orders(&rig.reads[0], named, LIMIT);
    check_refused(&asked);
    check_owners(&rig.journal.all());
    let late: Vec<&Asked> = asked
        .iter()
        .filter(|a| a.began > named + Duration::from_secs(8))
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
    let named = Instant::now();
    rig.posts.iter().for_each(|s| s.announce_limit(Some(LIMIT)));
    let asked = ask_for(&rig, &[0, 1, 2], "p", Duration::from_secs(9), post).await;
    for server in &rig.posts {
        check_bound(&asked, server, named, LIMIT);
    }
    check_refused(&asked);
    assert!(asked.iter().any(|a| !a.is_served()));
}

/// Hosts send to servers that answer at once without asking anybody.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_at_servers_that_need_no_permits() {
    let mut rig = Rig::start(HOSTS).await;
    let fast = TargetSettings {
        service: "posts".into(),
        service_time: Duration::from_millis(2),
        ..TargetSettings::default()
    };
    for _ in 0..2 {
        let server = rig.target(fast.clone()).await;
        rig.posts.push(server);
    }
    for slow in rig.posts.drain(..2) {
        slow.drain();
        slow.unregister();
    }
    ask_for(&rig, &[0, 1, 2], "before", Duration::from_secs(3), post).await;
    let named = Instant::now();
    rig.posts[0].announce_limit(Some(LIMIT));
    let asked = ask_for(&rig, &[0, 1, 2], "p", Duration::from_secs(9), post).await;
    check_bound(&asked, &rig.posts[0], named, LIMIT);
    let refused = asked.iter().filter(|a| !a.is_served()).count();
    assert_eq!(refused, 0, "others serve them");
}

/// One host after the other is lost: whichever hands out the permits is among them.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_hosts_that_hand_out_permits_are_lost() {
    let rig = Rig::start(HOSTS).await;
    let servers = || rig.posts.iter().chain(&rig.reads);
    let named = Instant::now();
    servers().for_each(|s| s.announce_limit(Some(LIMIT)));
    let either = |id: &str, n: usize| {
        if n.is_multiple_of(2) {
            post(id, n)
        } else {
            read(id, n)
        }
    };
    let mut asked = ask_for(&rig, &[0, 1, 2], "all", Duration::from_secs(5), either).await;
    rig.signal(0, Signal::STOP);
    asked.extend(ask_for(&rig, &[1, 2], "two", Duration::from_secs(5), either).await);
    rig.signal(1, Signal::KILL);
    asked.extend(ask_for(&rig, &[2], "one", Duration::from_secs(5), either).await);
    rig.signal(0, Signal::CONT);
    asked.extend(ask_for(&rig, &[0, 2], "back", Duration::from_secs(4), either).await);
    for server in servers() {
        check_bound(&asked, server, named, LIMIT);
    }
    let alone = asked
        .iter()
        .filter(|a| a.id.starts_with("one") && a.is_served());
    assert!(alone.count() > 0, "something is served");
}

/// A limit that is lowered, taken back, or not named by the server's next run.
#[tokio::test(flavor = "multi_thread")]
async fn the_newest_word_of_a_server_counts() {
    let mut rig = Rig::start(HOSTS).await;
    let lost = rig.posts.remove(1);
    lost.drain();
    lost.unregister();
    let second = Duration::from_secs(1);
    rig.posts[0].announce_limit(Some(20.0));
    let mut asked = ask_for(&rig, &[0, 1, 2], "more", 4 * second, post).await;
    let named = Instant::now();
    rig.posts[0].announce_limit(Some(2.0));
    asked.extend(ask_for(&rig, &[0, 1, 2], "less", 8 * second, post).await);
    // What it got by its word before counts no more.
    check_bound_after(SPAN, &asked, &rig.posts[0], named, 2.0);
    rig.posts[0].announce_limit(None);
    ask_for(&rig, &[0, 1, 2], "settles", 3 * second, post).await;
    let free = ask_for(&rig, &[0, 1, 2], "free", 2 * second, post).await;
    let refused = free.iter().filter(|a| !a.is_served()).count();
    assert_eq!(refused, 0, "of {}: it takes as many as ever", free.len());
    rig.posts[0].announce_limit(Some(1.0));
    ask_for(&rig, &[0, 1, 2], "limited", 3 * second, post).await;
    let again = rig.posts.remove(0).restart(second, second).await;
    rig.posts.push(again.expect("it starts again"));
    ask_for(&rig, &[0, 1, 2], "learns", 3 * second, post).await;
    let free = ask_for(&rig, &[0, 1, 2], "new", 2 * second, post).await;
    let refused = free.iter().filter(|a| !a.is_served()).count();
    assert_eq!(refused, 0, "of {}: its next run names no limit", free.len());
}
