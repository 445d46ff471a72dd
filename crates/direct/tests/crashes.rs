//! Requests that are taken for the cause of upstreams' ends.

use std::time::Duration;

use direct::{CrashSettings, CrashTracker, Quarantine, RecentAnswers, RequestFingerprint};
use ids::{Timestamp, UpstreamId};

const CAUSE: RequestFingerprint = RequestFingerprint(1);
const BYSTANDER: RequestFingerprint = RequestFingerprint(2);

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(1_000 + seconds)
}

fn upstream(n: usize) -> UpstreamId {
    UpstreamId::new(format!("up-{n}")).expect("a name")
}

/// Report of an upstream's end by a host.
struct Report {
    at: u64,
    fingerprint: RequestFingerprint,
    upstream: usize,
    is_quarantined: bool,
}

struct Case {
    name: &'static str,
    reports: Vec<Report>,
}

fn report(
    at: u64,
    fingerprint: RequestFingerprint,
    upstream: usize,
    is_quarantined: bool,
) -> Report {
    Report {
        at,
        fingerprint,
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
                report(0, RequestFingerprint(3), 1, false),
                report(4, CAUSE, 2, true),
                report(4, RequestFingerprint(4), 2, false),
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
        let mut tracker = CrashTracker::default();
        for (i, t) in case.reports.iter().enumerate() {
            let is_quarantined = tracker.record_end(at(t.at), t.fingerprint, &upstream(t.upstream));
            assert_eq!(is_quarantined, t.is_quarantined, "{}, {i}", case.name);
        }
    }
}

/// If many upstreams end at once, many requests are suspected. Memory use stays bounded, and the
/// cause is found among the requests that are remembered.
#[test]
fn many_ends_at_once_keep_memory_bounded() {
    let cfg = CrashSettings {
        max_suspects: 100,
        ..CrashSettings::default()
    };
    let mut tracker = CrashTracker::new(cfg);
    for n in 0..10_000 {
        assert!(!tracker.record_end(at(0), RequestFingerprint(n), &upstream(n as usize % 50)));
    }
    assert!(!tracker.record_end(at(1), RequestFingerprint(20_000), &upstream(60)));
    assert!(tracker.record_end(at(5), RequestFingerprint(20_000), &upstream(61)));
    // The first ones were dropped.
    assert!(!tracker.record_end(at(5), RequestFingerprint(0), &upstream(61)));
}

#[test]
fn a_quarantine_ends() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.insert(at(0), CAUSE, at(600)));
    assert!(!quarantine.insert(at(1), CAUSE, at(601)), "reported again");
    assert!(!quarantine.insert(at(1), BYSTANDER, at(1)), "already over");
    assert_eq!(
        quarantine.remaining(at(1), CAUSE),
        Some(Duration::from_secs(599))
    );
    assert_eq!(quarantine.remaining(at(1), BYSTANDER), None);
    assert_eq!(quarantine.iter(at(1)).count(), 1);
    assert_eq!(quarantine.remaining(at(600), CAUSE), None);
    assert_eq!(quarantine.iter(at(600)).count(), 0);
    assert!(
        quarantine.insert(at(700), CAUSE, at(1_300)),
        "quarantined again"
    );
}

/// A request that callers send over and over is remembered as answered, even while many others are
/// recorded.
#[test]
fn recent_answers_are_remembered() {
    let mut answered = RecentAnswers::default();
    answered.record(at(0), BYSTANDER);
    assert!(answered.contains(BYSTANDER));
    assert!(!answered.contains(CAUSE));
    answered.record(at(40), RequestFingerprint(3));
    assert!(answered.contains(BYSTANDER));
    answered.record(at(80), RequestFingerprint(4));
    assert!(!answered.contains(BYSTANDER));
    for n in 10..20_000 {
        answered.record(at(81), RequestFingerprint(n));
    }
    assert!(answered.contains(RequestFingerprint(19_000)));
    assert!(
        !answered.contains(RequestFingerprint(10)),
        "the memory is bounded"
    );
}
