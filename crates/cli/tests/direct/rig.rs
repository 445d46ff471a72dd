//! Hosts as real processes, with the settings that the platform renders for them.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use standin::fleet::deploy::{HostDeployment, configuration, render};
use standin::fleet::{FleetStore, FleetTarget, Journal, TargetSettings};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest wait for anything that must come soon, also on a busy machine.
const SOON: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Ports of hosts.
const LOWEST_PORT: u16 = 9_000;
const HIGHEST_PORT: u16 = 15_000;
/// The settings template that is deployed.
const TEMPLATE: &str = include_str!("../../../../deploy/settings.json");

/// A host process.
pub struct Host {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Host {
    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.try_wait();
        ended.expect("a child of ours").is_some()
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Got {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<String>,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Ask {
    pub id: String,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub key: Option<u16>,
    pub wait_ms: u64,
}

impl Ask {
    /// An idempotent request on a key.
    pub fn read(id: &str, key: u16) -> Self {
        Self {
            id: id.to_owned(),
            method: "GET",
            host: "reads.example",
            path: "/r/1",
            key: Some(key),
            wait_ms: 4_000,
        }
    }

    /// A request that must not run twice.
    pub fn post(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            method: "POST",
            host: "posts.example",
            path: "/p/1",
            key: None,
            wait_ms: 4_000,
        }
    }
}

/// Store, servers and hosts.
pub struct Rig {
    pub store: FleetStore,
    pub journal: Journal,
    pub reads: Vec<FleetTarget>,
    pub posts: Vec<FleetTarget>,
    pub hosts: Vec<Host>,
    /// Upstreams for each part of an entry's keys; as usual if none.
    upstreams_each: Option<usize>,
    /// Begins the loopback addresses of this rig's hosts, which no other rig has.
    net: String,
    dir: TempDir,
}

impl Drop for Rig {
    /// Shows what the hosts of a failed test logged: many a failure comes once.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for i in 0..self.hosts.len() {
            let log = fs::read_to_string(self.log(i)).unwrap_or_default();
            eprintln!("host {i} logged:\n{log}");
        }
    }
}

/// Returns the first three parts of loopback addresses that no other rig of this machine uses.
fn own_net() -> String {
    static RIGS: AtomicU32 = AtomicU32::new(0);
    let rig = RIGS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    format!(
        "127.{}.{}",
        10 + (process / 8) % 200,
        (process % 8) * 32 + rig % 32
    )
}

/// Returns different free ports of `ip`.
///
/// They lie below those that the system gives to outgoing connections: between the look and the
/// host's own bind, one of those may take any port of an address.
fn free_ports<const N: usize>(ip: &str) -> [u16; N] {
    static NEXT: AtomicU16 = AtomicU16::new(LOWEST_PORT);
    let is_free =
        |port: u16| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
    [(); N].map(|()| {
        loop {
            let port = NEXT.fetch_add(1, Ordering::Relaxed);
            assert!(port < HIGHEST_PORT, "no free port is left");
            if is_free(port) {
                return port;
            }
        }
    })
}

impl Rig {
    /// Starts everything and waits until each host serves both routes.
    pub async fn start(hosts: usize) -> Self {
        Self::start_with(hosts, 3, None).await
    }

    /// Does so with `reads` servers that own keys, whose entry has a part for each `each` of them.
    pub async fn start_in_parts(hosts: usize, reads: usize, each: usize) -> Self {
        Self::start_with(hosts, reads, Some(each)).await
    }

    async fn start_with(hosts: usize, reads: usize, upstreams_each: Option<usize>) -> Self {
        let store = FleetStore::start().await.expect("store");
        store.configure(&configuration(2, 4.0, "posts"));
        let mut rig = Self {
            store,
            journal: Journal::default(),
            reads: Vec::new(),
            posts: Vec::new(),
            hosts: Vec::new(),
            upstreams_each,
            net: own_net(),
            dir: tempfile::tempdir().expect("a folder"),
        };
        for _ in 0..reads {
            let settings = TargetSettings {
                is_divided: true,
                ..TargetSettings::default()
            };
            let target = rig.target(settings).await;
            rig.reads.push(target);
        }
        for _ in 0..2 {
            let settings = TargetSettings {
                service: "posts".into(),
                ..TargetSettings::default()
            };
            let target = rig.target(settings).await;
            rig.posts.push(target);
        }
        for i in 0..hosts {
            let host = rig.host(i);
            rig.hosts.push(host);
        }
        for i in 0..hosts {
            rig.until_serving(i).await;
        }
        rig
    }

    /// Starts a server.
    pub async fn target(&self, settings: TargetSettings) -> FleetTarget {
        let target = FleetTarget::start(&self.store, &self.journal, settings).await;
        target.expect("a server")
    }

    /// Starts host number `i`.
    pub fn host(&self, i: usize) -> Host {
        let ip = format!("{}.{}", self.net, i + 2);
        self.spawn(i, &ip, free_ports(&ip))
    }

    /// Starts a further host that is to take callers at `callers`.
    pub fn host_at(&self, callers: SocketAddr) -> Host {
        let ip = callers.ip().to_string();
        let [ready, peers, metrics] = free_ports(&ip);
        let ports = [callers.port(), ready, peers, metrics];
        self.spawn(self.hosts.len(), &ip, ports)
    }

    fn spawn(&self, i: usize, ip: &str, ports: [u16; 4]) -> Host {
        let [callers, ready, peers, metrics] = ports;
        let path = self.dir.path().join(format!("host-{i}.json"));
        let own = ip.parse().expect("an address");
        let store = self.store.listen_at(own).expect("an address of the store");
        let node = HostDeployment {
            name: &format!("host-{i}"),
            domain: "a",
            callers: SocketAddr::new(own, callers),
            ready,
            internal: [peers, metrics],
            store,
        };
        let settings = render(TEMPLATE, &node).expect("settings");
        fs::write(&path, self.in_parts(&settings)).expect("a file");
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.log(i))
            .expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_medlardyke"))
            .args(["direct", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn()
            .expect("the program starts");
        let address = |port| format!("{ip}:{port}").parse().expect("an address");
        Host {
            child,
            callers: address(callers),
            ready: address(ready),
            metrics: address(metrics),
        }
    }

    /// Adds to `settings` how many upstreams a part has.
    fn in_parts(&self, settings: &str) -> String {
        let mut settings: Value = serde_json::from_str(settings).expect("valid settings");
        if let Some(each) = self.upstreams_each {
            settings["keys"] = json!({"upstreams_each": each});
        }
        settings.to_string()
    }

    /// Returns the file that holds what host number `i` logged.
    pub fn log(&self, i: usize) -> PathBuf {
        self.dir.path().join(format!("host-{i}.log"))
    }

    async fn until_serving(&self, host: usize) {
        let began = Instant::now();
        for n in 0.. {
            let post = self
                .ask(host, &Ask::post(&format!("warm-{host}-{n}")))
                .await;
            let keys = [1_000, 30_000, 60_000];
            let mut served = post.is_some_and(|got| got.status == 200);
            for key in keys {
                let read = Ask::read(&format!("warm-{host}-{n}-{key}"), key);
                served &= self
                    .ask(host, &read)
                    .await
                    .is_some_and(|got| got.status == 200);
            }
            if served {
                return;
            }
            if began.elapsed() > SOON {
                let log = fs::read_to_string(self.log(host)).expect("a log");
                panic!("host {host} does not serve: {log}");
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Asks host number `host`; nothing if the connection ended without an answer.
    pub async fn ask(&self, host: usize, ask: &Ask) -> Option<Got> {
        send(self.hosts[host].callers, ask).await
    }

    /// Returns the callers' address of host number `host`.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].callers
    }

    /// Tells whether host number `host` says that it is ready.
    pub async fn is_ready(&self, host: usize) -> bool {
        let ask = Ask {
            id: String::new(),
            method: "GET",
            host: "balancer",
            path: "/api/readyz",
            key: None,
            wait_ms: 1_000,
        };
        let got = send(self.hosts[host].ready, &ask).await;
        got.is_some_and(|got| got.status == 200)
    }

    /// Returns what host number `host` tells scrapers.
    pub async fn metrics(&self, host: usize) -> String {
        let ask = Ask {
            path: "/metrics",
            ..Ask::post("")
        };
        let got = send(self.hosts[host].metrics, &ask).await;
        got.expect("metrics").body
    }

    /// Sends `signal` to host number `host`.
    pub fn signal(&self, host: usize, signal: rustix::process::Signal) {
        let pid = self.hosts[host].child.id();
        let pid = rustix::process::Pid::from_raw(pid.cast_signed()).expect("a process");
        rustix::process::kill_process(pid, signal).expect("a child of ours");
    }

    /// Tells whether host number `host` has ended.
    pub fn has_ended(&mut self, host: usize) -> bool {
        self.hosts[host].has_ended()
    }

    /// Returns the number of the host that grants keys.
    pub fn granter(&self) -> usize {
        self.granter_of("keys.reads")
    }

    /// Returns the number of the host that grants the keys of the row `key`.
    pub fn granter_of(&self, key: &str) -> usize {
        let row = self.store.read("medlardyke", key).expect("a row");
        let name = row["granter"]["host"].as_str().expect("a host").to_owned();
        let number = name.strip_prefix("host-").and_then(|n| n.parse().ok());
        number.expect("a host of ours")
    }
}

/// Sends a request on a connection of its own.
pub async fn send(address: SocketAddr, ask: &Ask) -> Option<Got> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let mut req = http::Request::builder()
        .method(ask.method)
        .uri(ask.path)
        .header("host", ask.host)
        .header("medlardyke-request-id", &ask.id)
        .header("medlardyke-deadline-ms", ask.wait_ms);
    if let Some(key) = ask.key {
        req = req.header("medlardyke-shard-key", key);
    }
    let body = if ask.method == "POST" { "a body" } else { "" };
    let req = req.body(Full::new(Bytes::from(body))).expect("a request");
    let response = sender.send_request(req).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    let retry_after = parts.headers.get("retry-after");
    Some(Got {
        status: parts.status.as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
        retry_after: retry_after.map(|v| v.to_str().expect("a number").to_owned()),
    })
}

/// Sends `bytes` on a connection of its own; returns all that comes until it is closed.
pub async fn send_raw(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let written = stream.write_all(bytes.as_bytes()).await;
    written.expect("bytes are taken");
    let mut got = Vec::new();
    // A connection that is reset after its answer has brought the answer all the same.
    let _ = stream.read_to_end(&mut got).await;
    String::from_utf8_lossy(&got).into_owned()
}

/// Waits until `is_so`; panics with `what` if it takes too long.
pub async fn until(what: &str, mut is_so: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !is_so().await {
        assert!(began.elapsed() < SOON, "it takes too long: {what}");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Tells whether a refusal is one that promises that the request did not run.
pub fn promises_not_run(got: &Got) -> bool {
    let status = StatusCode::from_u16(got.status).expect("a status");
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}
