//! Tests of servers that restart under their names while the store does not say so.
//!
//! A seed decides on the faults of the random runs. `RESTART_SEEDS` sets the seeds, separated by commas.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use futures::future::join_all;
use rand::Rng as _;
use rand::rngs::StdRng;
use standin::LinkCut;
use standin::fleet::{FleetTarget, StoreMode};

use crate::rig::{Request, Rig};
use crate::soak::{self, Event, HOSTS};
use crate::{answered, check_owners};

/// Seeds that are played by default, all at once.
const SEEDS: [u64; 2] = [1, 2];

/// Number of keys, spread over the whole range, whose holders are watched.
const WATCHED_KEYS: u16 = 64;
/// Interval at which the holders are looked at.
const WATCH_EVERY: Duration = Duration::from_millis(10);
/// How long a grant holds.
const GRANT_TTL: Duration = Duration::from_secs(3);
/// Time for which a restarting server is down.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Time after a registration in which keys move.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// One process of a server: the name and the incarnation.
type Process = (String, u64);

/// Returns the processes that hold `key`, with their fencing tokens.
fn holders(servers: &[FleetTarget], key: u16) -> Vec<(u64, Process)> {
    let held = |s: &FleetTarget| {
        let process = (s.id().to_string(), s.incarnation());
        s.fencing_token(key).map(|token| (token, process))
    };
    servers.iter().filter_map(held).collect()
}

/// Watches which servers hold keys.
#[derive(Debug, Default)]
struct HolderWatch {
    /// The highest fencing token of each key, and the process that held the key under it.
    highest: HashMap<u16, (u64, Process)>,
    /// When each key that has no holder lost its last one.
    unheld_since: HashMap<u16, Instant>,
    longest_unheld: Duration,
}

impl HolderWatch {
    /// Checks that each key has at most one holder, under a higher token than other processes had.
    fn check(&mut self, servers: &[FleetTarget]) {
        let now = Instant::now();
        for key in (0..WATCHED_KEYS).map(|i| i * (u16::MAX / WATCHED_KEYS)) {
            let holders = holders(servers, key);
            // A key may move from one server to the next while they are looked at.
            let is_shared = holders.len() > 1 && self::holders(servers, key).len() > 1;
            assert!(!is_shared, "key {key} is held by {holders:?}");
            let Some(holder) = holders.into_iter().max() else {
                let since = *self.unheld_since.entry(key).or_insert(now);
                self.longest_unheld = self.longest_unheld.max(now - since);
                continue;
            };
            self.unheld_since.remove(&key);
            let highest = self.highest.entry(key).or_insert_with(|| holder.clone());
            assert!(
                holder.0 > highest.0 || holder == *highest,
                "key {key} is held by {holder:?} after {highest:?}"
            );
            *highest = holder;
        }
    }

    /// Checks the holders again and again for `span`.
    async fn check_for(&mut self, servers: &[FleetTarget], span: Duration) {
        let start = Instant::now();
        while start.elapsed() < span {
            self.check(servers);
            tokio::time::sleep(WATCH_EVERY).await;
        }
    }
}

/// An upstream that restarts with its id and address owns no keys, and grants for its previous
/// incarnation must not apply to it. It gets its keys back with higher fencing tokens.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_restarts_gets_its_keys_with_higher_fencing_tokens() {
    let mut rig = Rig::start(2).await;
    let keys: Vec<u16> = (0..64).map(|i| i * 1_024).collect();
    for round in 0..3_u64 {
        // Shorter than the heartbeat timeout after which keys move, and than the time between two
        // reads of the registrations.
        let down = Duration::from_millis(50 + 200 * round);
        let restarted = rig.reads.remove(0);
        let restarted = restarted.restart(down, Duration::from_millis(40)).await;
        rig.reads.push(restarted.expect("the address is free"));
        let deadline = Instant::now() + Duration::from_secs(8);
        for (i, &key) in keys.iter().enumerate() {
            let mut attempts = 0;
            loop {
                attempts += 1;
                let request = Request::read(&format!("again-{round}-{i}-{attempts}"), key);
                if answered(rig.send(i % 2, &request).await.as_ref(), &request.id) {
                    break;
                }
                assert!(Instant::now() < deadline, "key {key} has no owner");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    check_owners(&rig.journal.all());
}

/// A restart of which the store does not tell for some time.
struct Case {
    name: &'static str,
    /// How the store behaves from shortly before the restart until shortly before the registration.
    store: StoreMode,
    /// From the restart to the registration of the new incarnation.
    registers_after: Duration,
    /// Longest time for which a key may have no holder; none while owners can't be changed.
    most_unheld: Option<Duration>,
}

/// Guards against keys with two holders, and against two holders under one fencing token: a server
/// restarts under its name while it is cut off from the store, or while the store is away. Hosts can't
/// know that from the registrations, and grant the new process what the old one held; when it
/// registers, its keys must not go to others while it holds them.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_restarts_before_it_can_register_shares_no_keys() {
    let cases = [
        Case {
            name: "cut off from the store for two renewals",
            store: StoreMode::Up,
            registers_after: Duration::from_millis(1_400),
            most_unheld: Some(GRANT_TTL),
        },
        Case {
            name: "cut off from the store for four renewals",
            store: StoreMode::Up,
            registers_after: Duration::from_secs(3),
            most_unheld: Some(GRANT_TTL),
        },
        Case {
            name: "the store is away",
            store: StoreMode::Unresponsive,
            registers_after: Duration::from_millis(3_500),
            most_unheld: None,
        },
    ];
    for case in cases {
        let mut rig = Rig::start(3).await;
        let mut watch = HolderWatch::default();
        watch.check_for(&rig.reads, GRANT_TTL / 3).await;
        rig.store.set_mode(case.store);
        let server = rig.reads.remove(0);
        server.cut_from_store(true);
        let server = server.restart(DOWN_TIME, Duration::ZERO).await;
        rig.reads.insert(0, server.expect("its address is free"));
        watch.check_for(&rig.reads, case.registers_after).await;
        rig.store.set_mode(StoreMode::Up);
        rig.reads[0].cut_from_store(false);
        rig.reads[0].heartbeat();
        watch.check_for(&rig.reads, SETTLE_TIME).await;
        check_owners(&rig.journal.all());
        let longest = watch.longest_unheld;
        assert!(
            case.most_unheld.is_none_or(|most| longest <= most),
            "{}: a key had no holder for {longest:?}",
            case.name
        );
        assert!(watch.unheld_since.is_empty(), "{}", case.name);
    }
}

/// Guards against keys that are lost with a connection: the granting host can't know that the same
/// process still listens once all its connections to an upstream were reset, and has to grant the
/// keys anew before their grants expire.
#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_held_when_connections_are_reset() {
    let rig = Rig::start(2).await;
    let mut watch = HolderWatch::default();
    watch.check_for(&rig.reads, GRANT_TTL / 3).await;
    for _ in 0..3 {
        rig.cut_links(rig.granting_host(), LinkCut::Resets);
        watch.check_for(&rig.reads, WATCH_EVERY).await;
        rig.restore_links();
        watch.check_for(&rig.reads, GRANT_TTL).await;
    }
    assert_eq!(watch.longest_unheld, Duration::ZERO);
}

fn draw(rng: &mut StdRng) -> Event {
    let ways = [LinkCut::Hangs, LinkCut::Resets, LinkCut::RefusesNew];
    let server = rng.random_range(0..3);
    match rng.random_range(0..12) {
        0..=3 => Event::RestartServer(server),
        4..=6 => Event::CutServer(server, true),
        7 => Event::CutServer(server, false),
        8 => Event::Outage(Duration::from_millis(rng.random_range(100..5_000))),
        9 => Event::RestartHost(rng.random_range(0..HOSTS)),
        10 => Event::CutLinks {
            hosts: rng.random_range(1..1 << HOSTS),
            how: ways[rng.random_range(0..ways.len())],
        },
        _ => Event::RestoreLinks,
    }
}

/// Guards against two owners of a key, and two owners under one fencing token, when servers restart
/// under their names at any moment, with and without reaching the store, beside restarts of hosts,
/// lost links and outages of the store.
#[tokio::test(flavor = "multi_thread")]
async fn servers_restart_at_random_moments() {
    let seeds = soak::seeds("RESTART_SEEDS", &SEEDS);
    join_all(seeds.into_iter().map(|seed| soak::play(seed, draw))).await;
}
