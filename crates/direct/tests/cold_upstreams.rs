//! Cold upstreams that all hosts send to at once: a failure domain that is restored, a hot key at
//! an owner that has just started, an upstream that fails again and again.
//!
//! The figures are those of current deployments: two slots, cold for three seconds, 7.6 requests a
//! second during that time, and in any second at most half more plus eight, over all hosts.

use std::time::Duration;

use direct::{
    ColdStart, PermitEnd, PermitReply, PermitRequest, PermitSettings, Permits, Priority, RateLimit,
    Warmup, WarmupBounds,
};
use ids::Timestamp;
use proptest::prelude::*;

const WARMUP: Warmup = Warmup {
    duration: Duration::from_secs(3),
    per_s: 7.6,
};
const BOUNDS: WarmupBounds = WarmupBounds {
    factor: 1.5,
    slack: 8.0,
};
const SLOTS: u32 = 2;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

fn permit_request(left_cold_ms: u64, may_wait: bool) -> PermitRequest {
    PermitRequest {
        priority: Priority::Equal,
        rank: 1,
        is_repeat: false,
        domain: None,
        until_objective: Duration::from_millis(300),
        until_deadline: Duration::from_secs(1),
        entry_service_time: Duration::from_millis(90),
        may_wait,
        cold: Some(ColdStart {
            max_starts_per_s: WARMUP.max_starts_per_s(&BOUNDS),
            duration: WARMUP.duration,
            remaining: Duration::from_millis(left_cold_ms),
        }),
        limit: RateLimit::default(),
        skipped_hosts: 0,
    }
}

/// Returns the maximum number of starts in any second.
fn max_starts_in_a_second(starts: &[u64]) -> usize {
    let within = |&from: &u64| {
        let second = from..from + 1_000;
        starts.iter().filter(|&ms| second.contains(ms)).count()
    };
    starts.iter().map(within).max().unwrap_or_default()
}

/// Simulates an upstream that gets a permit request `every_ms` and answers after `work_ms`; returns
/// the times of the starts.
fn simulate(
    permits: &mut Permits<u64>,
    ms: std::ops::Range<u64>,
    every_ms: u64,
    work_ms: u64,
    request_at: impl Fn(u64) -> PermitRequest,
) -> Vec<u64> {
    let mut starts = Vec::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    for ms in ms {
        let done = running.extract_if(.., |(_, until)| *until <= ms);
        for (request, _) in done.collect::<Vec<_>>() {
            permits.release(at(ms), request, PermitEnd::Answered, None);
        }
        let mut replies: Vec<(u64, PermitReply)> = permits.poll(at(ms));
        if ms % every_ms == 0 {
            replies.push((ms, permits.acquire(at(ms), ms, &request_at(ms))));
        }
        for (request, _) in replies
            .into_iter()
            .filter(|(_, reply)| *reply == PermitReply::Granted)
        {
            starts.push(ms);
            running.push((request, ms + work_ms));
        }
    }
    starts
}

#[test]
fn two_hosts_that_grant_permits_stay_within_the_bounds() {
    for (per_s, bounds) in [
        (7.6, BOUNDS),
        (7.6, WarmupBounds::default()),
        (40.0, BOUNDS),
        (1.0, BOUNDS),
    ] {
        let warmup = Warmup { per_s, ..WARMUP };
        let allowed = per_s * bounds.factor + bounds.slack;
        let most = f64::from(warmup.max_starts_per_s(&bounds));
        assert!(most <= per_s.max(1.0), "{per_s}: {most}");
        assert!(2.0 * most <= allowed.max(2.0), "{per_s}: {most}");
    }
    assert_eq!(WARMUP.max_starts_per_s(&BOUNDS), 7);
}

/// A key with fifty requests a second at an owner that has just started, and an upstream of a
/// restored domain that every host takes for idle.
#[test]
fn a_cold_upstream_gets_what_it_bears_and_a_warm_one_what_it_can_do() {
    struct Case {
        name: &'static str,
        may_wait: bool,
        cold_ms: u64,
        /// Maximum number of starts in any second, and minimum number in the first three.
        most: usize,
        least: usize,
    }
    let cases = [
        Case {
            name: "a hot key at a cold owner",
            may_wait: true,
            cold_ms: 9_000,
            most: 7,
            least: 20,
        },
        Case {
            name: "requests that may go elsewhere",
            may_wait: false,
            cold_ms: 9_000,
            most: 7,
            least: 20,
        },
        Case {
            name: "a hot key at a warm owner",
            may_wait: true,
            cold_ms: 0,
            // Three permits of 90 ms each.
            most: 34,
            least: 60,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        let cold = |ms: u64| permit_request(case.cold_ms.saturating_sub(ms), case.may_wait);
        let starts = simulate(&mut permits, 0..3_000, 20, 90, cold);
        assert!(
            max_starts_in_a_second(&starts) <= case.most,
            "{}: {starts:?}",
            case.name
        );
        assert!(
            starts.len() >= case.least,
            "{}: {}",
            case.name,
            starts.len()
        );
    }
}

/// A refusal gives the time until the next start, and no request is queued that can't be answered
/// in time.
#[test]
fn requests_beyond_the_limit_of_a_cold_upstream_are_refused_at_once() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    for request in 0..7 {
        assert_eq!(
            permits.acquire(at(request), request, &permit_request(3_000, false)),
            if request < 3 {
                PermitReply::Granted
            } else {
                PermitReply::Full {
                    retry_after: Duration::from_millis(45),
                }
            }
        );
    }
    for (request, ms) in [
        (0, 10),
        (1, 20),
        (2, 30),
        (10, 40),
        (11, 50),
        (12, 60),
        (13, 70),
    ] {
        permits.acquire(at(ms), request, &permit_request(3_000, false));
        permits.release(at(ms + 5), request, PermitEnd::Answered, None);
    }
    let reply = permits.acquire(at(100), 20, &permit_request(2_900, false));
    let PermitReply::RateLimited { retry_after } = reply else {
        panic!("not refused because the upstream is cold: {reply:?}");
    };
    let retry_at = at(100) + retry_after;
    assert_eq!(
        permits.acquire(retry_at, 21, &permit_request(2_000, false)),
        PermitReply::Granted
    );
    // A request on a key that would wait for longer than its caller does is also refused at once.
    let mut replies = Vec::new();
    for request in 30..60 {
        replies.push(permits.acquire(retry_at, request, &permit_request(2_000, true)));
    }
    let refused = replies
        .iter()
        .filter(|r| matches!(r, PermitReply::RateLimited { .. }))
        .count();
    assert!(refused >= 20, "{replies:?}");
    assert!(permits.has_waiting());
}

/// An upstream that responds again after a time without responses may have restarted without having
/// registered that yet.
#[test]
fn an_upstream_that_was_unresponsive_counts_as_cold() {
    struct Case {
        name: &'static str,
        /// Times at which requests ended without a response, in milliseconds before the next
        /// response.
        unanswered: &'static [u64],
        response: PermitEnd,
        is_cold: bool,
    }
    let cases = [
        Case {
            name: "after a second without a response",
            unanswered: &[1_000, 500, 400],
            response: PermitEnd::Answered,
            is_cold: true,
        },
        Case {
            name: "also if it rejects the first request",
            unanswered: &[1_000, 500],
            response: PermitEnd::OtherResponse,
            is_cold: true,
        },
        Case {
            name: "not after one missing answer",
            unanswered: &[1_000],
            response: PermitEnd::Answered,
            is_cold: false,
        },
        Case {
            name: "not after two answers that are missing at the same time",
            unanswered: &[100, 90],
            response: PermitEnd::Answered,
            is_cold: false,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        for (request, before) in (1_000..).zip(case.unanswered) {
            let ms = 2_000 - before;
            permits.acquire(at(ms), request, &permit_request(0, true));
            permits.release(at(ms), request, PermitEnd::NoResponse, None);
        }
        permits.acquire(at(2_000), 1, &permit_request(0, true));
        permits.release(at(2_000), 1, case.response, None);
        let starts = simulate(&mut permits, 2_001..4_500, 10, 40, |_| {
            permit_request(0, true)
        });
        let is_limited = max_starts_in_a_second(&starts) <= 8;
        assert_eq!(is_limited, case.is_cold, "{}: {starts:?}", case.name);
        let starts = simulate(&mut permits, 5_100..7_000, 10, 40, |_| {
            permit_request(0, true)
        });
        assert!(
            max_starts_in_a_second(&starts) > 20,
            "{}: warm again",
            case.name
        );
    }
}

proptest! {
    /// Whatever the hosts know of the upstream and however requests end, no more requests start
    /// within any second than it bears, from the time at which one host knew that it is cold.
    #[test]
    fn no_second_has_more_starts_than_a_cold_upstream_bears(
        asks in proptest::collection::vec((0_u64..40, 0_u64..400, any::<bool>(), any::<bool>(), 0_u8..4), 1..300)
    ) {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        let mut now = 0;
        let mut starts = Vec::new();
        let mut running: Vec<(u64, u64, u8)> = Vec::new();
        permits.acquire(at(0), u64::MAX, &permit_request(60_000, true));
        permits.release(at(0), u64::MAX, PermitEnd::Answered, None);
        for (request, (elapsed, work, may_wait, knows, end)) in (0..).zip(asks) {
            now += elapsed;
            let mut replies = Vec::new();
            let done = running.extract_if(.., |(_, until, _)| *until <= now);
            for (request, _, end) in done.collect::<Vec<_>>() {
                let end = match end {
                    0 => PermitEnd::Answered,
                    1 => PermitEnd::OtherResponse,
                    2 => PermitEnd::NoResponse,
                    _ => PermitEnd::Unknown,
                };
                permits.release(at(now), request, end, None);
            }
            let cold = permit_request(if knows { 3_000 } else { 0 }, may_wait);
            replies.push((request, permits.acquire(at(now), request, &cold)));
            replies.extend(permits.poll(at(now)));
            for (request, _) in replies.into_iter().filter(|(_, reply)| *reply == PermitReply::Granted) {
                starts.push(now);
                running.push((request, now + work, end));
            }
        }
        // The request at the beginning was a start too.
        starts.push(0);
        prop_assert!(max_starts_in_a_second(&starts) <= 7, "{starts:?}");
    }
}
