//! Permits at an upstream of two slots, at and above its capacity.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use direct::{
    LoadReport, PermitEnd, PermitReply, PermitRequest, PermitSettings, Permits, Priority, RateLimit,
};
use ids::{DomainId, Timestamp};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 2;
/// Mean service time; times are drawn between half and one and a half of it.
const WORK_MS: u64 = 220;
/// Objective and timeout: about three and six times the service time, as for current lookups.
const OBJECTIVE_MS: u64 = 600;
const LIMIT_MS: u64 = 1_200;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

fn permit_request(in_time_ms: u64, left_ms: u64) -> PermitRequest {
    PermitRequest {
        priority: Priority::Equal,
        rank: 1,
        is_repeat: false,
        domain: None,
        until_objective: Duration::from_millis(in_time_ms),
        until_deadline: Duration::from_millis(left_ms),
        entry_service_time: Duration::from_millis(WORK_MS),
        may_wait: true,
        cold: None,
        limit: RateLimit::default(),
        skipped_hosts: 0,
    }
}

fn first_attempt() -> PermitRequest {
    permit_request(OBJECTIVE_MS, LIMIT_MS)
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Maximum time from a permit request to its refusal, in milliseconds.
    longest_refusal: u64,
}

/// An event at a millisecond.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller whose first request was at `first` sends its request.
    Arrives { first: u64, attempt: u32 },
    /// The upstream answers.
    Answered { request: u64 },
}

/// Simulates 20 s of an upstream at `load` times its capacity. Callers that are refused come back
/// once, after the time that the refusal gives.
fn simulate(load: f64, seed: u64) -> Tally {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    let mut tally = Tally::default();
    let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    let probability = load * f64::from(SLOTS) / WORK_MS as f64;
    for ms in 0..20_000 {
        if rng.random_bool(probability) {
            let first = Event::Arrives {
                first: ms,
                attempt: 1,
            };
            events.entry(ms).or_default().push(first);
            tally.asked += 1;
        }
    }
    let mut pending: HashMap<u64, (u64, u64, u32)> = HashMap::new();
    // The upstream runs requests in the order in which permits were granted, one in each slot.
    let mut slots = [0_u64; SLOTS as usize];
    let mut next = 0;
    for ms in 0..24_000 {
        let mut replies = Vec::new();
        for event in events.remove(&ms).unwrap_or_default() {
            match event {
                Event::Arrives { first, attempt } => {
                    let elapsed = ms - first;
                    let left = LIMIT_MS.min(2_500 - elapsed);
                    let request_params = permit_request(OBJECTIVE_MS.saturating_sub(elapsed), left);
                    pending.insert(next, (first, ms, attempt));
                    replies.push((next, permits.acquire(at(ms), next, &request_params)));
                    next += 1;
                }
                Event::Answered { request } => {
                    let (first, ..) = pending[&request];
                    if ms - first <= OBJECTIVE_MS {
                        tally.in_time += 1;
                    } else {
                        tally.late += 1;
                    }
                    permits.release(at(ms), request, PermitEnd::Answered, None);
                }
            }
        }
        replies.extend(permits.poll(at(ms)));
        for (request, reply) in replies {
            let (first, asked, attempt) = pending[&request];
            match reply {
                PermitReply::Queued { .. } => {}
                PermitReply::Granted => {
                    let slot = slots.iter_mut().min().expect("two");
                    let work = rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                    *slot = (*slot).max(ms) + work;
                    let answered = Event::Answered { request };
                    events.entry(*slot).or_default().push(answered);
                }
                PermitReply::Full { retry_after } | PermitReply::RateLimited { retry_after } => {
                    let waited = ms - asked;
                    tally.longest_refusal = tally.longest_refusal.max(waited);
                    let retry_at = ms + 20 + retry_after.as_millis() as u64;
                    if attempt == 2 || retry_at - first > 2_000 {
                        tally.refused += 1;
                        continue;
                    }
                    let retry = Event::Arrives {
                        first,
                        attempt: attempt + 1,
                    };
                    events.entry(retry_at).or_default().push(retry);
                }
            }
        }
    }
    tally
}

/// A hot key, for which the owner gets more requests than it can serve.
///
/// Two slots of 220 ms serve nine requests a second. If all requests were sent at once, as hosts
/// without coordination send them, ten of them would queue for 1.1 s and none would be answered in
/// time.
#[test]
fn a_hot_key_at_its_owner() {
    struct Case {
        load: f64,
        /// Minimum fraction of the capacity that is answered in time.
        in_time: f64,
        /// Minimum fraction of the capacity that is answered.
        answered: f64,
    }
    let cases = [
        Case {
            load: 0.7,
            in_time: 0.65,
            answered: 0.69,
        },
        Case {
            load: 1.0,
            in_time: 0.76,
            answered: 0.92,
        },
        Case {
            load: 1.5,
            in_time: 0.73,
            answered: 1.0,
        },
        Case {
            load: 2.5,
            in_time: 0.8,
            answered: 1.0,
        },
    ];
    for case in cases {
        let tallies: Vec<Tally> = (0..10).map(|seed| simulate(case.load, seed)).collect();
        let sum = |f: fn(&Tally) -> u32| tallies.iter().map(f).sum::<u32>();
        let capacity = f64::from(sum(|t| t.asked)) / case.load;
        let in_time = f64::from(sum(|t| t.in_time)) / capacity;
        let answered = f64::from(sum(|t| t.in_time + t.late)) / capacity;
        println!(
            "load {}: in time {in_time:.3}, answered {answered:.3} of its capacity",
            case.load
        );
        assert!(in_time >= case.in_time, "load {}: {in_time}", case.load);
        assert!(answered >= case.answered, "load {}: {answered}", case.load);
        let longest = tallies.iter().map(|t| t.longest_refusal).max();
        assert!(
            longest < Some(LIMIT_MS),
            "refused only at the deadline: {longest:?}"
        );
    }
}

#[test]
fn requests_in_time_go_before_late_ones() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    for request in 0..3 {
        assert_eq!(
            permits.acquire(at(0), request, &first_attempt()),
            PermitReply::Granted
        );
    }
    let is_queued = |reply| matches!(reply, PermitReply::Queued { .. });
    assert!(is_queued(permits.acquire(
        at(0),
        10,
        &permit_request(0, LIMIT_MS)
    )));
    assert!(is_queued(permits.acquire(at(1), 11, &first_attempt())));
    let urgent = PermitRequest {
        priority: Priority::Urgent,
        rank: 0,
        ..first_attempt()
    };
    assert!(is_queued(permits.acquire(at(2), 12, &urgent)));
    let mut order = Vec::new();
    for (request, ms) in [(0, 100), (1, 110), (2, 120)] {
        permits.release(at(ms), request, PermitEnd::Answered, None);
        order.extend(permits.poll(at(ms)));
    }
    assert_eq!(
        order,
        [
            (12, PermitReply::Granted),
            (11, PermitReply::Granted),
            (10, PermitReply::Granted)
        ]
    );
}

/// A request that any upstream of its entry may run goes to one that has a free slot.
#[test]
fn requests_that_may_go_elsewhere_are_not_queued() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    let elsewhere = PermitRequest {
        may_wait: false,
        ..first_attempt()
    };
    for request in 0..3 {
        assert_eq!(
            permits.acquire(at(0), request, &elsewhere),
            PermitReply::Granted
        );
    }
    let full = permits.acquire(at(0), 3, &elsewhere);
    assert!(matches!(full, PermitReply::Full { .. }), "{full:?}");
    assert!(!permits.has_waiting());
}

/// Requests that are refused at two upstreams are queued at the one that is free first. If the
/// queue did not count, all hosts would queue at one of them while the other is idle.
#[test]
fn queued_requests_count_in_the_time_until_a_slot_is_free() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    // Long enough for all of them to be in time.
    let first = permit_request(LIMIT_MS, LIMIT_MS);
    let elsewhere = PermitRequest {
        may_wait: false,
        ..first.clone()
    };
    let mut times = Vec::new();
    // Three permits are granted; two requests are queued.
    for request in 0..5 {
        permits.acquire(at(0), request, &first);
        if request >= 2
            && let PermitReply::Full { retry_after } = permits.acquire(at(0), 9, &elsewhere)
        {
            times.push(retry_after);
        }
    }
    let each = elsewhere.entry_service_time / SLOTS;
    assert_eq!(times, [each, each * 2, each * 3]);
}

/// Upstreams on shared hardware are slow for some tenths of a second. Requests that may go
/// elsewhere avoid such an upstream. A request on a key has only this upstream and is granted a
/// permit; so is a request if there is no recent report.
#[test]
fn requests_that_may_go_elsewhere_avoid_a_slowed_down_upstream() {
    struct Case {
        name: &'static str,
        pace: Option<f64>,
        ago_ms: u64,
        may_wait: bool,
        is_granted: bool,
    }
    let cases = [
        Case {
            name: "three times slower, just reported",
            pace: Some(3.0),
            ago_ms: 100,
            may_wait: false,
            is_granted: false,
        },
        Case {
            name: "a request on a key",
            pace: Some(3.0),
            ago_ms: 100,
            may_wait: true,
            is_granted: true,
        },
        Case {
            name: "reported a while ago",
            pace: Some(3.0),
            ago_ms: 300,
            may_wait: false,
            is_granted: true,
        },
        Case {
            name: "as usual",
            pace: Some(1.0),
            ago_ms: 100,
            may_wait: false,
            is_granted: true,
        },
        Case {
            name: "no slowdown reported",
            pace: None,
            ago_ms: 100,
            may_wait: false,
            is_granted: true,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        permits.acquire(at(0), 0, &first_attempt());
        let report = LoadReport {
            running: 1,
            waiting: 0,
            slots: SLOTS,
            slowdown: case.pace,
        };
        permits.release(at(200), 0, PermitEnd::Answered, Some(report));
        let request_params = PermitRequest {
            may_wait: case.may_wait,
            ..first_attempt()
        };
        let reply = permits.acquire(at(200 + case.ago_ms), 1, &request_params);
        assert_eq!(
            reply == PermitReply::Granted,
            case.is_granted,
            "{}",
            case.name
        );
    }
}

#[test]
fn permits_are_released() {
    struct Case {
        name: &'static str,
        /// What happens to the first of three requests, at 100 ms.
        action: fn(&mut Permits<u32>),
        /// Whether a queued request then gets a permit.
        is_granted: bool,
    }
    let cases = [
        Case {
            name: "by an answer",
            action: |permits| permits.release(at(100), 0, PermitEnd::Answered, None),
            is_granted: true,
        },
        Case {
            name: "when the caller leaves",
            action: |permits| permits.release(at(100), 0, PermitEnd::Unknown, None),
            is_granted: true,
        },
        Case {
            name: "not while other requests are reported",
            action: |permits| {
                let report = LoadReport {
                    running: 2,
                    waiting: 4,
                    slots: 2,
                    slowdown: None,
                };
                permits.release(at(100), 0, PermitEnd::Answered, Some(report));
            },
            is_granted: false,
        },
        Case {
            name: "not by a request without a permit",
            action: |permits| permits.release(at(100), 77, PermitEnd::Answered, None),
            is_granted: false,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        for request in 0..3 {
            permits.acquire(at(0), request, &first_attempt());
        }
        permits.acquire(at(50), 3, &first_attempt());
        (case.action)(&mut permits);
        let is_granted = permits.poll(at(100)).contains(&(3, PermitReply::Granted));
        assert_eq!(is_granted, case.is_granted, "{}", case.name);
    }
    // The permit of a host that ended expires with the deadline of its caller.
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    for request in 0..3 {
        permits.acquire(at(0), request, &permit_request(0, 300));
    }
    permits.acquire(at(50), 3, &first_attempt());
    assert!(permits.poll(at(450)).is_empty());
    assert_eq!(permits.poll(at(510)), [(3, PermitReply::Granted)]);
}

proptest! {
    /// Each request gets one final reply in time, and a permit is granted at most once for it.
    #[test]
    fn every_request_gets_one_final_reply(steps in proptest::collection::vec((0_u8..3, 0_u64..40, 0_u64..900), 1..200)) {
        let cfg = PermitSettings::default();
        let mut permits = Permits::new(SLOTS, cfg);
        let (mut now, mut next) = (0, 0_u32);
        let mut pending: HashMap<u32, u64> = HashMap::new();
        let mut granted: Vec<u32> = Vec::new();
        for (kind, elapsed, number) in steps {
            now += elapsed;
            let mut replies = Vec::new();
            match kind {
                0 if !granted.is_empty() => {
                    let request = granted.swap_remove(number as usize % granted.len());
                    let end = if number % 2 == 0 {
                        PermitEnd::Answered
                    } else {
                        PermitEnd::Unknown
                    };
                    permits.release(at(now), request, end, None);
                }
                1 => {}
                _ => {
                    let request_params = PermitRequest {
                        rank: number as u32 % 3,
                        domain: DomainId::new(["a", "b"][number as usize % 2]).ok(),
                        ..permit_request(number, 200 + number)
                    };
                    pending.insert(next, now + 200 + number);
                    replies.push((next, permits.acquire(at(now), next, &request_params)));
                    next += 1;
                }
            }
            replies.extend(permits.poll(at(now)));
            for (request, reply) in replies {
                match reply {
                    PermitReply::Queued { .. } => prop_assert!(pending.contains_key(&request)),
                    PermitReply::Granted => {
                        let until = pending.remove(&request);
                        prop_assert!(until.is_some_and(|until| now <= until), "late or twice");
                        granted.push(request);
                    }
                    PermitReply::Full { .. } | PermitReply::RateLimited { .. } => {
                        prop_assert!(pending.remove(&request).is_some(), "twice");
                    }
                }
            }
        }
        // All requests that are still queued get a reply by their deadlines.
        now += 3_000;
        for (request, _) in permits.poll(at(now)) {
            pending.remove(&request);
        }
        prop_assert!(pending.is_empty());
        prop_assert!(!permits.has_waiting());
    }
}
