//! Which upstreams take requests while registrations are missing.

use direct::{Registered, Roster, State};
use ids::{DomainId, EntryId, Timestamp, UpstreamId};

fn id(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a valid name")
}

fn entry() -> EntryId {
    EntryId::new("reads").expect("a valid name")
}

fn registered(name: &str, state: State) -> Registered {
    Registered {
        id: id(name),
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
            assert!(roster.put(registered(name, State::Ready)), "{}", case.name);
        }
        for name in case.leaving {
            assert!(
                roster.put(registered(name, State::Leaving)),
                "{}",
                case.name
            );
        }
        for name in case.missing {
            assert!(roster.miss(&id(name)), "{}", case.name);
            assert!(!roster.miss(&id(name)), "{}: no news", case.name);
        }
        for name in case.back {
            assert!(roster.put(registered(name, State::Ready)), "{}", case.name);
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
    roster.put(registered("a", State::Ready));
    roster.put(registered("a", State::Leaving));
    let later = Registered {
        leaving_since: Some(Timestamp::from_millis(5_700)),
        ..registered("a", State::Leaving)
    };
    assert!(!roster.put(later), "no news");
    let upstream = roster.get(&id("a")).expect("it is there");
    for (ms, serves) in [(5_000, true), (5_700, true), (5_900, false), (9_000, false)] {
        let now = Timestamp::from_millis(ms);
        assert_eq!(upstream.serves_its_keys(now), serves, "at {ms}");
    }
}
