//! Tests of retries, retry budgets and deadlines.

use std::time::Duration;

use ids::{Outcome, Reason, Timestamp};
use proptest::prelude::*;
use route::{
    AttemptEnd, BudgetSettings, DeadlineSettings, RequestEnd, RetryBudget, RetryDecision,
    RetrySettings, RetryState,
};

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn failed(reason: Reason) -> AttemptEnd {
    AttemptEnd::Failed {
        reason,
        retry_after: None,
    }
}

/// Expected decision after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Answered,
    Refused(Reason),
    Retry(u64),
    Elsewhere(u64),
}

struct Case {
    name: &'static str,
    idempotent: bool,
    divided: bool,
    /// Retries in the budget.
    budget: u32,
    deadline: u64,
    /// Ends of consecutive attempts, each with the expected decision.
    attempts: &'static [(AttemptEnd, Expected)],
}

impl Case {
    const BASE: Self = Self {
        name: "",
        idempotent: true,
        divided: true,
        budget: 9,
        deadline: 1_000,
        attempts: &[],
    };
}

const fn failure(reason: Reason) -> AttemptEnd {
    AttemptEnd::Failed {
        reason,
        retry_after: None,
    }
}

const fn failure_with_hint(reason: Reason, delay: u64) -> AttemptEnd {
    AttemptEnd::Failed {
        reason,
        retry_after: Some(Duration::from_millis(delay)),
    }
}

use Expected::{Answered, Elsewhere, Refused, Retry};

const CASES: &[Case] = &[
    Case {
        name: "an answer is final",
        attempts: &[(AttemptEnd::Answered, Answered)],
        ..Case::BASE
    },
    Case {
        name: "what certainly did not run is retried, regardless of class",
        idempotent: false,
        attempts: &[
            (failure(Reason::UpstreamShed), Retry(5)),
            (failure(Reason::UpstreamShed), Retry(10)),
            (AttemptEnd::Answered, Answered),
        ],
        ..Case::BASE
    },
    Case {
        name: "a non-idempotent request that may have run is not retried",
        idempotent: false,
        attempts: &[(
            failure(Reason::UpstreamReset),
            Refused(Reason::UpstreamReset),
        )],
        ..Case::BASE
    },
    Case {
        name: "a request may have run at a host that failed",
        idempotent: false,
        attempts: &[
            (failure(Reason::HostUnreachable), Retry(5)),
            (failure(Reason::HostLost), Refused(Reason::HostLost)),
        ],
        ..Case::BASE
    },
    Case {
        name: "an idempotent request is retried after its host failed",
        attempts: &[
            (failure(Reason::HostLost), Retry(5)),
            (AttemptEnd::Answered, Answered),
        ],
        ..Case::BASE
    },
    Case {
        name: "a later refusal does not hide that an earlier attempt may have run",
        attempts: &[
            (failure(Reason::AnswerCut), Retry(5)),
            (failure(Reason::NoLease), Retry(5)),
            (failure(Reason::QueueFull), Refused(Reason::AnswerCut)),
        ],
        ..Case::BASE
    },
    Case {
        name: "an empty budget does not hide that an earlier attempt may have run",
        budget: 1,
        attempts: &[
            (failure(Reason::UpstreamReset), Retry(5)),
            (
                failure(Reason::UpstreamShed),
                Refused(Reason::UpstreamReset),
            ),
        ],
        ..Case::BASE
    },
    Case {
        name: "retries are charged to the budget",
        budget: 1,
        attempts: &[
            (failure(Reason::UpstreamShed), Retry(5)),
            (failure(Reason::UpstreamShed), Refused(Reason::RetryBudget)),
        ],
        ..Case::BASE
    },
    Case {
        name: "reroutes are not charged to the budget and back off up to a maximum",
        budget: 0,
        attempts: &[
            (failure(Reason::StaleRoute), Retry(5)),
            (failure(Reason::NoLease), Retry(10)),
            (failure(Reason::Moving), Retry(20)),
            (failure(Reason::HostUnreachable), Retry(40)),
            (failure(Reason::NoOwner), Retry(80)),
            (failure(Reason::Leaving), Retry(100)),
            (failure(Reason::GrantRefused), Retry(100)),
        ],
        ..Case::BASE
    },
    Case {
        name: "only the owner can serve a key, so a full queue ends the request",
        attempts: &[(
            failure_with_hint(Reason::QueueFull, 70),
            Refused(Reason::QueueFull),
        )],
        ..Case::BASE
    },
    Case {
        name: "another upstream can serve an undivided entry, and the hint is ignored",
        divided: false,
        attempts: &[
            (failure_with_hint(Reason::QueueFull, 70), Elsewhere(5)),
            (failure_with_hint(Reason::Overload, 70), Elsewhere(10)),
            (failure(Reason::ConnectFailed), Elsewhere(20)),
            (failure(Reason::UpstreamShed), Refused(Reason::UpstreamShed)),
        ],
        ..Case::BASE
    },
    Case {
        name: "the owner's hint is respected",
        attempts: &[(failure_with_hint(Reason::UpstreamShed, 70), Retry(70))],
        ..Case::BASE
    },
    Case {
        name: "a request without time for another attempt ends at once",
        deadline: 7,
        attempts: &[
            (failure(Reason::StaleRoute), Retry(5)),
            (failure(Reason::StaleRoute), Refused(Reason::StaleRoute)),
        ],
        ..Case::BASE
    },
    Case {
        name: "a hint beyond the deadline ends the request at once",
        attempts: &[(
            failure_with_hint(Reason::NoLease, 2_000),
            Refused(Reason::NoLease),
        )],
        ..Case::BASE
    },
    Case {
        name: "an unreachable owner is a routing failure, as the key may get another owner",
        budget: 0,
        attempts: &[(failure_with_hint(Reason::ConnectFailed, 50), Retry(50))],
        ..Case::BASE
    },
    Case {
        name: "a failure that no attempt can remedy is final",
        divided: false,
        attempts: &[(failure(Reason::Duplicate), Refused(Reason::Duplicate))],
        ..Case::BASE
    },
];

#[test]
fn retries() {
    for case in CASES {
        let settings = RetrySettings::default();
        let deadline = ms(case.deadline);
        let mut state = RetryState::new(settings, case.idempotent, case.divided, deadline);
        let mut budget = RetryBudget::new(BudgetSettings {
            percent: 0,
            floor: case.budget,
            ..BudgetSettings::default()
        });
        for (i, &(end, expect)) in case.attempts.iter().enumerate() {
            let context = format!("{}: attempt {i}", case.name);
            let next = state.start().ended(ms(0), end, &mut budget);
            let (found, again) = match next {
                RetryDecision::Done(end) => (refused(end), None),
                RetryDecision::Retry { state, delay, .. } => {
                    (Retry(delay.as_millis() as u64), Some(state))
                }
                RetryDecision::RetryElsewhere { state, delay, .. } => {
                    (Elsewhere(delay.as_millis() as u64), Some(state))
                }
            };
            assert_eq!(found, expect, "{context}");
            let Some(again) = again else {
                assert_eq!(i + 1, case.attempts.len(), "{context}");
                break;
            };
            state = again;
        }
    }
}

fn refused(end: RequestEnd) -> Expected {
    let Some(reason) = end.reason else {
        assert_eq!(end.outcome, Outcome::Answered);
        return Answered;
    };
    assert_eq!(end.outcome, reason.outcome());
    Refused(reason)
}

#[test]
fn reroutes_are_bounded() {
    let settings = RetrySettings {
        reroutes_max: 4,
        ..RetrySettings::default()
    };
    let mut state = RetryState::new(settings, true, true, Timestamp::NEVER);
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut attempts = 0;
    let end = loop {
        attempts += 1;
        match state
            .start()
            .ended(ms(0), failed(Reason::NoOwner), &mut budget)
        {
            RetryDecision::Done(end) => break end,
            RetryDecision::Retry { state: next, .. }
            | RetryDecision::RetryElsewhere { state: next, .. } => {
                state = next;
            }
        }
    };
    assert_eq!((attempts, end.reason), (5, Some(Reason::NoOwner)));
    assert!(end.retry_after.is_some_and(|d| d > Duration::ZERO));
}

#[test]
fn budgets_follow_the_window() {
    let mut budget = RetryBudget::new(BudgetSettings {
        percent: 10,
        floor: 2,
        window: millis(1_000),
    });
    let drain =
        |budget: &mut RetryBudget, now| (0..1_000).take_while(|_| budget.withdraw(now)).count();
    assert_eq!(drain(&mut budget, ms(0)), 2, "the floor");
    for _ in 0..100 {
        budget.record_request(ms(500));
    }
    assert_eq!(drain(&mut budget, ms(500)), 10, "a tenth of the requests");
    assert_eq!(drain(&mut budget, ms(999)), 0, "spent");
    assert_eq!(
        drain(&mut budget, ms(1_050)),
        2,
        "the first retries have left the window"
    );
    assert_eq!(drain(&mut budget, ms(1_499)), 0);
    assert_eq!(
        drain(&mut budget, ms(1_600)),
        0,
        "two retries of the floor are still in the window"
    );
    assert_eq!(
        drain(&mut budget, ms(9_000)),
        2,
        "all retries have left the window"
    );
    budget.configure(BudgetSettings {
        floor: 5,
        ..BudgetSettings::default()
    });
    assert_eq!(drain(&mut budget, ms(20_000)), 5);
}

#[test]
fn deadlines() {
    struct Case {
        header: Option<&'static [u8]>,
        expect: Result<u64, Reason>,
    }
    let cases = [
        (None, Ok(700)),
        (Some("1"), Ok(1)),
        (Some("59999"), Ok(59_999)),
        (Some("60001"), Ok(60_000)),
        (Some("99999999999999999999999999"), Ok(60_000)),
        (Some("0"), Err(Reason::DeadlineExpired)),
        (Some("000"), Err(Reason::DeadlineExpired)),
        (Some(""), Err(Reason::BadDeadline)),
        (Some("-5"), Err(Reason::BadDeadline)),
        (Some("+5"), Err(Reason::BadDeadline)),
        (Some("5.0"), Err(Reason::BadDeadline)),
        (Some("5 "), Err(Reason::BadDeadline)),
        (Some("5s"), Err(Reason::BadDeadline)),
    ];
    let cases = cases.map(|(text, expect)| Case {
        header: text.map(str::as_bytes),
        expect,
    });
    for case in cases {
        let left = DeadlineSettings::default().time_left(case.header, millis(700));
        assert_eq!(left, case.expect.map(millis), "{:?}", case.header);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of failures: a request ends, a non-idempotent one is not retried once it
    /// may have run, and the outcome is "not run" only if no attempt may have run.
    #[test]
    fn outcomes_match_what_may_have_run(
        idempotent: bool,
        divided: bool,
        deadline in 0..300_u64,
        attempts in prop::collection::vec((0..Reason::ALL.len(), 0..40_u64), 1..200),
    ) {
        let settings = RetrySettings::default();
        let mut state = RetryState::new(settings, idempotent, divided, ms(deadline));
        let mut budget = RetryBudget::new(BudgetSettings::default());
        let mut now = 0;
        let mut may_have_run = false;
        let mut ended = false;
        for (reason, took) in attempts {
            let reason = Reason::ALL[reason];
            prop_assert!(idempotent || !may_have_run, "retried although it may have run");
            may_have_run |= reason.outcome() == Outcome::Unknown;
            now += took;
            match state.start().ended(ms(now), failed(reason), &mut budget) {
                RetryDecision::Done(end) => {
                    let not_run = end.outcome == Outcome::NotRun;
                    prop_assert_eq!(not_run, !may_have_run);
                    prop_assert_eq!(Some(end.outcome), end.reason.map(Reason::outcome));
                    ended = true;
                    break;
                }
                RetryDecision::Retry { state: next, delay, .. } => {
                    prop_assert!(divided);
                    state = next;
                    now += delay.as_millis() as u64;
                }
                RetryDecision::RetryElsewhere { state: next, delay, .. } => {
                    prop_assert!(!divided);
                    state = next;
                    now += delay.as_millis() as u64;
                }
            }
            prop_assert!(now < deadline, "retried without time");
        }
        prop_assert!(ended || now < deadline);
    }
}
