//! Faults that a proxy injects, and their frequencies.

use serde::{Deserialize, Serialize};

/// A fault injected into one exchange of a connection.
///
/// An exchange starts when the client sends after the server has sent, or sends first; over
/// HTTP/1.1 it is one request and its answer. Counts of bytes start with the exchange.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// None.
    #[default]
    Pass,
    /// Closes the connection before any of the request is forwarded.
    CutBeforeRequest,
    /// Closes the connection after this number of bytes of the request.
    CutRequestAfter(u64),
    /// Closes the connection when the answer's first bytes arrive, without forwarding any.
    CutBeforeAnswer,
    /// Closes the connection after this number of bytes of the answer.
    CutAnswerAfter(u64),
    /// Discards the answer; the connection stays open.
    DropAnswer,
    /// Discards both directions; the connection stays open.
    Blackhole,
    /// Holds the client's bytes until the plan changes.
    StallRequest,
    /// Holds the server's bytes until the plan changes.
    StallAnswer,
    /// Holds both directions until the plan changes, as in a network partition that heals.
    Stall,
}

/// A fault and its frequency.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultShare {
    /// Fault.
    pub fault: Fault,
    /// Fraction of the exchanges that it affects, from 0 to 1.
    pub share: f64,
}

/// Delays of all forwarded bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delay {
    /// Delay towards the server, in milliseconds.
    pub request_ms: f64,
    /// Delay towards the client, in milliseconds.
    pub answer_ms: f64,
    /// Maximum additional delay in either direction, uniformly distributed, in milliseconds.
    pub jitter_ms: f64,
}

/// Faults that a proxy injects, and their frequencies.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Whether new connections are refused, as on a host without a listening process.
    pub refuse: bool,
    /// Delays.
    pub delay: Delay,
    /// Faults of exchanges; the rest up to a total share of one has no fault.
    pub faults: Vec<FaultShare>,
}

impl FaultPlan {
    /// Creates a plan that injects `fault` into every exchange.
    #[must_use]
    pub fn always(fault: Fault) -> Self {
        Self {
            faults: vec![FaultShare { fault, share: 1.0 }],
            ..Self::default()
        }
    }

    /// Creates a plan that refuses new connections.
    #[must_use]
    pub fn refuse() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }

    /// Returns the fault selected by `sample`, a random number from 0 to 1.
    #[must_use]
    pub fn fault_at(&self, sample: f64) -> Fault {
        let mut cumulative = 0.0;
        for FaultShare { fault, share } in &self.faults {
            cumulative += share;
            if sample < cumulative {
                return *fault;
            }
        }
        Fault::Pass
    }
}

/// A plan and its number, which increases with each change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NumberedPlan {
    /// Number.
    pub number: u64,
    /// Plan.
    pub plan: FaultPlan,
}
