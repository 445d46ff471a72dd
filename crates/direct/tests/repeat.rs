//! What is sent again, and what is not.

use std::time::Duration;

use direct::{Ended, Next, RepeatSettings, Tries};
use ids::Reason;

struct Case {
    name: &'static str,
    idempotent: bool,
    max_attempts: u32,
    budget: u32,
    ends: &'static [Ended],
    /// Whether the request is sent again after each end.
    again: &'static [bool],
    may_have_run: bool,
}

const BROKEN: Ended = Ended::Broken(Reason::UpstreamReset);
const SHED: Ended = Ended::NotRun(Reason::UpstreamShed);
const UNSENT: Ended = Ended::Unsent(Reason::ConnectFailed);

const CASES: &[Case] = &[
    Case {
        name: "a non-idempotent request that may have run is never sent again",
        idempotent: false,
        max_attempts: 5,
        budget: 9,
        ends: &[BROKEN],
        again: &[false],
        may_have_run: true,
    },
    Case {
        name: "a non-idempotent request that was not run goes elsewhere",
        idempotent: false,
        max_attempts: 2,
        budget: 9,
        ends: &[SHED, BROKEN],
        again: &[true, false],
        may_have_run: true,
    },
    Case {
        name: "an idempotent request runs at no more upstreams than its route allows",
        idempotent: true,
        max_attempts: 2,
        budget: 9,
        ends: &[BROKEN, BROKEN],
        again: &[true, false],
        may_have_run: true,
    },
    Case {
        name: "nothing is sent again without budget",
        idempotent: true,
        max_attempts: 3,
        budget: 0,
        ends: &[SHED],
        again: &[false],
        may_have_run: false,
    },
    Case {
        name: "what was not sent costs no budget, but ends too",
        idempotent: false,
        max_attempts: 1,
        budget: 0,
        ends: &[UNSENT, UNSENT, UNSENT, UNSENT],
        again: &[true, true, true, false],
        may_have_run: false,
    },
    Case {
        name: "a request without its key's owner is sent a few times",
        idempotent: false,
        max_attempts: 1,
        budget: 9,
        ends: &[Ended::Misdirected; 4],
        again: &[true, true, true, false],
        may_have_run: false,
    },
];

#[test]
fn repeats_follow_the_route_and_the_budget() {
    for case in CASES {
        let cfg = RepeatSettings::default();
        let mut tries = Tries::default();
        let mut budget = case.budget;
        for (i, (&ended, &again)) in case.ends.iter().zip(case.again).enumerate() {
            let withdraw = || {
                let left = budget > 0;
                budget = budget.saturating_sub(1);
                left
            };
            let next = tries.next(ended, case.idempotent, case.max_attempts, &cfg, withdraw);
            assert_eq!(
                matches!(next, Next::Again { .. }),
                again,
                "{}: {i}",
                case.name
            );
        }
        assert_eq!(tries.may_have_run(), case.may_have_run, "{}", case.name);
    }
}

#[test]
fn a_moving_key_is_looked_for_with_growing_pauses() {
    let cfg = RepeatSettings::default();
    let mut tries = Tries::default();
    let mut last = Duration::ZERO;
    for _ in 0..3 {
        let next = tries.next(Ended::Misdirected, false, 1, &cfg, || true);
        let Next::Again { pause } = next else {
            panic!("it is sent again");
        };
        assert!(pause > last);
        last = pause;
    }
}
