//! The line that a run prints.

use ids::{HostId, Reason};
use indexmap::IndexMap;
use serde::Serialize;
use smol_str::SmolStr;
use standin::judge::{Churn, Fault, Unavailability};
use standin::load::{Latencies, Summary};

use crate::cluster::usage::Usage;
use crate::scenario::changes::ChangesReport;
use crate::scenario::{Expect, Picks};

/// Something that must not happen.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", tag = "violation")]
pub enum Violation {
    /// The judge found a fault.
    Judged {
        /// Fault.
        fault: Fault,
    },
    /// Requests were cut in a trial in which none may be.
    Cut {
        /// How many.
        count: u64,
    },
    /// A host's process ended though nobody told it to.
    HostEnded {
        /// Host.
        host: HostId,
    },
    /// A host's version of the catalogue fell.
    Reverted {
        /// How often.
        count: u64,
    },
    /// A change never came into force on a host.
    NotInForce {
        /// Pairs of a change and a host.
        count: u64,
    },
}

/// An aim that was missed.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", tag = "aim")]
pub enum MissedAim {
    /// Requests were refused.
    Refusals {
        /// How many.
        count: u64,
    },
    /// Keys changed their owners.
    Churn {
        /// How many keys.
        keys: u64,
    },
    /// A key was unavailable for too long.
    Unavailable {
        /// Longest time, in milliseconds.
        max_ms: f64,
        /// Aim, in milliseconds.
        aim_ms: f64,
    },
}

/// One part of the load.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PhaseReport {
    /// Requests sent a second.
    pub sent_per_s: f64,
    /// Answers in time, a second.
    pub goodput_per_s: f64,
    /// Latencies of answers.
    pub answers: Latencies,
    /// Latencies of refusals.
    pub refusals: Latencies,
}

/// The platform's load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct TableLoad {
    /// Reads a second.
    pub reads_per_s: f64,
    /// Writes a second.
    pub writes_per_s: f64,
    /// Writes in all.
    pub writes: u64,
    /// Writes that had no effect, as a check didn't hold.
    pub conflicts: u64,
}

/// What a run shows.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct RunReport {
    /// Scenario.
    pub scenario: SmolStr,
    /// Layout.
    pub layout: SmolStr,
    /// Seed.
    pub seed: u64,
    /// Hosts that run from the start.
    pub hosts: u64,
    /// Upstreams.
    pub upstreams: u64,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests that did not run, by reason.
    pub refused: IndexMap<SmolStr, u64>,
    /// Requests that may have run, by reason.
    pub unknown: IndexMap<SmolStr, u64>,
    /// Requests cut: those that may have run, and those whose connection failed.
    pub cut: u64,
    /// Latencies of answers.
    pub answers: Latencies,
    /// Parts of the load, if there are several.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub phases: Vec<PhaseReport>,
    /// Latency up to which an answer counts as served at once, in milliseconds.
    pub at_once_ms: u64,
    /// For how long keys could not be served.
    pub unavailable: Unavailability,
    /// The same, of requests to hosts in the domain of the key's owner.
    pub unavailable_at_home: Unavailability,
    /// How often keys changed their owners.
    pub churn: Churn,
    /// What must not have happened.
    pub violations: Vec<Violation>,
    /// Aims that were missed.
    pub missed: Vec<MissedAim>,
    /// The platform's load.
    pub table: TableLoad,
    /// What the changes of the catalogue showed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub changes: Option<ChangesReport>,
    /// CPU time and memory of each host.
    pub usage: IndexMap<HostId, Usage>,
    /// To whom things happened.
    pub picks: Picks,
    /// Folder with logs and journals, if it was kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kept: Option<String>,
}

impl RunReport {
    /// Adds violations and missed aims to what the judge found.
    pub fn weigh(&mut self, expect: Expect) {
        if expect.no_cut && self.cut > 0 {
            self.violations.push(Violation::Cut { count: self.cut });
        }
        if let Some(changes) = &self.changes {
            let (reverts, missing) = (changes.reverts, changes.missing);
            if reverts > 0 {
                self.violations.push(Violation::Reverted { count: reverts });
            }
            if missing > 0 {
                self.violations
                    .push(Violation::NotInForce { count: missing });
            }
        }
        let refusals: u64 = self.refused.values().sum();
        if expect.no_refusal && refusals > 0 {
            self.missed.push(MissedAim::Refusals { count: refusals });
        }
        if expect.no_churn && self.churn.moved > 0 {
            let keys = self.churn.moved;
            self.missed.push(MissedAim::Churn { keys });
        }
        let max_ms = self.unavailable.at_least.max_ms;
        if let Some(aim_ms) = expect.unavailable_ms
            && max_ms > aim_ms
        {
            self.missed.push(MissedAim::Unavailable { max_ms, aim_ms });
        }
    }
}

/// Counts requests that may have run, or whose connection failed.
#[must_use]
pub fn cut(summary: &Summary) -> u64 {
    let client = |reason: &SmolStr| reason.parse::<Reason>().is_err();
    let failed = summary.not_run.iter().filter(|(r, _)| client(r));
    let unknown: u64 = summary.unknown.values().sum();
    unknown + failed.map(|(_, n)| n).sum::<u64>()
}
