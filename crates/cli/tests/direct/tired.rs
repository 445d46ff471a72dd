//! Servers that turn requests away and say for how long they want none.
//!
//! Hosts heeded that a server was full, and not what it said of how long: they came back to it with each request
//! for which it seemed the best one, and on its keys with each request there was.
//!
//! The cause: of a refusal only that it is one was read. A test that asks for three seconds proved it, with up to 11
//! requests of one host where 2 may still be on their way.

use std::time::{Duration, Instant};

use standin::fleet::{FleetTarget, TargetFault};

use crate::rig::{Ask, Got, Rig, promises_not_run};

const HOSTS: usize = 3;
/// Seconds for which a server wants nothing.
const WANTS_NOTHING_S: u32 = 3;
/// Time from such an answer within which others may still be on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Most requests from one host between then and the end.
const STRAY: usize = 2;
const ASKED_FOR: Duration = Duration::from_millis(3_500);

/// Asks all hosts in turn; returns what they answered and after which time.
async fn ask_all(rig: &Rig, ask: impl Fn(usize) -> Ask) -> Vec<(Got, Duration)> {
    let mut all = Vec::new();
    let began = Instant::now();
    while began.elapsed() < ASKED_FOR {
        let n = all.len();
        let asked = Instant::now();
        let got = rig.ask(n % HOSTS, &ask(n)).await.expect("an answer");
        all.push((got, asked.elapsed()));
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    all
}

/// Returns the number of the host that a request went to, by the number in its id.
fn host_of(id: &str) -> Option<usize> {
    let (_, n) = id.rsplit_once('-')?;
    n.parse::<usize>().ok().map(|n| n % HOSTS)
}

/// Checks that no host sent more than a few requests to `server` in the time for which it wanted none.
fn check_left_alone(server: &FleetTarget) {
    let all = server.refused();
    for host in 0..HOSTS {
        let of_host = all.iter().filter(|(id, _)| host_of(id) == Some(host));
        let times: Vec<Instant> = of_host.map(|(_, at)| *at).collect();
        for &said in &times {
            let until = said + Duration::from_secs(WANTS_NOTHING_S.into());
            let during = times
                .iter()
                .filter(|&&at| at > said + ON_THE_WAY && at < until);
            let during = during.count();
            assert!(during <= STRAY, "host {host}: {during} while it wants none");
        }
    }
}

fn refusals(all: &[(Got, Duration)]) -> Vec<&(Got, Duration)> {
    all.iter().filter(|(got, _)| got.status != 200).collect()
}

/// Checks that callers were refused truthfully and at once, and are told to come back within the server's time.
fn check_refused(all: &[(Got, Duration)]) {
    let refused = refusals(all);
    assert!(!refused.is_empty());
    for (got, _) in &refused {
        assert!(promises_not_run(got), "{got:?}");
        let after = got.retry_after.as_deref().expect("a time");
        let after: f64 = after.parse().expect("a number");
        assert!(after <= 1.4 * f64::from(WANTS_NOTHING_S), "{after}");
    }
    let slow = refused
        .iter()
        .filter(|(_, took)| *took > Duration::from_millis(100));
    assert!(slow.count() <= 2 * HOSTS, "nobody is held");
}

#[tokio::test(flavor = "multi_thread")]
async fn postings_go_to_others_while_a_server_wants_none() {
    let rig = Rig::start(HOSTS).await;
    rig.posts[0].set_fault(TargetFault::RefusesFor(WANTS_NOTHING_S));
    let all = ask_all(&rig, |n| Ask::post(&format!("post-{n}"))).await;
    check_left_alone(&rig.posts[0]);
    assert_eq!(refusals(&all).len(), 0, "others serve them");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_when_no_server_wants_any() {
    let rig = Rig::start(HOSTS).await;
    for posts in &rig.posts {
        posts.set_fault(TargetFault::RefusesFor(WANTS_NOTHING_S));
    }
    let all = ask_all(&rig, |n| Ask::post(&format!("post-{n}"))).await;
    rig.posts.iter().for_each(check_left_alone);
    check_refused(&all);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_on_keys_are_refused_while_their_owner_wants_none() {
    let rig = Rig::start(HOSTS).await;
    rig.reads[0].set_fault(TargetFault::RefusesFor(WANTS_NOTHING_S));
    let read = |n: usize| Ask::read(&format!("read-{n}"), (n * 997 % 65_536) as u16);
    let all = ask_all(&rig, read).await;
    check_left_alone(&rig.reads[0]);
    check_refused(&all);
    assert!(
        refusals(&all).len() < all.len() / 2,
        "other keys are served"
    );
}
