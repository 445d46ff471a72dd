//! How many requests an upstream bears while it is cold.
//!
//! An upstream that has just started, or has lost what it had in memory, bears a few requests a second and
//! falls over above that. Many hosts see an idle upstream come back at the same moment, so what goes there
//! is counted by the one host that hands out its permits, and nothing goes without a permit.

use std::time::Duration;

/// Hosts that may hand out permits at one upstream at the same time: while a host joins or leaves, some
/// know of it and others don't yet.
const PERMIT_HOSTS: f64 = 2.0;

/// What the upstreams of an entry bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warmup {
    /// How long they are cold after a start.
    pub span: Duration,
    /// Requests a second that they bear meanwhile.
    pub per_s: f64,
}

/// How far the requests at a cold upstream may exceed what it bears, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupBounds {
    /// As a factor.
    pub over: f64,
    /// Requests beside that in one second.
    pub slack: f64,
}

impl Default for WarmupBounds {
    /// Allows nothing beyond what an upstream bears.
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
        }
    }
}

impl Warmup {
    /// Returns the most requests that one host may let start at a cold upstream within any second: what
    /// the upstream bears, and so few that two hosts which both hand out permits stay within `bounds`.
    #[must_use]
    pub fn most_starts(&self, bounds: &WarmupBounds) -> u32 {
        let allowed = self.per_s * bounds.over + bounds.slack;
        let most = self.per_s.min(allowed / PERMIT_HOSTS);
        (most as u32).max(1)
    }
}

/// What a host knows of the warm-up of an upstream that it wants to send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Most requests that may start there within any second while it is cold.
    pub most: u32,
    /// How long it is cold after a start.
    pub span: Duration,
    /// How long it stays cold from now; zero if it is not known to be cold.
    pub left: Duration,
}
