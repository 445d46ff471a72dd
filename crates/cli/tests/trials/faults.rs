//! Upstreams behind proxies that inject faults: each caller gets its own complete answer or a
//! correct outcome.

use crate::support::{assert_clean, trial};

/// Minimum number of requests that the trial sends.
const MIN_REQUESTS: u64 = 5_000;

#[test]
fn mixed_faults() {
    let report = trial("mixed-faults");
    assert_clean(&report);
    assert!(report.sent >= MIN_REQUESTS, "only {} requests", report.sent);
    assert!(
        !report.unknown.is_empty(),
        "no request was affected by a fault"
    );
}
