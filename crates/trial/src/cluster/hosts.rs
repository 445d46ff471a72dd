//! The hosts' processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};
use std::time::Duration;

use anyhow::Context as _;
use host::settings::{
    ListenAddresses, LogLevel, PeerAddresses, PlatformSettings, SeedPeer, Settings,
};
use host::status::STATUS_PATH;
use ids::{HostId, Version};
use indexmap::IndexMap;
use platform::{HostState, ListedHost};
use rustix::process::Signal;
use serde::Deserialize;
use smol_str::SmolStr;
use standin::client;

use super::ClusterSettings;
use super::layout::{HostPlace, Layout};
use super::net::Links;
use super::platform::HOST_TOKEN;
use super::port::KeptPort;
use super::process::Process;
use super::usage::Usage;

/// Longest wait for a host's answer about itself.
const STATUS_WITHIN: Duration = Duration::from_secs(2);

/// Ports of one host.
#[derive(Debug)]
pub struct HostPorts {
    callers: KeptPort,
    dispatch: KeptPort,
    control: KeptPort,
}

impl HostPorts {
    /// Returns the addresses for other hosts.
    #[must_use]
    pub const fn peer_addresses(&self) -> PeerAddresses {
        PeerAddresses {
            dispatch: self.dispatch.address(),
            control: self.control.address(),
        }
    }
}

/// Ports of all hosts.
#[derive(Debug)]
pub struct Ports(IndexMap<HostId, HostPorts>);

impl Ports {
    /// Takes the ports of all hosts.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has none left.
    pub fn take(layout: &Layout) -> anyhow::Result<Self> {
        let mut ports = IndexMap::new();
        for place in &layout.hosts {
            let own = HostPorts {
                callers: KeptPort::take()?,
                dispatch: KeptPort::take()?,
                control: KeptPort::take()?,
            };
            ports.insert(place.host.clone(), own);
        }
        Ok(Self(ports))
    }

    /// Returns the ports of a host.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host.
    pub fn of(&self, host: &HostId) -> anyhow::Result<&HostPorts> {
        let found = self.0.get(host);
        found.with_context(|| format!("no host {host}"))
    }
}

/// What a host says of itself, as far as trials need it.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct HostStatus {
    /// Version of the catalogue in force.
    pub catalogue_version: Version,
    /// Hosts that it counts as alive.
    pub live_hosts: u32,
    /// Upstreams that it coordinates.
    pub upstreams: Vec<SmolStr>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Started {
    listening: StartedAddresses,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct StartedAddresses {
    callers: SocketAddr,
}

#[derive(Debug)]
struct HostProcess {
    place: HostPlace,
    process: Option<Process>,
    /// Of earlier runs.
    used: Usage,
}

/// The hosts' processes.
#[derive(Debug)]
pub struct HostProcesses {
    binary: PathBuf,
    dir: PathBuf,
    ports: Ports,
    all: IndexMap<HostId, HostProcess>,
}

impl HostProcesses {
    /// Prepares the hosts; none runs yet.
    #[must_use]
    pub fn new(cfg: &ClusterSettings, dir: &Path, ports: Ports) -> Self {
        let prepare = |place: &HostPlace| HostProcess {
            place: place.clone(),
            process: None,
            used: Usage::default(),
        };
        let places = cfg.layout.hosts.iter();
        Self {
            binary: cfg.binary.clone(),
            dir: dir.to_owned(),
            ports,
            all: places.map(|p| (p.host.clone(), prepare(p))).collect(),
        }
    }

    /// Starts hosts and waits until they listen.
    ///
    /// # Errors
    ///
    /// Fails if one doesn't start.
    pub async fn start(&mut self, names: &[HostId], links: &Links) -> anyhow::Result<()> {
        for name in names {
            let process = self.spawn(name, links)?;
            self.get_mut(name)?.process = Some(process);
        }
        for name in names {
            let expected = self.callers(name)?;
            let process = self.get_mut(name)?.process.as_mut();
            let started: Started = process.context("no process")?.first_line().await?;
            let callers = started.listening.callers;
            anyhow::ensure!(callers == expected, "{name} listens elsewhere");
        }
        Ok(())
    }

    fn spawn(&self, name: &HostId, links: &Links) -> anyhow::Result<Process> {
        let place = &self.get(name)?.place;
        let ports = self.ports.of(name)?;
        let platform = PlatformSettings::new(links.platform_of(name)?);
        let cfg = Settings {
            listen: ListenAddresses {
                callers: ports.callers.address(),
                dispatch: ports.dispatch.address(),
                control: ports.control.address(),
            },
            address_overrides: links.overrides(&place.domain),
            seed_peers: self.seeds(place, links)?,
            log_level: LogLevel::Debug,
            ..Settings::new(name.clone(), place.domain.clone(), platform)
        };
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_vec_pretty(&cfg)?)
            .with_context(|| format!("write {}", path.display()))?;
        let mut command = Command::new(&self.binary);
        command
            .args(["serve", "--settings"])
            .arg(path)
            .env(cfg.platform.token_env.as_str(), HOST_TOKEN);
        Process::spawn(
            name.as_str(),
            command,
            &self.dir.join(format!("{name}.log")),
        )
    }

    /// Returns the first host of each domain, at the addresses under which `place` reaches it.
    fn seeds(&self, place: &HostPlace, links: &Links) -> anyhow::Result<Vec<SeedPeer>> {
        let overrides = links.overrides(&place.domain);
        let mut seeds: IndexMap<_, SeedPeer> = IndexMap::new();
        let others = self.all.values().map(|h| &h.place);
        for other in others.filter(|o| o.host != place.host && !o.is_spare) {
            let own = self.ports.of(&other.host)?.peer_addresses();
            let addresses = overrides.get(&other.host).copied().unwrap_or(own);
            seeds.entry(&other.domain).or_insert_with(|| SeedPeer {
                host: other.host.clone(),
                domain: other.domain.clone(),
                addresses,
            });
        }
        Ok(seeds.into_values().collect())
    }

    fn get(&self, name: &HostId) -> anyhow::Result<&HostProcess> {
        let found = self.all.get(name);
        found.with_context(|| format!("no host {name}"))
    }

    fn get_mut(&mut self, name: &HostId) -> anyhow::Result<&mut HostProcess> {
        let found = self.all.get_mut(name);
        found.with_context(|| format!("no host {name}"))
    }

    /// Returns the hosts that run, also those that stand still.
    #[must_use]
    pub fn running(&self) -> Vec<HostId> {
        let running = self.all.iter().filter(|(_, h)| h.process.is_some());
        running.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the address for callers.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host.
    pub fn callers(&self, name: &HostId) -> anyhow::Result<SocketAddr> {
        Ok(self.ports.of(name)?.callers.address())
    }

    /// Returns the host as the platform's list shows it.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host.
    pub fn listed(&self, name: &HostId) -> anyhow::Result<ListedHost> {
        let addresses = self.ports.of(name)?.peer_addresses();
        Ok(ListedHost {
            host: name.clone(),
            domain: self.get(name)?.place.domain.clone(),
            control: addresses.control,
            dispatch: addresses.dispatch,
            state: HostState::Live,
        })
    }

    /// Asks a host how it is.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't answer.
    pub async fn status(&self, name: &HostId) -> anyhow::Result<HostStatus> {
        let ask = client::get(self.callers(name)?, STATUS_PATH);
        tokio::time::timeout(STATUS_WITHIN, ask).await?
    }

    fn take(&mut self, name: &HostId) -> anyhow::Result<Process> {
        let host = self.get_mut(name)?;
        let process = host.process.take();
        let process = process.with_context(|| format!("{name} doesn't run"))?;
        host.used = host.used.and(process.usage().unwrap_or_default());
        Ok(process)
    }

    /// Kills the process at once.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't run.
    pub fn kill(&mut self, name: &HostId) -> anyhow::Result<()> {
        self.take(name)?.kill()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't run.
    pub fn signal(&self, name: &HostId, signal: Signal) -> anyhow::Result<()> {
        let process = self.get(name)?.process.as_ref();
        let process = process.with_context(|| format!("{name} doesn't run"))?;
        process.signal(signal)
    }

    /// Tells a host to leave and waits until it has.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't run, or runs on after `limit`.
    pub async fn leave(&mut self, name: &HostId, limit: Duration) -> anyhow::Result<ExitStatus> {
        let mut process = self.take(name)?;
        process.signal(Signal::TERM)?;
        process.ended(limit).await
    }

    /// Returns the hosts whose processes ended though nobody told them to.
    pub fn ended(&mut self) -> Vec<HostId> {
        let mut ended = Vec::new();
        for (name, host) in &mut self.all {
            if host.process.as_mut().is_some_and(|p| !p.is_running()) {
                ended.push(name.clone());
            }
        }
        ended
    }

    /// Returns what all runs of each host have used.
    #[must_use]
    pub fn usage(&self) -> IndexMap<HostId, Usage> {
        let used = |h: &HostProcess| {
            let present = h.process.as_ref().and_then(Process::usage);
            h.used.and(present.unwrap_or_default())
        };
        self.all.iter().map(|(n, h)| (n.clone(), used(h))).collect()
    }
}
