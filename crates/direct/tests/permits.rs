//! Permits at an upstream of two slots, under the loads that they are made for.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use direct::{Limit, LoadReport, PermitEnd, PermitRequest, PermitSettings, Permits, Rank, Reply};
use ids::Timestamp;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 2;
/// Mean time for one request; times are drawn between half and one and a half of it.
const WORK_MS: u64 = 220;
/// Objective and time limit: about three and six times the work, as of today's lookups.
const OBJECTIVE_MS: u64 = 600;
const LIMIT_MS: u64 = 1_200;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

fn wanted(in_time_ms: u64, left_ms: u64) -> PermitRequest {
    PermitRequest {
        rank: Rank::Alone,
        in_time: Duration::from_millis(in_time_ms),
        left: Duration::from_millis(left_ms),
        usual: Duration::from_millis(WORK_MS),
        may_wait: true,
        cold: None,
        limit: Limit::default(),
        passed_over: 0,
    }
}

fn first_try() -> PermitRequest {
    wanted(OBJECTIVE_MS, LIMIT_MS)
}

/// What became of the requests of a play.
#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Longest time from a question to its refusal, in milliseconds.
    longest_refusal: u64,
}

/// What happens at a millisecond.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller asks, for the first time at this one.
    Asks { first: u64, tries: u32 },
    /// The upstream answers.
    Answers { request: u64 },
}

/// Plays 20 s of an upstream that is asked for `load` times what it can do, by callers who come back
/// once when they are told to.
fn play(load: f64, seed: u64) -> Tally {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    let mut tally = Tally::default();
    let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    let chance = load * f64::from(SLOTS) / WORK_MS as f64;
    for ms in 0..20_000 {
        if rng.random_bool(chance) {
            let first = Event::Asks {
                first: ms,
                tries: 1,
            };
            events.entry(ms).or_default().push(first);
            tally.asked += 1;
        }
    }
    let mut open: HashMap<u64, (u64, u64, u32)> = HashMap::new();
    // The upstream works on requests in the order in which they went, each slot on one.
    let mut slots = [0_u64; SLOTS as usize];
    let mut next = 0;
    for ms in 0..24_000 {
        let mut replies = Vec::new();
        for event in events.remove(&ms).unwrap_or_default() {
            match event {
                Event::Asks { first, tries } => {
                    let spent = ms - first;
                    let left = LIMIT_MS.min(2_500 - spent);
                    let wanted = wanted(OBJECTIVE_MS.saturating_sub(spent), left);
                    open.insert(next, (first, ms, tries));
                    replies.push((next, permits.ask(at(ms), next, &wanted)));
                    next += 1;
                }
                Event::Answers { request } => {
                    let (first, ..) = open[&request];
                    if ms - first <= OBJECTIVE_MS {
                        tally.in_time += 1;
                    } else {
                        tally.late += 1;
                    }
                    permits.ended(at(ms), request, PermitEnd::Answered, None);
                }
            }
        }
        replies.extend(permits.poll(at(ms)));
        for (request, reply) in replies {
            let (first, asked, tries) = open[&request];
            match reply {
                Reply::Queued { .. } => {}
                Reply::Go => {
                    let slot = slots.iter_mut().min().expect("two");
                    let work = rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                    *slot = (*slot).max(ms) + work;
                    let answers = Event::Answers { request };
                    events.entry(*slot).or_default().push(answers);
                }
                Reply::Full { room_in } | Reply::Paced { room_in } => {
                    let waited = ms - asked;
                    tally.longest_refusal = tally.longest_refusal.max(waited);
                    let back = ms + 20 + room_in.as_millis() as u64;
                    if tries == 2 || back - first > 2_000 {
                        tally.refused += 1;
                        continue;
                    }
                    let again = Event::Asks {
                        first,
                        tries: tries + 1,
                    };
                    events.entry(back).or_default().push(again);
                }
            }
        }
    }
    tally
}

/// A hot key asks its owner for more than it can do, for as long as it is hot.
///
/// Grounds: two slots of 220 ms do nine requests a second. Whoever sends all at once, as hosts that
/// don't know of each other do, has ten of them queue for 1.1 s and answers none in time.
#[test]
fn a_hot_key_at_its_owner() {
    struct Case {
        load: f64,
        /// Least part of what the upstream can do that is answered in time.
        in_time: f64,
        /// Least part that is answered.
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
        let plays: Vec<Tally> = (0..10).map(|seed| play(case.load, seed)).collect();
        let sum = |f: fn(&Tally) -> u32| plays.iter().map(f).sum::<u32>();
        let able = f64::from(sum(|t| t.asked)) / case.load;
        let in_time = f64::from(sum(|t| t.in_time)) / able;
        let answered = f64::from(sum(|t| t.in_time + t.late)) / able;
        println!(
            "load {}: in time {in_time:.3}, answered {answered:.3} of what it can do",
            case.load
        );
        assert!(in_time >= case.in_time, "load {}: {in_time}", case.load);
        assert!(answered >= case.answered, "load {}: {answered}", case.load);
        let longest = plays.iter().map(|t| t.longest_refusal).max();
        assert!(longest < Some(LIMIT_MS), "held to its end: {longest:?}");
    }
}

#[test]
fn whoever_can_be_in_time_goes_before_whoever_is_late() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    for request in 0..3 {
        assert_eq!(permits.ask(at(0), request, &first_try()), Reply::Go);
    }
    let is_queued = |reply| matches!(reply, Reply::Queued { .. });
    assert!(is_queued(permits.ask(at(0), 10, &wanted(0, LIMIT_MS))));
    assert!(is_queued(permits.ask(at(1), 11, &first_try())));
    let urgent = PermitRequest {
        rank: Rank::Urgent,
        ..first_try()
    };
    assert!(is_queued(permits.ask(at(2), 12, &urgent)));
    let mut order = Vec::new();
    for (request, ms) in [(0, 100), (1, 110), (2, 120)] {
        permits.ended(at(ms), request, PermitEnd::Answered, None);
        order.extend(permits.poll(at(ms)));
    }
    assert_eq!(order, [(12, Reply::Go), (11, Reply::Go), (10, Reply::Go)]);
}

/// A request that any upstream of its entry may run looks for one that is free.
#[test]
fn whoever_may_go_elsewhere_does_not_wait() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    let elsewhere = PermitRequest {
        may_wait: false,
        ..first_try()
    };
    for request in 0..3 {
        assert_eq!(permits.ask(at(0), request, &elsewhere), Reply::Go);
    }
    let full = permits.ask(at(0), 3, &elsewhere);
    assert!(matches!(full, Reply::Full { .. }), "{full:?}");
    assert!(!permits.has_waiting());
}

/// Machines that upstreams share with others are slow for some tenths of a second. Whoever may go elsewhere
/// does; a request on a key has only this upstream, and one that heard nothing lately goes too.
#[test]
fn whoever_may_go_elsewhere_leaves_an_upstream_that_is_slow_now() {
    struct Case {
        name: &'static str,
        pace: Option<f64>,
        ago_ms: u64,
        may_wait: bool,
        goes: bool,
    }
    let cases = [
        Case {
            name: "three times slower just now",
            pace: Some(3.0),
            ago_ms: 100,
            may_wait: false,
            goes: false,
        },
        Case {
            name: "on a key",
            pace: Some(3.0),
            ago_ms: 100,
            may_wait: true,
            goes: true,
        },
        Case {
            name: "a while ago",
            pace: Some(3.0),
            ago_ms: 300,
            may_wait: false,
            goes: true,
        },
        Case {
            name: "as usual",
            pace: Some(1.0),
            ago_ms: 100,
            may_wait: false,
            goes: true,
        },
        Case {
            name: "one that does not say",
            pace: None,
            ago_ms: 100,
            may_wait: false,
            goes: true,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        permits.ask(at(0), 0, &first_try());
        let report = LoadReport {
            running: 1,
            waiting: 0,
            slots: SLOTS,
            pace: case.pace,
        };
        permits.ended(at(200), 0, PermitEnd::Answered, Some(report));
        let wanted = PermitRequest {
            may_wait: case.may_wait,
            ..first_try()
        };
        let reply = permits.ask(at(200 + case.ago_ms), 1, &wanted);
        assert_eq!(reply == Reply::Go, case.goes, "{}", case.name);
    }
}

#[test]
fn permits_come_back() {
    struct Case {
        name: &'static str,
        /// What the first of three requests does, at 100 ms.
        does: fn(&mut Permits<u32>),
        /// Whether one that waits then goes.
        goes: bool,
    }
    let cases = [
        Case {
            name: "with an answer",
            does: |permits| permits.ended(at(100), 0, PermitEnd::Answered, None),
            goes: true,
        },
        Case {
            name: "with the caller",
            does: |permits| permits.ended(at(100), 0, PermitEnd::Unknown, None),
            goes: true,
        },
        Case {
            name: "not while others are known to be there",
            does: |permits| {
                let report = LoadReport {
                    running: 2,
                    waiting: 4,
                    slots: 2,
                    pace: None,
                };
                permits.ended(at(100), 0, PermitEnd::Answered, Some(report));
            },
            goes: false,
        },
        Case {
            name: "not for one that has none",
            does: |permits| permits.ended(at(100), 77, PermitEnd::Answered, None),
            goes: false,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        for request in 0..3 {
            permits.ask(at(0), request, &first_try());
        }
        permits.ask(at(50), 3, &first_try());
        (case.does)(&mut permits);
        let went = permits.poll(at(100)).contains(&(3, Reply::Go));
        assert_eq!(went, case.goes, "{}", case.name);
    }
    // One whose host was lost comes back with the end of its caller's time.
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    for request in 0..3 {
        permits.ask(at(0), request, &wanted(0, 300));
    }
    permits.ask(at(50), 3, &first_try());
    assert!(permits.poll(at(450)).is_empty());
    assert_eq!(permits.poll(at(510)), [(3, Reply::Go)]);
}

proptest! {
    /// Each request gets one final reply in its time, and no more have a permit than there are.
    #[test]
    fn every_question_has_one_answer(steps in proptest::collection::vec((0_u8..3, 0_u64..40, 0_u64..900), 1..200)) {
        let cfg = PermitSettings::default();
        let mut permits = Permits::new(SLOTS, cfg);
        let (mut now, mut next) = (0, 0_u32);
        let mut open: HashMap<u32, u64> = HashMap::new();
        let mut held: Vec<u32> = Vec::new();
        for (what, pass, number) in steps {
            now += pass;
            let mut replies = Vec::new();
            match what {
                0 if !held.is_empty() => {
                    let request = held.swap_remove(number as usize % held.len());
                    let end = if number % 2 == 0 {
                        PermitEnd::Answered
                    } else {
                        PermitEnd::Unknown
                    };
                    permits.ended(at(now), request, end, None);
                }
                1 => {}
                _ => {
                    let wanted = wanted(number, 200 + number);
                    open.insert(next, now + 200 + number);
                    replies.push((next, permits.ask(at(now), next, &wanted)));
                    next += 1;
                }
            }
            replies.extend(permits.poll(at(now)));
            for (request, reply) in replies {
                match reply {
                    Reply::Queued { .. } => prop_assert!(open.contains_key(&request)),
                    Reply::Go => {
                        let until = open.remove(&request);
                        prop_assert!(until.is_some_and(|until| now <= until), "late or twice");
                        held.push(request);
                    }
                    Reply::Full { .. } | Reply::Paced { .. } => {
                        prop_assert!(open.remove(&request).is_some(), "twice");
                    }
                }
            }
        }
        // All that still wait get a reply by the end of their time.
        now += 3_000;
        for (request, _) in permits.poll(at(now)) {
            open.remove(&request);
        }
        prop_assert!(open.is_empty());
        prop_assert!(!permits.has_waiting());
    }
}
