//! A cluster of real processes on loopback.
//!
//! - [`port`]: ports that stay reserved while no process listens on them.
//! - [`process`]: one process, its first output line and its signals.
//! - [`layout`]: the hosts, domains, upstreams and entries of a cluster.
//! - [`net`]: the links between domains and to the platform, which can be cut.
//! - [`platform`]: the platform's process and its admin commands.
//! - [`upstreams`]: the upstreams' processes.
//! - [`hosts`]: the hosts' processes.
//! - [`usage`]: CPU time and peak memory of a process.
//! - [`ready`]: waiting until every entry is answered through every host.

pub mod hosts;
pub mod layout;
pub mod net;
pub mod platform;
pub mod port;
pub mod process;
pub mod ready;
pub mod upstreams;
pub mod usage;

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context as _;
use catalogue::Catalogue;
use ids::{HostId, UpstreamId};
use own::OwnershipRow;
use tempfile::TempDir;

use self::hosts::HostProcesses;
use self::layout::Layout;
use self::net::Links;
use self::platform::PlatformProcess;
use self::upstreams::UpstreamProcesses;

/// Settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Path of the medlardyke binary.
    pub binary: PathBuf,
    /// Hosts, domains, upstreams and entries.
    pub layout: Layout,
    /// Whether each upstream is reached through a fault proxy.
    pub upstream_proxies: bool,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Longest time until every entry is answered through every host.
    pub ready_timeout: Duration,
}

impl ClusterSettings {
    /// Creates the settings, with defaults for the other fields.
    #[must_use]
    pub const fn new(binary: PathBuf, layout: Layout) -> Self {
        Self {
            binary,
            layout,
            upstream_proxies: false,
            seed: 1,
            ready_timeout: Duration::from_secs(40),
        }
    }
}

/// A cluster of real processes; dropping it kills them.
///
/// Dropping it also deletes its directory with settings, logs and journals, unless
/// [`Cluster::keep`] was called.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: PlatformProcess,
    /// The upstreams.
    pub upstreams: UpstreamProcesses,
    /// The hosts.
    pub hosts: HostProcesses,
    /// The links that can be cut.
    pub links: Links,
    /// The declared catalogue, with the upstreams' actual addresses.
    pub catalogue: Catalogue,
    cfg: ClusterSettings,
    dir: TempDir,
}

impl Cluster {
    /// Starts all processes, applies the catalogue, and waits until every entry is answered
    /// through every host.
    ///
    /// # Errors
    ///
    /// Fails if a process doesn't start or requests aren't answered in time; the directory with the
    /// logs is kept then, and the error names it.
    pub async fn start(cfg: ClusterSettings) -> anyhow::Result<Self> {
        let mut cluster = Self::launch(cfg).await?;
        match cluster.bring_up().await {
            Ok(()) => Ok(cluster),
            Err(e) => {
                let dir = cluster.keep();
                Err(e.context(format!("logs are in {}", dir.display())))
            }
        }
    }

    async fn launch(cfg: ClusterSettings) -> anyhow::Result<Self> {
        let dir = tempfile::Builder::new()
            .prefix("medlardyke-trial-")
            .tempdir()
            .context("create a temporary directory")?;
        let mut catalogue = cfg.layout.catalogue.clone();
        let platform = PlatformProcess::start(&cfg.binary, dir.path()).await?;
        let upstreams = UpstreamProcesses::start(&cfg, dir.path(), &mut catalogue).await?;
        let ports = hosts::Ports::reserve(&cfg.layout)?;
        let links = Links::bind(&cfg.layout, &ports, platform.address)?;
        let hosts = HostProcesses::new(&cfg, dir.path(), ports);
        Ok(Self {
            platform,
            upstreams,
            hosts,
            links,
            catalogue,
            cfg,
            dir,
        })
    }

    async fn bring_up(&mut self) -> anyhow::Result<()> {
        let names = self.cfg.layout.initial_hosts();
        self.hosts.start(&names, &self.links).await?;
        for name in &names {
            self.add_to_list(name).await?;
        }
        self.apply_catalogue().await?;
        ready::wait_for_hosts(self, self.cfg.ready_timeout).await
    }

    /// Starts a host that isn't running and adds it to the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// Fails if the process doesn't start or the platform refuses the host.
    pub async fn start_host(&mut self, name: &HostId) -> anyhow::Result<()> {
        self.hosts
            .start(std::slice::from_ref(name), &self.links)
            .await?;
        self.add_to_list(name).await
    }

    async fn add_to_list(&self, name: &HostId) -> anyhow::Result<()> {
        self.platform.list_host(self.hosts.listed_host(name)?).await
    }

    /// Applies the current [`Cluster::catalogue`].
    ///
    /// # Errors
    ///
    /// Fails if it is not accepted.
    pub async fn apply_catalogue(&self) -> anyhow::Result<()> {
        self.platform.apply(self.catalogue.clone()).await.map(drop)
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &ClusterSettings {
        &self.cfg
    }

    /// Returns the directory with settings, logs and journals.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Keeps the directory when the cluster is dropped, and returns its path.
    pub fn keep(&mut self) -> PathBuf {
        self.dir.disable_cleanup(true);
        self.dir.path().to_owned()
    }

    /// Reads the ownership row of an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached or the row is missing or malformed.
    pub async fn ownership_row(&self, upstream: &UpstreamId) -> anyhow::Result<OwnershipRow> {
        self.platform.ownership_row(upstream).await
    }
}
