//! Entries whose keys are granted in parts, each with a row and a granting host of its own.
//!
//! An entry of thousands of upstreams had one row, which the store refused for its size: nobody ever owned a key. Here
//! a few upstreams make as many parts.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::rig::{Ask, Rig, until};
use crate::{answered, check_all_are_answered, check_owners};

const HOSTS: usize = 4;
const SERVERS: usize = 8;
/// Servers for each part.
const EACH: usize = 2;
/// Rows of the parts.
const ROWS: [&str; SERVERS / EACH] = ["keys.reads", "keys.reads:1", "keys.reads:2", "keys.reads:3"];
/// Time in which keys of a lost granting host would lapse, and more.
const WATCHED: Duration = Duration::from_secs(7);

/// Asks `host` for keys of all parts for a while; returns those that were not answered.
async fn unanswered(rig: &Rig, host: usize, name: &str) -> Vec<String> {
    let began = Instant::now();
    let mut unanswered = Vec::new();
    for i in 0_usize.. {
        if began.elapsed() > WATCHED {
            break;
        }
        let read = Ask::read(&format!("{name}-{i}"), (i * 997 % 65_536) as u16);
        let got = rig.ask(host, &read).await;
        if !answered(got.as_ref(), &read.id) {
            unanswered.push(format!("{read:?}: {got:?}"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unanswered
}

/// Guards against parts that nobody founds, and against all parts at one host.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_all_parts_are_served_by_several_granting_hosts() {
    let rig = Rig::start_in_parts(HOSTS, SERVERS, EACH).await;
    until("all parts have a row", async || {
        let is_known = |row: &str| rig.store.read("medlardyke", row).is_some();
        ROWS.iter().all(|row| is_known(row))
    })
    .await;
    check_all_are_answered(&rig, "parts").await;
    let granters: HashSet<usize> = ROWS.iter().map(|row| rig.granter_of(row)).collect();
    assert!(granters.len() > 1, "one host grants all parts");
    check_owners(&rig.journal.all());
}

/// Guards against a part whose granting host is lost: its keys stay where they are, and those of others too.
#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_a_parts_granting_host_takes_no_key() {
    let rig = Rig::start_in_parts(HOSTS, SERVERS, EACH).await;
    until("the last part has a row", async || {
        rig.store.read("medlardyke", ROWS[3]).is_some()
    })
    .await;
    check_all_are_answered(&rig, "before").await;
    let lost = rig.granter_of(ROWS[3]);
    rig.signal(lost, Signal::KILL);
    let failed = unanswered(&rig, (lost + 1) % HOSTS, "kill").await;
    assert!(failed.is_empty(), "{failed:?}");
    for row in ROWS {
        assert_ne!(rig.granter_of(row), lost, "{row} has another granting host");
    }
    check_owners(&rig.journal.all());
}

/// Guards against keys of a lost server that stay without an owner where each part has few servers.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_lost_server_are_served_by_its_part() {
    let mut rig = Rig::start_in_parts(HOSTS, SERVERS, EACH).await;
    check_all_are_answered(&rig, "before").await;
    let lost = rig.reads.remove(0);
    rig.store.remove("servers", lost.id());
    drop(lost);
    until("all keys are served again", async || {
        for i in 0..64_u16 {
            let read = Ask {
                wait_ms: 300,
                ..Ask::read(&format!("after-{i}"), i * 1_024)
            };
            if !answered(rig.ask(0, &read).await.as_ref(), &read.id) {
                return false;
            }
        }
        true
    })
    .await;
    check_owners(&rig.journal.all());
}
