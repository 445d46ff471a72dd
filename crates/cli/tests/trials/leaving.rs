//! Real processes that drain: no request is cut.

use crate::support::{assert_clean, assert_uncut, trial};

#[test]
fn a_host_leaves() {
    let report = trial("host-term");
    assert_clean(&report);
    assert_uncut(&report);
}

#[test]
fn an_upstream_leaves() {
    // New work later than 2 s after the announcement is reported as a violation.
    let report = trial("upstream-drain");
    assert_clean(&report);
    assert_uncut(&report);
}

#[test]
fn nothing_happens() {
    let report = trial("quiet");
    assert_clean(&report);
    assert_uncut(&report);
}
