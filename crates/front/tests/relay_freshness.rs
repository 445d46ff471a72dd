//! How long what hosts relay to each other counts as fresh, over links that hold messages up.

#[allow(dead_code, reason = "shared by several tests")]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{UnusedPlatform, domain, incarnation, state};
use front::control::SharedControl;
use front::control::hosts::HostRow;
use front::control::relay::{receive, serve};
use front::control::tables::Table;
use ids::{BootClock, Clock, Revision, StoreEra, Timestamp};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

/// Age up to which a read of the store keeps hosts fresh.
const MAX_AGE: Duration = Duration::from_millis(1_200);
/// Time that a busy machine may take between a host's expiry and the check.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Time for which hosts are watched after that.
const WATCHED_FOR: Duration = Duration::from_secs(2);
/// Time within which a host finds another one that relays to it.
const RELAY_LIMIT: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A host that relays and receives, and does not read the store.
struct RelayingHost {
    ctl: SharedControl,
    row: HostRow,
    tasks: Vec<JoinHandle<()>>,
}

impl RelayingHost {
    /// Starts a host whose messages arrive after `delay`, and which does not look for a parent yet.
    async fn start(name: &str, delay: Duration) -> Self {
        let listener = bind().await;
        let relays_at = listener.local_addr().expect("a bound address");
        let (peers, link) = delayed_link(relays_at, delay).await;
        let ctl = SharedControl::new(state(name, peers));
        let row = HostRow {
            incarnation: incarnation(name),
            domain: domain(),
            peers,
            permits: None,
            exchanges: None,
            capacity: 1.0,
            era: StoreEra::default(),
        };
        let served = tokio::task::spawn_local(serve(ctl.clone(), listener));
        Self {
            ctl,
            row,
            tasks: vec![link, served],
        }
    }

    /// Makes the host known to `others`, and starts to look for a parent among those it knows.
    fn receive_from(&mut self, others: &[&HostRow]) {
        let rows = others.iter().copied().chain([&self.row]);
        self.ctl.with(|c| {
            for row in rows {
                c.record_host(BootClock.now(), row.clone(), Revision(1));
            }
        });
        let received = receive(self.ctl.clone(), UnusedPlatform);
        self.tasks.push(tokio::task::spawn_local(received));
    }

    /// Records a read of all tables that begins now; returns its time.
    fn read_store(&self) -> Timestamp {
        let now = BootClock.now();
        self.ctl.with(|c| {
            for table in Table::ALL {
                c.freshness.read(table, now);
            }
        });
        self.ctl.notify_confirmed();
        now
    }

    fn is_fresh(&self) -> bool {
        self.ctl.with(|c| c.freshness.is_fresh(BootClock.now()))
    }

    /// Waits until another host has relayed to this one.
    async fn wait_for_relay(&self) {
        let start = Instant::now();
        while !self.ctl.with(|c| c.freshness.has_known_all()) {
            assert!(start.elapsed() < RELAY_LIMIT, "no host relays to it");
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Ends the host, whose connections close.
    fn kill(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn bind() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener.expect("a free port")
}

/// Starts a link to `to` that delays all bytes, and returns the address at which it accepts. Its
/// connections close when the task is aborted.
async fn delayed_link(to: SocketAddr, delay: Duration) -> (SocketAddr, JoinHandle<()>) {
    let listener = bind().await;
    let address = listener.local_addr().expect("a bound address");
    let accepting = async move {
        let mut pumps = tokio::task::JoinSet::new();
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            pumps.spawn(pump(near_read, far_write, delay));
            pumps.spawn(pump(far_read, near_write, delay));
        }
    };
    (address, tokio::task::spawn_local(accepting))
}

/// Passes bytes on, each after `delay`, until one side closes.
async fn pump(
    mut from: impl AsyncRead + Unpin + Send,
    mut to: impl AsyncWrite + Unpin + Send,
    delay: Duration,
) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let reading = async move {
        let mut buf = vec![0; 4_096];
        while let Ok(n @ 1..) = from.read(&mut buf).await {
            if tx
                .send((Instant::now() + delay, buf[..n].to_vec()))
                .is_err()
            {
                break;
            }
        }
    };
    let writing = async move {
        while let Some((at, bytes)) = rx.recv().await {
            tokio::time::sleep_until(at).await;
            if to.write_all(&bytes).await.is_err() {
                break;
            }
        }
    };
    tokio::join!(reading, writing);
}

/// Checks that none of `hosts` is fresh by a read that began at `read_at` once it is too old.
async fn check_expiry(read_at: Timestamp, hosts: &[(&str, &RelayingHost)]) {
    let expired_at = read_at + MAX_AGE + TOLERANCE;
    while BootClock.now() < expired_at + WATCHED_FOR {
        for (name, host) in hosts {
            let age = BootClock.now().since(read_at);
            assert!(
                BootClock.now() < expired_at || !host.is_fresh(),
                "{name} is fresh by a read that began {age:?} ago"
            );
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Guards against an old configuration at hosts that relay to each other: the host that read the
/// store ends, and each of the others takes what it had sent itself for news.
#[tokio::test]
async fn hosts_that_relay_to_each_other_do_not_stay_fresh() {
    let scenario = async {
        let delay = Duration::from_millis(20);
        let mut reader = RelayingHost::start("host-0", delay).await;
        let mut earlier = RelayingHost::start("host-1", delay).await;
        let mut later = RelayingHost::start("host-2", delay).await;
        let read_at = reader.read_store();
        reader.receive_from(&[]);
        later.receive_from(&[&reader.row, &earlier.row]);
        later.wait_for_relay().await;
        // It knows of no host before it, and turns to one after it, as it has read nothing yet.
        earlier.receive_from(&[&later.row]);
        earlier.wait_for_relay().await;
        reader.kill();
        check_expiry(read_at, &[("host-1", &earlier), ("host-2", &later)]).await;
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against an old configuration behind a slow link: what was fresh when it was sent must not
/// count as fresh for the time that it was on its way.
#[tokio::test]
async fn time_on_the_way_counts() {
    let scenario = async {
        let mut reader = RelayingHost::start("host-0", Duration::from_millis(400)).await;
        let mut receiver = RelayingHost::start("host-1", Duration::ZERO).await;
        let read_at = reader.read_store();
        reader.receive_from(&[]);
        receiver.receive_from(&[&reader.row]);
        receiver.wait_for_relay().await;
        check_expiry(read_at, &[("host-1", &receiver)]).await;
    };
    LocalSet::new().run_until(scenario).await;
}
