//! Cases of rate and concurrency limits.

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
    /// Times in milliseconds at which as many requests come as are let in, and their number.
    let_in: &'static [(u64, usize)],
    /// When the next one may come after the last of these, in milliseconds.
    retry_after: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "a burst, then the rate",
        rate_per_s: 100,
        hosts: 1,
        let_in: &[(0, 20), (10, 1), (50, 4), (10_000, 20)],
        retry_after: 10,
    },
    Case {
        name: "hosts share the rate",
        rate_per_s: 100,
        hosts: 10,
        let_in: &[(0, 4), (100, 1), (10_000, 4)],
        retry_after: 100,
    },
    Case {
        name: "a small share still lets one in now and then",
        rate_per_s: 1,
        hosts: 10,
        let_in: &[(0, 4), (9_000, 0), (10_000, 1), (29_000, 1), (90_000, 4)],
        retry_after: 10_000,
    },
    Case {
        name: "no host known is one host",
        rate_per_s: 100,
        hosts: 0,
        let_in: &[(0, 20)],
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
        for &(at, expect) in case.let_in {
            let mut count = 0;
            let rejected = loop {
                match admission.admit(ms(at), key) {
                    Ok(place) => admission.release(place),
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
    let first = admission.admit(ms(0), key).expect("a free place");
    let second = admission.admit(ms(0), key).expect("a free place");
    let third = admission.admit(ms(0), key).expect_err("no place");
    assert_eq!(third.reason, Reason::ConcurrencyLimit);
    assert!(third.retry_after > Duration::ZERO);

    admission.configure(ms(0), &unlimited, 1);
    let third = admission.admit(ms(0), key).expect("no limit");
    admission.configure(ms(0), &limited, 1);
    assert_eq!(
        admission.in_flight(key),
        3,
        "places stay taken over a change"
    );
    admission.release(first);
    admission.release(second);
    let fourth = admission.admit(ms(0), key).expect("a free place");
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
    while let Ok(place) = admission.admit(ms(0), key) {
        admission.release(place);
        count += 1;
    }
    assert_eq!(count, 4, "what was saved up is cut to the new share");
}
