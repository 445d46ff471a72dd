//! Tests of a store that returns from a copy which is some seconds old.

use std::time::Duration;

use standin::fleet::deploy::configuration;
use standin::fleet::{FleetTarget, StoreCopy, StoreMode, TargetSettings};

use crate::rig::{Request, Rig, wait_until};
use crate::{APPLY_TIMEOUT, DRAIN_TIMEOUT, answered, check_owners, check_post_executed_by};

/// Time for which the store is away before it returns.
const OUTAGE: Duration = Duration::from_millis(600);
/// Time after the return after which operators and servers have written their rows again.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
/// Heartbeats of each server that are lost in these tests, so that revisions go back far.
const LOST_HEARTBEATS: usize = 20;
/// Number of keys, spread over the whole range, that are asked for.
const SAMPLED_KEYS: u16 = 24;

/// Writes `count` heartbeats of each server.
fn write_heartbeats(servers: &[FleetTarget], count: usize) {
    for _ in 0..count {
        servers.iter().for_each(FleetTarget::heartbeat);
    }
}

/// Takes the store away and lets it return from `copy`; operators and servers write their rows again.
async fn return_from(rig: &Rig, copy: &StoreCopy) {
    rig.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(OUTAGE).await;
    let lost = rig.store.return_from(copy);
    rig.store.set_mode(StoreMode::Up);
    tokio::time::sleep(REWRITE_DELAY).await;
    rig.store.rewrite_rows(lost);
}

/// Guards against hosts that pass over a configuration, because a store that has returned from a copy
/// writes it at a lower revision than they have read.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_after_a_return_from_a_copy_is_in_force_in_time() {
    let rig = Rig::start(3).await;
    let settings = TargetSettings {
        service: "other".into(),
        ..TargetSettings::default()
    };
    let _other = rig.target(settings).await;
    let copy = rig.store.copy();
    write_heartbeats(&rig.reads, LOST_HEARTBEATS);
    rig.store.configure(&configuration(4, 4.0, "posts"));
    tokio::time::sleep(APPLY_TIMEOUT).await;
    return_from(&rig, &copy).await;
    rig.store.configure(&configuration(9, 4.0, "other"));
    tokio::time::sleep(APPLY_TIMEOUT).await;
    for host in 0..3 {
        check_post_executed_by(&rig, host, "other").await;
    }
}

/// Guards against hosts that go on reading after a revision of the rows that the store has lost: the
/// word that a server leaves stands at a lower one, is written once, and never reaches them.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_leaves_after_a_return_from_a_copy_gets_nothing_new() {
    let rig = Rig::start(3).await;
    let copy = rig.store.copy();
    write_heartbeats(&rig.reads, LOST_HEARTBEATS);
    tokio::time::sleep(APPLY_TIMEOUT).await;
    return_from(&rig, &copy).await;
    // Long enough for reads of the copy.
    tokio::time::sleep(APPLY_TIMEOUT).await;
    rig.posts[0].drain();
    write_heartbeats(&rig.reads, 2 * LOST_HEARTBEATS);
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    send_posts(&rig, "left").await;
    assert_eq!(execution_count_at(&rig, "left", rig.posts[0].id()), 0);
}

/// Guards against a granting host whose rows of owners are acknowledged at revisions lower than it
/// knows: it takes none of them up, and keys of a server that leaves wait without end.
#[tokio::test(flavor = "multi_thread")]
async fn keys_move_after_a_return_from_a_copy() {
    let rig = Rig::start(3).await;
    let copy = rig.store.copy();
    write_heartbeats(&rig.reads, LOST_HEARTBEATS);
    rig.reads[0].drain();
    wait_until_keys_are_served_without(&rig, "before", &[rig.reads[0].id().as_str()]).await;
    return_from(&rig, &copy).await;
    rig.reads[1].drain();
    let left = [rig.reads[0].id().as_str(), rig.reads[1].id().as_str()];
    wait_until_keys_are_served_without(&rig, "after", &left).await;
    check_owners(&rig.journal.all());
}

/// Sends some posts to each host and checks that all are answered.
async fn send_posts(rig: &Rig, name: &str) {
    for round in 0..8 {
        for host in 0..rig.hosts.len() {
            let post = Request::post(&format!("{name}-{host}-{round}"));
            let response = rig.send(host, &post).await;
            assert!(answered(response.as_ref(), &post.id), "{response:?}");
        }
    }
}

/// Returns how many requests whose ids begin with `name` the server `id` ran.
fn execution_count_at(rig: &Rig, name: &str, id: &str) -> usize {
    let ran = rig.journal.all();
    let at_server = ran.iter().filter(|r| r.target == *id);
    at_server.filter(|r| r.request.starts_with(name)).count()
}

/// Waits until keys from the whole range are served, by other servers than those in `left`.
async fn wait_until_keys_are_served_without(rig: &Rig, name: &str, left: &[&str]) {
    let mut round = 0;
    wait_until("all keys are served by other servers", async || {
        round += 1;
        let name = format!("{name}-{round}-");
        let mut served = true;
        for i in 0..SAMPLED_KEYS {
            let read = Request::read(&format!("{name}{i}"), i * (u16::MAX / SAMPLED_KEYS));
            let host = usize::from(i) % rig.hosts.len();
            served &= answered(rig.send(host, &read).await.as_ref(), &read.id);
        }
        served
            && left
                .iter()
                .all(|id| execution_count_at(rig, &name, id) == 0)
    })
    .await;
}
