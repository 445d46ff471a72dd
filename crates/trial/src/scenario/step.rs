//! Steps of a trial and their actions.

use standin::platform::Faults;
use standin::{AdminCommand, FaultPlan, LinkCut};

use super::picks::{HostRole, UpstreamRole};

/// An action and the time at which it is executed.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Time since the start of the load, in milliseconds.
    ///
    /// If the previous step ends after this time, the step follows it immediately.
    pub at_ms: u64,
    /// The action.
    pub action: Action,
}

/// An action on the cluster.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Kills a host with SIGKILL.
    KillHost(HostRole),
    /// Pauses a host with SIGSTOP.
    PauseHost(HostRole),
    /// Resumes a paused host with SIGCONT.
    ResumeHost(HostRole),
    /// Sends SIGTERM to a host and waits until it has drained and exited.
    TerminateHost(HostRole),
    /// Starts a host that isn't running.
    StartHost(HostRole),
    /// Stops each host in turn with SIGTERM and starts it again.
    RollingRestart,
    /// Kills an upstream with SIGKILL.
    KillUpstream(UpstreamRole),
    /// Pauses an upstream with SIGSTOP.
    PauseUpstream(UpstreamRole),
    /// Resumes a paused upstream with SIGCONT.
    ResumeUpstream(UpstreamRole),
    /// Starts an upstream again.
    StartUpstream(UpstreamRole),
    /// Sends an admin command to an upstream.
    CommandUpstream(UpstreamRole, AdminCommand),
    /// Replaces the fault plan of all upstreams' proxies and closes their connections.
    UpstreamFaults(FaultPlan),
    /// Replaces the faults that the platform injects.
    PlatformFaults(Faults),
    /// Cuts the links between a host and all upstreams.
    CutLinks(HostRole, LinkCut),
    /// Restores the links between all hosts and upstreams.
    RestoreLinks,
    /// Cuts the links between the picked domain and the others.
    CutOthers,
    /// Restores the links between the picked domain and the others.
    ReconnectOthers,
    /// Cuts the links between the picked domain and the platform.
    CutPlatform,
    /// Restores the links between the picked domain and the platform.
    ReconnectPlatform,
    /// Changes the catalogue repeatedly, during an outage of the platform and a cut domain.
    ChangeCatalogue {
        /// Number of changes.
        count: u32,
    },
    /// Does nothing; its time extends the load.
    Wait,
}
