//! Checks a load's records and the upstreams' journals for faults.
//!
//! Journals and records from one machine share a clock, so their times are comparable.
//!
//! - [`execution`]: executions reconstructed from the journals.
//! - [`fault`]: the faults that the judge detects.
//! - [`owners`]: rules for upstreams, and churn.
//! - [`gaps`]: unavailability of slices and keys.
//! - [`balance`]: distribution of load across upstreams.

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
pub use execution::{Execution, ExecutionRef};
pub use fault::{Fault, SliceOrKey};
pub use gaps::{DurationQuantiles, GapSettings, Unavailability};
pub use owners::Churn;

/// Settings of the judge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JudgeSettings {
    /// Time for which a draining upstream may still get work, in milliseconds.
    pub leaving_grace_ms: u64,
    /// Settings of the measurement of unavailability.
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

/// The report of the judge.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Number of records.
    pub requests: u64,
    /// Number of executions.
    pub executions: u64,
    /// Detected faults.
    pub faults: Vec<Fault>,
    /// Changes of the owners of slices.
    pub slice_churn: Churn,
    /// Changes of the owners of keys.
    pub key_churn: Churn,
    /// Unavailability of slices or keys.
    pub unavailable: Unavailability,
    /// Distribution of the load of each entry across its upstreams.
    pub balance: IndexMap<EntryId, Balance>,
}

/// Checks a load's records and the journals of all upstreams, in any order.
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
