//! Executes steps.

use std::time::Duration;

use rustix::process::Signal;
use standin::AdminCommand;

use super::changes::{self, ChangesReport};
use super::picks::Picks;
use super::step::Action;
use crate::cluster::{Cluster, ready};

/// Longest time for a host to drain and exit after SIGTERM.
const TERMINATE_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest time until a started host answers all requests.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Executes one action; returns the report of [`Action::ChangeCatalogue`].
///
/// # Errors
///
/// Fails if a process can't be started, signalled or commanded, or doesn't exit in time.
pub async fn execute(
    cluster: &mut Cluster,
    picks: &Picks,
    action: &Action,
) -> anyhow::Result<Option<ChangesReport>> {
    match action {
        Action::KillHost(role) => cluster.hosts.kill(picks.host(*role))?,
        Action::PauseHost(role) => cluster.hosts.signal(picks.host(*role), Signal::STOP)?,
        Action::ResumeHost(role) => cluster.hosts.signal(picks.host(*role), Signal::CONT)?,
        Action::TerminateHost(role) => {
            let status = cluster
                .hosts
                .terminate(picks.host(*role), TERMINATE_TIMEOUT)
                .await?;
            anyhow::ensure!(status.success(), "host exited with {status}");
        }
        Action::StartHost(role) => cluster.start_host(picks.host(*role)).await?,
        Action::RollingRestart => rolling_restart(cluster).await?,
        Action::KillUpstream(role) => cluster.upstreams.kill(picks.upstream(*role))?,
        Action::PauseUpstream(role) => {
            let name = picks.upstream(*role);
            cluster.upstreams.signal(name, Signal::STOP)?;
        }
        Action::ResumeUpstream(role) => {
            let name = picks.upstream(*role);
            cluster.upstreams.signal(name, Signal::CONT)?;
        }
        Action::StartUpstream(role) => cluster.upstreams.restart(picks.upstream(*role)).await?,
        Action::CommandUpstream(role, command) => {
            let name = picks.upstream(*role);
            cluster.upstreams.command(name, command).await?;
        }
        Action::UpstreamFaults(plan) => {
            cluster.upstreams.set_plan(plan);
            cluster.upstreams.cut_connections();
        }
        Action::CutLinks(role, how) => {
            let hosts = vec![cluster.hosts.upstream_source(picks.host(*role))?];
            let command = AdminCommand::CutLinks { hosts, how: *how };
            cluster.upstreams.command_all(&command).await?;
        }
        Action::RestoreLinks => {
            let command = AdminCommand::RestoreLinks;
            cluster.upstreams.command_all(&command).await?;
        }
        Action::PlatformFaults(faults) => cluster.platform.set_faults(*faults).await?,
        Action::CutOthers => cluster.links.cut_from_others(&picks.domain),
        Action::ReconnectOthers => cluster.links.reconnect_to_others(&picks.domain),
        Action::CutPlatform => cluster.links.cut_from_platform(&picks.domain),
        Action::ReconnectPlatform => cluster.links.reconnect_to_platform(&picks.domain),
        Action::ChangeCatalogue { count } => {
            return changes::run(cluster, picks, *count).await.map(Some);
        }
        Action::Wait => {}
    }
    Ok(None)
}

async fn rolling_restart(cluster: &mut Cluster) -> anyhow::Result<()> {
    for name in cluster.hosts.running() {
        let status = cluster.hosts.terminate(&name, TERMINATE_TIMEOUT).await?;
        anyhow::ensure!(status.success(), "host {name} exited with {status}");
        cluster.start_host(&name).await?;
        ready::wait_for_host(cluster, &name, READY_TIMEOUT).await?;
    }
    Ok(())
}
