//! Which requests are held to be the cause of upstreams' ends.

use std::time::Duration;

use direct::{Answered, Content, CrashSettings, Crashes, Quarantine};
use ids::{Timestamp, UpstreamId};

const CAUSE: Content = Content(1);
const BYSTANDER: Content = Content(2);

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(1_000 + seconds)
}

fn upstream(n: usize) -> UpstreamId {
    UpstreamId::new(format!("up-{n}")).expect("a name")
}

/// What a host tells of an upstream's end.
struct Told {
    at: u64,
    content: Content,
    upstream: usize,
    is_quarantined: bool,
}

struct Case {
    name: &'static str,
    told: Vec<Told>,
}

fn told(at: u64, content: Content, upstream: usize, is_quarantined: bool) -> Told {
    Told {
        at,
        content,
        upstream,
        is_quarantined,
    }
}

#[test]
fn the_cause_is_there_when_a_second_upstream_ends() {
    let cases = [
        Case {
            name: "the same request, bystanders at each",
            told: vec![
                told(0, CAUSE, 1, false),
                told(0, BYSTANDER, 1, false),
                told(0, Content(3), 1, false),
                told(4, CAUSE, 2, true),
                told(4, Content(4), 2, false),
            ],
        },
        Case {
            name: "one end, told by several hosts and of several copies",
            told: vec![
                told(0, CAUSE, 1, false),
                told(0, CAUSE, 1, false),
                told(1, CAUSE, 1, false),
            ],
        },
        Case {
            name: "told again when it is quarantined already",
            told: vec![
                told(0, CAUSE, 1, false),
                told(4, CAUSE, 2, true),
                told(4, CAUSE, 2, false),
            ],
        },
        Case {
            name: "one more after the quarantine",
            told: vec![
                told(0, CAUSE, 1, false),
                told(4, CAUSE, 2, true),
                told(700, CAUSE, 3, true),
            ],
        },
        Case {
            name: "forgotten in between",
            told: vec![told(0, CAUSE, 1, false), told(1_000, CAUSE, 2, false)],
        },
    ];
    for case in cases {
        let mut crashes = Crashes::default();
        for (i, t) in case.told.iter().enumerate() {
            let is_quarantined = crashes.ended(at(t.at), t.content, &upstream(t.upstream));
            assert_eq!(is_quarantined, t.is_quarantined, "{}, {i}", case.name);
        }
    }
}

/// Many upstreams that end at once suspect many requests; the memory stays bounded, and the cause is found among
/// those that are remembered.
#[test]
fn a_wave_of_losses_fills_no_memory() {
    let cfg = CrashSettings {
        suspects_max: 100,
        ..CrashSettings::default()
    };
    let mut crashes = Crashes::new(cfg);
    for n in 0..10_000 {
        assert!(!crashes.ended(at(0), Content(n), &upstream(n as usize % 50)));
    }
    assert!(!crashes.ended(at(1), Content(20_000), &upstream(60)));
    assert!(crashes.ended(at(5), Content(20_000), &upstream(61)));
    // The first ones are forgotten.
    assert!(!crashes.ended(at(5), Content(0), &upstream(61)));
}

#[test]
fn a_quarantine_ends() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.put(at(0), CAUSE, at(600)));
    assert!(!quarantine.put(at(1), CAUSE, at(601)), "told again");
    assert!(!quarantine.put(at(1), BYSTANDER, at(1)), "over already");
    assert_eq!(
        quarantine.left(at(1), CAUSE),
        Some(Duration::from_secs(599))
    );
    assert_eq!(quarantine.left(at(1), BYSTANDER), None);
    assert_eq!(quarantine.iter(at(1)).count(), 1);
    assert_eq!(quarantine.left(at(600), CAUSE), None);
    assert_eq!(quarantine.iter(at(600)).count(), 0);
    assert!(quarantine.put(at(700), CAUSE, at(1_300)), "once more");
}

/// What callers ask over and over is remembered as answered, also while many other requests are.
#[test]
fn answers_of_late_are_remembered() {
    let mut answered = Answered::default();
    answered.note(at(0), BYSTANDER);
    assert!(answered.contains(BYSTANDER));
    assert!(!answered.contains(CAUSE));
    answered.note(at(40), Content(3));
    assert!(answered.contains(BYSTANDER));
    answered.note(at(80), Content(4));
    assert!(!answered.contains(BYSTANDER));
    for n in 10..20_000 {
        answered.note(at(81), Content(n));
    }
    assert!(answered.contains(Content(19_000)));
    assert!(!answered.contains(Content(10)), "the memory is bounded");
}
