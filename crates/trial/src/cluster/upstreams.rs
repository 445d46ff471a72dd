//! The upstreams' processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use anyhow::Context as _;
use catalogue::{Catalogue, KeyLocation, Sharding};
use ids::UpstreamId;
use indexmap::IndexMap;
use rustix::process::Signal;
use serde::Deserialize;
use standin::journal::read_journal;
use standin::upstream::ADMIN_PATH;
use standin::{
    AdminCommand, FaultPlan, FaultProxy, JournalLine, ProxySettings, UpstreamSettings, client,
};

use super::ClusterSettings;
use super::port::ReservedPort;
use super::process::Process;

#[derive(Debug)]
#[derive(Deserialize)]
struct Started {
    listening: SocketAddr,
}

#[derive(Debug)]
struct UpstreamProcess {
    port: ReservedPort,
    proxy: Option<FaultProxy>,
    settings: PathBuf,
    journal: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

/// The upstreams' processes.
#[derive(Debug)]
pub struct UpstreamProcesses {
    binary: PathBuf,
    all: IndexMap<UpstreamId, UpstreamProcess>,
}

impl UpstreamProcesses {
    /// Starts a process for each upstream and puts its address into the catalogue.
    ///
    /// # Errors
    ///
    /// Fails if a process doesn't start.
    pub async fn start(
        cfg: &ClusterSettings,
        dir: &Path,
        catalogue: &mut Catalogue,
    ) -> anyhow::Result<Self> {
        let mut upstreams = Self {
            binary: cfg.binary.clone(),
            all: IndexMap::new(),
        };
        let names: Vec<UpstreamId> = catalogue.upstreams.keys().cloned().collect();
        for (i, name) in names.into_iter().enumerate() {
            let upstream = prepare(cfg, dir, catalogue, &name, i as u64)?;
            let address = upstream
                .proxy
                .as_ref()
                .map_or(upstream.port.address(), FaultProxy::address);
            catalogue.upstreams[&name].address = address;
            upstreams.all.insert(name.clone(), upstream);
            upstreams.spawn(&name)?;
        }
        for name in upstreams.names() {
            upstreams.wait_until_listening(&name).await?;
        }
        Ok(upstreams)
    }

    /// Returns the names of all upstreams.
    #[must_use]
    pub fn names(&self) -> Vec<UpstreamId> {
        self.all.keys().cloned().collect()
    }

    fn spawn(&mut self, name: &UpstreamId) -> anyhow::Result<()> {
        let binary = self.binary.clone();
        let upstream = self.get_mut(name)?;
        let mut command = Command::new(binary);
        command
            .args(["standin", "upstream", "--settings"])
            .arg(&upstream.settings);
        let process = Process::spawn(name.as_str(), command, &upstream.log)?;
        upstream.process = Some(process);
        Ok(())
    }

    async fn wait_until_listening(&mut self, name: &UpstreamId) -> anyhow::Result<()> {
        let upstream = self.get_mut(name)?;
        let port = upstream.port.address();
        let process = upstream.process.as_mut().context("no process")?;
        let started: Started = process.first_line().await?;
        anyhow::ensure!(started.listening == port, "{name} doesn't listen on {port}");
        Ok(())
    }

    fn get(&self, name: &UpstreamId) -> anyhow::Result<&UpstreamProcess> {
        let found = self.all.get(name);
        found.with_context(|| format!("no upstream {name}"))
    }

    fn get_mut(&mut self, name: &UpstreamId) -> anyhow::Result<&mut UpstreamProcess> {
        let found = self.all.get_mut(name);
        found.with_context(|| format!("no upstream {name}"))
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails if it isn't running.
    pub fn kill(&mut self, name: &UpstreamId) -> anyhow::Result<()> {
        let process = self.get_mut(name)?.process.take();
        let mut process = process.with_context(|| format!("{name} isn't running"))?;
        process.kill()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if it isn't running.
    pub fn signal(&self, name: &UpstreamId, signal: Signal) -> anyhow::Result<()> {
        let process = self.get(name)?.process.as_ref();
        let process = process.with_context(|| format!("{name} isn't running"))?;
        process.signal(signal)
    }

    /// Starts the process again, at the same address.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't start.
    pub async fn restart(&mut self, name: &UpstreamId) -> anyhow::Result<()> {
        self.spawn(name)?;
        self.wait_until_listening(name).await
    }

    /// Sends an admin command to the stand-in, bypassing its proxy.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't answer or refuses the command.
    pub async fn command(&self, name: &UpstreamId, command: &AdminCommand) -> anyhow::Result<()> {
        let address = self.get(name)?.port.address();
        let method = http::Method::POST;
        let answer = client::call(address, method, ADMIN_PATH, Some(command)).await?;
        anyhow::ensure!(answer.status().is_success(), "{name} refused {command:?}");
        Ok(())
    }

    /// Sends an admin command to all upstreams that run.
    ///
    /// # Errors
    ///
    /// Fails if one doesn't answer or refuses the command.
    pub async fn command_all(&self, command: &AdminCommand) -> anyhow::Result<()> {
        let running = self.all.iter().filter(|(_, u)| u.process.is_some());
        for (name, _) in running {
            self.command(name, command).await?;
        }
        Ok(())
    }

    /// Replaces the fault plan of all upstreams' proxies.
    pub fn set_plan(&self, plan: &FaultPlan) {
        let proxies = self.all.values().filter_map(|u| u.proxy.as_ref());
        for proxy in proxies {
            proxy.set_plan(plan.clone());
        }
    }

    /// Closes all open connections through the proxies.
    pub fn cut_connections(&self) {
        let proxies = self.all.values().filter_map(|u| u.proxy.as_ref());
        proxies.for_each(FaultProxy::cut);
    }

    /// Reads all journals.
    ///
    /// # Errors
    ///
    /// Fails if one can't be read or parsed.
    pub fn journals(&self) -> anyhow::Result<Vec<JournalLine>> {
        let mut lines = Vec::new();
        for upstream in self.all.values() {
            lines.extend(read_journal(&upstream.journal)?);
        }
        Ok(lines)
    }
}

fn prepare(
    cfg: &ClusterSettings,
    dir: &Path,
    catalogue: &Catalogue,
    name: &UpstreamId,
    number: u64,
) -> anyhow::Result<UpstreamProcess> {
    let port = ReservedPort::reserve()?;
    let proxy = cfg.upstream_proxies.then(|| {
        FaultProxy::bind(ProxySettings {
            target: port.address(),
            seed: cfg.seed.wrapping_add(number),
            ..ProxySettings::default()
        })
    });
    let proxy = proxy.transpose()?;
    let declared = &catalogue.upstreams[name];
    let journal = dir.join(format!("{name}.journal"));
    let settings = UpstreamSettings {
        listen: port.address(),
        name: name.clone(),
        entry: declared.entry.clone(),
        key: key_location(catalogue, declared),
        slots: declared.slots,
        connections: declared.connections,
        checks_grants: declared.checks_grants,
        seed: cfg.seed.wrapping_add(number),
        journal: Some(journal.clone()),
        ..UpstreamSettings::default()
    };
    let path = dir.join(format!("{name}.json"));
    std::fs::write(&path, serde_json::to_vec_pretty(&settings)?)
        .with_context(|| format!("write {}", path.display()))?;
    Ok(UpstreamProcess {
        port,
        proxy,
        settings: path,
        journal,
        log: dir.join(format!("{name}.log")),
        process: None,
    })
}

fn key_location(catalogue: &Catalogue, declared: &catalogue::Upstream) -> Option<KeyLocation> {
    match &catalogue.entries.get(&declared.entry)?.sharding {
        Sharding::Key { key, .. } => Some(key.clone()),
        Sharding::None => None,
    }
}
