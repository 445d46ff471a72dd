//! Requests that are retried, and requests that are not.

use std::time::Duration;

use direct::{AttemptEnd, RetryDecision, RetrySettings, RetryState};
use ids::Reason;

struct Case {
    name: &'static str,
    idempotent: bool,
    max_attempts: u32,
    budget: u32,
    ends: &'static [AttemptEnd],
    /// Whether the request is retried after each end.
    retried: &'static [bool],
    may_have_run: bool,
}

const BROKEN: AttemptEnd = AttemptEnd::MayHaveRun(Reason::UpstreamReset);
const SHED: AttemptEnd = AttemptEnd::NotRun(Reason::UpstreamShed);
const UNSENT: AttemptEnd = AttemptEnd::Unsent(Reason::ConnectFailed);

const CASES: &[Case] = &[
    Case {
        name: "a non-idempotent request that may have run is never retried",
        idempotent: false,
        max_attempts: 5,
        budget: 9,
        ends: &[BROKEN],
        retried: &[false],
        may_have_run: true,
    },
    Case {
        name: "a non-idempotent request that was not run is retried",
        idempotent: false,
        max_attempts: 2,
        budget: 9,
        ends: &[SHED, BROKEN],
        retried: &[true, false],
        may_have_run: true,
    },
    Case {
        name: "an idempotent request runs at no more upstreams than its route allows",
        idempotent: true,
        max_attempts: 2,
        budget: 9,
        ends: &[BROKEN, BROKEN],
        retried: &[true, false],
        may_have_run: true,
    },
    Case {
        name: "nothing is retried without budget",
        idempotent: true,
        max_attempts: 3,
        budget: 0,
        ends: &[SHED],
        retried: &[false],
        may_have_run: false,
    },
    Case {
        name: "attempts that were not sent cost no budget, but are limited",
        idempotent: false,
        max_attempts: 1,
        budget: 0,
        ends: &[UNSENT, UNSENT, UNSENT, UNSENT],
        retried: &[true, true, true, false],
        may_have_run: false,
    },
    Case {
        name: "a misdirected request is retried a few times",
        idempotent: false,
        max_attempts: 1,
        budget: 9,
        ends: &[AttemptEnd::Misdirected; 4],
        retried: &[true, true, true, false],
        may_have_run: false,
    },
];

#[test]
fn retries_follow_the_route_and_the_budget() {
    for case in CASES {
        let cfg = RetrySettings::default();
        let mut state = RetryState::default();
        let mut budget = case.budget;
        for (i, (&end, &retried)) in case.ends.iter().zip(case.retried).enumerate() {
            let take_budget = || {
                let left = budget > 0;
                budget = budget.saturating_sub(1);
                left
            };
            let decision =
                state.record_end(end, case.idempotent, case.max_attempts, &cfg, take_budget);
            assert_eq!(
                matches!(decision, RetryDecision::Retry { .. }),
                retried,
                "{}: {i}",
                case.name
            );
        }
        assert_eq!(state.may_have_run(), case.may_have_run, "{}", case.name);
    }
}

#[test]
fn misdirected_requests_are_retried_with_growing_delays() {
    let cfg = RetrySettings::default();
    let mut state = RetryState::default();
    let mut last = Duration::ZERO;
    for _ in 0..3 {
        let decision = state.record_end(AttemptEnd::Misdirected, false, 1, &cfg, || true);
        let RetryDecision::Retry { delay } = decision else {
            panic!("the request is not retried");
        };
        assert!(delay > last);
        last = delay;
    }
}
