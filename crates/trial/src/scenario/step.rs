//! What can happen in a trial.

use standin::platform::Faults;
use standin::{AdminCommand, FaultPlan};

use super::picks::{HostPick, UpstreamPick};

/// Something that happens at some time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Time since the start of the load, in milliseconds; a step whose time has passed while the
    /// one before it was carried out follows at once.
    pub at_ms: u64,
    /// What happens.
    pub action: Action,
}

/// What happens.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A host is killed at once.
    KillHost(HostPick),
    /// A host stands still.
    StopHost(HostPick),
    /// A host that stood still goes on.
    ContHost(HostPick),
    /// A host is told to leave, and leaves.
    LeaveHost(HostPick),
    /// A host starts, or starts again.
    StartHost(HostPick),
    /// Each host in turn is told to leave and starts again.
    RollingRestart,
    /// An upstream is killed at once.
    KillUpstream(UpstreamPick),
    /// An upstream stands still.
    StopUpstream(UpstreamPick),
    /// An upstream that stood still goes on.
    ContUpstream(UpstreamPick),
    /// An upstream starts again.
    StartUpstream(UpstreamPick),
    /// An upstream gets a command.
    TellUpstream(UpstreamPick, AdminCommand),
    /// The faults in front of all upstreams are replaced.
    UpstreamFaults(FaultPlan),
    /// The platform's faults are replaced.
    Platform(Faults),
    /// The picked domain is cut from the others.
    CutOthers,
    /// The picked domain is joined with the others again.
    JoinOthers,
    /// The picked domain is cut from the platform.
    CutPlatform,
    /// The picked domain is joined with the platform again.
    JoinPlatform,
    /// The catalogue is changed again and again, through an outage and a cut.
    Changes {
        /// How often.
        count: u32,
    },
    /// Nothing; it lets time pass.
    Nothing,
}
