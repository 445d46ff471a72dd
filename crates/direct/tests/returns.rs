//! Detection of callers that were refused before and try again.

use std::time::Duration;

use direct::CallerRetries;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const TIMEOUT_MS: u64 = 2_500;

fn time_since_first_request(retries: &mut CallerRetries, wait_ms: u64) -> u64 {
    let elapsed = retries.time_since_first_request(&"r".into(), Duration::from_millis(wait_ms));
    elapsed.as_millis() as u64
}

#[test]
fn callers_with_less_time_left_have_come_back() {
    struct Case {
        name: &'static str,
        /// Timeouts of the previous 400 callers, repeated in turn.
        before: &'static [u64],
        wait: u64,
        /// Minimum and maximum time since the caller's first request, in milliseconds.
        ago: (u64, u64),
    }
    let cases = [
        Case {
            name: "a first request",
            before: &[TIMEOUT_MS],
            wait: TIMEOUT_MS,
            ago: (0, 0),
        },
        Case {
            name: "a second request after 800 ms",
            before: &[TIMEOUT_MS],
            wait: TIMEOUT_MS - 800,
            ago: (780, 800),
        },
        Case {
            name: "the same while half of all requests are second ones",
            before: &[TIMEOUT_MS, TIMEOUT_MS - 800],
            wait: TIMEOUT_MS - 800,
            ago: (700, 800),
        },
        Case {
            name: "a first request that took some time to arrive",
            before: &[TIMEOUT_MS],
            wait: TIMEOUT_MS - 20,
            ago: (0, 0),
        },
        Case {
            name: "a first request on a route whose callers now have a shorter timeout",
            before: &[1_000],
            wait: 1_000,
            ago: (0, 0),
        },
    ];
    for case in cases {
        let mut retries = CallerRetries::default();
        time_since_first_request(&mut retries, TIMEOUT_MS);
        for i in 0..400 {
            time_since_first_request(&mut retries, case.before[i % case.before.len()]);
        }
        let ago = time_since_first_request(&mut retries, case.wait);
        let (from, to) = case.ago;
        assert!((from..=to).contains(&ago), "{}: {ago} ms ago", case.name);
    }
}

/// A caller with ten times the usual timeout does not change the result for the others.
#[test]
fn an_unusual_caller_does_not_change_the_usual_timeout() {
    let mut retries = CallerRetries::default();
    for _ in 0..50 {
        time_since_first_request(&mut retries, TIMEOUT_MS);
    }
    time_since_first_request(&mut retries, 10 * TIMEOUT_MS);
    assert_eq!(time_since_first_request(&mut retries, TIMEOUT_MS), 0);
}

/// Guards against first requests that are taken for repeats, because the timeouts of callers differ:
/// under overload they were treated as late and refused.
#[test]
fn first_requests_with_different_timeouts_are_told_from_repeats() {
    struct Case {
        name: &'static str,
        /// Half of the range of first timeouts, as a fraction of their mean.
        spread: f64,
        /// Fraction of requests that are repeats, and the minimum and maximum time since their
        /// first requests in milliseconds.
        repeats: f64,
        elapsed: (u64, u64),
        /// Maximum fraction of first requests that are taken for repeats, and of repeats that are
        /// taken for first requests.
        mistaken: (f64, f64),
    }
    let cases = [
        Case {
            name: "first requests only",
            spread: 0.1,
            repeats: 0.0,
            elapsed: (600, 2_000),
            mistaken: (0.02, 0.0),
        },
        Case {
            name: "some repeats",
            spread: 0.08,
            repeats: 0.1,
            elapsed: (600, 2_000),
            mistaken: (0.02, 0.1),
        },
        Case {
            name: "two thirds are repeats",
            spread: 0.08,
            repeats: 0.67,
            elapsed: (600, 2_000),
            mistaken: (0.02, 0.15),
        },
        Case {
            name: "equal timeouts",
            spread: 0.0,
            repeats: 0.5,
            elapsed: (200, 1_200),
            mistaken: (0.0, 0.02),
        },
    ];
    for case in cases {
        let mut rng = StdRng::seed_from_u64(7);
        let mut retries = CallerRetries::default();
        let (mut first, mut repeats) = ((0_u32, 0_u32), (0_u32, 0_u32));
        for i in 0..4_000 {
            let own = 1.0 + case.spread * rng.random_range(-1.0..1.0);
            let timeout = (TIMEOUT_MS as f64 * own) as u64;
            let is_repeat = rng.random_bool(case.repeats);
            let elapsed = if is_repeat {
                rng.random_range(case.elapsed.0..case.elapsed.1)
            } else {
                0
            };
            let found = time_since_first_request(&mut retries, timeout - elapsed) > 0;
            if i < 200 {
                continue;
            }
            let counts = if is_repeat { &mut repeats } else { &mut first };
            counts.0 += 1;
            counts.1 += u32::from(found != is_repeat);
        }
        let fraction = |(all, wrong): (u32, u32)| f64::from(wrong) / f64::from(all.max(1));
        println!(
            "{}: {:.3} {:.3}",
            case.name,
            fraction(first),
            fraction(repeats)
        );
        assert!(fraction(first) <= case.mistaken.0, "{}: first", case.name);
        assert!(
            fraction(repeats) <= case.mistaken.1,
            "{}: repeats",
            case.name
        );
    }
}
