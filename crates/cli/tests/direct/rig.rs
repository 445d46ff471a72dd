//! Harness that starts hosts as real processes, with settings rendered from the deployed template.

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
use standin::LinkCut;
use standin::fleet::deploy::{HostDeployment, configuration, render};
use standin::fleet::{FleetStore, FleetTarget, Journal, TargetSettings};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of waits, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Range of ports for hosts.
const LOWEST_PORT: u16 = 9_000;
const HIGHEST_PORT: u16 = 15_000;
/// The settings template that is deployed.
const TEMPLATE: &str = include_str!("../../../../deploy/settings.json");

/// A host process.
pub struct Host {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    exchanges: SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Host {
    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("a child process");
        self.child.wait().expect("a child process");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.try_wait();
        ended.expect("a child process").is_some()
    }
}

/// Response that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<String>,
}

/// Request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub key: Option<u16>,
    pub wait_ms: u64,
}

impl Request {
    /// Creates an idempotent request with a key.
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

    /// Creates a request that is not idempotent.
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

/// Store, upstreams and hosts of a test.
pub struct Rig {
    pub store: FleetStore,
    pub journal: Journal,
    pub reads: Vec<FleetTarget>,
    pub posts: Vec<FleetTarget>,
    pub hosts: Vec<Host>,
    /// Number of upstreams in each partition of an entry's keys; the default setting if `None`.
    upstreams_per_partition: Option<usize>,
    /// First three octets of the hosts' loopback addresses, unique to this rig.
    net: String,
    dir: TempDir,
}

impl Drop for Rig {
    /// Prints the logs of the hosts if the test failed, as rare failures may not be reproducible.
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

/// Returns the first three octets of loopback addresses that no other rig on this machine uses.
fn unique_net() -> String {
    static RIGS: AtomicU32 = AtomicU32::new(0);
    let rig = RIGS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    format!(
        "127.{}.{}",
        10 + (process / 8) % 200,
        (process % 8) * 32 + rig % 32
    )
}

/// Returns distinct free ports of `ip`.
///
/// They are below the ephemeral ports: an outgoing connection could take one of those between this
/// check and the host's own bind.
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
    /// Starts store, upstreams and hosts, and waits until each host serves both routes.
    pub async fn start(hosts: usize) -> Self {
        Self::start_with(hosts, 3, None).await
    }

    /// Like `start`, but with `reads` upstreams that own keys, in partitions of
    /// `upstreams_per_partition` each.
    pub async fn start_partitioned(
        hosts: usize,
        reads: usize,
        upstreams_per_partition: usize,
    ) -> Self {
        Self::start_with(hosts, reads, Some(upstreams_per_partition)).await
    }

    /// Like `start`, but with upstreams whose incarnations have names of their own, as the users'
    /// servers have.
    pub async fn start_with_unique_names(hosts: usize) -> Self {
        let settings = TargetSettings {
            registers_incarnation: false,
            ..TargetSettings::default()
        };
        Self::start_with_targets(hosts, 3, None, &settings).await
    }

    async fn start_with(
        hosts: usize,
        reads: usize,
        upstreams_per_partition: Option<usize>,
    ) -> Self {
        let settings = TargetSettings::default();
        Self::start_with_targets(hosts, reads, upstreams_per_partition, &settings).await
    }

    async fn start_with_targets(
        hosts: usize,
        reads: usize,
        upstreams_per_partition: Option<usize>,
        target_settings: &TargetSettings,
    ) -> Self {
        let store = FleetStore::start().await.expect("store");
        store.configure(&configuration(2, 4.0, "posts"));
        let mut rig = Self {
            store,
            journal: Journal::default(),
            reads: Vec::new(),
            posts: Vec::new(),
            hosts: Vec::new(),
            upstreams_per_partition,
            net: unique_net(),
            dir: tempfile::tempdir().expect("a directory"),
        };
        for _ in 0..reads {
            let settings = TargetSettings {
                is_divided: true,
                ..target_settings.clone()
            };
            let target = rig.target(settings).await;
            rig.reads.push(target);
        }
        for _ in 0..2 {
            let settings = TargetSettings {
                service: "posts".into(),
                ..target_settings.clone()
            };
            let target = rig.target(settings).await;
            rig.posts.push(target);
        }
        for i in 0..hosts {
            let host = rig.host(i);
            rig.hosts.push(host);
        }
        for i in 0..hosts {
            rig.wait_until_serving(i).await;
        }
        rig
    }

    /// Starts an upstream.
    pub async fn target(&self, settings: TargetSettings) -> FleetTarget {
        let target = FleetTarget::start(&self.store, &self.journal, settings).await;
        target.expect("an upstream")
    }

    /// Starts host number `i`.
    pub fn host(&self, i: usize) -> Host {
        let ip = format!("{}.{}", self.net, i + 2);
        self.spawn(i, &ip, free_ports(&ip))
    }

    /// Starts a further host that accepts callers at `callers`.
    pub fn host_at(&self, callers: SocketAddr) -> Host {
        let ip = callers.ip().to_string();
        let [ready, peers, metrics, exchanges] = free_ports(&ip);
        let ports = [callers.port(), ready, peers, metrics, exchanges];
        self.spawn(self.hosts.len(), &ip, ports)
    }

    /// Starts host number `i` again, which has ended, at its addresses.
    pub fn host_restarted(&self, i: usize) -> Host {
        let host = &self.hosts[i];
        let ip = host.callers.ip().to_string();
        let addresses = [
            host.callers,
            host.ready,
            host.peers,
            host.metrics,
            host.exchanges,
        ];
        self.spawn(i, &ip, addresses.map(|address| address.port()))
    }

    fn spawn(&self, i: usize, ip: &str, ports: [u16; 5]) -> Host {
        let [callers, ready, peers, metrics, exchanges] = ports;
        let path = self.dir.path().join(format!("host-{i}.json"));
        let host_ip = ip.parse().expect("an address");
        let store = self
            .store
            .listen_at(host_ip)
            .expect("an address of the store");
        let node = HostDeployment {
            name: &format!("host-{i}"),
            domain: "a",
            callers: SocketAddr::new(host_ip, callers),
            ready,
            internal: [peers, metrics],
            store,
            is_first_start: self.hosts.len() <= i,
        };
        let settings = render(TEMPLATE, &node).expect("settings");
        fs::write(
            &path,
            self.adapt(&settings, SocketAddr::new(host_ip, exchanges)),
        )
        .expect("a file");
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
            peers: address(peers),
            metrics: address(metrics),
            exchanges: address(exchanges),
        }
    }

    /// Adapts `settings` to the rig: upstreams tell hosts apart by their addresses.
    fn adapt(&self, settings: &str, exchanges: SocketAddr) -> String {
        let mut settings: Value = serde_json::from_str(settings).expect("valid settings");
        settings["upstream_source"] = json!(exchanges.ip());
        settings["listen"]["exchanges"] = json!(exchanges);
        if let Some(upstreams) = self.upstreams_per_partition {
            settings["keys"] = json!({"upstreams_each": upstreams});
        }
        settings.to_string()
    }

    /// Returns the path of the log of host number `i`.
    pub fn log(&self, i: usize) -> PathBuf {
        self.dir.path().join(format!("host-{i}.log"))
    }

    async fn wait_until_serving(&self, host: usize) {
        let start = Instant::now();
        for n in 0.. {
            let post = self
                .send(host, &Request::post(&format!("warm-{host}-{n}")))
                .await;
            let keys = [1_000, 30_000, 60_000];
            let mut served = post.is_some_and(|response| response.status == 200);
            for key in keys {
                let read = Request::read(&format!("warm-{host}-{n}-{key}"), key);
                served &= self
                    .send(host, &read)
                    .await
                    .is_some_and(|response| response.status == 200);
            }
            if served {
                return;
            }
            if start.elapsed() > WAIT_TIMEOUT {
                let log = fs::read_to_string(self.log(host)).expect("a log");
                panic!("host {host} does not serve: {log}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a request to host number `host`; returns `None` if the connection was closed without a
    /// response.
    pub async fn send(&self, host: usize, request: &Request) -> Option<Response> {
        send(self.hosts[host].callers, request).await
    }

    /// Returns the address at which host number `host` accepts callers.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].callers
    }

    /// Returns whether host number `host` reports that it is ready.
    pub async fn is_ready(&self, host: usize) -> bool {
        let request = Request {
            id: String::new(),
            method: "GET",
            host: "balancer",
            path: "/api/readyz",
            key: None,
            wait_ms: 1_000,
        };
        let response = send(self.hosts[host].ready, &request).await;
        response.is_some_and(|response| response.status == 200)
    }

    /// Returns the metrics of host number `host`.
    pub async fn metrics(&self, host: usize) -> String {
        let request = Request {
            path: "/metrics",
            ..Request::post("")
        };
        let response = send(self.hosts[host].metrics, &request).await;
        response.expect("metrics").body
    }

    /// Returns the resident memory of host number `host`, in bytes.
    pub fn resident_bytes(&self, host: usize) -> usize {
        let path = format!("/proc/{}/statm", self.hosts[host].child.id());
        let pages = fs::read_to_string(path).expect("a child process");
        let resident = pages.split(' ').nth(1).and_then(|n| n.parse().ok());
        resident.map_or(0, |pages: usize| pages * rustix::param::page_size())
    }

    /// Sends `signal` to host number `host`.
    pub fn signal(&self, host: usize, signal: rustix::process::Signal) {
        let pid = self.hosts[host].child.id();
        let pid = rustix::process::Pid::from_raw(pid.cast_signed()).expect("a process");
        rustix::process::kill_process(pid, signal).expect("a child process");
    }

    /// Returns whether the process of host number `host` has ended.
    pub fn has_ended(&mut self, host: usize) -> bool {
        self.hosts[host].has_ended()
    }

    /// Cuts the links between host number `host` and all upstreams.
    pub fn cut_links(&self, host: usize, cut: LinkCut) {
        let ip = self.hosts[host].callers.ip();
        for target in self.reads.iter().chain(&self.posts) {
            target.cut_link(ip, cut);
        }
    }

    /// Restores the links between all hosts and all upstreams.
    pub fn restore_links(&self) {
        for target in self.reads.iter().chain(&self.posts) {
            target.restore_links();
        }
    }

    /// Returns the row of a partition in the store's present era; `key` is its key without the era.
    pub fn partition_row(&self, key: &str) -> Option<Value> {
        let key = format!("{key}@{}", self.store.era());
        self.store.read("medlardyke", &key)
    }

    /// Returns the number of the granting host.
    pub fn granting_host(&self) -> usize {
        self.granting_host_of("keys.reads")
    }

    /// Returns the number of the granting host that the row `key` names.
    pub fn granting_host_of(&self, key: &str) -> usize {
        let row = self.partition_row(key).expect("a row");
        let name = row["granter"]["host"].as_str().expect("a host").to_owned();
        let number = name.strip_prefix("host-").and_then(|n| n.parse().ok());
        number.expect("a host of the rig")
    }
}

/// Sends a request on a new connection.
pub async fn send(address: SocketAddr, request: &Request) -> Option<Response> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let mut req = http::Request::builder()
        .method(request.method)
        .uri(request.path)
        .header("host", request.host)
        .header("medlardyke-request-id", &request.id)
        .header("medlardyke-deadline-ms", request.wait_ms);
    if let Some(key) = request.key {
        req = req.header("medlardyke-shard-key", key);
    }
    let body = if request.method == "POST" {
        "a body"
    } else {
        ""
    };
    let req = req.body(Full::new(Bytes::from(body))).expect("a request");
    let response = sender.send_request(req).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    let retry_after = parts.headers.get("retry-after");
    Some(Response {
        status: parts.status.as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
        retry_after: retry_after.map(|v| v.to_str().expect("a number").to_owned()),
    })
}

/// Sends `bytes` on a new connection; returns all bytes received until it is closed.
pub async fn send_raw(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let written = stream.write_all(bytes.as_bytes()).await;
    written.expect("the bytes are written");
    let mut received = Vec::new();
    // If the connection is reset after the response, the response has still been received.
    let _ = stream.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Waits until `condition` returns true; panics with its description `what` after a timeout.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "it takes too long: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether a response is a refusal that guarantees that the request was not executed.
pub fn guarantees_not_executed(response: &Response) -> bool {
    let status = StatusCode::from_u16(response.status).expect("a status");
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}
