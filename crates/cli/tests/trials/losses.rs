//! Real processes that are killed, suspended or disconnected: no guarantee may be violated, and
//! keys must be served again.

use crate::support::{assert_clean, assert_served_again, trial};

/// Time within which a key must be served again, also on a busy machine, in milliseconds.
const RECOVERY_LIMIT_MS: f64 = 5_000.0;

#[derive(Debug)]
struct Case {
    trial: &'static str,
    max_unavailable_ms: f64,
}

fn run(case: &Case) {
    let report = trial(case.trial);
    assert_clean(&report);
    assert_served_again(&report, case.max_unavailable_ms);
}

#[test]
fn a_coordinating_host_is_killed() {
    run(&Case {
        trial: "kill-coordinator",
        max_unavailable_ms: RECOVERY_LIMIT_MS,
    });
}

#[test]
fn an_upstream_is_killed() {
    run(&Case {
        trial: "kill-upstream",
        max_unavailable_ms: RECOVERY_LIMIT_MS,
    });
}

#[test]
fn an_upstream_that_checks_no_grants_is_killed() {
    run(&Case {
        trial: "kill-unchecked",
        max_unavailable_ms: RECOVERY_LIMIT_MS,
    });
}

#[test]
fn a_coordinating_host_stands_still_and_goes_on() {
    run(&Case {
        trial: "stop-coordinator",
        max_unavailable_ms: RECOVERY_LIMIT_MS,
    });
}

#[test]
fn an_upstream_that_checks_no_grants_stands_still_and_goes_on() {
    run(&Case {
        trial: "stop-unchecked",
        max_unavailable_ms: RECOVERY_LIMIT_MS,
    });
}

#[test]
fn a_coordinating_host_is_lost_while_the_platform_is_down() {
    run(&Case {
        trial: "outage-10s-kill-coordinator",
        max_unavailable_ms: RECOVERY_LIMIT_MS,
    });
}

#[test]
fn a_domain_is_cut_off() {
    // Hosts outside the domain can't serve its keys while it is disconnected.
    let cut_ms = 8_000.0;
    run(&Case {
        trial: "cut-both",
        max_unavailable_ms: cut_ms + RECOVERY_LIMIT_MS,
    });
}

/// A coordinating host that did not reach its upstreams took them for failed.
#[test]
fn a_coordinating_host_is_cut_off_from_upstreams() {
    for trial in ["cut-links-hang", "cut-links-reset", "cut-links-refuse"] {
        run(&Case {
            trial,
            max_unavailable_ms: RECOVERY_LIMIT_MS,
        });
    }
}
