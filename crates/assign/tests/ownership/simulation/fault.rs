//! Faults and their schedule.

use std::time::Duration;

/// A fault.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A host can't reach the store.
    HostWithoutStore(usize),
    /// A host can't reach an upstream.
    HostWithoutUpstream(usize, usize),
    /// A host is paused.
    HostPaused(usize),
    /// A host restarts at once.
    HostRestarts(usize),
    /// A host takes over, for any reason.
    Takeover(usize),
    /// The network holds what hosts send to an upstream, and delivers it some time after the fault,
    /// unless the sender has reset the connection. A sender does that with calls that time out, but
    /// not if it ends before.
    NetworkHolds(usize),
    /// An upstream drains: it accepts nothing new.
    UpstreamDrains(usize),
    /// An upstream ends, and another incarnation of it starts after the fault.
    UpstreamDown(usize),
    /// The store answers no host.
    StoreDown,
    /// The store answers no host, and then returns from a copy that was made this long before the
    /// fault.
    StoreReturnsFromCopy(Duration),
    /// Grant calls get no answer and are carried out late.
    LateCalls,
    /// Commits get no answer, and some are carried out late.
    CommitAnswersLost,
    /// Two hosts can't reach each other.
    HostsDisconnected(usize, usize),
    /// Heartbeats to hosts that were replaced don't inform them of it.
    ReplacementNotSent,
}

/// A fault and when it is active.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    /// The fault.
    pub fault: Fault,
    /// When it starts.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
}

impl ScheduledFault {
    /// Builds a schedule from faults with their start and duration in seconds.
    pub fn list(faults: &[(Fault, f64, f64)]) -> Vec<Self> {
        let scheduled_fault = |&(fault, at, lasts): &(Fault, f64, f64)| Self {
            fault,
            at: Duration::from_secs_f64(at),
            lasts: Duration::from_secs_f64(lasts),
        };
        faults.iter().map(scheduled_fault).collect()
    }

    pub(super) fn is_active_at(&self, now: Duration) -> bool {
        self.at <= now && now < self.at + self.lasts
    }
}
