//! Tests of a store that returns from a copy which is some seconds old.

use std::time::{Duration, Instant};

use futures::future::join_all;

use standin::fleet::deploy::configuration;
use standin::fleet::{FleetTarget, LostRows, StoreCopy, StoreMode, TargetSettings};

use crate::rig::{Host, Request, Rig, wait_until};
use crate::{APPLY_TIMEOUT, DRAIN_TIMEOUT, answered, check_owners, check_post_executed_by};

/// Time for which the store is away before it returns.
const OUTAGE: Duration = Duration::from_millis(600);
/// Time after the return after which operators and servers have written their rows again.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
/// Longest time after a return until operators and servers have written their rows again.
const REWRITE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for which a restarting server is down, and from its start to its registration.
const DOWN_TIME: Duration = Duration::from_millis(100);
const RESTART_DELAY: Duration = Duration::from_millis(20);
/// Time for which the store stays away after a server has restarted: several renewals.
const OUTAGE_AFTER_RESTART: Duration = Duration::from_millis(2_500);
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
    let lost = return_without_rewriting(rig, copy).await;
    tokio::time::sleep(REWRITE_DELAY).await;
    rig.store.rewrite_rows(lost);
}

/// Takes the store away and lets it return from `copy`; returns what operators and servers have not
/// written again yet.
async fn return_without_rewriting(rig: &Rig, copy: &StoreCopy) -> LostRows {
    rig.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(OUTAGE).await;
    let lost = rig.store.return_from(copy);
    rig.store.set_mode(StoreMode::Up);
    lost
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

/// Guards against requests to a server whose word that it leaves the store has lost: hosts that knew
/// it are bound by it, and the copy shows the server as ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_left_gets_nothing_new_if_the_store_lost_its_word() {
    let rig = Rig::start(3).await;
    let copy = rig.store.copy();
    rig.posts[0].drain();
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    let lost = return_without_rewriting(&rig, &copy).await;
    let start = Instant::now();
    while start.elapsed() < REWRITE_LIMIT {
        send_posts(&rig, "left").await;
    }
    rig.store.rewrite_rows(lost);
    assert_eq!(execution_count_at(&rig, "left", rig.posts[0].id()), 0);
}

/// Guards against requests to a failure domain that the operator has drained, in a time in which the
/// store lacks the order.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_domain_gets_nothing_new_if_the_store_lost_the_order() {
    let mut rig = Rig::start(2).await;
    let settings = TargetSettings {
        service: "posts".into(),
        domain: "b".into(),
        ..TargetSettings::default()
    };
    let drained = rig.target(settings).await;
    // Hosts prefer servers of their own domain.
    rig.posts.iter().for_each(FleetTarget::unregister);
    rig.posts.clear();
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let copy = rig.store.copy();
    rig.store.drain_domain("b");
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let lost = return_without_rewriting(&rig, &copy).await;
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < REWRITE_LIMIT + APPLY_TIMEOUT {
        sent += 1;
        let post = Request {
            wait_ms: 100,
            ..Request::post(&format!("drained-{sent}"))
        };
        let response = rig.send(sent % 2, &post).await;
        assert!(!answered(response.as_ref(), &post.id), "{response:?}");
        if start.elapsed() > REWRITE_LIMIT {
            rig.store.rewrite_rows(lost.clone());
        }
    }
    assert_eq!(execution_count_at(&rig, "drained", drained.id()), 0);
}

/// Guards against a host that starts while the store has an older configuration than the other hosts:
/// it receives theirs.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_after_a_return_from_a_copy_gets_the_newest_configuration() {
    let mut rig = Rig::start(2).await;
    let settings = TargetSettings {
        service: "other".into(),
        ..TargetSettings::default()
    };
    let _other = rig.target(settings).await;
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let copy = rig.store.copy();
    rig.store.configure(&configuration(9, 4.0, "other"));
    tokio::time::sleep(APPLY_TIMEOUT).await;
    let lost = return_without_rewriting(&rig, &copy).await;
    // Long enough for the other host to read the copy.
    tokio::time::sleep(REWRITE_LIMIT).await;
    rig.hosts[1].kill();
    rig.hosts[1] = rig.host_restarted(1);
    wait_until("the host serves", async || {
        let post = Request::post(&format!("started-{:?}", Instant::now()));
        answered(rig.send(1, &post).await.as_ref(), &post.id)
    })
    .await;
    check_post_executed_by(&rig, 1, "other").await;
    rig.store.rewrite_rows(lost);
    let ran = rig.journal.all();
    let started = ran.iter().filter(|r| r.request.starts_with("started-"));
    assert!(started.clone().all(|r| r.service == "other"), "{started:?}");
}

/// Guards against two owners under one fencing token: a server restarted in seconds that the store has
/// lost, and the copy shows its earlier incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_restarted_in_lost_seconds_gets_its_keys_under_higher_tokens() {
    let mut rig = Rig::start(3).await;
    let copy = rig.store.copy();
    let server = rig.reads.remove(0);
    let id = server.id().clone();
    let restarted = server.restart(DOWN_TIME, RESTART_DELAY).await;
    rig.reads.insert(0, restarted.expect("its address is free"));
    let lost = return_without_rewriting(&rig, &copy).await;
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < REWRITE_LIMIT {
        round += 1;
        let name = format!("copy-{round}-");
        let keys = (0..SAMPLED_KEYS).map(|i| i * (u16::MAX / SAMPLED_KEYS));
        let reads: Vec<_> = keys
            .map(|key| Request::read(&format!("{name}{key}"), key))
            .collect();
        join_all(reads.iter().map(|read| rig.send(round % 3, read))).await;
    }
    rig.store.rewrite_rows(lost);
    wait_until_keys_are_served_without(&rig, "after", &[]).await;
    let ran = rig.journal.all();
    check_owners(&ran);
    assert!(
        ran.iter()
            .any(|r| r.target == id && r.request.starts_with("after-")),
        "the restarted server serves"
    );
}

/// Guards against hosts that are not found any more, and keys without an owner, if the store has lost
/// all that hosts wrote, the first assignment of keys among it.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_write_again_what_the_store_has_lost() {
    let mut rig = Rig::start(0).await;
    let copy = rig.store.copy();
    for i in 0..3 {
        let host = rig.host(i);
        rig.hosts.push(host);
    }
    wait_until_keys_are_served_without(&rig, "before", &[]).await;
    return_from(&rig, &copy).await;
    wait_until("the rows of hosts and owners are there again", async || {
        let is_listed = |i| {
            let key = format!("host.host-{i}");
            rig.store.read("medlardyke", &key).is_some()
        };
        (0..3).all(is_listed) && rig.partition_row("keys.reads").is_some()
    })
    .await;
    wait_until_keys_are_served_without(&rig, "after", &[]).await;
    check_owners(&rig.journal.all());
}

/// Guards against two owners of a key if all hosts end while the store is away, and it returns without
/// the last change of owners: no host is left that knows of it.
#[tokio::test(flavor = "multi_thread")]
async fn owners_stay_exclusive_if_all_hosts_end_and_the_store_returns_from_a_copy() {
    let mut rig = Rig::start(3).await;
    let copy = rig.store.copy();
    rig.reads[0].drain();
    wait_until_keys_are_served_without(&rig, "before", &[rig.reads[0].id()]).await;
    rig.hosts.iter_mut().for_each(Host::kill);
    return_from(&rig, &copy).await;
    rig.hosts = (0..3).map(|i| rig.host_restarted(i)).collect();
    wait_until("all hosts serve posts", async || {
        let posts = (0..3).map(|i| Request::post(&format!("again-{i}-{:?}", Instant::now())));
        let posts: Vec<_> = posts.collect();
        let responses = join_all((0..3).map(|i| rig.send(i, &posts[i]))).await;
        let mut all = posts.iter().zip(&responses);
        all.all(|(post, response)| answered(response.as_ref(), &post.id))
    })
    .await;
    wait_until_keys_are_served_without(&rig, "after", &[rig.reads[0].id()]).await;
    check_owners(&rig.journal.all());
}

/// Guards against two owners under one fencing token: a server restarts under its name while the store
/// is away, and is granted what its earlier incarnation held.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_restarts_while_the_store_is_away_gets_no_keys_of_before() {
    let mut rig = Rig::start(2).await;
    let keys = || (0..SAMPLED_KEYS).map(|i| i * (u16::MAX / SAMPLED_KEYS));
    let before = keys()
        .filter_map(|key| rig.reads[0].fencing_token(key))
        .max();
    rig.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(OUTAGE).await;
    let server = rig.reads.remove(0);
    let restarted = server.restart(DOWN_TIME, RESTART_DELAY).await;
    rig.reads.insert(0, restarted.expect("its address is free"));
    let start = Instant::now();
    while start.elapsed() < OUTAGE_AFTER_RESTART {
        let held = keys().find_map(|key| rig.reads[0].fencing_token(key));
        assert_eq!(
            held,
            None,
            "it holds keys {:?} after its start",
            start.elapsed()
        );
        tokio::time::sleep(REWRITE_DELAY / 10).await;
    }
    rig.store.set_mode(StoreMode::Up);
    wait_until_keys_are_served_without(&rig, "after", &[]).await;
    let after = keys()
        .filter_map(|key| rig.reads[0].fencing_token(key))
        .max();
    assert!(
        before.is_some() && after > before,
        "{after:?} after {before:?}"
    );
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
