//! To whom things happen.

use std::time::{Duration, Instant};

use anyhow::Context as _;
use catalogue::Sharding;
use ids::{DomainId, HostId, UpstreamId};
use serde::Serialize;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Longest wait until the upstream has a coordinating host and a deputy.
const PAIR_WITHIN: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// A host, by its part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostPick {
    /// The coordinating host of the picked upstream.
    Coordinator,
    /// Its deputy.
    Deputy,
    /// A host that does not run at the start.
    Spare,
}

/// An upstream, by its part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPick {
    /// The picked upstream, whose entry is divided by key and which checks grants.
    Checked,
    /// An upstream whose entry is divided by key and which checks no grants, or the picked one.
    Unchecked,
}

/// Who was picked when the trial began.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Picks {
    /// The picked upstream.
    pub upstream: UpstreamId,
    /// An upstream that checks no grants.
    pub unchecked: UpstreamId,
    /// Coordinating host of the picked upstream.
    pub coordinator: HostId,
    /// Deputy of the picked upstream.
    pub deputy: HostId,
    /// A host that does not run at the start.
    pub spare: HostId,
    /// The domain that is cut.
    pub domain: DomainId,
}

impl Picks {
    /// Picks, once the upstream has a coordinating host and a deputy.
    ///
    /// # Errors
    ///
    /// Fails if it has none in time.
    pub async fn of(cluster: &Cluster) -> anyhow::Result<Self> {
        let upstream = divided(cluster, true).context("no upstream checks grants")?;
        let (coordinator, deputy) = pair(cluster, &upstream).await?;
        let layout = &cluster.settings().layout;
        let spare = layout.spare_host().context("no spare host")?;
        let domain = layout.catalogue.domains.keys().next_back();
        Ok(Self {
            unchecked: divided(cluster, false).unwrap_or_else(|| upstream.clone()),
            upstream,
            coordinator,
            deputy,
            spare: spare.host.clone(),
            domain: domain.context("no domain")?.clone(),
        })
    }

    /// Returns a host.
    #[must_use]
    pub const fn host(&self, pick: HostPick) -> &HostId {
        match pick {
            HostPick::Coordinator => &self.coordinator,
            HostPick::Deputy => &self.deputy,
            HostPick::Spare => &self.spare,
        }
    }

    /// Returns an upstream.
    #[must_use]
    pub const fn upstream(&self, pick: UpstreamPick) -> &UpstreamId {
        match pick {
            UpstreamPick::Checked => &self.upstream,
            UpstreamPick::Unchecked => &self.unchecked,
        }
    }
}

fn divided(cluster: &Cluster, checks: bool) -> Option<UpstreamId> {
    let catalogue = &cluster.catalogue;
    let mut all = catalogue.upstreams.iter();
    let found = all.find(|(_, u)| {
        let sharding = catalogue.entries.get(&u.entry).map(|e| &e.sharding);
        u.checks_grants == checks && matches!(sharding, Some(Sharding::Key { .. }))
    });
    found.map(|(name, _)| name.clone())
}

async fn pair(cluster: &Cluster, upstream: &UpstreamId) -> anyhow::Result<(HostId, HostId)> {
    let began = Instant::now();
    loop {
        let row = cluster.own_row(upstream).await;
        if let Ok(row) = &row
            && let (Some(coordinator), Some(deputy)) = (&row.coordinator, &row.deputy)
        {
            return Ok((coordinator.host.clone(), deputy.host.clone()));
        }
        anyhow::ensure!(
            began.elapsed() < PAIR_WITHIN,
            "{upstream} has no coordinating host with a deputy: {row:?}"
        );
        sleep(LOOK_EVERY).await;
    }
}
