//! Tests of failure domains that the operator drains and puts back into service.

use std::time::{Duration, Instant};

use standin::fleet::{ExecutedRequest, FleetTarget, StoreMode, TargetSettings};

use crate::rig::{Request, Rig, guarantees_not_executed, wait_until};
use crate::{answered, check_all_are_answered, check_owners};

/// Time after the drain command from which on no request may reach the domain.
const DRAINED: Duration = Duration::from_secs(5);
/// Time within which a domain that is back in service gets requests again: hosts learn of it within
/// two seconds, and keys are reassigned twice a second.
const BACK_IN_SERVICE: Duration = Duration::from_secs(6);

/// Starts two upstreams with keys in the failure domain `b`.
async fn other_domain(rig: &Rig) -> [FleetTarget; 2] {
    let reads = TargetSettings {
        is_divided: true,
        domain: "b".into(),
        ..TargetSettings::default()
    };
    [rig.target(reads.clone()).await, rig.target(reads).await]
}

/// Time for which an upstream is expected to answer a release, and a little more.
const RELEASE_EXPECTED: Duration = Duration::from_millis(1_300);

fn of_domain<'a>(ran: &'a [ExecutedRequest], domain: &[FleetTarget]) -> Vec<&'a ExecutedRequest> {
    let is_there = |r: &&ExecutedRequest| domain.iter().any(|target| r.target == *target.id());
    ran.iter().filter(is_there).collect()
}

/// Sends posts and reads with keys of all owners until `condition` holds for the executed requests.
async fn send_until(rig: &Rig, name: &str, condition: impl Fn(&[ExecutedRequest]) -> bool) {
    let mut n = 0_u32;
    wait_until(name, async || {
        n += 1;
        let key = (n * 997 % 65_536) as u16;
        let read = Request::read(&format!("{name}-{n}"), key);
        let post = Request::post(&format!("{name}-post-{n}"));
        tokio::join!(rig.send(0, &read), rig.send(1, &post));
        condition(&rig.journal.all())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_domain_gets_nothing_and_its_keys_are_served() {
    let mut rig = Rig::start(2).await;
    let domain = other_domain(&rig).await;
    let all_used = |ran: &[ExecutedRequest]| {
        let is_used = |t: &FleetTarget| ran.iter().any(|r| r.target == *t.id());
        domain.iter().all(is_used)
    };
    send_until(&rig, "early", all_used).await;
    rig.store.drain_domain("b");
    let drained_at = Instant::now();
    check_all_are_answered(&rig, "drain").await;
    tokio::time::sleep(DRAINED.saturating_sub(drained_at.elapsed())).await;
    // A host that starts while the store is unavailable learns of the drain from the other hosts.
    rig.store.set_mode(StoreMode::Unavailable);
    rig.hosts[1] = rig.host(1);
    tokio::time::sleep(Duration::from_millis(500)).await;
    rig.store.set_mode(StoreMode::Up);
    for i in 0..40_u16 {
        let read = Request::read(&format!("after-{i}"), i * 1_600);
        assert!(answered(rig.send(0, &read).await.as_ref(), &read.id));
        let post = Request::post(&format!("after-post-{i}"));
        let _starting = rig.send(1, &post).await;
    }
    let ran = rig.journal.all();
    let late: Vec<_> = of_domain(&ran, &domain)
        .into_iter()
        .filter(|r| r.at > drained_at + DRAINED)
        .collect();
    assert!(late.is_empty(), "{late:?}");
    rig.store.undrain_domain("b");
    let restored_at = Instant::now();
    let used_again = |ran: &[ExecutedRequest]| {
        let there = of_domain(ran, &domain);
        let since = there.into_iter().filter(|r| r.at > restored_at);
        let mut at: Vec<_> = since.map(|r| &r.target).collect();
        at.sort();
        at.dedup();
        at.len() == domain.len()
    };
    send_until(&rig, "back", used_again).await;
    assert!(
        restored_at.elapsed() < BACK_IN_SERVICE,
        "{:?}",
        restored_at.elapsed()
    );
    check_owners(&rig.journal.all());
}

/// Drains a second domain while the first is still drained. No upstream is left, and requests must
/// be refused immediately.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_when_all_domains_are_drained() {
    let rig = Rig::start(2).await;
    let domain = other_domain(&rig).await;
    rig.store.drain_domain("b");
    tokio::time::sleep(Duration::from_millis(800)).await;
    rig.store.drain_domain("a");
    let drained_at = Instant::now();
    tokio::time::sleep(DRAINED).await;
    for (host, key) in [(0, 1_000), (1, 30_000), (0, 60_000)] {
        let read = Request::read(&format!("all-{key}"), key);
        let post = Request::post(&format!("all-post-{key}"));
        for request in [read, post] {
            let start = Instant::now();
            let response = rig.send(host, &request).await.expect("an answer");
            assert!(guarantees_not_executed(&response), "{response:?}");
            assert!(response.retry_after.is_some(), "{response:?}");
            assert!(
                start.elapsed() < Duration::from_millis(200),
                "{:?}",
                start.elapsed()
            );
        }
    }
    let ran = rig.journal.all();
    assert!(ran.iter().all(|r| r.at < drained_at + DRAINED));
    rig.store.undrain_domain("a");
    send_until(&rig, "taken back", |ran| {
        ran.iter()
            .any(|r| r.at > drained_at + DRAINED && r.key.is_some())
    })
    .await;
    drop(domain);
}

/// Returns a key whose previous owner may still hold it.
fn moving_key(rig: &Rig) -> Option<u16> {
    let row = rig.partition_row("keys.reads")?;
    let ranges = row["pieces"].as_array()?;
    let is_moving = |range: &&serde_json::Value| {
        let previous_owners = range[3].as_array();
        previous_owners.is_some_and(|p| !p.is_empty())
    };
    let last_key = ranges.iter().find(is_moving)?[0].as_u64()?;
    u16::try_from(last_key).ok()
}

/// Ends one of the upstreams right after it was granted its keys again, and removes it from the
/// store.
async fn lose_upstream(rig: &mut Rig) {
    let lost = rig.reads.remove(0);
    let grants = || {
        lost.arrivals()
            .iter()
            .filter(|a| a.request.is_none())
            .count()
    };
    let before = grants();
    wait_until("a grant", async || grants() > before).await;
    rig.store.remove("servers", lost.id());
}

/// Guards against requests that wait for their key to move to an upstream that gets nothing, or are
/// sent there before it has the key: a lost upstream's keys wait until its grants have expired, and
/// meanwhile the domain of the others is drained.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_moving_keys_are_refused_at_once_when_all_domains_are_drained() {
    let mut rig = Rig::start(2).await;
    lose_upstream(&mut rig).await;
    wait_until("keys move", async || moving_key(&rig).is_some()).await;
    let key = moving_key(&rig).expect("a moving key");
    rig.store.drain_domain("a");
    for host in 0..2 {
        wait_until("the host drains the domain", async || {
            let post = rig.send(host, &Request::post("moving-post")).await;
            post.is_some_and(|response| guarantees_not_executed(&response))
        })
        .await;
    }
    // Until then the granting host still expects the lost upstream to release the key.
    tokio::time::sleep(RELEASE_EXPECTED).await;
    for host in 0..2 {
        let read = Request::read(&format!("moving-{host}"), key);
        let start = Instant::now();
        let response = rig.send(host, &read).await.expect("an answer");
        let took = start.elapsed();
        if answered(Some(&response), &read.id) {
            // The key moved while upstreams of the drained domain still served theirs.
            continue;
        }
        assert!(guarantees_not_executed(&response), "{response:?}");
        assert!(response.retry_after.is_some(), "{response:?}");
        assert!(took < Duration::from_millis(200), "host {host}: {took:?}");
    }
}
