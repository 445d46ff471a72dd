//! Upstreams that say how many requests a second they take from all hosts together, asked for several times that.
//!
//! Guards against more than that in any four seconds: by what was sent before the word, by hosts that stand in for one
//! that hands out permits, by words that change, and by requests that wait while one comes.

use std::time::Duration;

use direct::{Limit, LimitWord, PermitEnd, PermitRequest, PermitSettings, Permits, Rank, Reply};
use ids::Timestamp;
use proptest::prelude::*;

const SLOTS: u32 = 4;
const SPAN_MS: u64 = 4_000;
/// Time for one request.
const WORK_MS: u64 = 40;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

fn limit(ms: u64, per_s: f64) -> Limit {
    Limit::heard_at(at(ms), Some(per_s))
}

fn wanted(may_wait: bool, limit: Limit) -> PermitRequest {
    PermitRequest {
        rank: Rank::Alone,
        in_time: Duration::from_millis(300),
        left: Duration::from_secs(2),
        usual: Duration::from_millis(WORK_MS),
        may_wait,
        cold: None,
        limit,
        passed_over: 0,
    }
}

/// Returns the most starts in any four seconds that begin at `from` or later.
fn busiest(starts: &[u64], from: u64) -> usize {
    let within = |&begin: &u64| {
        let span = begin..begin + SPAN_MS;
        starts.iter().filter(|&ms| span.contains(ms)).count()
    };
    let begins = starts.iter().filter(|&&ms| ms >= from);
    begins.map(within).max().unwrap_or_default()
}

/// What became of the requests of a play.
#[derive(Debug, Default)]
struct Played {
    starts: Vec<u64>,
    /// Longest time from a question to its refusal, in milliseconds.
    longest_refusal: u64,
    refused: usize,
}

/// Plays an upstream that is asked every `every_ms`.
fn play(
    permits: &mut Permits<u64>,
    ms: std::ops::Range<u64>,
    every_ms: u64,
    wanted: impl Fn(u64) -> PermitRequest,
) -> Played {
    let mut played = Played::default();
    let mut working: Vec<(u64, u64)> = Vec::new();
    for ms in ms {
        let done = working.extract_if(.., |(_, until)| *until <= ms);
        for (request, _) in done.collect::<Vec<_>>() {
            permits.ended(at(ms), request, PermitEnd::Answered, None);
        }
        let mut replies: Vec<(u64, Reply)> = permits.poll(at(ms));
        if ms % every_ms == 0 {
            replies.push((ms, permits.ask(at(ms), ms, &wanted(ms))));
        }
        for (request, reply) in replies {
            match reply {
                Reply::Go => {
                    played.starts.push(ms);
                    working.push((request, ms + WORK_MS));
                }
                Reply::Full { .. } | Reply::Paced { .. } => {
                    played.refused += 1;
                    played.longest_refusal = played.longest_refusal.max(ms - request);
                }
                Reply::Queued { .. } => {}
            }
        }
    }
    played
}

/// An upstream that got thirty requests a second names a limit at 4 s.
#[test]
fn an_upstream_gets_no_more_than_it_says() {
    struct Case {
        name: &'static str,
        per_s: f64,
        may_wait: bool,
        /// Hosts that stand before the one that is asked.
        passed_over: u32,
        /// Most starts in any four seconds once the word is known, and least in the last twelve seconds.
        most: usize,
        least: usize,
    }
    let cases = [
        Case {
            name: "on a key",
            per_s: 8.0,
            may_wait: true,
            passed_over: 0,
            most: 32,
            least: 90,
        },
        Case {
            name: "requests that may go elsewhere",
            per_s: 8.0,
            may_wait: false,
            passed_over: 0,
            most: 32,
            least: 85,
        },
        Case {
            name: "fewer than one a second",
            per_s: 0.6,
            may_wait: false,
            passed_over: 0,
            most: 2,
            least: 5,
        },
        Case {
            name: "nothing at all: one now and then finds out whether that still holds",
            per_s: 0.0,
            may_wait: true,
            passed_over: 0,
            most: 1,
            least: 1,
        },
        Case {
            name: "more than is asked for",
            per_s: 1_000.0,
            may_wait: true,
            passed_over: 0,
            most: 122,
            least: 350,
        },
        Case {
            name: "at a host in another's place",
            per_s: 8.0,
            may_wait: true,
            passed_over: 1,
            most: 8,
            least: 20,
        },
        Case {
            name: "at a host in the place of two",
            per_s: 8.0,
            may_wait: true,
            passed_over: 2,
            most: 2,
            least: 5,
        },
    ];
    for case in cases {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        let before = play(&mut permits, 0..4_000, 33, |_| {
            wanted(case.may_wait, Limit::default())
        });
        assert!(before.starts.len() > 100, "{}", case.name);
        let after = play(&mut permits, 4_000..24_000, 33, |_| PermitRequest {
            passed_over: case.passed_over,
            ..wanted(case.may_wait, limit(4_000, case.per_s))
        });
        let most = busiest(&after.starts, 4_000);
        assert!(most <= case.most, "{}: {most}", case.name);
        let all: Vec<u64> = before.starts.iter().chain(&after.starts).copied().collect();
        // What was sent before the word counts, once no span lies wholly before it.
        let first = after.starts.iter().find(|&&ms| ms > 4_100);
        if let Some(&first) = first.filter(|_| case.most < 100) {
            let since = first.saturating_sub(SPAN_MS - 1);
            let within = all.iter().filter(|&&ms| ms >= since && ms <= first).count();
            assert!(within <= case.most, "{}: {within} before", case.name);
        }
        let late = after.starts.iter().filter(|&&ms| ms >= 12_000).count();
        assert!(late >= case.least, "{}: {late}", case.name);
        assert!(
            after.longest_refusal < 2_000,
            "{}: held {}",
            case.name,
            after.longest_refusal
        );
    }
}

/// Requests that wait when a limit comes, and that it leaves no time for, are refused at once.
#[test]
fn whoever_waits_when_a_limit_comes_is_told_at_once() {
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    for request in 0..40 {
        permits.ask(at(0), request, &wanted(true, Limit::default()));
    }
    assert!(permits.has_waiting());
    permits.hear_limit(limit(10, 2.0));
    let replies = permits.poll(at(10));
    let refused = replies
        .iter()
        .filter(|(_, reply)| matches!(reply, Reply::Paced { .. }));
    let refused = refused.count();
    let told = replies.len() - refused;
    assert!(refused > 0, "{replies:?}");
    assert!(told <= 4, "{replies:?}");
}

/// The word that was heard last counts, whichever host heard it.
#[test]
fn the_newest_word_counts() {
    struct Case {
        name: &'static str,
        /// Words as they arrive: when each was heard.
        words: &'static [(u64, Option<f64>)],
        per_s: Option<f64>,
    }
    for case in [
        Case {
            name: "lowered",
            words: &[(0, Some(9.0)), (10, Some(3.0))],
            per_s: Some(3.0),
        },
        Case {
            name: "an older word that comes later",
            words: &[(10, Some(3.0)), (0, Some(9.0))],
            per_s: Some(3.0),
        },
        Case {
            name: "taken back",
            words: &[(0, Some(9.0)), (10, None)],
            per_s: None,
        },
        Case {
            name: "named again",
            words: &[(0, Some(9.0)), (10, None), (20, Some(4.0))],
            per_s: Some(4.0),
        },
    ] {
        let mut permits: Permits<u64> = Permits::new(SLOTS, PermitSettings::default());
        for &(heard, per_s) in case.words {
            permits.hear_limit(Limit::heard_at(at(heard), per_s));
        }
        assert_eq!(permits.limit().per_s(), case.per_s, "{}", case.name);
    }
}

/// An answer without a limit takes it back only if its request was sent after the limit was last heard.
#[test]
fn an_answer_that_was_overtaken_takes_no_limit_back() {
    let mut known = Limit::default();
    assert!(
        !known.hear(at(0), at(0), LimitWord::Unlimited),
        "none was named"
    );
    assert_eq!(known.age(at(0)), None);
    assert!(known.hear(at(100), at(50), LimitWord::PerSecond(5.0)));
    assert!(
        !known.hear(at(110), at(60), LimitWord::Unlimited),
        "overtaken"
    );
    assert!(!known.hear(at(120), at(105), LimitWord::Unsaid));
    assert_eq!(known.per_s(), Some(5.0));
    assert!(known.hear(at(130), at(105), LimitWord::Unlimited));
    assert_eq!(known.per_s(), None);
}

/// Guards against a host that paces an upstream for good after it missed the one word that its limit is gone: hosts that
/// know of the withdrawal tell it again for a while.
#[test]
fn a_withdrawn_limit_is_news_again_to_those_who_missed_it() {
    let mut known = Limit::default();
    assert!(known.hear(at(0), at(0), LimitWord::PerSecond(5.0)));
    assert!(
        known.hear(at(100), at(50), LimitWord::Unlimited),
        "withdrawn"
    );
    assert!(
        !known.hear(at(200), at(150), LimitWord::Unlimited),
        "just told"
    );
    let mut missed = limit(0, 5.0);
    assert!(
        known.hear(at(1_200), at(1_150), LimitWord::Unlimited),
        "told again"
    );
    assert!(missed.take(known));
    assert_eq!(missed.per_s(), None);
    assert!(
        !missed.hear(at(1_300), at(1_250), LimitWord::Unlimited),
        "taken over as told"
    );
    let late = 60_000;
    assert!(
        !known.hear(at(late), at(late), LimitWord::Unlimited),
        "all know by then"
    );
    assert!(known.hear(at(late + 10), at(late), LimitWord::PerSecond(3.0)));
    assert!(known.hear(at(late + 20), at(late + 15), LimitWord::Unlimited));
}

/// Whatever cuts hosts off from each other, all parts together are well below what may come beyond a limit.
#[test]
fn parts_of_a_limit_add_up_to_less_than_half_more() {
    let known = limit(0, 8.0);
    // The next ones hand out one request in ten seconds.
    let handed_out: f64 = (0..4).filter_map(|n| known.handed_out(n)).sum();
    for hosts in [1, 11, 295, 5_600] {
        let alone = known.alone(hosts).expect("it is limited") * hosts as f64;
        assert!(handed_out + alone < 1.5 * 8.0, "{handed_out} {alone}");
    }
}

proptest! {
    /// However hosts ask and requests end, no four seconds have more starts than the limit, from when it is known.
    #[test]
    fn no_four_seconds_have_more_starts_than_the_limit(
        per_s in 0.3_f64..20.0,
        asks in proptest::collection::vec((0_u64..60, 1_u64..400, any::<bool>(), any::<bool>(), 0_u8..4), 1..400)
    ) {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        let mut now = 0;
        let mut starts = Vec::new();
        let mut working: Vec<(u64, u64, u8)> = Vec::new();
        permits.hear_limit(limit(0, per_s));
        for (request, (pass, work, may_wait, knows, end)) in (0..).zip(asks) {
            now += pass;
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
            let known = if knows { limit(0, per_s) } else { Limit::default() };
            let mut went = vec![(request, permits.ask(at(now), request, &wanted(may_wait, known)))];
            went.extend(permits.poll(at(now)));
            for (request, _) in went.into_iter().filter(|(_, reply)| *reply == Reply::Go) {
                starts.push(now);
                working.push((request, now + work, end));
            }
        }
        let most = (per_s * 4.0).max(1.0);
        prop_assert!(busiest(&starts, 0) as f64 <= most, "{per_s}: {starts:?}");
    }
}
