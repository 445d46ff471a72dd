//! Starts platform, upstreams and hosts for one measurement as processes of this program.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use catalogue::{
    Catalogue, Class, CutOff, Domain, Entry, KeyLocation, Limits, Objective, Sharding,
};
use host::settings::{LogLevel, PlatformSettings, Settings};
use host::status::STATUS_PATH;
use ids::{DomainId, EntryId, HostId, OperatorId, RegionId, UpstreamId, Version};
use indexmap::IndexSet;
use platform::{HostState, ListedHost};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use standin::load::KeyDistribution;
use standin::upstream::settings::ServiceTime;
use standin::{ClientOutcome, EntryLoad, LoadSettings, Upstream, UpstreamSettings, client, load};
use tempfile::TempDir;
use tokio::time::sleep;
use trial::cluster::platform::{HOST_TOKEN, PlatformProcess};
use trial::cluster::process::Process;

use super::usage::ProcessUsage;

/// Path segment and name of the only entry.
const ENTRY: &str = "measured";
const KEY_HEADER: &str = "x-key";
/// Timeout of waiting for the cluster to reach a state.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time without change after which the cluster counts as stable.
const STABLE_PERIOD: Duration = Duration::from_secs(2);

/// Size and properties of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Path of the program that all processes run.
    pub binary: PathBuf,
    /// Failure domains, over which hosts and upstreams are distributed round-robin.
    pub domains: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Slices of the entry, or `None` if it is not sharded by key.
    pub slices: Option<u32>,
    /// Requests that an upstream runs concurrently.
    pub slots: u32,
    /// Service time of requests.
    pub service: ServiceTime,
    /// Whether upstreams check grants; if so, they refuse requests that bypass the hosts.
    pub checks_grants: bool,
    /// Whether each upstream runs in a process of its own instead of this process.
    pub upstream_processes: bool,
    /// Address to which hosts send their metrics.
    pub statsd: Option<SocketAddr>,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl ClusterSettings {
    /// Creates the default settings, with the running program as the binary.
    ///
    /// # Errors
    ///
    /// Fails if the path of the running program can't be determined.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self {
            binary: std::env::current_exe().context("failed to find the running program")?,
            domains: 1,
            upstreams: 2,
            slices: Some(256),
            slots: 4,
            service: ServiceTime::Fixed { ms: 1.0 },
            checks_grants: false,
            upstream_processes: true,
            statsd: None,
            seed: 1,
        })
    }
}

/// The part of a host's status that measurements need.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Deserialize)]
pub struct HostStatus {
    /// Version of the catalogue in force.
    pub catalogue_version: Version,
    /// Hosts that it considers live.
    pub live_hosts: u32,
    /// Names of the upstreams that it coordinates.
    pub upstreams: Vec<SmolStr>,
    /// Whether it reads the table on behalf of its domain.
    pub reads_table: bool,
    /// Bytes on control connections since the host's start.
    #[serde(default)]
    pub traffic: Traffic,
}

/// Bytes transferred on one kind of connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct ByteCounts {
    /// Sent.
    pub sent: u64,
    /// Received.
    pub received: u64,
}

impl ByteCounts {
    /// Returns the sum of both directions.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.sent + self.received
    }

    const fn since(self, earlier: Self) -> Self {
        Self {
            sent: self.sent - earlier.sent,
            received: self.received - earlier.received,
        }
    }
}

/// Bytes transferred on control connections, by kind of peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Traffic {
    /// With other hosts.
    pub hosts: ByteCounts,
    /// With upstreams: grants and health reports.
    pub upstreams: ByteCounts,
    /// With the platform.
    pub platform: ByteCounts,
}

impl Traffic {
    /// Returns the bytes transferred since an earlier reading.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            hosts: self.hosts.since(earlier.hosts),
            upstreams: self.upstreams.since(earlier.upstreams),
            platform: self.platform.since(earlier.platform),
        }
    }

    /// Returns all bytes sent.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.hosts.sent + self.upstreams.sent + self.platform.sent
    }

    /// Returns all bytes received.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.hosts.received + self.upstreams.received + self.platform.received
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct HostStarted {
    listening: HostAddresses,
}

#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
struct HostAddresses {
    callers: SocketAddr,
    dispatch: SocketAddr,
    control: SocketAddr,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct UpstreamStarted {
    listening: SocketAddr,
}

/// A running host.
#[derive(Debug)]
pub struct HostProcess {
    /// Name.
    pub host: HostId,
    /// Address for callers.
    pub callers: SocketAddr,
    process: Process,
}

impl HostProcess {
    /// Requests the host's status.
    ///
    /// # Errors
    ///
    /// Fails if the host doesn't answer.
    pub async fn status(&self) -> anyhow::Result<HostStatus> {
        let status = client::get(self.callers, STATUS_PATH).await;
        status.with_context(|| format!("failed to get the status of {}", self.host))
    }

    /// Reads the CPU time and memory that the process has used so far.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn usage(&self) -> anyhow::Result<ProcessUsage> {
        ProcessUsage::read(self.process.id())
            .with_context(|| format!("the process of {} has ended", self.host))
    }
}

/// All processes of one measurement; dropping it ends them.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: PlatformProcess,
    /// The hosts, in the order of their start.
    pub hosts: Vec<HostProcess>,
    /// Addresses of the upstreams.
    pub upstreams: Vec<SocketAddr>,
    cfg: ClusterSettings,
    processes: Vec<Process>,
    in_process_upstreams: Vec<Upstream>,
    dir: TempDir,
}

impl Cluster {
    /// Starts platform and upstreams and declares them in the catalogue; starts no hosts.
    ///
    /// # Errors
    ///
    /// Fails if a process doesn't start or the platform refuses the catalogue.
    pub async fn start(cfg: ClusterSettings) -> anyhow::Result<Self> {
        let dir = tempfile::Builder::new()
            .prefix("medlardyke-measure-")
            .tempdir()
            .context("failed to create a temporary directory")?;
        let platform = PlatformProcess::start(&cfg.binary, dir.path()).await?;
        let mut cluster = Self {
            platform,
            hosts: Vec::new(),
            upstreams: Vec::new(),
            cfg,
            processes: Vec::new(),
            in_process_upstreams: Vec::new(),
            dir,
        };
        let mut catalogue = cluster.cfg.catalogue();
        for n in 0..cluster.cfg.upstreams {
            let address = cluster.start_upstream(n).await?;
            catalogue.upstreams[n].address = address;
            cluster.upstreams.push(address);
        }
        cluster.platform.apply(catalogue).await?;
        Ok(cluster)
    }

    async fn start_upstream(&mut self, n: usize) -> anyhow::Result<SocketAddr> {
        let settings = self.cfg.upstream(n);
        if !self.cfg.upstream_processes {
            let upstream = Upstream::bind(settings).await?;
            let address = upstream.address();
            self.in_process_upstreams.push(upstream);
            return Ok(address);
        }
        let name = settings.name.clone();
        let path = self.write_settings(name.as_str(), &settings)?;
        let mut command = Command::new(&self.cfg.binary);
        command
            .args(["standin", "upstream", "--settings"])
            .arg(path);
        let mut process = self.spawn(name.as_str(), command)?;
        let started: UpstreamStarted = process.first_line().await?;
        self.processes.push(process);
        Ok(started.listening)
    }

    /// Starts hosts one after the other until `count` of them run.
    ///
    /// # Errors
    ///
    /// Fails if a host doesn't start.
    pub async fn start_hosts(&mut self, count: usize) -> anyhow::Result<()> {
        for n in self.hosts.len()..count {
            let domain = domain(n % self.cfg.domains);
            let host = HostId::new(format_smolstr!("{domain}-{n}"))?;
            self.start_host(host, domain).await?;
        }
        Ok(())
    }

    async fn start_host(&mut self, host: HostId, domain: DomainId) -> anyhow::Result<()> {
        let platform = PlatformSettings::new(self.platform.address);
        let cfg = Settings {
            log_level: LogLevel::Warning,
            statsd: self.cfg.statsd,
            ..Settings::new(host.clone(), domain.clone(), platform)
        };
        let path = self.write_settings(host.as_str(), &cfg)?;
        let mut command = Command::new(&self.cfg.binary);
        command
            .args(["serve", "--settings"])
            .arg(path)
            .env(cfg.platform.token_env.as_str(), HOST_TOKEN);
        let mut process = self.spawn(host.as_str(), command)?;
        let started: HostStarted = process.first_line().await?;
        let listed = ListedHost {
            host: host.clone(),
            domain,
            control: started.listening.control,
            dispatch: started.listening.dispatch,
            state: HostState::Live,
        };
        self.platform.list_host(listed).await?;
        self.hosts.push(HostProcess {
            host,
            callers: started.listening.callers,
            process,
        });
        Ok(())
    }

    fn write_settings(&self, name: &str, settings: &impl Serialize) -> anyhow::Result<PathBuf> {
        let path = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_vec_pretty(settings)?)
            .with_context(|| format!("failed to write {}", path.display()))?;
        Ok(path)
    }

    fn spawn(&self, name: &str, command: Command) -> anyhow::Result<Process> {
        let log = self.dir.path().join(format!("{name}.log"));
        Process::spawn(name, command, &log)
    }

    /// Waits until the cluster is stable and each host answers a burst; returns their statuses.
    ///
    /// # Errors
    ///
    /// Fails if that takes too long.
    pub async fn wait_until_ready(&self) -> anyhow::Result<Vec<HostStatus>> {
        let began = Instant::now();
        self.wait_until_stable().await?;
        for n in 0..self.hosts.len() {
            self.wait_until_serving(n, began).await?;
        }
        self.statuses().await
    }

    /// Waits until all hosts consider each other live, each upstream has a coordinating host, and
    /// the coordinating hosts have not changed for a while.
    ///
    /// # Errors
    ///
    /// Fails if that takes too long.
    pub async fn wait_until_stable(&self) -> anyhow::Result<()> {
        let began = Instant::now();
        let mut unchanged_since = Instant::now();
        let mut last = Vec::new();
        while unchanged_since.elapsed() < STABLE_PERIOD {
            let statuses = self.statuses().await?;
            let coordinated: Vec<_> = statuses.iter().map(|s| s.upstreams.clone()).collect();
            if coordinated != last || !self.is_complete(&statuses) {
                last = coordinated;
                unchanged_since = Instant::now();
            }
            anyhow::ensure!(
                began.elapsed() < READY_TIMEOUT,
                "cluster not stable within {READY_TIMEOUT:?}: {statuses:?}"
            );
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Requests the statuses of all hosts.
    ///
    /// # Errors
    ///
    /// Fails if a host doesn't answer.
    pub async fn statuses(&self) -> anyhow::Result<Vec<HostStatus>> {
        let requests = self.hosts.iter().map(HostProcess::status);
        futures::future::try_join_all(requests).await
    }

    fn is_complete(&self, statuses: &[HostStatus]) -> bool {
        let all_live = statuses
            .iter()
            .all(|s| s.live_hosts as usize == self.hosts.len());
        let coordinated: IndexSet<&SmolStr> = statuses.iter().flat_map(|s| &s.upstreams).collect();
        all_live && coordinated.len() == self.cfg.upstreams
    }

    async fn wait_until_serving(&self, n: usize, began: Instant) -> anyhow::Result<()> {
        loop {
            let burst = LoadSettings {
                rate_per_s: 200.0,
                duration_ms: 300,
                ..self.load_settings(vec![self.hosts[n].callers])
            };
            let run = load::run(burst).await?;
            let failed = run
                .records
                .iter()
                .find(|r| r.seen != ClientOutcome::Answered);
            let Some(failed) = failed else { return Ok(()) };
            anyhow::ensure!(
                began.elapsed() < READY_TIMEOUT,
                "{} doesn't answer all requests: {failed:?}",
                self.hosts[n].host
            );
        }
    }

    /// Returns settings of a load that sends requests for the only entry to `targets`.
    #[must_use]
    pub fn load_settings(&self, targets: Vec<SocketAddr>) -> LoadSettings {
        let key = self.cfg.slices.map(|_| key_location());
        LoadSettings {
            targets,
            entries: vec![EntryLoad {
                path: SmolStr::new_static(ENTRY),
                key,
                ..EntryLoad::default()
            }],
            keys: KeyDistribution {
                exponent: 0.0,
                ..KeyDistribution::default()
            },
            seed: self.cfg.seed,
            next_target: false,
            ..LoadSettings::default()
        }
    }

    /// Returns the largest rate that the upstreams can serve, in requests per second.
    #[must_use]
    pub fn capacity_per_s(&self) -> f64 {
        let mean_ms = match self.cfg.service {
            ServiceTime::Fixed { ms } => ms,
            ServiceTime::Exponential { mean_ms } => mean_ms,
            ServiceTime::LogNormal { median_ms, sigma } => median_ms * (sigma * sigma / 2.0).exp(),
        };
        let slots = self.cfg.upstreams as f64 * f64::from(self.cfg.slots);
        slots * 1_000.0 / mean_ms
    }
}

impl ClusterSettings {
    fn catalogue(&self) -> Catalogue {
        let mut catalogue = Catalogue::default();
        for n in 0..self.domains {
            let region = RegionId::new("region").expect("valid name");
            let declared = Domain {
                region,
                lost: false,
            };
            catalogue.domains.insert(domain(n), declared);
        }
        catalogue.entries.insert(entry(), self.entry());
        for n in 0..self.upstreams {
            let declared = catalogue::Upstream {
                entry: entry(),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: domain(n % self.domains),
                slots: self.slots,
                connections: 130,
                checks_grants: self.checks_grants,
                leaving: false,
            };
            catalogue.upstreams.insert(upstream(n), declared);
        }
        catalogue
    }

    fn entry(&self) -> Entry {
        let sharded = |slices| Sharding::Key {
            key: key_location(),
            slices,
        };
        Entry {
            owners: vec![OperatorId::new("measure").expect("valid name")],
            path: SmolStr::new_static(ENTRY),
            class: Class::NonIdempotent,
            sharding: self.slices.map_or(Sharding::None, sharded),
            deadline_ms: 2_000,
            limits: Limits::default(),
            cut_off: CutOff::Serve,
            objective: Objective::default(),
            verify_echo: true,
        }
    }

    fn upstream(&self, n: usize) -> UpstreamSettings {
        UpstreamSettings {
            name: upstream(n),
            entry: entry(),
            key: self.slices.map(|_| key_location()),
            slots: self.slots,
            checks_grants: self.checks_grants,
            service_time: self.service,
            seed: self.seed.wrapping_add(n as u64),
            ..UpstreamSettings::default()
        }
    }
}

fn domain(n: usize) -> DomainId {
    DomainId::new(format_smolstr!("domain-{n}")).expect("valid name")
}

fn upstream(n: usize) -> UpstreamId {
    UpstreamId::new(format_smolstr!("upstream-{n}")).expect("valid name")
}

fn entry() -> EntryId {
    EntryId::new(ENTRY).expect("valid name")
}

fn key_location() -> KeyLocation {
    KeyLocation::Header(SmolStr::new_static(KEY_HEADER))
}
