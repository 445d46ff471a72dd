//! Which upstreams take requests while registrations are missing.

use std::time::Duration;

use direct::{Registered, Roster, State};
use ids::{DomainId, EntryId, Revision, Timestamp, UpstreamId};

const NOW: Timestamp = Timestamp::from_millis(5_000);
/// Revision of the store as of which upstreams are known.
const AT: Revision = Revision(7);

fn id(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a valid name")
}

fn entry() -> EntryId {
    EntryId::new("reads").expect("a valid name")
}

fn registered(name: &str, state: State) -> Registered {
    Registered {
        id: id(name),
        server: name.into(),
        born: None,
        entry: entry(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::new("a").expect("a valid name"),
        slots: 4,
        state,
        leaving_since: (state == State::Leaving).then_some(Timestamp::from_millis(5_000)),
        cold_until: Timestamp::ZERO,
        is_missing: false,
    }
}

struct Case {
    name: &'static str,
    ready: &'static [&'static str],
    leaving: &'static [&'static str],
    missing: &'static [&'static str],
    back: &'static [&'static str],
    chosen: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "leaving ones take nothing",
        ready: &["a", "b"],
        leaving: &["b"],
        missing: &[],
        back: &[],
        chosen: &["a"],
    },
    Case {
        name: "one that is missing among many has left",
        ready: &["a", "b", "c"],
        leaving: &[],
        missing: &["b"],
        back: &[],
        chosen: &["a", "c"],
    },
    Case {
        name: "many that are missing lapsed with the store",
        ready: &["a", "b", "c"],
        leaving: &[],
        missing: &["a", "b"],
        back: &[],
        chosen: &["a", "b", "c"],
    },
    Case {
        name: "one that came back is there",
        ready: &["a", "b", "c"],
        leaving: &[],
        missing: &["b"],
        back: &["b"],
        chosen: &["a", "b", "c"],
    },
];

#[test]
fn missing_upstreams_count_only_where_they_are_many() {
    for case in CASES {
        let mut roster = Roster::default();
        for name in case.ready {
            assert!(
                roster.put(NOW, AT, registered(name, State::Ready)),
                "{}",
                case.name
            );
        }
        for name in case.leaving {
            assert!(
                roster.put(NOW, AT, registered(name, State::Leaving)),
                "{}",
                case.name
            );
        }
        for name in case.missing {
            assert!(roster.miss(&id(name)), "{}", case.name);
            assert!(!roster.miss(&id(name)), "{}: no news", case.name);
        }
        for name in case.back {
            assert!(
                roster.put(NOW, AT, registered(name, State::Ready)),
                "{}",
                case.name
            );
        }
        let chosen: Vec<_> = roster
            .ready(&entry())
            .iter()
            .map(|u| u.id.to_string())
            .collect();
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

/// Whoever says again that it leaves is not given more time.
#[test]
fn a_leaving_upstream_serves_its_keys_for_a_while() {
    let mut roster = Roster::default();
    roster.put(NOW, AT, registered("a", State::Ready));
    roster.put(NOW, AT, registered("a", State::Leaving));
    let later = Registered {
        leaving_since: Some(Timestamp::from_millis(5_700)),
        ..registered("a", State::Leaving)
    };
    assert!(!roster.put(NOW, AT, later), "no news");
    let upstream = roster.get(&id("a")).expect("it is there");
    for (ms, serves) in [(5_000, true), (5_700, true), (5_900, false), (9_000, false)] {
        let now = Timestamp::from_millis(ms);
        assert_eq!(roster.serves_its_keys(upstream, now), serves, "at {ms}");
    }
}

/// What a server registered, in order, and which of its runs then counts.
struct Life {
    name: &'static str,
    /// When it was read, and the start of the run.
    words: &'static [(u64, Option<u64>)],
    counts: &'static str,
}

const LIVES: &[Life] = &[
    Life {
        name: "a later run replaces the one before",
        words: &[(5_000, Some(100)), (5_500, Some(200))],
        counts: "s-200",
    },
    Life {
        name: "a late word of the run before does not bring it back",
        words: &[(5_000, Some(200)), (5_500, Some(100))],
        counts: "s-200",
    },
    Life {
        name: "nor do two, if the later run is heard between them",
        words: &[
            (5_000, Some(200)),
            (5_500, Some(100)),
            (6_000, Some(200)),
            (7_600, Some(100)),
        ],
        counts: "s-200",
    },
    Life {
        name: "an earlier one that goes on saying so has had its clock set back",
        words: &[(5_000, Some(200)), (5_500, Some(100)), (7_500, Some(100))],
        counts: "s-100",
    },
    Life {
        name: "one that does not say any more when it began is not the run that did",
        words: &[(5_000, Some(200)), (5_500, None)],
        counts: "s-200",
    },
];

#[test]
fn one_run_of_a_server_counts() {
    for case in LIVES {
        let mut roster = Roster::default();
        for &(ms, born) in case.words {
            let run = Registered {
                id: id(&format!("s-{}", born.unwrap_or_default())),
                server: "s".into(),
                born,
                ..registered("s", State::Ready)
            };
            roster.put(Timestamp::from_millis(ms), AT, run);
        }
        let all: Vec<_> = roster.iter().map(|u| u.id.to_string()).collect();
        assert_eq!(all, [case.counts], "{}", case.name);
        let run = roster.run_of("s").expect("one counts");
        assert_eq!(run.id.as_str(), case.counts, "{}", case.name);
        let run = run.id.clone();
        assert!(roster.remove(&run), "{}", case.name);
        assert!(roster.run_of("s").is_none(), "{}", case.name);
    }
}

/// An upstream says in its answers that it leaves, long before the store takes its word.
#[test]
fn who_said_that_it_leaves_is_not_ready_whatever_its_registration_says() {
    let mut roster = Roster::default();
    for name in ["a", "b"] {
        roster.put(NOW, AT, registered(name, State::Ready));
    }
    let chosen = |roster: &Roster| -> Vec<String> {
        let ready = roster.ready(&entry());
        ready.iter().map(|u| u.id.to_string()).collect()
    };
    assert!(roster.hear_leaving(NOW, &id("b")));
    assert!(!roster.hear_leaving(NOW, &id("b")), "once is news");
    assert_eq!(chosen(&roster), ["a"]);
    let later = NOW + Duration::from_millis(700);
    assert!(!roster.put(later, Revision(9), registered("b", State::Ready)));
    assert_eq!(chosen(&roster), ["a"]);
    let b = roster.get(&id("b")).expect("it is there").clone();
    assert_eq!(
        b.leaving_since,
        Some(NOW),
        "its time runs from the first word"
    );
    assert!(roster.serves_its_keys(&b, later));
    assert!(!roster.serves_its_keys(&b, NOW + Duration::from_secs(1)));
    // Its registration is lost for a moment, and comes back as it was.
    roster.remove(&id("b"));
    assert_eq!(chosen(&roster), ["a"]);
    roster.put(later, Revision(11), registered("b", State::Ready));
    assert_eq!(chosen(&roster), ["a"]);
    assert!(!roster.hear_leaving(NOW, &id("c")), "nobody knows it");
}
