//! Upstreams behind proxies that make faults: each caller has its own whole answer or a truthful
//! outcome.

use crate::support::{assert_clean, trial};

/// Requests that the trial sends at least.
const REQUESTS: u64 = 5_000;

#[test]
fn mixed_faults() {
    let report = trial("mixed-faults");
    assert_clean(&report);
    assert!(report.sent >= REQUESTS, "only {} requests", report.sent);
    assert!(!report.unknown.is_empty(), "no fault struck");
}
