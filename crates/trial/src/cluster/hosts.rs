//! The hosts' processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
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
use super::layout::{HostSpec, Layout};
use super::net::Links;
use super::platform::HOST_TOKEN;
use super::port::ReservedPort;
use super::process::Process;
use super::usage::Usage;

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Reserved ports of one host.
#[derive(Debug)]
pub struct HostPorts {
    callers: ReservedPort,
    dispatch: ReservedPort,
    control: ReservedPort,
}

impl HostPorts {
    /// Returns the addresses at which other hosts reach this one.
    #[must_use]
    pub const fn peer_addresses(&self) -> PeerAddresses {
        PeerAddresses {
            dispatch: self.dispatch.address(),
            control: self.control.address(),
        }
    }
}

/// Reserved ports of all hosts.
#[derive(Debug)]
pub struct Ports(IndexMap<HostId, HostPorts>);

impl Ports {
    /// Reserves the ports of all hosts.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has no port left.
    pub fn reserve(layout: &Layout) -> anyhow::Result<Self> {
        let mut ports = IndexMap::new();
        for spec in &layout.hosts {
            let host_ports = HostPorts {
                callers: ReservedPort::reserve()?,
                dispatch: ReservedPort::reserve()?,
                control: ReservedPort::reserve()?,
            };
            ports.insert(spec.host.clone(), host_ports);
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

/// The fields of a host's status that trials use.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct HostStatus {
    /// Version of the catalogue in force.
    pub catalogue_version: Version,
    /// Number of hosts that it considers live.
    pub live_hosts: u32,
    /// Upstreams for which it is the coordinating host.
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
    spec: HostSpec,
    process: Option<Process>,
    /// Usage of the processes that ran before this one.
    earlier_usage: Usage,
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
    /// Creates the hosts without starting their processes.
    #[must_use]
    pub fn new(cfg: &ClusterSettings, dir: &Path, ports: Ports) -> Self {
        let not_started = |spec: &HostSpec| HostProcess {
            spec: spec.clone(),
            process: None,
            earlier_usage: Usage::default(),
        };
        let host_specs = cfg.layout.hosts.iter();
        Self {
            binary: cfg.binary.clone(),
            dir: dir.to_owned(),
            ports,
            all: host_specs
                .map(|p| (p.host.clone(), not_started(p)))
                .collect(),
        }
    }

    /// Starts the hosts' processes and waits until they listen.
    ///
    /// # Errors
    ///
    /// Fails if a process doesn't start.
    pub async fn start(&mut self, names: &[HostId], links: &Links) -> anyhow::Result<()> {
        for name in names {
            let process = self.spawn(name, links)?;
            self.get_mut(name)?.process = Some(process);
        }
        for name in names {
            let expected = self.caller_address(name)?;
            let process = self.get_mut(name)?.process.as_mut();
            let started: Started = process.context("no process")?.first_line().await?;
            let callers = started.listening.callers;
            anyhow::ensure!(
                callers == expected,
                "{name} listens on {callers}, not on {expected}"
            );
        }
        Ok(())
    }

    fn spawn(&self, name: &HostId, links: &Links) -> anyhow::Result<Process> {
        let spec = &self.get(name)?.spec;
        let ports = self.ports.of(name)?;
        let platform = PlatformSettings::new(links.platform_address(name)?);
        let cfg = Settings {
            listen: ListenAddresses {
                callers: ports.callers.address(),
                dispatch: ports.dispatch.address(),
                control: ports.control.address(),
            },
            upstream_source: Some(self.upstream_source(name)?),
            address_overrides: links.address_overrides(&spec.domain),
            seed_peers: self.seeds(spec, links)?,
            log_level: LogLevel::Debug,
            ..Settings::new(name.clone(), spec.domain.clone(), platform)
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

    /// Returns the first other host of each domain, at the addresses at which `spec` reaches it.
    fn seeds(&self, spec: &HostSpec, links: &Links) -> anyhow::Result<Vec<SeedPeer>> {
        let overrides = links.address_overrides(&spec.domain);
        let mut seeds: IndexMap<_, SeedPeer> = IndexMap::new();
        let others = self.all.values().map(|h| &h.spec);
        for other in others.filter(|o| o.host != spec.host && !o.is_spare) {
            let direct = self.ports.of(&other.host)?.peer_addresses();
            let addresses = overrides.get(&other.host).copied().unwrap_or(direct);
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

    /// Returns the address from which a host connects to upstreams, by which they tell hosts apart.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host.
    pub fn upstream_source(&self, name: &HostId) -> anyhow::Result<IpAddr> {
        let position = self.all.get_index_of(name);
        let position = position.with_context(|| format!("no host {name}"))?;
        let [high, low] = u16::try_from(position + 1)?.to_be_bytes();
        Ok(Ipv4Addr::new(127, 1, high, low).into())
    }

    /// Returns the hosts that have a process, including paused ones.
    #[must_use]
    pub fn running(&self) -> Vec<HostId> {
        let running = self.all.iter().filter(|(_, h)| h.process.is_some());
        running.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the address at which callers reach a host.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host.
    pub fn caller_address(&self, name: &HostId) -> anyhow::Result<SocketAddr> {
        Ok(self.ports.of(name)?.callers.address())
    }

    /// Returns the entry of a host for the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host.
    pub fn listed_host(&self, name: &HostId) -> anyhow::Result<ListedHost> {
        let addresses = self.ports.of(name)?.peer_addresses();
        Ok(ListedHost {
            host: name.clone(),
            domain: self.get(name)?.spec.domain.clone(),
            control: addresses.control,
            dispatch: addresses.dispatch,
            state: HostState::Live,
        })
    }

    /// Requests the status of a host.
    ///
    /// # Errors
    ///
    /// Fails if the host doesn't answer in time.
    pub async fn status(&self, name: &HostId) -> anyhow::Result<HostStatus> {
        let request = client::get(self.caller_address(name)?, STATUS_PATH);
        tokio::time::timeout(STATUS_TIMEOUT, request).await?
    }

    fn take_process(&mut self, name: &HostId) -> anyhow::Result<Process> {
        let host = self.get_mut(name)?;
        let process = host.process.take();
        let process = process.with_context(|| format!("{name} isn't running"))?;
        host.earlier_usage = host
            .earlier_usage
            .combine(process.usage().unwrap_or_default());
        Ok(process)
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails if it isn't running.
    pub fn kill(&mut self, name: &HostId) -> anyhow::Result<()> {
        self.take_process(name)?.kill()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if it isn't running.
    pub fn signal(&self, name: &HostId, signal: Signal) -> anyhow::Result<()> {
        let process = self.get(name)?.process.as_ref();
        let process = process.with_context(|| format!("{name} isn't running"))?;
        process.signal(signal)
    }

    /// Sends SIGTERM to a host and waits until it has drained and exited.
    ///
    /// # Errors
    ///
    /// Fails if it isn't running, or is still running after `timeout`.
    pub async fn terminate(
        &mut self,
        name: &HostId,
        timeout: Duration,
    ) -> anyhow::Result<ExitStatus> {
        let mut process = self.take_process(name)?;
        process.signal(Signal::TERM)?;
        process.wait_for_exit(timeout).await
    }

    /// Returns the hosts whose processes exited unexpectedly.
    pub fn exited(&mut self) -> Vec<HostId> {
        let mut exited = Vec::new();
        for (name, host) in &mut self.all {
            if host.process.as_mut().is_some_and(|p| !p.is_running()) {
                exited.push(name.clone());
            }
        }
        exited
    }

    /// Returns the CPU time and peak memory of each host, over all of its processes.
    #[must_use]
    pub fn usage(&self) -> IndexMap<HostId, Usage> {
        let total = |h: &HostProcess| {
            let current = h.process.as_ref().and_then(Process::usage);
            h.earlier_usage.combine(current.unwrap_or_default())
        };
        self.all
            .iter()
            .map(|(n, h)| (n.clone(), total(h)))
            .collect()
    }
}
