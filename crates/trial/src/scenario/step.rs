//! Steps of a trial and their actions.

use standin::platform::Faults;
use standin::{AdminCommand, FaultPlan};

use super::picks::{HostPick, UpstreamPick};

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
    KillHost(HostPick),
    /// Pauses a host with SIGSTOP.
    StopHost(HostPick),
    /// Resumes a paused host with SIGCONT.
    ContHost(HostPick),
    /// Sends SIGTERM to a host and waits until it has drained and exited.
    LeaveHost(HostPick),
    /// Starts a host that isn't running.
    StartHost(HostPick),
    /// Stops each host in turn with SIGTERM and starts it again.
    RollingRestart,
    /// Kills an upstream with SIGKILL.
    KillUpstream(UpstreamPick),
    /// Pauses an upstream with SIGSTOP.
    StopUpstream(UpstreamPick),
    /// Resumes a paused upstream with SIGCONT.
    ContUpstream(UpstreamPick),
    /// Starts an upstream again.
    StartUpstream(UpstreamPick),
    /// Sends an admin command to an upstream.
    TellUpstream(UpstreamPick, AdminCommand),
    /// Replaces the fault plan of all upstreams' proxies and closes their connections.
    UpstreamFaults(FaultPlan),
    /// Replaces the faults that the platform injects.
    Platform(Faults),
    /// Cuts the links between the picked domain and the others.
    CutOthers,
    /// Restores the links between the picked domain and the others.
    JoinOthers,
    /// Cuts the links between the picked domain and the platform.
    CutPlatform,
    /// Restores the links between the picked domain and the platform.
    JoinPlatform,
    /// Changes the catalogue repeatedly, during an outage of the platform and a cut domain.
    Changes {
        /// Number of changes.
        count: u32,
    },
    /// Does nothing; its time extends the load.
    Nothing,
}
