//! Judges a load by its records and the upstreams' journals.
//!
//! Journals and records of one machine share a clock, so that their times can be compared.
//!
//! - [`execution`]: executions as the journals tell them.
//! - [`fault`]: what must not happen.
//! - [`owners`]: rules about upstreams, and churn.
//! - [`gaps`]: for how long keys could not be served.
//! - [`balance`]: how evenly load fell across upstreams.

pub mod balance;
pub mod execution;
pub mod fault;
pub mod gaps;
pub mod owners;
mod requests;

use std::time::Duration;

use ids::EntryId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::journal::JournalLine;
use crate::load::Record;
pub use balance::Balance;
use execution::Executions;
pub use execution::{Execution, Place};
pub use fault::{Fault, Part};
pub use gaps::{GapSettings, Spans, Unavailable};
pub use owners::Churn;

/// Settings of a judgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JudgeSettings {
    /// Time for which an upstream that wants to leave may still get work, in milliseconds.
    pub leaving_grace_ms: u64,
    /// How to find out for how long keys could not be served.
    pub gaps: GapSettings,
}

impl Default for JudgeSettings {
    fn default() -> Self {
        Self {
            leaving_grace_ms: 2_000,
            gaps: GapSettings::default(),
        }
    }
}

/// A judgement.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Requests sent.
    pub requests: u64,
    /// Executions.
    pub executions: u64,
    /// All that must not have happened.
    pub faults: Vec<Fault>,
    /// How often slices changed their owners.
    pub slice_churn: Churn,
    /// How often keys changed their owners.
    pub key_churn: Churn,
    /// For how long keys could not be served.
    pub unavailable: Unavailable,
    /// How evenly the load of each entry fell across its upstreams.
    pub balance: IndexMap<EntryId, Balance>,
}

/// Judges a load by its records and the journals of all upstreams, in any order.
#[must_use]
pub fn judge(records: &[Record], journals: &[JournalLine], cfg: JudgeSettings) -> Report {
    let mut executions = Executions::of(journals);
    let mut faults = std::mem::take(&mut executions.faults);
    let all = &executions.all;
    requests::check(records, all, &mut faults);
    owners::check_owners(all, &mut faults);
    owners::check_epochs(all, &mut faults);
    let grace = Duration::from_millis(cfg.leaving_grace_ms);
    owners::check_leaving(&executions, grace, &mut faults);
    owners::check_slots(&executions, &mut faults);
    Report {
        requests: records.len() as u64,
        executions: all.len() as u64,
        faults,
        slice_churn: owners::slice_churn(all),
        key_churn: owners::key_churn(all),
        unavailable: gaps::unavailable(records, cfg.gaps),
        balance: balance::balance(&executions),
    }
}
