//! What goes wrong, and when.

use std::time::Duration;

/// Something that goes wrong.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A host does not reach the store.
    HostWithoutStore(usize),
    /// A host does not reach an upstream.
    HostWithoutUpstream(usize, usize),
    /// A host stands still.
    HostPaused(usize),
    /// A host ends, and begins again at once.
    HostRestarts(usize),
    /// A host takes over, for whatever reason.
    TakeOver(usize),
    /// The network holds what hosts send to an upstream, and delivers it a while after the fault unless the sender
    /// has reset the connection, as it does with calls that it gives up and can't if it ends.
    NetworkHolds(usize),
    /// An upstream takes nothing new.
    UpstreamLeaves(usize),
    /// An upstream ends, and another run of it begins when the fault is over.
    UpstreamDown(usize),
    /// The store does not answer anybody.
    StoreDown,
    /// Orders get no answer and are carried out late.
    LateOrders,
    /// Commits get no answer, and some are carried out late.
    LostCommits,
    /// Two hosts don't hear each other.
    HostsApart(usize, usize),
    /// Hosts that were replaced are asked, but not told.
    NobodyTold,
}

/// A fault and its time.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// What goes wrong.
    pub fault: Fault,
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
}

impl Trouble {
    /// Builds troubles from faults with their begin and length in seconds.
    pub fn list(faults: &[(Fault, f64, f64)]) -> Vec<Self> {
        let trouble = |&(fault, at, lasts): &(Fault, f64, f64)| Self {
            fault,
            at: Duration::from_secs_f64(at),
            lasts: Duration::from_secs_f64(lasts),
        };
        faults.iter().map(trouble).collect()
    }

    pub(super) fn covers(&self, now: Duration) -> bool {
        self.at <= now && now < self.at + self.lasts
    }
}
