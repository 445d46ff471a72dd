//! Changes of the catalogue during traffic, and when each is in force on each host.

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

const LOOK_EVERY: Duration = Duration::from_millis(25);
/// Longest answer of a host about itself that still counts.
const LOOK_WITHIN: Duration = Duration::from_secs(1);
const CHANGE_EVERY: Duration = Duration::from_millis(60);
const FAULT_FOR: Duration = Duration::from_secs(3);
/// Longest wait until the last change is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(20);

/// Times from acceptance until in force on a host, over all hosts and changes, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct InForce {
    /// Pairs of a change and a host.
    pub pairs: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// What became of the changes.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct ChangesReport {
    /// Changes that were accepted.
    pub accepted: u64,
    /// Changes that were tried again after an outage.
    pub tried_again: u64,
    /// Pairs during which the host could reach platform and other domains.
    pub reachable: InForce,
    /// All pairs.
    pub all: InForce,
    /// Pairs of a change and a host on which it never came into force.
    pub missing: u64,
    /// Times at which a host's version was lower than before.
    pub reverts: u64,
}

/// A version of the catalogue and when it was accepted.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    version: Version,
    at: Timestamp,
}

/// A time for which the hosts of a domain, or all, could not reach something.
#[derive(Debug, Clone)]
struct Outage {
    domain: Option<DomainId>,
    from: Timestamp,
    until: Timestamp,
}

/// What was seen of one host.
#[derive(Debug)]
struct Seen {
    domain: DomainId,
    looks: Vec<(Timestamp, Version)>,
}

/// Changes the catalogue `count` times, through an outage of the platform and a cut domain.
///
/// # Errors
///
/// Fails if a change is refused.
pub async fn run(
    cluster: &mut Cluster,
    picks: &Picks,
    count: u32,
) -> anyhow::Result<ChangesReport> {
    let stop = CancellationToken::new();
    let watches = watch_all(cluster, &stop)?;
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
        changes.rejoin(cluster, picks, false);
        changes.change(cluster, number).await?;
        sleep(CHANGE_EVERY).await;
    }
    changes.rejoin(cluster, picks, true);
    let last = changes.accepted.last().map(|a| a.version);
    wait_in_force(cluster, last.unwrap_or_default()).await;
    stop.cancel();
    let mut seen = Vec::new();
    for watch in watches {
        seen.push(watch.await?);
    }
    Ok(changes.report(&seen))
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
        sleep(FAULT_FOR).await;
        cluster.platform.set_faults(Faults::default()).await?;
        self.outages.push(Outage {
            domain: None,
            from,
            until: BootClock.now(),
        });
        Ok(())
    }

    /// Joins the cut domain again once the cut has lasted long enough, or `at_once`.
    fn rejoin(&mut self, cluster: &Cluster, picks: &Picks, at_once: bool) {
        let Some(from) = self.cut_at else { return };
        let now = BootClock.now();
        if now.since(from) < FAULT_FOR && !at_once {
            return;
        }
        cluster.links.join_with_others(&picks.domain);
        cluster.links.join_with_platform(&picks.domain);
        self.cut_at = None;
        self.outages.push(Outage {
            domain: Some(picks.domain.clone()),
            from,
            until: now,
        });
    }

    /// Changes a limit of one entry, each time of another one.
    async fn change(&mut self, cluster: &mut Cluster, number: u32) -> anyhow::Result<()> {
        const TRIES: u32 = 5;
        let entries = cluster.catalogue.entries.len();
        let entry = cluster
            .catalogue
            .entries
            .get_index_mut(number as usize % entries);
        let (_, entry) = entry.context("the catalogue has no entry")?;
        entry.limits.queue = 64 + number % 64;
        for _ in 0..TRIES {
            match cluster.platform.apply(cluster.catalogue.clone()).await {
                Ok(version) => {
                    let at = BootClock.now();
                    self.accepted.push(Accepted { version, at });
                    return Ok(());
                }
                Err(_) => self.tried_again += 1,
            }
        }
        anyhow::bail!("change {number} was not accepted in {TRIES} tries")
    }

    fn report(&self, seen: &[Seen]) -> ChangesReport {
        let mut all = Vec::new();
        let mut reachable = Vec::new();
        let mut missing = 0;
        for accepted in &self.accepted {
            for host in seen {
                let first = host.looks.iter().find(|(_, v)| *v >= accepted.version);
                let Some(&(at, _)) = first else {
                    missing += 1;
                    continue;
                };
                // A look that began before the confirmation came may see the change already.
                let took = at.since(accepted.at).as_micros() as u64;
                all.push(took);
                if !self.is_touched(&host.domain, accepted.at, at) {
                    reachable.push(took);
                }
            }
        }
        ChangesReport {
            accepted: self.accepted.len() as u64,
            tried_again: self.tried_again,
            reachable: InForce::of(reachable),
            all: InForce::of(all),
            missing,
            reverts: seen.iter().map(Seen::reverts).sum(),
        }
    }

    fn is_touched(&self, domain: &DomainId, from: Timestamp, until: Timestamp) -> bool {
        self.outages.iter().any(|o| {
            let touches = o.domain.as_ref().is_none_or(|d| d == domain);
            touches && o.from <= until && from <= o.until
        })
    }
}

impl Seen {
    fn reverts(&self) -> u64 {
        let falls = self.looks.windows(2).filter(|w| w[1].1 < w[0].1);
        falls.count() as u64
    }
}

impl InForce {
    fn of(mut us: Vec<u64>) -> Self {
        us.sort_unstable();
        let at = |quantile: f64| {
            let rank = (quantile * us.len() as f64).ceil() as usize;
            us.get(rank.saturating_sub(1)).copied().unwrap_or_default() as f64 / 1_000.0
        };
        Self {
            pairs: us.len() as u64,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

fn watch_all(cluster: &Cluster, stop: &CancellationToken) -> anyhow::Result<Vec<JoinHandle<Seen>>> {
    let layout = &cluster.settings().layout;
    let mut watches = Vec::new();
    for host in cluster.hosts.running() {
        let domain = layout.domain_of(&host).context("no such host")?.clone();
        let address = cluster.hosts.callers(&host)?;
        watches.push(tokio::spawn(watch(domain, address, stop.clone())));
    }
    Ok(watches)
}

async fn watch(domain: DomainId, address: SocketAddr, stop: CancellationToken) -> Seen {
    let mut looks = Vec::new();
    while !stop.is_cancelled() {
        let ask = client::get::<HostStatus>(address, STATUS_PATH);
        if let Ok(Ok(status)) = tokio::time::timeout(LOOK_WITHIN, ask).await {
            looks.push((BootClock.now(), status.catalogue_version));
        }
        sleep(LOOK_EVERY).await;
    }
    Seen { domain, looks }
}

/// Waits until all hosts have the version, at most for [`IN_FORCE_WITHIN`].
async fn wait_in_force(cluster: &Cluster, version: Version) {
    let began = BootClock.now();
    let hosts: Vec<HostId> = cluster.hosts.running();
    while BootClock.now().since(began) < IN_FORCE_WITHIN {
        let mut lagging = 0;
        for host in &hosts {
            let status = cluster.hosts.status(host).await;
            lagging += u32::from(!status.is_ok_and(|s| s.catalogue_version >= version));
        }
        if lagging == 0 {
            return;
        }
        sleep(LOOK_EVERY).await;
    }
}
