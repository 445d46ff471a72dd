//! Requests that are taken for the cause of upstreams' ends.

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

/// Report of an upstream's end by a host.
struct Report {
    at: u64,
    content: Content,
    upstream: usize,
    is_quarantined: bool,
}

struct Case {
    name: &'static str,
    reports: Vec<Report>,
}

fn report(at: u64, content: Content, upstream: usize, is_quarantined: bool) -> Report {
    Report {
        at,
        content,
        upstream,
        is_quarantined,
    }
}

#[test]
fn a_request_is_quarantined_when_a_second_upstream_ends() {
    let cases = [
        Case {
            name: "the same request, bystanders at each",
            reports: vec![
                report(0, CAUSE, 1, false),
                report(0, BYSTANDER, 1, false),
                report(0, Content(3), 1, false),
                report(4, CAUSE, 2, true),
                report(4, Content(4), 2, false),
            ],
        },
        Case {
            name: "one end, reported by several hosts and for several copies",
            reports: vec![
                report(0, CAUSE, 1, false),
                report(0, CAUSE, 1, false),
                report(1, CAUSE, 1, false),
            ],
        },
        Case {
            name: "reported again when it is already quarantined",
            reports: vec![
                report(0, CAUSE, 1, false),
                report(4, CAUSE, 2, true),
                report(4, CAUSE, 2, false),
            ],
        },
        Case {
            name: "one more end after the quarantine",
            reports: vec![
                report(0, CAUSE, 1, false),
                report(4, CAUSE, 2, true),
                report(700, CAUSE, 3, true),
            ],
        },
        Case {
            name: "forgotten in between",
            reports: vec![report(0, CAUSE, 1, false), report(1_000, CAUSE, 2, false)],
        },
    ];
    for case in cases {
        let mut crashes = Crashes::default();
        for (i, t) in case.reports.iter().enumerate() {
            let is_quarantined = crashes.ended(at(t.at), t.content, &upstream(t.upstream));
            assert_eq!(is_quarantined, t.is_quarantined, "{}, {i}", case.name);
        }
    }
}

/// If many upstreams end at once, many requests are suspected. Memory use stays bounded, and the
/// cause is found among the requests that are remembered.
#[test]
fn many_ends_at_once_keep_memory_bounded() {
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
    // The first ones were dropped.
    assert!(!crashes.ended(at(5), Content(0), &upstream(61)));
}

#[test]
fn a_quarantine_ends() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.put(at(0), CAUSE, at(600)));
    assert!(!quarantine.put(at(1), CAUSE, at(601)), "reported again");
    assert!(!quarantine.put(at(1), BYSTANDER, at(1)), "already over");
    assert_eq!(
        quarantine.left(at(1), CAUSE),
        Some(Duration::from_secs(599))
    );
    assert_eq!(quarantine.left(at(1), BYSTANDER), None);
    assert_eq!(quarantine.iter(at(1)).count(), 1);
    assert_eq!(quarantine.left(at(600), CAUSE), None);
    assert_eq!(quarantine.iter(at(600)).count(), 0);
    assert!(
        quarantine.put(at(700), CAUSE, at(1_300)),
        "quarantined again"
    );
}

/// A request that callers send over and over is remembered as answered, even while many others are
/// recorded.
#[test]
fn recent_answers_are_remembered() {
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
