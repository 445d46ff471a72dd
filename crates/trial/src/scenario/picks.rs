//! The hosts, upstreams and domain to which a scenario's steps apply.

use std::time::{Duration, Instant};

use anyhow::Context as _;
use catalogue::Sharding;
use ids::{DomainId, HostId, UpstreamId};
use serde::Serialize;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Longest wait until the upstream has a coordinating host and a standby.
const PAIR_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Role of a host in a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostRole {
    /// The coordinating host of the picked upstream.
    Coordinator,
    /// The standby of the picked upstream.
    Standby,
    /// A host that isn't running at the start.
    Spare,
}

/// Role of an upstream in a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamRole {
    /// The picked upstream: it checks grants, and its entry is sharded by key.
    Checked,
    /// An upstream that doesn't check grants, of an entry sharded by key; the picked one if there
    /// is none.
    Unchecked,
}

/// The hosts, upstreams and domain picked at the start of a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Picks {
    /// The picked upstream.
    pub upstream: UpstreamId,
    /// An upstream that doesn't check grants.
    pub unchecked: UpstreamId,
    /// Coordinating host of the picked upstream.
    pub coordinator: HostId,
    /// Standby of the picked upstream.
    pub deputy: HostId,
    /// A host that isn't running at the start.
    pub spare: HostId,
    /// The domain whose links are cut.
    pub domain: DomainId,
}

impl Picks {
    /// Waits until an upstream has a coordinating host and a standby, and picks them.
    ///
    /// # Errors
    ///
    /// Fails if the upstream has none in time, or if the layout lacks an upstream, a spare host or
    /// a domain to pick.
    pub async fn of(cluster: &Cluster) -> anyhow::Result<Self> {
        let upstream = find_sharded(cluster, true).context("no upstream checks grants")?;
        let (coordinator, standby) = coordinator_and_standby(cluster, &upstream).await?;
        let layout = &cluster.settings().layout;
        let spare = layout.spare_host().context("no spare host")?;
        let domain = layout.catalogue.domains.keys().next_back();
        Ok(Self {
            unchecked: find_sharded(cluster, false).unwrap_or_else(|| upstream.clone()),
            upstream,
            coordinator,
            deputy: standby,
            spare: spare.host.clone(),
            domain: domain.context("no domain")?.clone(),
        })
    }

    /// Returns the host that has a role.
    #[must_use]
    pub const fn host(&self, role: HostRole) -> &HostId {
        match role {
            HostRole::Coordinator => &self.coordinator,
            HostRole::Standby => &self.deputy,
            HostRole::Spare => &self.spare,
        }
    }

    /// Returns the upstream that has a role.
    #[must_use]
    pub const fn upstream(&self, role: UpstreamRole) -> &UpstreamId {
        match role {
            UpstreamRole::Checked => &self.upstream,
            UpstreamRole::Unchecked => &self.unchecked,
        }
    }
}

fn find_sharded(cluster: &Cluster, checks_grants: bool) -> Option<UpstreamId> {
    let catalogue = &cluster.catalogue;
    let mut all = catalogue.upstreams.iter();
    let found = all.find(|(_, u)| {
        let sharding = catalogue.entries.get(&u.entry).map(|e| &e.sharding);
        u.checks_grants == checks_grants && matches!(sharding, Some(Sharding::Key { .. }))
    });
    found.map(|(name, _)| name.clone())
}

async fn coordinator_and_standby(
    cluster: &Cluster,
    upstream: &UpstreamId,
) -> anyhow::Result<(HostId, HostId)> {
    let started = Instant::now();
    loop {
        let row = cluster.ownership_row(upstream).await;
        if let Ok(row) = &row
            && let (Some(coordinator), Some(deputy)) = (&row.coordinator, &row.deputy)
        {
            return Ok((coordinator.host.clone(), deputy.host.clone()));
        }
        anyhow::ensure!(
            started.elapsed() < PAIR_TIMEOUT,
            "{upstream} has no coordinating host with a standby: {row:?}"
        );
        sleep(POLL_INTERVAL).await;
    }
}
