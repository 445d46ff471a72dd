//! The report that a run prints, as one line of JSON.

use ids::{HostId, Reason};
use indexmap::IndexMap;
use serde::Serialize;
use smol_str::SmolStr;
use standin::judge::{Churn, Fault, Unavailability};
use standin::load::{Latencies, Summary};

use crate::cluster::usage::Usage;
use crate::scenario::changes::ChangesReport;
use crate::scenario::{Expectations, Picks};

/// A violation of the product's guarantees, or of what the scenario requires.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", tag = "violation")]
pub enum Violation {
    /// The judge found a fault in the journals or the records.
    Judged {
        /// The fault.
        fault: Fault,
    },
    /// Requests were cut in a trial that allows no cut requests.
    Cut {
        /// Number of requests.
        count: u64,
    },
    /// A host's process exited unexpectedly.
    HostEnded {
        /// The host.
        host: HostId,
    },
    /// A host went back to an earlier version of the catalogue.
    Reverted {
        /// Number of times.
        count: u64,
    },
    /// A change of the catalogue never came into force on a host.
    NotInForce {
        /// Number of pairs of a change and a host.
        count: u64,
    },
}

/// An aim that the run missed; unlike a violation, it doesn't fail the trial.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", tag = "aim")]
pub enum MissedAim {
    /// Requests were refused.
    Refusals {
        /// Number of requests.
        count: u64,
    },
    /// Keys changed owner.
    Churn {
        /// Number of keys.
        keys: u64,
    },
    /// A key was unavailable for too long.
    Unavailable {
        /// Longest unavailability of a key, in milliseconds.
        max_ms: f64,
        /// Longest unavailability that the aim allows, in milliseconds.
        aim_ms: f64,
    },
}

/// Results of one phase of the load.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PhaseReport {
    /// Requests sent per second.
    pub sent_per_s: f64,
    /// Answers within the deadline, per second.
    pub goodput_per_s: f64,
    /// Latencies of answers.
    pub answers: Latencies,
    /// Latencies of refusals.
    pub refusals: Latencies,
}

/// Load on the platform's table.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct TableLoad {
    /// Reads per second.
    pub reads_per_s: f64,
    /// Writes per second.
    pub writes_per_s: f64,
    /// Total number of writes.
    pub writes: u64,
    /// Writes that had no effect because a check failed.
    pub conflicts: u64,
}

/// Results of one run of a scenario.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct RunReport {
    /// Name of the scenario.
    pub scenario: SmolStr,
    /// Name of the layout.
    pub layout: SmolStr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of hosts that run from the start.
    pub hosts: u64,
    /// Number of upstreams.
    pub upstreams: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests that did not run, by reason.
    pub refused: IndexMap<SmolStr, u64>,
    /// Requests that may have run, by reason.
    pub unknown: IndexMap<SmolStr, u64>,
    /// Requests that may have run, and requests whose connection failed.
    pub cut: u64,
    /// Latencies of answers.
    pub answers: Latencies,
    /// Results of each phase of the load, if there are several.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub phases: Vec<PhaseReport>,
    /// Latency up to which an answer counts as immediate, in milliseconds.
    pub at_once_ms: u64,
    /// Times for which keys were unavailable.
    pub unavailable: Unavailability,
    /// Times for which keys were unavailable at hosts in the domain of the key's owner.
    pub unavailable_at_home: Unavailability,
    /// Changes of key ownership.
    pub churn: Churn,
    /// Violations.
    pub violations: Vec<Violation>,
    /// Missed aims.
    pub missed: Vec<MissedAim>,
    /// Load on the platform's table.
    pub table: TableLoad,
    /// Results of the changes of the catalogue.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub changes: Option<ChangesReport>,
    /// CPU time and peak memory of each host.
    pub usage: IndexMap<HostId, Usage>,
    /// Hosts, upstreams and domain to which the steps applied.
    pub picks: Picks,
    /// Directory with logs and journals, if it was kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kept: Option<String>,
}

impl RunReport {
    /// Compares the results with the scenario's expectations.
    ///
    /// Adds to the violations that the judge found, and records the missed aims.
    pub fn check_expectations(&mut self, expect: Expectations) {
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
pub fn count_cut(summary: &Summary) -> u64 {
    let is_client_reason = |reason: &SmolStr| reason.parse::<Reason>().is_err();
    let connection_failures = summary.not_run.iter().filter(|(r, _)| is_client_reason(r));
    let unknown: u64 = summary.unknown.values().sum();
    unknown + connection_failures.map(|(_, n)| n).sum::<u64>()
}
