//! A cluster of real processes on loopback.
//!
//! - [`port`]: addresses that stay ours while nobody listens.
//! - [`process`]: one process, and signals to it.
//! - [`layout`]: which hosts, domains, upstreams and entries.
//! - [`net`]: the links between domains and towards the platform, which can be cut.
//! - [`platform`]: the platform's process and its admin commands.
//! - [`upstreams`]: the upstreams' processes.
//! - [`hosts`]: the hosts' processes.
//! - [`usage`]: CPU time and memory of a process.
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
    /// The program.
    pub binary: PathBuf,
    /// Hosts, domains, upstreams and entries.
    pub layout: Layout,
    /// Whether a fault proxy stands in front of each upstream.
    pub upstream_proxies: bool,
    /// Seed of all draws.
    pub seed: u64,
    /// Longest time until everything answers.
    pub ready_within: Duration,
}

impl ClusterSettings {
    /// Creates the settings with the default for all that has one.
    #[must_use]
    pub const fn new(binary: PathBuf, layout: Layout) -> Self {
        Self {
            binary,
            layout,
            upstream_proxies: false,
            seed: 1,
            ready_within: Duration::from_secs(40),
        }
    }
}

/// A cluster of real processes; dropping it kills them.
///
/// Its folder with settings, logs and journals is deleted then, unless it was kept.
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
    /// What is declared, with the addresses in use.
    pub catalogue: Catalogue,
    cfg: ClusterSettings,
    dir: TempDir,
}

impl Cluster {
    /// Starts all processes, declares the catalogue, and waits until every entry is answered
    /// through every host.
    ///
    /// # Errors
    ///
    /// Fails if a process doesn't start or requests aren't answered in time; the folder with the
    /// logs is kept then and named.
    pub async fn start(cfg: ClusterSettings) -> anyhow::Result<Self> {
        let mut cluster = Self::launch(cfg).await?;
        match cluster.begin().await {
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
            .context("create a folder")?;
        let mut catalogue = cfg.layout.catalogue.clone();
        let platform = PlatformProcess::start(&cfg.binary, dir.path()).await?;
        let upstreams = UpstreamProcesses::start(&cfg, dir.path(), &mut catalogue).await?;
        let ports = hosts::Ports::take(&cfg.layout)?;
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

    async fn begin(&mut self) -> anyhow::Result<()> {
        let names = self.cfg.layout.initial_hosts();
        self.hosts.start(&names, &self.links).await?;
        for name in &names {
            self.list(name).await?;
        }
        self.declare().await?;
        ready::wait(self, self.cfg.ready_within).await
    }

    /// Starts a host that is not running and puts it on the platform's list, if that can be done.
    ///
    /// # Errors
    ///
    /// Fails if the process doesn't start.
    pub async fn start_host(&mut self, name: &HostId) -> anyhow::Result<()> {
        self.hosts
            .start(std::slice::from_ref(name), &self.links)
            .await?;
        self.list(name).await
    }

    async fn list(&self, name: &HostId) -> anyhow::Result<()> {
        self.platform.list_host(self.hosts.listed(name)?).await
    }

    /// Applies the catalogue as it stands in this struct.
    ///
    /// # Errors
    ///
    /// Fails if it is not accepted.
    pub async fn declare(&self) -> anyhow::Result<()> {
        self.platform.apply(self.catalogue.clone()).await.map(drop)
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &ClusterSettings {
        &self.cfg
    }

    /// Returns the folder with settings, logs and journals.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Keeps the folder when the cluster ends, and returns it.
    pub fn keep(&mut self) -> PathBuf {
        self.dir.disable_cleanup(true);
        self.dir.path().to_owned()
    }

    /// Reads the ownership row of an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached or the row makes no sense.
    pub async fn own_row(&self, upstream: &UpstreamId) -> anyhow::Result<OwnershipRow> {
        self.platform.own_row(upstream).await
    }
}
