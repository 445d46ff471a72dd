//! Which faults a proxy makes, and how often.

use serde::{Deserialize, Serialize};

/// A fault that one exchange of a connection meets.
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
    /// The connection is cut before any of the request goes on.
    CutBeforeRequest,
    /// The connection is cut after so many bytes of the request.
    CutRequestAfter(u64),
    /// The connection is cut once the whole answer could come, of which none goes on.
    CutBeforeAnswer,
    /// The connection is cut after so many bytes of the answer.
    CutAnswerAfter(u64),
    /// The answer is thrown away; the connection stays.
    DropAnswer,
    /// Both ways are thrown away; the connection stays.
    Blackhole,
    /// The client's bytes are held until the plan changes, and go on then.
    StallRequest,
    /// The server's bytes are held until the plan changes, and go on then.
    StallAnswer,
    /// Both ways are held until the plan changes, as in a network partition that heals.
    Stall,
}

/// A fault and how often it strikes.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultShare {
    /// Fault.
    pub fault: Fault,
    /// Share of the exchanges that meet it, from 0 to 1.
    pub share: f64,
}

/// Delays of all bytes that go on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delay {
    /// Delay towards the server, in milliseconds.
    pub request_ms: f64,
    /// Delay towards the client, in milliseconds.
    pub answer_ms: f64,
    /// Greatest delay on top of either, drawn evenly, in milliseconds.
    pub jitter_ms: f64,
}

/// Which faults a proxy makes, and how often.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Whether new connections are refused, as by a host without a listening process.
    pub refuse: bool,
    /// Delays.
    pub delay: Delay,
    /// Faults that exchanges meet; what the shares leave of one passes.
    pub faults: Vec<FaultShare>,
}

impl FaultPlan {
    /// Builds a plan by which each exchange meets `fault`.
    #[must_use]
    pub fn always(fault: Fault) -> Self {
        Self {
            faults: vec![FaultShare { fault, share: 1.0 }],
            ..Self::default()
        }
    }

    /// Builds a plan by which new connections are refused.
    #[must_use]
    pub fn refuse() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }

    /// Returns the fault at `draw`, a number from 0 to 1.
    #[must_use]
    pub fn fault_at(&self, draw: f64) -> Fault {
        let mut upto = 0.0;
        for FaultShare { fault, share } in &self.faults {
            upto += share;
            if draw < upto {
                return *fault;
            }
        }
        Fault::Pass
    }
}

/// A plan and its number; each change raises the number.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NumberedPlan {
    /// Number.
    pub number: u64,
    /// Plan.
    pub plan: FaultPlan,
}
