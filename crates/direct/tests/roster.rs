//! Upstreams that take requests while registrations are missing.

use std::time::Duration;

use direct::{Registered, Roster, State};
use ids::{DomainId, EntryId, Revision, Timestamp, UpstreamId};

const NOW: Timestamp = Timestamp::from_millis(5_000);
/// Revision of the store at which upstreams register.
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
    restored: &'static [&'static str],
    ready_ids: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "leaving upstreams are not ready",
        ready: &["a", "b"],
        leaving: &["b"],
        missing: &[],
        restored: &[],
        ready_ids: &["a"],
    },
    Case {
        name: "a single missing one has left",
        ready: &["a", "b", "c"],
        leaving: &[],
        missing: &["b"],
        restored: &[],
        ready_ids: &["a", "c"],
    },
    Case {
        name: "many missing ones expired with the store",
        ready: &["a", "b", "c"],
        leaving: &[],
        missing: &["a", "b"],
        restored: &[],
        ready_ids: &["a", "b", "c"],
    },
    Case {
        name: "one that is registered again is ready",
        ready: &["a", "b", "c"],
        leaving: &[],
        missing: &["b"],
        restored: &["b"],
        ready_ids: &["a", "b", "c"],
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
            assert!(!roster.miss(&id(name)), "{}: no change", case.name);
        }
        for name in case.restored {
            assert!(
                roster.put(NOW, AT, registered(name, State::Ready)),
                "{}",
                case.name
            );
        }
        let ready_ids: Vec<_> = roster
            .ready(&entry())
            .iter()
            .map(|u| u.id.to_string())
            .collect();
        assert_eq!(ready_ids, case.ready_ids, "{}", case.name);
    }
}

/// A repeated announcement that an upstream leaves does not give it more time.
#[test]
fn a_leaving_upstream_serves_its_keys_for_a_while() {
    let mut roster = Roster::default();
    roster.put(NOW, AT, registered("a", State::Ready));
    roster.put(NOW, AT, registered("a", State::Leaving));
    let repeated = Registered {
        leaving_since: Some(Timestamp::from_millis(5_700)),
        ..registered("a", State::Leaving)
    };
    assert!(!roster.put(NOW, AT, repeated), "no change");
    let upstream = roster.get(&id("a")).expect("it is registered");
    for (ms, serves) in [(5_000, true), (5_700, true), (5_900, false), (9_000, false)] {
        let now = Timestamp::from_millis(ms);
        assert_eq!(roster.serves_its_keys(upstream, now), serves, "at {ms}");
    }
}

/// Registrations of a server in order, and the incarnation that is then current.
struct ServerCase {
    name: &'static str,
    /// Time of the read, and start of the incarnation.
    registrations: &'static [(u64, Option<u64>)],
    current: &'static str,
}

const SERVERS: &[ServerCase] = &[
    ServerCase {
        name: "a later incarnation replaces the one before",
        registrations: &[(5_000, Some(100)), (5_500, Some(200))],
        current: "s-200",
    },
    ServerCase {
        name: "a late registration of the incarnation before does not bring it back",
        registrations: &[(5_000, Some(200)), (5_500, Some(100))],
        current: "s-200",
    },
    ServerCase {
        name: "nor do two, with one of the later incarnation between them",
        registrations: &[
            (5_000, Some(200)),
            (5_500, Some(100)),
            (6_000, Some(200)),
            (7_600, Some(100)),
        ],
        current: "s-200",
    },
    ServerCase {
        name: "an earlier one that stays registered: the clock was set back",
        registrations: &[(5_000, Some(200)), (5_500, Some(100)), (7_500, Some(100))],
        current: "s-100",
    },
    ServerCase {
        name: "one that no longer reports its start is not the incarnation that did",
        registrations: &[(5_000, Some(200)), (5_500, None)],
        current: "s-200",
    },
];

#[test]
fn one_incarnation_of_a_server_is_current() {
    for case in SERVERS {
        let mut roster = Roster::default();
        for &(ms, born) in case.registrations {
            let incarnation = Registered {
                id: id(&format!("s-{}", born.unwrap_or_default())),
                server: "s".into(),
                born,
                ..registered("s", State::Ready)
            };
            roster.put(Timestamp::from_millis(ms), AT, incarnation);
        }
        let all: Vec<_> = roster.iter().map(|u| u.id.to_string()).collect();
        assert_eq!(all, [case.current], "{}", case.name);
        let incarnation = roster.run_of("s").expect("one is current");
        assert_eq!(incarnation.id.as_str(), case.current, "{}", case.name);
        let incarnation = incarnation.id.clone();
        assert!(roster.remove(&incarnation), "{}", case.name);
        assert!(roster.run_of("s").is_none(), "{}", case.name);
    }
}

/// An upstream announces in its answers that it leaves, long before the store has taken its
/// registration.
#[test]
fn an_announced_leave_overrides_the_registration() {
    let mut roster = Roster::default();
    for name in ["a", "b"] {
        roster.put(NOW, AT, registered(name, State::Ready));
    }
    let ready_ids = |roster: &Roster| -> Vec<String> {
        let ready = roster.ready(&entry());
        ready.iter().map(|u| u.id.to_string()).collect()
    };
    assert!(roster.hear_leaving(NOW, &id("b")));
    assert!(
        !roster.hear_leaving(NOW, &id("b")),
        "a repeated announcement is no change"
    );
    assert_eq!(ready_ids(&roster), ["a"]);
    let later = NOW + Duration::from_millis(700);
    assert!(!roster.put(later, Revision(9), registered("b", State::Ready)));
    assert_eq!(ready_ids(&roster), ["a"]);
    let b = roster.get(&id("b")).expect("it is registered").clone();
    assert_eq!(
        b.leaving_since,
        Some(NOW),
        "its time runs from the first announcement"
    );
    assert!(roster.serves_its_keys(&b, later));
    assert!(!roster.serves_its_keys(&b, NOW + Duration::from_secs(1)));
    // Its registration is lost for a moment, and comes back unchanged.
    roster.remove(&id("b"));
    assert_eq!(ready_ids(&roster), ["a"]);
    roster.put(later, Revision(11), registered("b", State::Ready));
    assert_eq!(ready_ids(&roster), ["a"]);
    assert!(!roster.hear_leaving(NOW, &id("c")), "it is not registered");
}
