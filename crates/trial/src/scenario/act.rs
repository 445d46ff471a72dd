//! Executes steps.

use std::time::Duration;

use rustix::process::Signal;

use super::changes::{self, ChangesReport};
use super::picks::Picks;
use super::step::Action;
use crate::cluster::{Cluster, ready};

/// Longest time for a host to drain and exit after SIGTERM.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest time until a started host answers all requests.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Executes one action; returns the report of [`Action::Changes`].
///
/// # Errors
///
/// Fails if a process can't be started, signalled or commanded, or doesn't exit in time.
pub async fn act(
    cluster: &mut Cluster,
    picks: &Picks,
    action: &Action,
) -> anyhow::Result<Option<ChangesReport>> {
    match action {
        Action::KillHost(pick) => cluster.hosts.kill(picks.host(*pick))?,
        Action::StopHost(pick) => cluster.hosts.signal(picks.host(*pick), Signal::STOP)?,
        Action::ContHost(pick) => cluster.hosts.signal(picks.host(*pick), Signal::CONT)?,
        Action::LeaveHost(pick) => {
            let status = cluster
                .hosts
                .leave(picks.host(*pick), LEAVE_TIMEOUT)
                .await?;
            anyhow::ensure!(status.success(), "host exited with {status}");
        }
        Action::StartHost(pick) => cluster.start_host(picks.host(*pick)).await?,
        Action::RollingRestart => rolling_restart(cluster).await?,
        Action::KillUpstream(pick) => cluster.upstreams.kill(picks.upstream(*pick))?,
        Action::StopUpstream(pick) => {
            let name = picks.upstream(*pick);
            cluster.upstreams.signal(name, Signal::STOP)?;
        }
        Action::ContUpstream(pick) => {
            let name = picks.upstream(*pick);
            cluster.upstreams.signal(name, Signal::CONT)?;
        }
        Action::StartUpstream(pick) => cluster.upstreams.restart(picks.upstream(*pick)).await?,
        Action::TellUpstream(pick, command) => {
            let name = picks.upstream(*pick);
            cluster.upstreams.command(name, command).await?;
        }
        Action::UpstreamFaults(plan) => {
            cluster.upstreams.set_plan(plan);
            cluster.upstreams.cut_connections();
        }
        Action::Platform(faults) => cluster.platform.set_faults(*faults).await?,
        Action::CutOthers => cluster.links.cut_from_others(&picks.domain),
        Action::JoinOthers => cluster.links.join_with_others(&picks.domain),
        Action::CutPlatform => cluster.links.cut_from_platform(&picks.domain),
        Action::JoinPlatform => cluster.links.join_with_platform(&picks.domain),
        Action::Changes { count } => {
            return changes::run(cluster, picks, *count).await.map(Some);
        }
        Action::Nothing => {}
    }
    Ok(None)
}

async fn rolling_restart(cluster: &mut Cluster) -> anyhow::Result<()> {
    for name in cluster.hosts.running() {
        let status = cluster.hosts.leave(&name, LEAVE_TIMEOUT).await?;
        anyhow::ensure!(status.success(), "host {name} exited with {status}");
        cluster.start_host(&name).await?;
        ready::wait_for_host(cluster, &name, READY_TIMEOUT).await?;
    }
    Ok(())
}
