//! Request rate that an upstream bears while it is cold.
//!
//! An upstream that has just started, or has lost its in-memory state, bears a few requests a
//! second and fails above that. Many hosts see an idle upstream come back at the same moment.
//! Requests to it are therefore counted by the one host that grants its permits, and none is sent
//! without a permit.

use std::time::Duration;

/// Number of hosts that may grant permits at the same upstream at the same time: while a host joins
/// or leaves, some hosts know of it and others don't yet.
const MAX_PERMIT_HOSTS: f64 = 2.0;

/// Request rate that the upstreams of an entry bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// Time for which they are cold after a start.
    pub duration: Duration,
    /// Requests a second that they bear during that time.
    pub per_s: f64,
}

/// How far the requests at a cold upstream, from all hosts together, may exceed what it bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupBounds {
    /// Factor on the rate that it bears.
    pub factor: f64,
    /// Requests that may be added to that in each second.
    pub slack: f64,
}

impl Default for WarmupBounds {
    /// Allows nothing beyond what an upstream bears.
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

impl Warmup {
    /// Returns the maximum number of requests that one host may start at a cold upstream within any
    /// second. It is at most what the upstream bears, and low enough that two hosts that both grant
    /// permits stay within `bounds`.
    #[must_use]
    pub fn max_starts_per_s(&self, bounds: &WarmupBounds) -> u32 {
        let allowed = self.per_s * bounds.factor + bounds.slack;
        let max_starts = self.per_s.min(allowed / MAX_PERMIT_HOSTS);
        (max_starts as u32).max(1)
    }
}

/// State of the warm-up of an upstream, as known to a host that wants to send to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Maximum number of starts within any second while the upstream is cold.
    pub max_starts_per_s: u32,
    /// Time for which it is cold after a start.
    pub duration: Duration,
    /// Time for which it is still cold; zero if it is not known to be cold.
    pub remaining: Duration,
}
