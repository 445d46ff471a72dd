//! Tests of waiting for hosts and of requesting their version.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ids::Version;
use operate::Exit;
use operate::command::status;
use operate::command::submit::SubmitContext;
use operate::command::wait::{all_hosts, wait_for_version};
use platform::FakePlatform;
use platform::fake::Faults;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use support::{Dir, apply, apply_with, context, report};

/// A fake host that reports which version it has in force.
struct FakeHost {
    address: SocketAddr,
    version: Arc<AtomicU64>,
}

impl FakeHost {
    async fn new(name: &'static str, version: u64) -> Self {
        Self::start(name, version, 0).await
    }

    /// Creates a host whose version increases by one with each answer.
    async fn rising(name: &'static str, version: u64) -> Self {
        Self::start(name, version, 1).await
    }

    async fn start(name: &'static str, version: u64, step: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let version = Arc::new(AtomicU64::new(version));
        let shared = Arc::clone(&version);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                answer(stream, name, shared.fetch_add(step, Ordering::SeqCst)).await;
            }
        });
        Self { address, version }
    }
}

async fn answer(mut stream: TcpStream, host: &str, version: u64) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    assert!(head.starts_with(b"GET /medlardyke/status HTTP/1.1\r\n"));
    let body = json!({
        "host": host,
        "domain": "lauder",
        "incarnation": 3,
        "catalogue_version": version,
        "catalogue_age_ms": 120,
        "revision": 9,
    });
    let body = body.to_string();
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    // The client may have closed the connection.
    drop(stream.write_all(answer.as_bytes()).await);
}

/// Returns an address that refuses connections.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn an_apply_waits_until_all_hosts_have_its_version() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    let (fast, slow) = (
        FakeHost::new("h1", 1).await,
        FakeHost::rising("h2", 0).await,
    );
    let cx = SubmitContext {
        hosts: vec![fast.address, slow.address],
        max_wait: Duration::from_secs(10),
        ..context("anna")
    };
    let applied = apply_with(&platform, &dir, &cx).await;
    assert_eq!(applied.exit, Exit::Done, "{}", applied.text);
    assert_eq!(applied.json["hosts"]["in_force"], 2);
    assert!(
        applied.text.contains("in force on all 2 hosts"),
        "{}",
        applied.text
    );
}

#[tokio::test]
async fn a_wait_that_times_out_names_the_hosts_that_lag() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    let (fast, slow) = (FakeHost::new("h1", 1).await, FakeHost::new("h2", 0).await);
    let unreachable = unused_address().await;
    let cx = SubmitContext {
        hosts: vec![fast.address, slow.address, unreachable],
        max_wait: Duration::from_millis(1),
        ..context("anna")
    };
    let applied = apply_with(&platform, &dir, &cx).await;
    assert_eq!(applied.exit, Exit::NotEverywhere, "{}", applied.text);
    assert_eq!(applied.json["version"], 1);
    assert_eq!(applied.json["hosts"]["in_force"], 1);
    assert!(applied.text.contains("h2"), "{}", applied.text);
    assert!(
        applied.text.contains(&format!("ask host at {unreachable}")),
        "{}",
        applied.text
    );
}

#[tokio::test]
async fn progress_is_reported_when_it_changes() {
    let host = FakeHost::new("h1", 4).await;
    let mut lines = Vec::new();
    let max_wait = Duration::from_secs(10);
    let progress = &mut |line: &str| lines.push(line.to_owned());
    let result = wait_for_version(&[host.address], Version(4), max_wait, progress).await;
    assert_eq!((result.in_force, result.asked), (1, 1));
    assert_eq!(lines.len(), 1);
    assert!(lines[0].starts_with("version 4 in force on 1 of 1 hosts after"));
}

#[tokio::test]
async fn a_status_says_how_long_each_host_has_lagged() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    apply(&platform, &dir, "anna").await;
    dir.set_limit("slotbook", 40);
    apply(&platform, &dir, "anna").await;
    let (fast, slow) = (FakeHost::new("h1", 2).await, FakeHost::new("h2", 1).await);
    let hosts = [fast.address, slow.address];
    // The changes were made at 1,000 ms.
    let reported = report(status::status(&platform, &hosts, 1_800).await);
    assert_eq!(reported.exit, Exit::NotEverywhere);
    assert_eq!(reported.json["version"], 2);
    let line = |n: usize| {
        let line = &reported.json["hosts"][n];
        (
            line["host"].clone(),
            line["behind"].clone(),
            line["lag_ms"].clone(),
        )
    };
    assert_eq!(line(0), (json!("h1"), json!(0), json!(0)));
    assert_eq!(line(1), (json!("h2"), json!(1), json!(800)));
    slow.version.store(2, Ordering::SeqCst);
    let reported = report(status::status(&platform, &hosts, 1_800).await);
    assert_eq!(reported.exit, Exit::Done, "{}", reported.text);
}

#[tokio::test]
async fn a_status_without_the_platform_still_asks_hosts() {
    let platform = FakePlatform::new();
    platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let host = FakeHost::new("h1", 5).await;
    let reported = report(status::status(&platform, &[host.address], 0).await);
    assert_eq!(reported.exit, Exit::Unreachable);
    assert_eq!(reported.json["hosts"][0]["catalogue_version"], 5);
    assert_eq!(reported.json["hosts"][0]["behind"], json!(null));
}

#[test]
fn hosts_of_settings_and_command_line_are_asked_once() {
    let address = |text: &str| text.parse::<SocketAddr>().unwrap();
    let (a, b) = (address("10.0.0.1:80"), address("10.0.0.2:80"));
    assert_eq!(all_hosts(&[a, b], &[b, a]), [a, b]);
}
