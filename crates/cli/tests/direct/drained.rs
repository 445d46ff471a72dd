//! Failure domains that the operator drains and takes back.

use std::time::{Duration, Instant};

use standin::fleet::{ExecutedRequest, FleetTarget, StoreMode, TargetSettings};

use crate::rig::{Ask, Rig, promises_not_run, until};
use crate::{answered, check_all_are_answered, check_owners};

/// Time after the order from which on nothing may reach the domain.
const DRAINED: Duration = Duration::from_secs(5);
/// Time within which a domain that was taken back gets work again: hosts know within two seconds, and keys
/// are handed out anew twice a second.
const BACK: Duration = Duration::from_secs(6);

/// Starts two servers with keys in the failure domain `b`.
async fn other_domain(rig: &Rig) -> [FleetTarget; 2] {
    let reads = TargetSettings {
        is_divided: true,
        domain: "b".into(),
        ..TargetSettings::default()
    };
    [rig.target(reads.clone()).await, rig.target(reads).await]
}

fn of_domain<'a>(ran: &'a [ExecutedRequest], domain: &[FleetTarget]) -> Vec<&'a ExecutedRequest> {
    let is_there = |r: &&ExecutedRequest| domain.iter().any(|target| r.target == *target.id());
    ran.iter().filter(is_there).collect()
}

/// Asks for all keys and posts until `is_so`.
async fn ask_until(rig: &Rig, name: &str, is_so: impl Fn(&[ExecutedRequest]) -> bool) {
    let mut n = 0_u32;
    until(name, async || {
        n += 1;
        let key = (n * 997 % 65_536) as u16;
        let read = Ask::read(&format!("{name}-{n}"), key);
        let post = Ask::post(&format!("{name}-post-{n}"));
        tokio::join!(rig.ask(0, &read), rig.ask(1, &post));
        is_so(&rig.journal.all())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_domain_gets_nothing_and_its_keys_are_served() {
    let mut rig = Rig::start(2).await;
    let domain = other_domain(&rig).await;
    let all_work = |ran: &[ExecutedRequest]| {
        let works = |t: &FleetTarget| ran.iter().any(|r| r.target == *t.id());
        domain.iter().all(works)
    };
    ask_until(&rig, "early", all_work).await;
    rig.store.drain_domain("b");
    let ordered = Instant::now();
    check_all_are_answered(&rig, "drain").await;
    tokio::time::sleep(DRAINED.saturating_sub(ordered.elapsed())).await;
    // A host that starts while the store is away knows it from the others.
    rig.store.set_mode(StoreMode::Unavailable);
    rig.hosts[1] = rig.host(1);
    tokio::time::sleep(Duration::from_millis(500)).await;
    rig.store.set_mode(StoreMode::Up);
    for i in 0..40_u16 {
        let read = Ask::read(&format!("after-{i}"), i * 1_600);
        assert!(answered(rig.ask(0, &read).await.as_ref(), &read.id));
        let post = Ask::post(&format!("after-post-{i}"));
        let _starting = rig.ask(1, &post).await;
    }
    let ran = rig.journal.all();
    let late: Vec<_> = of_domain(&ran, &domain)
        .into_iter()
        .filter(|r| r.at > ordered + DRAINED)
        .collect();
    assert!(late.is_empty(), "{late:?}");
    rig.store.undrain_domain("b");
    let back = Instant::now();
    let works_again = |ran: &[ExecutedRequest]| {
        let there = of_domain(ran, &domain);
        let since = there.into_iter().filter(|r| r.at > back);
        let mut at: Vec<_> = since.map(|r| &r.target).collect();
        at.sort();
        at.dedup();
        at.len() == domain.len()
    };
    ask_until(&rig, "back", works_again).await;
    assert!(back.elapsed() < BACK, "{:?}", back.elapsed());
    check_owners(&rig.journal.all());
}

/// Two domains one after the other, the second while the first is still drained: nobody is left, and callers
/// are told so at once.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_at_once_that_all_domains_are_drained() {
    let rig = Rig::start(2).await;
    let domain = other_domain(&rig).await;
    rig.store.drain_domain("b");
    tokio::time::sleep(Duration::from_millis(800)).await;
    rig.store.drain_domain("a");
    let ordered = Instant::now();
    tokio::time::sleep(DRAINED).await;
    for (host, key) in [(0, 1_000), (1, 30_000), (0, 60_000)] {
        let read = Ask::read(&format!("all-{key}"), key);
        let post = Ask::post(&format!("all-post-{key}"));
        for ask in [read, post] {
            let asked = Instant::now();
            let got = rig.ask(host, &ask).await.expect("an answer");
            assert!(promises_not_run(&got), "{got:?}");
            assert!(got.retry_after.is_some(), "{got:?}");
            assert!(
                asked.elapsed() < Duration::from_millis(200),
                "{:?}",
                asked.elapsed()
            );
        }
    }
    let ran = rig.journal.all();
    assert!(ran.iter().all(|r| r.at < ordered + DRAINED));
    rig.store.undrain_domain("a");
    ask_until(&rig, "taken back", |ran| {
        ran.iter()
            .any(|r| r.at > ordered + DRAINED && r.key.is_some())
    })
    .await;
    drop(domain);
}
