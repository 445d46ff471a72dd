//! Cold upstreams that all hosts want to send to at once: a failure domain that comes back, a key that is
//! hot at an owner which has just started, an upstream that falls over again and again.
//!
//! Figures are those of today's deployments: two slots, cold for three seconds, 7.6 requests a second
//! meanwhile, and at the most half more and eight in any second, over all hosts.

use std::time::Duration;

use direct::{
    ColdStart, Limit, PermitEnd, PermitRequest, PermitSettings, Permits, Rank, Reply, Warmup,
    WarmupBounds,
};
use ids::Timestamp;
use proptest::prelude::*;

const WARMUP: Warmup = Warmup {
    span: Duration::from_secs(3),
    per_s: 7.6,
};
const BOUNDS: WarmupBounds = WarmupBounds {
    over: 1.5,
    slack: 8.0,
};
const SLOTS: u32 = 2;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

fn wanted(left_cold_ms: u64, may_wait: bool) -> PermitRequest {
    PermitRequest {
        rank: Rank::Alone,
        in_time: Duration::from_millis(300),
        left: Duration::from_secs(1),
        usual: Duration::from_millis(90),
        may_wait,
        cold: Some(ColdStart {
            most: WARMUP.most_starts(&BOUNDS),
            span: WARMUP.span,
            left: Duration::from_millis(left_cold_ms),
        }),
        limit: Limit::default(),
        passed_over: 0,
    }
}

/// Returns the most starts in any second.
fn busiest_second(starts: &[u64]) -> usize {
    let within = |&from: &u64| {
        let second = from..from + 1_000;
        starts.iter().filter(|&ms| second.contains(ms)).count()
    };
    starts.iter().map(within).max().unwrap_or_default()
}

/// Plays an upstream that is asked `every_ms` and answers after `work_ms`; returns when requests went.
fn play(
    permits: &mut Permits<u64>,
    ms: std::ops::Range<u64>,
    every_ms: u64,
    work_ms: u64,
    wanted: impl Fn(u64) -> PermitRequest,
) -> Vec<u64> {
    let mut starts = Vec::new();
    let mut working: Vec<(u64, u64)> = Vec::new();
    for ms in ms {
        let done = working.extract_if(.., |(_, until)| *until <= ms);
        for (request, _) in done.collect::<Vec<_>>() {
            permits.ended(at(ms), request, PermitEnd::Answered, None);
        }
        let mut went: Vec<(u64, Reply)> = permits.poll(at(ms));
        if ms % every_ms == 0 {
            went.push((ms, permits.ask(at(ms), ms, &wanted(ms))));
        }
        for (request, _) in went.into_iter().filter(|(_, reply)| *reply == Reply::Go) {
            starts.push(ms);
            working.push((request, ms + work_ms));
        }
    }
    starts
}

#[test]
fn two_hosts_that_hand_out_permits_stay_within_the_bounds() {
    for (per_s, bounds) in [
        (7.6, BOUNDS),
        (7.6, WarmupBounds::default()),
        (40.0, BOUNDS),
        (1.0, BOUNDS),
    ] {
        let warmup = Warmup { per_s, ..WARMUP };
        let allowed = per_s * bounds.over + bounds.slack;
        let most = f64::from(warmup.most_starts(&bounds));
        assert!(most <= per_s.max(1.0), "{per_s}: {most}");
        assert!(2.0 * most <= allowed.max(2.0), "{per_s}: {most}");
    }
    assert_eq!(WARMUP.most_starts(&BOUNDS), 7);
}

/// A key that is asked for fifty times a second at an owner that has just started, and an upstream of a
/// domain that came back, which every host takes for idle.
#[test]
fn a_cold_upstream_gets_what_it_bears_and_a_warm_one_what_it_can_do() {
    struct Case {
        name: &'static str,
        may_wait: bool,
        cold_ms: u64,
        /// Most that may start in any second, and least that starts in the first three.
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
        let cold = |ms: u64| wanted(case.cold_ms.saturating_sub(ms), case.may_wait);
        let starts = play(&mut permits, 0..3_000, 20, 90, cold);
        assert!(
            busiest_second(&starts) <= case.most,
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

/// What is refused says when there is room, and no one waits for what can't come in time.
#[test]
fn whoever_has_no_place_at_a_cold_upstream_is_told_at_once() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    for request in 0..7 {
        assert_eq!(
            permits.ask(at(request), request, &wanted(3_000, false)),
            if request < 3 {
                Reply::Go
            } else {
                Reply::Full {
                    room_in: Duration::from_millis(45),
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
        permits.ask(at(ms), request, &wanted(3_000, false));
        permits.ended(at(ms + 5), request, PermitEnd::Answered, None);
    }
    let reply = permits.ask(at(100), 20, &wanted(2_900, false));
    let Reply::Paced { room_in } = reply else {
        panic!("it is not refused as cold: {reply:?}");
    };
    let again = at(100) + room_in;
    assert_eq!(permits.ask(again, 21, &wanted(2_000, false)), Reply::Go);
    // A request on a key that has to wait for longer than its caller does is refused at once too.
    let mut replies = Vec::new();
    for request in 30..60 {
        replies.push(permits.ask(again, request, &wanted(2_000, true)));
    }
    let refused = replies
        .iter()
        .filter(|r| matches!(r, Reply::Paced { .. }))
        .count();
    assert!(refused >= 20, "{replies:?}");
    assert!(permits.has_waiting());
}

/// An upstream that was silent and speaks again may have started again, and not have registered that yet.
#[test]
fn an_upstream_that_comes_back_from_a_silence_counts_as_cold() {
    struct Case {
        name: &'static str,
        /// When a request ended without a word, in milliseconds before it speaks again.
        silent: &'static [u64],
        speaks: PermitEnd,
        is_cold: bool,
    }
    let cases = [
        Case {
            name: "after a second",
            silent: &[1_000, 500, 400],
            speaks: PermitEnd::Answered,
            is_cold: true,
        },
        Case {
            name: "also if it turns the first one away",
            silent: &[1_000, 500],
            speaks: PermitEnd::Spoke,
            is_cold: true,
        },
        Case {
            name: "not for one lost answer",
            silent: &[1_000],
            speaks: PermitEnd::Answered,
            is_cold: false,
        },
        Case {
            name: "not for two that were lost together",
            silent: &[100, 90],
            speaks: PermitEnd::Answered,
            is_cold: false,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        for (request, before) in (1_000..).zip(case.silent) {
            let ms = 2_000 - before;
            permits.ask(at(ms), request, &wanted(0, true));
            permits.ended(at(ms), request, PermitEnd::Silent, None);
        }
        permits.ask(at(2_000), 1, &wanted(0, true));
        permits.ended(at(2_000), 1, case.speaks, None);
        let starts = play(&mut permits, 2_001..4_500, 10, 40, |_| wanted(0, true));
        let is_held = busiest_second(&starts) <= 8;
        assert_eq!(is_held, case.is_cold, "{}: {starts:?}", case.name);
        let starts = play(&mut permits, 5_100..7_000, 10, 40, |_| wanted(0, true));
        assert!(busiest_second(&starts) > 20, "{}: warm again", case.name);
    }
}

proptest! {
    /// However hosts ask, whatever they think of the upstream and however requests end, no more start
    /// within any second than it bears, from when one of them knew that it is cold.
    #[test]
    fn no_second_has_more_starts_than_a_cold_upstream_bears(
        asks in proptest::collection::vec((0_u64..40, 0_u64..400, any::<bool>(), any::<bool>(), 0_u8..4), 1..300)
    ) {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        let mut now = 0;
        let mut starts = Vec::new();
        let mut working: Vec<(u64, u64, u8)> = Vec::new();
        permits.ask(at(0), u64::MAX, &wanted(60_000, true));
        permits.ended(at(0), u64::MAX, PermitEnd::Answered, None);
        for (request, (pass, work, may_wait, knows, end)) in (0..).zip(asks) {
            now += pass;
            let mut went = Vec::new();
            let done = working.extract_if(.., |(_, until, _)| *until <= now);
            for (request, _, end) in done.collect::<Vec<_>>() {
                let end = match end {
                    0 => PermitEnd::Answered,
                    1 => PermitEnd::Spoke,
                    2 => PermitEnd::Silent,
                    _ => PermitEnd::Unknown,
                };
                permits.ended(at(now), request, end, None);
            }
            let cold = wanted(if knows { 3_000 } else { 0 }, may_wait);
            went.push((request, permits.ask(at(now), request, &cold)));
            went.extend(permits.poll(at(now)));
            for (request, _) in went.into_iter().filter(|(_, reply)| *reply == Reply::Go) {
                starts.push(now);
                working.push((request, now + work, end));
            }
        }
        // The first one, at the beginning, was a start too.
        starts.push(0);
        prop_assert!(busiest_second(&starts) <= 7, "{starts:?}");
    }
}
