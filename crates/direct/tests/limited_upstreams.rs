//! Upstreams that announce a rate limit for all hosts together and get several times as many
//! requests.
//!
//! Guards against exceeding the limit in any four seconds: through requests from before the
//! announcement, through hosts that stand in for the permit host, through changes of the limit,
//! and through requests that are queued when it is announced.

use std::time::Duration;

use direct::{
    AnnouncedLimit, PermitEnd, PermitReply, PermitRequest, PermitSettings, Permits, Priority,
    RateLimit,
};
use ids::Timestamp;
use proptest::prelude::*;

const SLOTS: u32 = 4;
const SPAN_MS: u64 = 4_000;
/// Service time of a request.
const WORK_MS: u64 = 40;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

fn limit(ms: u64, per_s: f64) -> RateLimit {
    RateLimit::received_at(at(ms), Some(per_s))
}

fn permit_request(may_wait: bool, limit: RateLimit) -> PermitRequest {
    PermitRequest {
        priority: Priority::Equal,
        rank: 1,
        is_repeat: false,
        domain: None,
        until_objective: Duration::from_millis(300),
        until_deadline: Duration::from_secs(2),
        entry_service_time: Duration::from_millis(WORK_MS),
        may_wait,
        cold: None,
        limit,
        skipped_hosts: 0,
    }
}

/// Returns the maximum number of starts in any four seconds that begin at `from` or later.
fn max_starts(starts: &[u64], from: u64) -> usize {
    let within = |&start: &u64| {
        let span = start..start + SPAN_MS;
        starts.iter().filter(|&ms| span.contains(ms)).count()
    };
    let span_starts = starts.iter().filter(|&&ms| ms >= from);
    span_starts.map(within).max().unwrap_or_default()
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Simulation {
    starts: Vec<u64>,
    /// Maximum time from a permit request to its refusal, in milliseconds.
    longest_refusal: u64,
    refused: usize,
}

/// Simulates an upstream that gets a permit request `every_ms`.
fn simulate(
    permits: &mut Permits<u64>,
    ms: std::ops::Range<u64>,
    every_ms: u64,
    request_at: impl Fn(u64) -> PermitRequest,
) -> Simulation {
    let mut simulation = Simulation::default();
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
        for (request, reply) in replies {
            match reply {
                PermitReply::Granted => {
                    simulation.starts.push(ms);
                    running.push((request, ms + WORK_MS));
                }
                PermitReply::Full { .. } | PermitReply::RateLimited { .. } => {
                    simulation.refused += 1;
                    simulation.longest_refusal = simulation.longest_refusal.max(ms - request);
                }
                PermitReply::Queued { .. } => {}
            }
        }
    }
    simulation
}

/// An upstream that got thirty requests a second announces a limit at 4 s.
#[test]
fn an_upstream_gets_no_more_than_its_limit() {
    struct Case {
        name: &'static str,
        per_s: f64,
        may_wait: bool,
        /// Number of hosts that rank before the one that grants the permits, and did not reply.
        skipped_hosts: u32,
        /// Maximum number of starts in any four seconds once the limit is known, and minimum number
        /// in the last twelve seconds.
        most: usize,
        least: usize,
    }
    let cases = [
        Case {
            name: "requests on a key",
            per_s: 8.0,
            may_wait: true,
            skipped_hosts: 0,
            most: 32,
            least: 90,
        },
        Case {
            name: "requests that may go elsewhere",
            per_s: 8.0,
            may_wait: false,
            skipped_hosts: 0,
            most: 32,
            least: 85,
        },
        Case {
            name: "fewer than one a second",
            per_s: 0.6,
            may_wait: false,
            skipped_hosts: 0,
            most: 2,
            least: 5,
        },
        Case {
            name: "a limit of zero: an occasional request finds out whether it is still in force",
            per_s: 0.0,
            may_wait: true,
            skipped_hosts: 0,
            most: 1,
            least: 1,
        },
        Case {
            name: "a limit above the request rate",
            per_s: 1_000.0,
            may_wait: true,
            skipped_hosts: 0,
            most: 122,
            least: 350,
        },
        Case {
            name: "at a host that stands in for another",
            per_s: 8.0,
            may_wait: true,
            skipped_hosts: 1,
            most: 8,
            least: 20,
        },
        Case {
            name: "at a host that stands in for two",
            per_s: 8.0,
            may_wait: true,
            skipped_hosts: 2,
            most: 2,
            least: 5,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        let before = simulate(&mut permits, 0..4_000, 33, |_| {
            permit_request(case.may_wait, RateLimit::default())
        });
        assert!(before.starts.len() > 100, "{}", case.name);
        let after = simulate(&mut permits, 4_000..24_000, 33, |_| PermitRequest {
            skipped_hosts: case.skipped_hosts,
            ..permit_request(case.may_wait, limit(4_000, case.per_s))
        });
        let most = max_starts(&after.starts, 4_000);
        assert!(most <= case.most, "{}: {most}", case.name);
        let all: Vec<u64> = before.starts.iter().chain(&after.starts).copied().collect();
        // Starts before the announcement count from the first four seconds that don't lie entirely
        // before it.
        let first = after.starts.iter().find(|&&ms| ms > 4_100);
        if let Some(&first) = first.filter(|_| case.most < 100) {
            let since = first.saturating_sub(SPAN_MS - 1);
            let within = all.iter().filter(|&&ms| ms >= since && ms <= first).count();
            assert!(
                within <= case.most,
                "{}: {within} in the span before",
                case.name
            );
        }
        let late = after.starts.iter().filter(|&&ms| ms >= 12_000).count();
        assert!(late >= case.least, "{}: {late}", case.name);
        assert!(
            after.longest_refusal < 2_000,
            "{}: refused after {}",
            case.name,
            after.longest_refusal
        );
    }
}

/// Queued requests that can't be answered in time because of a new limit are refused at once.
#[test]
fn queued_requests_get_a_reply_when_a_limit_is_announced() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    for request in 0..40 {
        permits.acquire(at(0), request, &permit_request(true, RateLimit::default()));
    }
    assert!(permits.has_waiting());
    permits.merge_limit(limit(10, 2.0));
    let replies = permits.poll(at(10));
    let refused = replies
        .iter()
        .filter(|(_, reply)| matches!(reply, PermitReply::RateLimited { .. }));
    let refused = refused.count();
    let updated = replies.len() - refused;
    assert!(refused > 0, "{replies:?}");
    assert!(updated <= 4, "{replies:?}");
}

/// The limit that was received last is in force, whichever host received it.
#[test]
fn the_latest_limit_is_in_force() {
    struct Case {
        name: &'static str,
        /// Limits in the order in which they are merged, with the times of receipt.
        limits: &'static [(u64, Option<f64>)],
        per_s: Option<f64>,
    }
    for case in [
        Case {
            name: "lowered",
            limits: &[(0, Some(9.0)), (10, Some(3.0))],
            per_s: Some(3.0),
        },
        Case {
            name: "an earlier limit that is merged later",
            limits: &[(10, Some(3.0)), (0, Some(9.0))],
            per_s: Some(3.0),
        },
        Case {
            name: "a withdrawn limit",
            limits: &[(0, Some(9.0)), (10, None)],
            per_s: None,
        },
        Case {
            name: "announced again",
            limits: &[(0, Some(9.0)), (10, None), (20, Some(4.0))],
            per_s: Some(4.0),
        },
    ] {
        let mut permits: Permits<u64> = Permits::new(SLOTS, PermitSettings::default());
        for &(received_at, per_s) in case.limits {
            permits.merge_limit(RateLimit::received_at(at(received_at), per_s));
        }
        assert_eq!(permits.limit().per_s(), case.per_s, "{}", case.name);
    }
}

/// An answer without a limit withdraws it only if its request was sent after the limit was last
/// received.
#[test]
fn an_overtaken_answer_does_not_withdraw_a_limit() {
    let mut known = RateLimit::default();
    assert!(
        !known.record(at(0), at(0), AnnouncedLimit::Unlimited),
        "there was no limit"
    );
    assert_eq!(known.age(at(0)), None);
    assert!(known.record(at(100), at(50), AnnouncedLimit::PerSecond(5.0)));
    assert!(
        !known.record(at(110), at(60), AnnouncedLimit::Unlimited),
        "overtaken"
    );
    assert!(!known.record(at(120), at(105), AnnouncedLimit::NotStated));
    assert_eq!(known.per_s(), Some(5.0));
    assert!(known.record(at(130), at(105), AnnouncedLimit::Unlimited));
    assert_eq!(known.per_s(), None);
}

/// Guards against a host that limits an upstream forever because it missed the only report of the
/// withdrawal: hosts that know of it report it repeatedly for a while.
#[test]
fn a_withdrawal_is_reported_repeatedly() {
    let mut known = RateLimit::default();
    assert!(known.record(at(0), at(0), AnnouncedLimit::PerSecond(5.0)));
    assert!(
        known.record(at(100), at(50), AnnouncedLimit::Unlimited),
        "withdrawn"
    );
    assert!(
        !known.record(at(200), at(150), AnnouncedLimit::Unlimited),
        "just reported"
    );
    let mut missed = limit(0, 5.0);
    assert!(
        known.record(at(1_200), at(1_150), AnnouncedLimit::Unlimited),
        "reported again"
    );
    assert!(missed.merge(known));
    assert_eq!(missed.per_s(), None);
    assert!(
        !missed.record(at(1_300), at(1_250), AnnouncedLimit::Unlimited),
        "merged as reported"
    );
    let late = 60_000;
    assert!(
        !known.record(at(late), at(late), AnnouncedLimit::Unlimited),
        "all hosts know by then"
    );
    assert!(known.record(at(late + 10), at(late), AnnouncedLimit::PerSecond(3.0)));
    assert!(known.record(at(late + 20), at(late + 15), AnnouncedLimit::Unlimited));
}

/// Even if hosts can't reach each other, all shares together are well below what may exceed a
/// limit.
#[test]
fn shares_of_a_limit_add_up_to_less_than_half_more() {
    let known = limit(0, 8.0);
    // Each host after these grants one request in ten seconds.
    let permitted: f64 = (0..4).filter_map(|n| known.permitted_rate(n)).sum();
    for hosts in [1, 11, 295, 5_600] {
        let without_permits =
            known.rate_without_permits(hosts).expect("it is limited") * hosts as f64;
        assert!(
            permitted + without_permits < 1.5 * 8.0,
            "{permitted} {without_permits}"
        );
    }
}

proptest! {
    /// However hosts request permits and requests end, the starts in any four seconds keep to the
    /// limit from the time at which it is known.
    #[test]
    fn no_four_seconds_have_more_starts_than_the_limit(
        per_s in 0.3_f64..20.0,
        asks in proptest::collection::vec((0_u64..60, 1_u64..400, any::<bool>(), any::<bool>(), 0_u8..4), 1..400)
    ) {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        let mut now = 0;
        let mut starts = Vec::new();
        let mut running: Vec<(u64, u64, u8)> = Vec::new();
        permits.merge_limit(limit(0, per_s));
        for (request, (elapsed, work, may_wait, knows, end)) in (0..).zip(asks) {
            now += elapsed;
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
            let known = if knows { limit(0, per_s) } else { RateLimit::default() };
            let mut replies = vec![(request, permits.acquire(at(now), request, &permit_request(may_wait, known)))];
            replies.extend(permits.poll(at(now)));
            for (request, _) in replies.into_iter().filter(|(_, reply)| *reply == PermitReply::Granted) {
                starts.push(now);
                running.push((request, now + work, end));
            }
        }
        let most = (per_s * 4.0).max(1.0);
        prop_assert!(max_starts(&starts, 0) as f64 <= most, "{per_s}: {starts:?}");
    }
}
