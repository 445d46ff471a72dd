//! Tests of entries whose keys are split into partitions, each with its own row and granting host.
//!
//! An entry with thousands of upstreams used to have a single row. The store rejected it for its
//! size, so no key ever had an owner. These tests make several partitions from a few upstreams.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::rig::{Request, Rig, wait_until};
use crate::{answered, check_all_are_answered, check_owners};

const HOSTS: usize = 4;
const UPSTREAMS: usize = 8;
/// Upstreams in each partition.
const PER_PARTITION: usize = 2;
/// Rows of the partitions.
const ROWS: [&str; UPSTREAMS / PER_PARTITION] =
    ["keys.reads", "keys.reads:1", "keys.reads:2", "keys.reads:3"];
/// Longer than keys stay granted after their granting host is killed.
const OBSERVED_FOR: Duration = Duration::from_secs(7);

/// Sends requests with keys of all partitions to `host` for a while; returns those that were not
/// answered.
async fn unanswered(rig: &Rig, host: usize, name: &str) -> Vec<String> {
    let start = Instant::now();
    let mut unanswered = Vec::new();
    for i in 0_usize.. {
        if start.elapsed() > OBSERVED_FOR {
            break;
        }
        let read = Request::read(&format!("{name}-{i}"), (i * 997 % 65_536) as u16);
        let response = rig.send(host, &read).await;
        if !answered(response.as_ref(), &read.id) {
            unanswered.push(format!("{read:?}: {response:?}"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unanswered
}

/// Guards against partitions whose row no host creates, and against all partitions having the same
/// granting host.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_all_partitions_are_served_by_several_granting_hosts() {
    let rig = Rig::start_partitioned(HOSTS, UPSTREAMS, PER_PARTITION).await;
    wait_until("all partitions have a row", async || {
        let exists = |row: &str| rig.partition_row(row).is_some();
        ROWS.iter().all(|row| exists(row))
    })
    .await;
    check_all_are_answered(&rig, "parts").await;
    let granting_hosts: HashSet<usize> = ROWS.iter().map(|row| rig.granting_host_of(row)).collect();
    assert!(granting_hosts.len() > 1, "one host grants all partitions");
    check_owners(&rig.journal.all());
}

/// Guards against keys that change owners when the granting host of their partition, or of another
/// one, is killed.
#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_a_partitions_granting_host_moves_no_key() {
    let rig = Rig::start_partitioned(HOSTS, UPSTREAMS, PER_PARTITION).await;
    wait_until("the last partition has a row", async || {
        rig.partition_row(ROWS[3]).is_some()
    })
    .await;
    check_all_are_answered(&rig, "before").await;
    let lost = rig.granting_host_of(ROWS[3]);
    rig.signal(lost, Signal::KILL);
    let failed = unanswered(&rig, (lost + 1) % HOSTS, "kill").await;
    assert!(failed.is_empty(), "{failed:?}");
    for row in ROWS {
        assert_ne!(
            rig.granting_host_of(row),
            lost,
            "{row} has a new granting host"
        );
    }
    check_owners(&rig.journal.all());
}

/// Guards against keys of an ended upstream that stay unassigned in a partition with few upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_lost_server_are_served_by_its_partition() {
    let mut rig = Rig::start_partitioned(HOSTS, UPSTREAMS, PER_PARTITION).await;
    check_all_are_answered(&rig, "before").await;
    let lost = rig.reads.remove(0);
    rig.store.remove("servers", lost.id());
    drop(lost);
    wait_until("all keys are served again", async || {
        for i in 0..64_u16 {
            let read = Request {
                wait_ms: 300,
                ..Request::read(&format!("after-{i}"), i * 1_024)
            };
            if !answered(rig.send(0, &read).await.as_ref(), &read.id) {
                return false;
            }
        }
        true
    })
    .await;
    check_owners(&rig.journal.all());
}
