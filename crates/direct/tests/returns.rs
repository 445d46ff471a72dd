//! Detection of callers that were refused before and try again.

use std::time::Duration;

use direct::CallerRetries;

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
