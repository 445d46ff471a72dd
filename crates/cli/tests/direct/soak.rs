//! Runs of hosts under load, with faults at random moments.
//!
//! A seed decides on the faults.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng};
use standin::LinkCut;
use standin::fleet::deploy::configuration;
use standin::fleet::{FleetTarget, StoreCopy, StoreMode};
use tokio::sync::Mutex;

use crate::rig::{Request, Rig, guarantees_not_executed, send, wait_until};
use crate::{answered, check_owners};

/// Time for which faults occur.
const FAULTS_FOR: Duration = Duration::from_secs(22);
/// Time after the last fault within which all keys must be served: longer than the wait for hosts
/// that granted in an earlier era.
const RECOVERY_LIMIT: Duration = Duration::from_secs(20);
pub const HOSTS: usize = 4;
/// Keys whose holders are checked, spread over the whole range.
const CHECKED_KEYS: u16 = 40;
/// Interval of these checks, and of copies of the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// Copies that are kept: the oldest is six seconds old.
const COPIES: usize = 60;
/// Interval of the servers' heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(870);
/// Time after which a server that said that it leaves gets nothing new, while the store is up.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn key(i: u16) -> u16 {
    i * (u16::MAX / CHECKED_KEYS)
}

/// A fault.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// The store is away for a time, and returns from a copy of this age.
    Return { age: Duration, away: Duration },
    /// Transactions are set aside; they are performed some time later, mostly after a return.
    DelayWrites,
    /// Delayed transactions are performed, and earlier ones once more.
    RepeatWrites,
    /// A host is killed and starts again.
    RestartHost(usize),
    /// The store rejects the calls of a host, or no longer.
    Throttle(usize, bool),
    /// The reads server of this index leaves, and another starts.
    ReplaceServer(usize),
    /// The posts server of this index says that it leaves, and another starts.
    ReplacePosts(usize),
    /// The reads server of this index restarts under its name.
    RestartServer(usize),
    /// The reads server of this index does not reach the store, or does again.
    CutServer(usize, bool),
    /// The store is away for this time.
    Outage(Duration),
    /// Hosts lose their links to all servers; the lowest bits say which hosts.
    CutLinks { hosts: u8, how: LinkCut },
    /// All links are restored.
    RestoreLinks,
}

/// The state of a run.
struct Run {
    rig: Mutex<Rig>,
    copies: std::sync::Mutex<Vec<StoreCopy>>,
    /// Servers that said that they leave, and when; they still run.
    left: Mutex<Vec<(FleetTarget, Instant)>>,
    has_ended: AtomicBool,
    sent: AtomicU64,
    /// Requests that were refused as not run.
    refused: std::sync::Mutex<Vec<String>>,
    version: AtomicU64,
}

impl Run {
    async fn start() -> Self {
        Self {
            rig: Mutex::new(Rig::start(HOSTS).await),
            copies: std::sync::Mutex::default(),
            left: Mutex::default(),
            has_ended: AtomicBool::new(false),
            sent: AtomicU64::new(0),
            refused: std::sync::Mutex::default(),
            version: AtomicU64::new(2),
        }
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Sends requests with keys and posts to all hosts.
    async fn load(&self, mut rng: StdRng) {
        let hosts: Vec<_> = {
            let rig = self.rig.lock().await;
            (0..HOSTS).map(|i| rig.callers(i)).collect()
        };
        while !self.has_ended() {
            let n = self.sent.fetch_add(1, Ordering::SeqCst);
            let host = hosts[rng.random_range(0..HOSTS)];
            let request = if rng.random_bool(0.7) {
                Request::read(&format!("r-{n}"), rng.random())
            } else {
                Request::post(&format!("p-{n}"))
            };
            let request = Request {
                wait_ms: 1_000,
                ..request
            };
            let response = send(host, &request).await;
            if response.is_some_and(|r| guarantees_not_executed(&r)) {
                let mut refused = self.refused.lock().expect("no panic");
                refused.push(request.id.clone());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Keeps copies of the store.
    async fn copy_store(&self) {
        while !self.has_ended() {
            let copy = self.rig.lock().await.store.copy();
            self.keep_copy(copy);
            tokio::time::sleep(COPY_INTERVAL).await;
        }
    }

    fn keep_copy(&self, copy: StoreCopy) {
        let mut copies = self.copies.lock().expect("no panic");
        copies.push(copy);
        let excess = copies.len().saturating_sub(COPIES);
        copies.drain(..excess);
    }

    /// Lets servers write their registrations.
    async fn write_heartbeats(&self) {
        while !self.has_ended() {
            let rig = self.rig.lock().await;
            rig.reads
                .iter()
                .chain(&rig.posts)
                .for_each(FleetTarget::heartbeat);
            drop(rig);
            self.left
                .lock()
                .await
                .iter()
                .for_each(|(target, _)| target.heartbeat());
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Checks that no two servers hold a key.
    async fn check_holders(&self, seed: u64) {
        while !self.has_ended() {
            let rig = self.rig.lock().await;
            let left = self.left.lock().await;
            let servers: Vec<&FleetTarget> = rig
                .reads
                .iter()
                .chain(left.iter().map(|(target, _)| target))
                .collect();
            for key in (0..CHECKED_KEYS).map(key) {
                let holders: HashMap<_, _> = servers
                    .iter()
                    .filter_map(|t| Some((t.id().clone(), t.fencing_token(key)?)))
                    .collect();
                assert!(
                    holders.len() < 2,
                    "seed {seed}: key {key} is held by {holders:?}"
                );
            }
            drop(left);
            drop(rig);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    async fn carry_out(&self, event: Event, rng: &mut StdRng) {
        match event {
            Event::Return { age, away } => self.return_from_copy(age, away, rng).await,
            Event::DelayWrites => self
                .rig
                .lock()
                .await
                .store
                .set_mode(StoreMode::DelaysWrites),
            Event::RepeatWrites => {
                let rig = self.rig.lock().await;
                rig.store.set_mode(StoreMode::Up);
                rig.store.commit_delayed();
                rig.store.commit_again();
            }
            Event::RestartHost(i) => {
                let mut rig = self.rig.lock().await;
                rig.hosts[i].kill();
                let host = rig.host_restarted(i);
                rig.hosts[i] = host;
            }
            Event::Throttle(i, is_throttled) => {
                let rig = self.rig.lock().await;
                rig.store.set_throttled(rig.callers(i).ip(), is_throttled);
            }
            Event::ReplaceServer(i) => self.replace(|rig| &mut rig.reads[i]).await,
            Event::ReplacePosts(i) => self.replace(|rig| &mut rig.posts[i]).await,
            Event::RestartServer(i) => {
                let mut rig = self.rig.lock().await;
                let server = rig.reads.remove(i);
                let down = Duration::from_millis(rng.random_range(10..200));
                let server = server.restart(down, Duration::from_millis(20)).await;
                rig.reads.insert(i, server.expect("its address is free"));
            }
            Event::CutServer(i, is_cut) => {
                let rig = self.rig.lock().await;
                rig.reads[i].cut_from_store(is_cut);
            }
            Event::Outage(away) => {
                self.set_store(StoreMode::Unavailable).await;
                tokio::time::sleep(away).await;
                self.set_store(StoreMode::Up).await;
            }
            Event::CutLinks { hosts, how } => {
                let rig = self.rig.lock().await;
                let cut = (0..HOSTS).filter(|i| hosts & (1 << i) != 0);
                cut.for_each(|i| rig.cut_links(i, how));
            }
            Event::RestoreLinks => self.rig.lock().await.restore_links(),
        }
    }

    /// Starts a server like the one that `slot` returns, which leaves.
    async fn replace(&self, slot: impl Fn(&mut Rig) -> &mut FleetTarget) {
        let mut rig = self.rig.lock().await;
        let settings = slot(&mut rig).settings().clone();
        let joined = rig.target(settings).await;
        let left = std::mem::replace(slot(&mut rig), joined);
        left.drain();
        self.left.lock().await.push((left, Instant::now()));
    }

    async fn return_from_copy(&self, age: Duration, away: Duration, rng: &mut StdRng) {
        let rig = self.rig.lock().await;
        if !away.is_zero() {
            rig.store.set_mode(StoreMode::Unavailable);
        }
        drop(rig);
        tokio::time::sleep(away).await;
        let copy = {
            let copies = self.copies.lock().expect("no panic");
            let steps = (age.as_millis() / COPY_INTERVAL.as_millis()) as usize;
            copies[copies.len().saturating_sub(1 + steps)].clone()
        };
        let lost = {
            let rig = self.rig.lock().await;
            let lost = rig.store.return_from(&copy);
            self.copies.lock().expect("no panic").clear();
            self.copies.lock().expect("no panic").push(rig.store.copy());
            rig.store.set_mode(StoreMode::Up);
            lost
        };
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
        let rig = self.rig.lock().await;
        rig.store.rewrite_rows(lost);
        rig.store.commit_delayed();
    }

    async fn set_store(&self, mode: StoreMode) {
        self.rig.lock().await.store.set_mode(mode);
    }

    /// Ends faults that last.
    async fn end_faults(&self) {
        let rig = self.rig.lock().await;
        rig.restore_links();
        rig.reads.iter().for_each(|s| s.cut_from_store(false));
        rig.store.set_mode(StoreMode::Up);
        rig.store.commit_delayed();
        (0..HOSTS).for_each(|i| rig.store.set_throttled(rig.callers(i).ip(), false));
    }

    /// Writes the next version of the configuration.
    async fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let configuration = configuration(version, 4.0, "posts");
        self.rig.lock().await.store.configure(&configuration);
    }
}

/// Returns the seeds to play: those that the environment variable `name` lists, separated by commas,
/// or else `default`.
pub fn seeds(name: &str, default: &[u64]) -> Vec<u64> {
    let parse = |seed: &str| seed.parse().expect("numbers, separated by commas");
    let given = std::env::var(name).ok();
    given.map_or_else(
        || default.to_vec(),
        |seeds| seeds.split(',').map(parse).collect(),
    )
}

/// Plays the faults that `draw` draws, and checks what callers and servers saw.
pub async fn play(seed: u64, draw: fn(&mut StdRng) -> Event) {
    let run = Run::start().await;
    let mut rng = StdRng::seed_from_u64(seed);
    let loads: Vec<_> = (0..6)
        .map(|_| run.load(StdRng::from_rng(&mut rng)))
        .collect();
    let faults = async {
        let start = Instant::now();
        tokio::time::sleep(Duration::from_secs(1)).await;
        while start.elapsed() < FAULTS_FOR {
            let event = draw(&mut rng);
            println!(
                "seed {seed}, {:.2} s: {event:?}",
                start.elapsed().as_secs_f64()
            );
            run.carry_out(event, &mut rng).await;
            run.configure().await;
            let pause = rng.random_range(50..2_500);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        run.end_faults().await;
        check_recovery(&run).await;
        check_drained(&run).await;
        run.has_ended.store(true, Ordering::SeqCst);
    };
    tokio::join!(
        join_all(loads),
        run.copy_store(),
        run.write_heartbeats(),
        run.check_holders(seed),
        faults
    );
    check_journal(&run, seed).await;
}

/// Checks that all hosts serve all keys and posts soon after the last fault.
async fn check_recovery(run: &Run) {
    let start = Instant::now();
    let rig = run.rig.lock().await;
    let hosts: Vec<_> = (0..HOSTS).map(|i| rig.callers(i)).collect();
    drop(rig);
    let mut round = 0;
    wait_until("all hosts serve all keys", async || {
        round += 1;
        let keys = (0..CHECKED_KEYS).map(key);
        let reads = keys.map(|key| Request::read(&format!("end-{round}-{key}"), key));
        let post = Request::post(&format!("end-{round}-post"));
        for host in &hosts {
            let reads = reads.clone().map(|r| Request {
                id: format!("{}-{}", r.id, host.ip()),
                ..r
            });
            let post = Request {
                id: format!("{}-{}", post.id, host.ip()),
                ..post.clone()
            };
            let requests: Vec<Request> = reads.chain([post]).collect();
            let responses = join_all(requests.iter().map(|r| send(*host, r))).await;
            let mut all = requests.iter().zip(&responses);
            if !all.all(|(request, response)| answered(response.as_ref(), &request.id)) {
                return false;
            }
        }
        true
    })
    .await;
    assert!(start.elapsed() < RECOVERY_LIMIT, "{:?}", start.elapsed());
}

/// Checks that servers that left get nothing new in a calm time.
async fn check_drained(run: &Run) {
    tokio::time::sleep(DRAIN_LIMIT).await;
    let calm_since = Instant::now();
    tokio::time::sleep(DRAIN_LIMIT).await;
    let left = run.left.lock().await;
    let ran = run.rig.lock().await.journal.all();
    for (server, _) in left.iter() {
        let late = ran
            .iter()
            .find(|r| r.target == *server.id() && r.at > calm_since);
        assert!(late.is_none(), "a server that left ran {late:?}");
    }
}

/// Checks what servers ran: keys have one owner at a time, posts run once at most, and requests that
/// were refused as not run did not.
async fn check_journal(run: &Run, seed: u64) {
    let ran = run.rig.lock().await.journal.all();
    check_owners(&ran);
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for request in &ran {
        *counts.entry(request.request.as_str()).or_default() += 1;
    }
    let twice = counts
        .iter()
        .find(|(id, count)| id.starts_with("p-") && **count > 1);
    assert!(twice.is_none(), "seed {seed}: {twice:?}");
    let refused = run.refused.lock().expect("no panic");
    let untrue = refused
        .iter()
        .find(|id| id.starts_with("p-") && counts.contains_key(id.as_str()));
    assert!(
        untrue.is_none(),
        "seed {seed}: {untrue:?} was refused and ran"
    );
}
