//! Changes of the catalogue under load, and the time until each is in force on each host.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use host::status::STATUS_PATH;
use ids::{BootClock, Clock as _, DomainId, HostId, Timestamp, Version};
use serde::Serialize;
use standin::client;
use standin::platform::{Faults, Mode};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::picks::Picks;
use crate::cluster::Cluster;
use crate::cluster::hosts::HostStatus;

const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of a status request; later answers are not recorded.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
const CHANGE_INTERVAL: Duration = Duration::from_millis(60);
const FAULT_DURATION: Duration = Duration::from_secs(3);
/// Longest wait until the last change is in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Times from the acceptance of a change until it is in force on a host.
///
/// They cover all hosts and changes, and are in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct InForceDelays {
    /// Number of pairs of a change and a host.
    pub pairs: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Results of the changes.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct ChangesReport {
    /// Number of accepted changes.
    pub accepted: u64,
    /// Number of attempts that failed and were followed by another.
    pub tried_again: u64,
    /// Pairs whose host could reach the platform and the other domains all the time.
    pub reachable: InForceDelays,
    /// All pairs.
    pub all: InForceDelays,
    /// Number of pairs of a change and a host on which it never came into force.
    pub missing: u64,
    /// Number of times that a host reported a lower version than before.
    pub reverts: u64,
}

/// A version of the catalogue and the time of its acceptance.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    version: Version,
    at: Timestamp,
}

/// A period in which the hosts of one domain, or of all, could not reach the platform or other
/// domains.
#[derive(Debug, Clone)]
struct Outage {
    domain: Option<DomainId>,
    from: Timestamp,
    until: Timestamp,
}

/// Versions that one host reported, with the times of the answers.
#[derive(Debug)]
struct HostVersions {
    domain: DomainId,
    versions: Vec<(Timestamp, Version)>,
}

/// Changes the catalogue `count` times, during an outage of the platform and a cut domain.
///
/// # Errors
///
/// Fails if a change isn't accepted after several attempts.
pub async fn run(
    cluster: &mut Cluster,
    picks: &Picks,
    count: u32,
) -> anyhow::Result<ChangesReport> {
    let stop = CancellationToken::new();
    let watchers = watch_all(cluster, &stop)?;
    let mut changes = Changes::default();
    for number in 0..count {
        if number == count / 3 {
            changes.outage(cluster).await?;
        }
        if number == count * 2 / 3 {
            cluster.links.cut_from_others(&picks.domain);
            cluster.links.cut_from_platform(&picks.domain);
            changes.cut_at = Some(BootClock.now());
        }
        changes.restore_links(cluster, picks, false);
        changes.change(cluster, number).await?;
        sleep(CHANGE_INTERVAL).await;
    }
    changes.restore_links(cluster, picks, true);
    let last = changes.accepted.last().map(|a| a.version);
    wait_in_force(cluster, last.unwrap_or_default()).await;
    stop.cancel();
    let mut observed = Vec::new();
    for watcher in watchers {
        observed.push(watcher.await?);
    }
    Ok(changes.report(&observed))
}

#[derive(Debug, Default)]
struct Changes {
    accepted: Vec<Accepted>,
    tried_again: u64,
    outages: Vec<Outage>,
    cut_at: Option<Timestamp>,
}

impl Changes {
    async fn outage(&mut self, cluster: &Cluster) -> anyhow::Result<()> {
        let from = BootClock.now();
        let down = Faults {
            mode: Mode::Down,
            ..Faults::default()
        };
        cluster.platform.set_faults(down).await?;
        sleep(FAULT_DURATION).await;
        cluster.platform.set_faults(Faults::default()).await?;
        self.outages.push(Outage {
            domain: None,
            from,
            until: BootClock.now(),
        });
        Ok(())
    }

    /// Restores the links of the cut domain after [`FAULT_DURATION`], or immediately if `at_once`.
    fn restore_links(&mut self, cluster: &Cluster, picks: &Picks, at_once: bool) {
        let Some(from) = self.cut_at else { return };
        let now = BootClock.now();
        if now.since(from) < FAULT_DURATION && !at_once {
            return;
        }
        cluster.links.reconnect_to_others(&picks.domain);
        cluster.links.reconnect_to_platform(&picks.domain);
        self.cut_at = None;
        self.outages.push(Outage {
            domain: Some(picks.domain.clone()),
            from,
            until: now,
        });
    }

    /// Changes a limit of one entry; successive numbers take successive entries.
    async fn change(&mut self, cluster: &mut Cluster, number: u32) -> anyhow::Result<()> {
        const MAX_ATTEMPTS: u32 = 5;
        let entries = cluster.catalogue.entries.len();
        let entry = cluster
            .catalogue
            .entries
            .get_index_mut(number as usize % entries);
        let (_, entry) = entry.context("the catalogue has no entry")?;
        entry.limits.queue = 64 + number % 64;
        for _ in 0..MAX_ATTEMPTS {
            match cluster.platform.apply(cluster.catalogue.clone()).await {
                Ok(version) => {
                    let at = BootClock.now();
                    self.accepted.push(Accepted { version, at });
                    return Ok(());
                }
                Err(_) => self.tried_again += 1,
            }
        }
        anyhow::bail!("change {number} was not accepted in {MAX_ATTEMPTS} attempts")
    }

    fn report(&self, observed: &[HostVersions]) -> ChangesReport {
        let mut all = Vec::new();
        let mut reachable = Vec::new();
        let mut missing = 0;
        for accepted in &self.accepted {
            for host in observed {
                let first = host.versions.iter().find(|(_, v)| *v >= accepted.version);
                let Some(&(at, _)) = first else {
                    missing += 1;
                    continue;
                };
                // A status request sent before the confirmation may already report the change.
                let delay_us = at.since(accepted.at).as_micros() as u64;
                all.push(delay_us);
                if !self.is_affected(&host.domain, accepted.at, at) {
                    reachable.push(delay_us);
                }
            }
        }
        ChangesReport {
            accepted: self.accepted.len() as u64,
            tried_again: self.tried_again,
            reachable: InForceDelays::of(reachable),
            all: InForceDelays::of(all),
            missing,
            reverts: observed.iter().map(HostVersions::reverts).sum(),
        }
    }

    fn is_affected(&self, domain: &DomainId, from: Timestamp, until: Timestamp) -> bool {
        self.outages.iter().any(|o| {
            let affects = o.domain.as_ref().is_none_or(|d| d == domain);
            affects && o.from <= until && from <= o.until
        })
    }
}

impl HostVersions {
    fn reverts(&self) -> u64 {
        let decreases = self.versions.windows(2).filter(|w| w[1].1 < w[0].1);
        decreases.count() as u64
    }
}

impl InForceDelays {
    fn of(mut delays_us: Vec<u64>) -> Self {
        delays_us.sort_unstable();
        let at = |quantile: f64| {
            let rank = (quantile * delays_us.len() as f64).ceil() as usize;
            delays_us
                .get(rank.saturating_sub(1))
                .copied()
                .unwrap_or_default() as f64
                / 1_000.0
        };
        Self {
            pairs: delays_us.len() as u64,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

fn watch_all(
    cluster: &Cluster,
    stop: &CancellationToken,
) -> anyhow::Result<Vec<JoinHandle<HostVersions>>> {
    let layout = &cluster.settings().layout;
    let mut watchers = Vec::new();
    for host in cluster.hosts.running() {
        let domain = layout.domain_of(&host).context("no such host")?.clone();
        let address = cluster.hosts.caller_address(&host)?;
        watchers.push(tokio::spawn(watch(domain, address, stop.clone())));
    }
    Ok(watchers)
}

async fn watch(domain: DomainId, address: SocketAddr, stop: CancellationToken) -> HostVersions {
    let mut versions = Vec::new();
    while !stop.is_cancelled() {
        let request = client::get::<HostStatus>(address, STATUS_PATH);
        if let Ok(Ok(status)) = tokio::time::timeout(STATUS_TIMEOUT, request).await {
            versions.push((BootClock.now(), status.catalogue_version));
        }
        sleep(POLL_INTERVAL).await;
    }
    HostVersions { domain, versions }
}

/// Waits until the version is in force on all hosts, for at most [`IN_FORCE_TIMEOUT`].
async fn wait_in_force(cluster: &Cluster, version: Version) {
    let started = BootClock.now();
    let hosts: Vec<HostId> = cluster.hosts.running();
    while BootClock.now().since(started) < IN_FORCE_TIMEOUT {
        let mut lagging = 0;
        for host in &hosts {
            let status = cluster.hosts.status(host).await;
            lagging += u32::from(!status.is_ok_and(|s| s.catalogue_version >= version));
        }
        if lagging == 0 {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
