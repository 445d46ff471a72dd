//! Real processes that are killed, stand still or are cut off: nothing wrong may happen, and keys
//! are served again.

use crate::support::{assert_clean, assert_served_again, trial};

/// Time after which a key must be served again, on a machine however busy, in milliseconds.
const SOON_MS: f64 = 5_000.0;

#[derive(Debug)]
struct Case {
    trial: &'static str,
    served_again_ms: f64,
}

fn run(case: &Case) {
    let report = trial(case.trial);
    assert_clean(&report);
    assert_served_again(&report, case.served_again_ms);
}

#[test]
fn a_coordinating_host_is_killed() {
    run(&Case {
        trial: "kill-coordinator",
        served_again_ms: SOON_MS,
    });
}

#[test]
fn an_upstream_is_killed() {
    run(&Case {
        trial: "kill-upstream",
        served_again_ms: SOON_MS,
    });
}

#[test]
fn an_upstream_that_checks_no_grants_is_killed() {
    run(&Case {
        trial: "kill-unchecked",
        served_again_ms: SOON_MS,
    });
}

#[test]
fn a_coordinating_host_stands_still_and_goes_on() {
    run(&Case {
        trial: "stop-coordinator",
        served_again_ms: SOON_MS,
    });
}

#[test]
fn an_upstream_that_checks_no_grants_stands_still_and_goes_on() {
    run(&Case {
        trial: "stop-unchecked",
        served_again_ms: SOON_MS,
    });
}

#[test]
fn a_coordinating_host_is_lost_while_the_platform_is_down() {
    run(&Case {
        trial: "outage-10s-kill-coordinator",
        served_again_ms: SOON_MS,
    });
}

#[test]
fn a_domain_is_cut_off() {
    // Its keys can't be served from outside for as long as the cut lasts.
    let cut_ms = 8_000.0;
    run(&Case {
        trial: "cut-both",
        served_again_ms: cut_ms + SOON_MS,
    });
}
