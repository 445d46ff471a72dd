//! Servers that say in their answers that they leave.
//!
//! Callers saw requests reach a server for twelve seconds after it had said so, while the store was away and could
//! not take the word: each host had passed on dozens of answers that told it.
//!
//! The cause: hosts knew of a leaving server by its registration alone, and nobody read the answers for it. What
//! proved it: the server's share of requests did not change until the store was back, and no line named it.

use std::time::{Duration, Instant};

use standin::fleet::{ExecutedRequest, FleetTarget, StoreMode};

use crate::rig::{Ask, Rig, until};
use crate::{DRAIN, check_owners};

/// How long callers ask after the first answer that says so.
const ASKED_FOR: Duration = Duration::from_secs(6);
const HOSTS: usize = 3;

/// A request that a host answered or refused.
struct Asked {
    host: usize,
    id: String,
    began: Instant,
    ended: Instant,
    status: u16,
    /// Whether the leaving server answered.
    by_leaving: bool,
}

/// Asks all hosts in turn for `time`; `ask` builds the request with a number.
async fn ask_for(
    rig: &Rig,
    time: Duration,
    leaving: &FleetTarget,
    ask: impl Fn(usize) -> Ask,
) -> Vec<Asked> {
    let mut all = Vec::new();
    let began = Instant::now();
    let by = format!("at {}", leaving.id());
    while began.elapsed() < time {
        let n = all.len();
        let (host, ask) = (n % HOSTS, ask(n));
        let began = Instant::now();
        let got = rig.ask(host, &ask).await.expect("an answer");
        all.push(Asked {
            host,
            id: ask.id,
            began,
            ended: Instant::now(),
            status: got.status,
            by_leaving: got.body.ends_with(&by),
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    all
}

fn ran_at(ran: &[ExecutedRequest], id: &str, server: &FleetTarget) -> bool {
    ran.iter()
        .any(|r| r.request == id && r.target == *server.id())
}

/// Checks that from no host a request reached `leaving` that was sent later than two seconds after the host had
/// passed on an answer of it.
fn check_left_alone(rig: &Rig, asked: &[Asked], leaving: &FleetTarget) {
    let ran = rig.journal.all();
    for host in 0..HOSTS {
        let of_host = || asked.iter().filter(move |a| a.host == host);
        let Some(told) = of_host().find(|a| a.by_leaving).map(|a| a.ended) else {
            continue;
        };
        let late = of_host().filter(|a| a.began > told + DRAIN);
        let late: Vec<&str> = late
            .filter(|a| ran_at(&ran, &a.id, leaving))
            .map(|a| a.id.as_str())
            .collect();
        assert!(late.is_empty(), "host {host}: {} late", late.len());
    }
}

/// Any other server may run a posting.
#[tokio::test(flavor = "multi_thread")]
async fn postings_go_elsewhere_while_the_store_is_away() {
    let rig = Rig::start(HOSTS).await;
    // Hosts keep to servers that they are connected to, and none may be to one that is named beforehand.
    let got = rig.ask(0, &Ask::post("who")).await.expect("an answer");
    let answered = |s: &&FleetTarget| got.body.ends_with(&format!("at {}", s.id()));
    let leaving = rig.posts.iter().find(answered).expect("one of them");
    rig.store.set_mode(StoreMode::Unresponsive);
    leaving.announce_leaving();
    let asked = ask_for(&rig, ASKED_FOR, leaving, |n| Ask::post(&format!("p-{n}"))).await;
    check_left_alone(&rig, &asked, leaving);
    assert!(asked.iter().any(|a| a.by_leaving), "some hosts were told");
    assert!(asked.iter().all(|a| a.status == 200), "all are served");
}

/// Nobody else may run requests on its keys before they have moved, which takes the store.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_leaving_server_are_refused_while_the_store_is_away() {
    let rig = Rig::start(HOSTS).await;
    rig.store.set_mode(StoreMode::Unresponsive);
    let leaving = &rig.reads[0];
    leaving.announce_leaving();
    let read = |n: usize| Ask::read(&format!("r-{n}"), (n * 997 % 65_536) as u16);
    let asked = ask_for(&rig, ASKED_FOR, leaving, read).await;
    check_left_alone(&rig, &asked, leaving);
    let refused: Vec<&Asked> = asked.iter().filter(|a| a.status != 200).collect();
    assert!(refused.iter().all(|a| a.status == 503));
    let last = refused.last().expect("some are refused");
    assert!(
        last.ended - last.began < Duration::from_millis(100),
        "at once"
    );
    rig.store.set_mode(StoreMode::Up);
    until("its keys are served", async || {
        let again = ask_for(&rig, Duration::from_millis(600), leaving, |n| Ask {
            id: format!("again-{n}-{:?}", Instant::now()),
            ..read(n)
        });
        again.await.iter().all(|a| a.status == 200 && !a.by_leaving)
    })
    .await;
    check_owners(&rig.journal.all());
}

/// The host that grants its keys hears it in the answers to its own orders: keys move before callers lose anything.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_leaving_server_move_before_its_callers_notice() {
    let rig = Rig::start(HOSTS).await;
    let leaving = &rig.reads[0];
    leaving.announce_leaving();
    let read = |n: usize| Ask::read(&format!("r-{n}"), (n * 997 % 65_536) as u16);
    let asked = ask_for(&rig, ASKED_FOR, leaving, read).await;
    check_left_alone(&rig, &asked, leaving);
    let refused = asked.iter().filter(|a| a.status != 200).count();
    assert_eq!(refused, 0);
    let last = asked.iter().rfind(|a| a.by_leaving);
    let last = last.map_or(Duration::ZERO, |a| a.ended - asked[0].began);
    assert!(last < Duration::from_secs(3), "its keys moved: {last:?}");
    check_owners(&rig.journal.all());
}
