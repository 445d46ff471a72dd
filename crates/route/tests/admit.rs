//! Tests of rate and concurrency limits.

#[expect(dead_code, reason = "each test takes what it needs")]
mod support;

use std::time::Duration;

use catalogue::{Catalogue, Entry, Limits, Sharding};
use ids::Reason;
use route::{Admission, EntryKey, Ownership, Router};
use support::{entry, entry_id, ms};

fn router(limits: Limits) -> (Router, EntryKey) {
    let id = entry_id("tariffbok");
    let entry = Entry {
        limits,
        ..entry("t", Sharding::None)
    };
    let mut catalogue = Catalogue::default();
    catalogue.entries.insert(id.clone(), entry);
    let router = Router::build(&Router::default(), &catalogue, &Ownership::default());
    let key = router.entry_key(&id).expect("declared");
    (router, key)
}

struct Case {
    name: &'static str,
    rate_per_s: u32,
    hosts: u32,
    /// Times in milliseconds and the number of requests that are admitted at each, when as many as
    /// possible arrive.
    admitted: &'static [(u64, usize)],
    /// Delay in milliseconds after the last of these until the next request is admitted.
    retry_after: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "a burst, then the rate",
        rate_per_s: 100,
        hosts: 1,
        admitted: &[(0, 20), (10, 1), (50, 4), (10_000, 20)],
        retry_after: 10,
    },
    Case {
        name: "hosts share the rate",
        rate_per_s: 100,
        hosts: 10,
        admitted: &[(0, 4), (100, 1), (10_000, 4)],
        retry_after: 100,
    },
    Case {
        name: "a small share still admits an occasional request",
        rate_per_s: 1,
        hosts: 10,
        admitted: &[(0, 4), (9_000, 0), (10_000, 1), (29_000, 1), (90_000, 4)],
        retry_after: 10_000,
    },
    Case {
        name: "zero known hosts count as one",
        rate_per_s: 100,
        hosts: 0,
        admitted: &[(0, 20)],
        retry_after: 10,
    },
];

#[test]
fn rates() {
    for case in CASES {
        let (router, key) = router(Limits {
            rate_per_s: case.rate_per_s,
            ..Limits::default()
        });
        let mut admission = Admission::default();
        admission.configure(ms(0), &router, case.hosts);
        let mut last = None;
        for &(at, expect) in case.admitted {
            let mut count = 0;
            let rejected = loop {
                match admission.admit(ms(at), key) {
                    Ok(permit) => admission.release(permit),
                    Err(rejected) => break rejected,
                }
                count += 1;
            };
            assert_eq!(count, expect, "{} at {at} ms", case.name);
            assert_eq!(rejected.reason, Reason::RateLimit);
            last = Some(rejected.retry_after);
        }
        let last = last.expect("each case has steps").as_secs_f64() * 1_000.0;
        assert!(
            (last - case.retry_after as f64).abs() < 1.0,
            "{}: {last}",
            case.name
        );
    }
}

#[test]
fn concurrency() {
    let (limited, key) = router(Limits {
        concurrency: 2,
        rate_per_s: 1_000,
        ..Limits::default()
    });
    let (unlimited, _) = router(Limits::default());
    let mut admission = Admission::default();
    admission.configure(ms(0), &limited, 1);
    let first = admission.admit(ms(0), key).expect("a free permit");
    let second = admission.admit(ms(0), key).expect("a free permit");
    let third = admission.admit(ms(0), key).expect_err("no free permit");
    assert_eq!(third.reason, Reason::ConcurrencyLimit);
    assert!(third.retry_after > Duration::ZERO);

    admission.configure(ms(0), &unlimited, 1);
    let third = admission.admit(ms(0), key).expect("no limit");
    admission.configure(ms(0), &limited, 1);
    assert_eq!(
        admission.in_flight(key),
        3,
        "permits stay in use over a change"
    );
    admission.release(first);
    admission.release(second);
    let fourth = admission.admit(ms(0), key).expect("a free permit");
    assert_eq!(admission.in_flight(key), 2);
    admission.release(third);
    admission.release(fourth);
    assert_eq!(admission.in_flight(key), 0);
}

#[test]
fn a_new_share_holds_from_the_change_on() {
    let limits = Limits {
        rate_per_s: 100,
        ..Limits::default()
    };
    let (router, key) = router(limits);
    let mut admission = Admission::default();
    admission.configure(ms(0), &router, 1);
    admission.configure(ms(0), &router, 10);
    let mut count = 0;
    while let Ok(permit) = admission.admit(ms(0), key) {
        admission.release(permit);
        count += 1;
    }
    assert_eq!(count, 4, "accumulated tokens are cut to the new share");
}
