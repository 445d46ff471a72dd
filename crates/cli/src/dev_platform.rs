//! `medlardyke dev --platform`: the deployed setup on loopback.
//!
//! Stand-ins in this process replace the platform's store and the upstreams. Entry hosts are child
//! processes that run this program with settings rendered from the deployed template.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use standin::fleet::deploy::{HostDeployment, SAMPLE_REQUEST, configuration, render};
use standin::fleet::{FleetStore, FleetTarget, Journal, TargetSettings};
use tokio::runtime::Runtime;

use crate::args::DevArgs;
use crate::serve;

/// The settings template that is deployed.
const TEMPLATE: &str = include_str!("../../../deploy/settings.json");
/// Number of entry hosts; each has its own loopback address.
const HOSTS: u8 = 3;
/// Number of upstreams of the entry that is sharded by key, and of the other one.
const READS: usize = 3;
const POSTS: usize = 2;
/// Further ports of each host besides the one for callers.
const READY_PORT: u16 = 8_081;
const INTERNAL_PORTS: [u16; 2] = [8_082, 8_089];
/// Timeout of requests in the operator's configuration, in seconds.
const TIMEOUT_S: f64 = 4.0;
/// Timeout for the first successful answer.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Processes of entry hosts, which are killed on drop.
#[derive(Debug)]
struct Hosts(Vec<Child>);

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &mut self.0 {
            // The kill fails if the process has already ended.
            if host.kill().is_ok() {
                let _ = host.wait();
            }
        }
    }
}

/// Runs store, upstreams and hosts until it is interrupted.
pub(crate) fn run(args: &DevArgs) -> anyhow::Result<()> {
    // Registered before any host starts, so that a signal from here on does not leave hosts
    // running.
    let stop = serve::StopSignals::register()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let (store, _upstreams) = runtime.block_on(start_platform())?;
    let dir = std::env::temp_dir().join(format!("medlardyke-dev-{}", std::process::id()));
    fs::create_dir_all(&dir).with_context(|| format!("create {}", dir.display()))?;
    let start = Instant::now();
    let mut hosts = Hosts(Vec::new());
    let first = args.listen;
    for callers in addresses(first)? {
        hosts.0.push(start_host(&runtime, &store, &dir, callers)?);
    }
    wait_until_served(&runtime, first, &mut hosts)?;
    println!("platform stand-in at {}", store.address());
    println!(
        "{HOSTS} entry hosts from {first} on; logs in {}",
        dir.display()
    );
    println!(
        "metrics at http://{}:{}/metrics",
        first.ip(),
        INTERNAL_PORTS[1]
    );
    println!(
        "ready after {} ms; try:\n\n  {}\n",
        start.elapsed().as_millis(),
        SAMPLE_REQUEST.curl(first)
    );
    println!("Ctrl-C ends it.");
    stop.wait();
    Ok(())
}

/// Returns the addresses at which the hosts accept callers: consecutive loopback addresses.
fn addresses(first: SocketAddr) -> anyhow::Result<Vec<SocketAddr>> {
    let IpAddr::V4(ip) = first.ip() else {
        anyhow::bail!("--listen: {first}: must be an IPv4 address");
    };
    let [.., last] = ip.octets();
    anyhow::ensure!(
        ip.is_loopback() && last < u8::MAX - HOSTS && first.port() != 0,
        "--listen: {first}: must be a loopback address with a port and room for {HOSTS} hosts"
    );
    let address = |i| SocketAddr::new(IpAddr::V4(Ipv4Addr::from(u32::from(ip) + i)), first.port());
    Ok((0..u32::from(HOSTS)).map(address).collect())
}

async fn start_platform() -> anyhow::Result<(FleetStore, Vec<FleetTarget>)> {
    let store = FleetStore::start().await?;
    store.configure(&configuration(1, TIMEOUT_S, "posts"));
    let journal = Journal::default();
    let mut upstreams = Vec::new();
    for i in 0..READS + POSTS {
        let is_divided = i < READS;
        let settings = TargetSettings {
            service: if is_divided { "reads" } else { "posts" }.into(),
            is_divided,
            ..TargetSettings::default()
        };
        upstreams.push(FleetTarget::start(&store, &journal, settings).await?);
    }
    Ok((store, upstreams))
}

fn start_host(
    runtime: &Runtime,
    store: &FleetStore,
    dir: &Path,
    callers: SocketAddr,
) -> anyhow::Result<Child> {
    let _guard = runtime.enter();
    let name = format!("host-{}", callers.ip());
    let node = HostDeployment {
        name: &name.replace('.', "-"),
        domain: "dev",
        callers,
        ready: READY_PORT,
        internal: INTERNAL_PORTS,
        store: store.listen_at(callers.ip())?,
        is_first_start: true,
    };
    let settings = render(TEMPLATE, &node).map_err(anyhow::Error::msg)?;
    let path = dir.join(format!("{name}.json"));
    fs::write(&path, settings).with_context(|| format!("write {}", path.display()))?;
    spawn(&path, &dir.join(format!("{name}.log")))
}

fn spawn(settings: &PathBuf, log: &Path) -> anyhow::Result<Child> {
    let log = File::create(log).with_context(|| format!("create {}", log.display()))?;
    let program = std::env::current_exe().context("find the path of this program")?;
    let host = Command::new(program)
        .args(["direct", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn();
    host.context("start a host")
}

fn wait_until_served(runtime: &Runtime, host: SocketAddr, hosts: &mut Hosts) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let status = runtime.block_on(send_sample(host));
        if matches!(status, Ok(status) if status.is_success()) {
            return Ok(());
        }
        for child in &mut hosts.0 {
            let ended = child.try_wait()?;
            anyhow::ensure!(ended.is_none(), "a host ended: {ended:?}");
        }
        anyhow::ensure!(
            start.elapsed() < READY_TIMEOUT,
            "no answer within {} s; last: {status:?}",
            READY_TIMEOUT.as_secs()
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

async fn send_sample(host: SocketAddr) -> anyhow::Result<http::StatusCode> {
    let mut req = http::Request::get(SAMPLE_REQUEST.path);
    for (name, value) in SAMPLE_REQUEST.headers {
        req = req.header(name, value);
    }
    let req = req.body(http_body_util::Full::new(bytes::Bytes::new()))?;
    let protocol = standin::client::Protocol::Http1;
    let mut conn = standin::client::Connection::open(host, protocol).await?;
    Ok(conn.send(req).await?.status())
}
