//! Upstreams that take requests while registrations are missing.

use std::time::Duration;

use direct::{Registration, UpstreamRegistry, UpstreamState};
use ids::{DomainId, EntryId, Revision, StoreEra, Timestamp, UpstreamId};

const NOW: Timestamp = Timestamp::from_millis(5_000);
/// Revision of the store at which upstreams register.
const AT: Revision = Revision(7);

fn id(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a valid name")
}

fn entry() -> EntryId {
    EntryId::new("reads").expect("a valid name")
}

fn registered(name: &str, state: UpstreamState) -> Registration {
    Registration {
        id: id(name),
        server: name.into(),
        started_ms: None,
        write_count: None,
        entry: entry(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::new("a").expect("a valid name"),
        slots: 4,
        state,
        leaving_since: (state == UpstreamState::Leaving).then_some(Timestamp::from_millis(5_000)),
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
        let mut registry = UpstreamRegistry::default();
        for name in case.ready {
            assert!(
                registry.register(NOW, AT, registered(name, UpstreamState::Ready)),
                "{}",
                case.name
            );
        }
        for name in case.leaving {
            assert!(
                registry.register(NOW, AT, registered(name, UpstreamState::Leaving)),
                "{}",
                case.name
            );
        }
        for name in case.missing {
            assert!(registry.mark_missing(&id(name)), "{}", case.name);
            assert!(
                !registry.mark_missing(&id(name)),
                "{}: no change",
                case.name
            );
        }
        for name in case.restored {
            assert!(
                registry.register(NOW, AT, registered(name, UpstreamState::Ready)),
                "{}",
                case.name
            );
        }
        let ready_ids: Vec<_> = registry
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
    let mut registry = UpstreamRegistry::default();
    registry.register(NOW, AT, registered("a", UpstreamState::Ready));
    registry.register(NOW, AT, registered("a", UpstreamState::Leaving));
    let repeated = Registration {
        leaving_since: Some(Timestamp::from_millis(5_700)),
        ..registered("a", UpstreamState::Leaving)
    };
    assert!(!registry.register(NOW, AT, repeated), "no change");
    let upstream = registry.get(&id("a")).expect("it is registered");
    for (ms, serves) in [(5_000, true), (5_700, true), (5_900, false), (9_000, false)] {
        let now = Timestamp::from_millis(ms);
        assert_eq!(registry.serves_owned_keys(upstream, now), serves, "at {ms}");
    }
}

struct LeavingCase {
    name: &'static str,
    /// As of when the registrations were known before.
    known_as_of_ms: u64,
    /// Until when the upstream gets requests on its keys.
    until_ms: u64,
}

const fn leaving(name: &'static str, known_as_of_ms: u64, until_ms: u64) -> LeavingCase {
    LeavingCase {
        name,
        known_as_of_ms,
        until_ms,
    }
}

const LEAVING: [LeavingCase; 4] = [
    leaving("learnt at once", 4_990, 5_800),
    leaving(
        "learnt 1.7 s after the store may have accepted it",
        3_300,
        5_100,
    ),
    leaving("learnt when it may have stopped serving", 3_000, 4_800),
    leaving("nothing was known before", 0, 1_800),
];

/// Guards against requests to an upstream that has stopped serving, at a host that learns late that it
/// leaves: the time counts from when the store may have accepted it.
#[test]
fn a_leaving_upstream_gets_nothing_after_its_service_time() {
    for case in LEAVING {
        for is_announced in [false, true] {
            let mut registry = UpstreamRegistry::default();
            registry.register(NOW, AT, registered("a", UpstreamState::Ready));
            registry.record_known_as_of(Timestamp::from_millis(case.known_as_of_ms));
            if is_announced {
                registry.mark_leaving(NOW, &id("a"));
            }
            registry.register(NOW, AT, registered("a", UpstreamState::Leaving));
            // What is known later gives it no more time.
            registry.record_known_as_of(NOW);
            registry.register(NOW, AT, registered("a", UpstreamState::Leaving));
            let upstream = registry.get(&id("a")).expect("it is registered");
            let until = registry.serves_owned_keys_until(upstream);
            assert_eq!(
                until,
                Timestamp::from_millis(case.until_ms),
                "{}",
                case.name
            );
        }
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
        let mut registry = UpstreamRegistry::default();
        for &(ms, started_ms) in case.registrations {
            let incarnation = Registration {
                id: id(&format!("s-{}", started_ms.unwrap_or_default())),
                server: "s".into(),
                started_ms,
                ..registered("s", UpstreamState::Ready)
            };
            registry.register(Timestamp::from_millis(ms), AT, incarnation);
        }
        let all: Vec<_> = registry.iter().map(|u| u.id.to_string()).collect();
        assert_eq!(all, [case.current], "{}", case.name);
        let incarnation = registry.incarnation_of("s").expect("one is current");
        assert_eq!(incarnation.id.as_str(), case.current, "{}", case.name);
        let incarnation = incarnation.id.clone();
        assert!(registry.remove(&incarnation), "{}", case.name);
        assert!(registry.incarnation_of("s").is_none(), "{}", case.name);
    }
}

/// An upstream announces in its answers that it leaves, long before the store has taken its
/// registration.
#[test]
fn an_announced_leave_overrides_the_registration() {
    let mut registry = UpstreamRegistry::default();
    for name in ["a", "b"] {
        registry.register(NOW, AT, registered(name, UpstreamState::Ready));
    }
    let ready_ids = |registry: &UpstreamRegistry| -> Vec<String> {
        let ready = registry.ready(&entry());
        ready.iter().map(|u| u.id.to_string()).collect()
    };
    assert!(registry.mark_leaving(NOW, &id("b")));
    assert!(
        !registry.mark_leaving(NOW, &id("b")),
        "a repeated announcement is no change"
    );
    assert_eq!(ready_ids(&registry), ["a"]);
    let later = NOW + Duration::from_millis(700);
    assert!(!registry.register(later, Revision(9), registered("b", UpstreamState::Ready)));
    assert_eq!(ready_ids(&registry), ["a"]);
    let b = registry.get(&id("b")).expect("it is registered").clone();
    assert_eq!(
        b.leaving_since,
        Some(NOW),
        "its time runs from the first announcement"
    );
    assert!(registry.serves_owned_keys(&b, later));
    assert!(!registry.serves_owned_keys(&b, NOW + Duration::from_secs(1)));
    // Its registration is lost for a moment, and comes back unchanged.
    registry.remove(&id("b"));
    assert_eq!(ready_ids(&registry), ["a"]);
    registry.register(later, Revision(11), registered("b", UpstreamState::Ready));
    assert_eq!(ready_ids(&registry), ["a"]);
    assert!(
        !registry.mark_leaving(NOW, &id("c")),
        "it is not registered"
    );
}

/// A registration in some era of the store, written for the given time by its server.
struct EraRegistration {
    era: u64,
    version: u64,
    write_count: u64,
    state: UpstreamState,
}

/// Registrations of one upstream in order.
struct EraCase {
    name: &'static str,
    registrations: &'static [EraRegistration],
    /// Whether the upstream is removed from the store after that many registrations.
    removed_after: Option<usize>,
    state: Option<UpstreamState>,
}

const fn registration_in(
    era: u64,
    version: u64,
    write_count: u64,
    state: UpstreamState,
) -> EraRegistration {
    EraRegistration {
        era,
        version,
        write_count,
        state,
    }
}

const ERA_CASES: &[EraCase] = &[
    EraCase {
        name: "an upstream that leaves does so still, if the store has lost its word",
        registrations: &[
            registration_in(1, 5, 1, UpstreamState::Ready),
            registration_in(1, 9, 2, UpstreamState::Leaving),
            registration_in(2, 5, 1, UpstreamState::Ready),
        ],
        removed_after: None,
        state: Some(UpstreamState::Leaving),
    },
    EraCase {
        name: "one that has ended does not return with the copy",
        registrations: &[
            registration_in(1, 5, 1, UpstreamState::Ready),
            registration_in(2, 5, 1, UpstreamState::Ready),
        ],
        removed_after: Some(1),
        state: None,
    },
    EraCase {
        name: "nor if the copy is read again",
        registrations: &[
            registration_in(1, 5, 1, UpstreamState::Ready),
            registration_in(2, 5, 1, UpstreamState::Ready),
            registration_in(2, 5, 1, UpstreamState::Ready),
        ],
        removed_after: Some(1),
        state: None,
    },
    EraCase {
        name: "one that registers again after the return is there",
        registrations: &[
            registration_in(1, 5, 1, UpstreamState::Ready),
            registration_in(2, 5, 1, UpstreamState::Ready),
            registration_in(2, 7, 1, UpstreamState::Ready),
        ],
        removed_after: Some(1),
        state: Some(UpstreamState::Ready),
    },
    EraCase {
        name: "one that has written since it was removed is there",
        registrations: &[
            registration_in(1, 5, 1, UpstreamState::Ready),
            registration_in(2, 5, 2, UpstreamState::Ready),
        ],
        removed_after: Some(1),
        state: Some(UpstreamState::Ready),
    },
    EraCase {
        name: "one that expired and registers again in the same era is there",
        registrations: &[
            registration_in(1, 5, 1, UpstreamState::Ready),
            registration_in(1, 9, 1, UpstreamState::Ready),
        ],
        removed_after: Some(1),
        state: Some(UpstreamState::Ready),
    },
];

/// Guards against requests to upstreams that left: a store that has returned from a copy shows what
/// they wrote before.
#[test]
fn older_registrations_of_a_copy_are_ignored() {
    for case in ERA_CASES {
        let mut registry = UpstreamRegistry::default();
        for (i, registration) in case.registrations.iter().enumerate() {
            if case.removed_after == Some(i) {
                registry.remove_gone(&id("a"), StoreEra(1));
            }
            let upstream = Registration {
                write_count: Some(registration.write_count),
                ..registered("a", registration.state)
            };
            let at = Revision::in_era(StoreEra(registration.era), registration.version);
            registry.register(NOW, at.expect("small numbers"), upstream);
        }
        let state = registry.get(&id("a")).map(|u| u.state);
        assert_eq!(state, case.state, "{}", case.name);
    }
}

/// Guards against keys of a server that restarted in seconds that the store has lost: the copy shows
/// its earlier incarnation until it registers again.
#[test]
fn an_earlier_incarnation_of_a_copy_does_not_count() {
    let incarnation = |started_ms: u64| Registration {
        id: id(&format!("s-{started_ms}")),
        server: "s".into(),
        started_ms: Some(started_ms),
        ..registered("s", UpstreamState::Ready)
    };
    let mut registry = UpstreamRegistry::default();
    let at = Timestamp::from_millis;
    registry.register(at(5_000), AT, incarnation(200));
    registry.begin_era(at(8_200));
    for (ms, current) in [(6_000, "s-200"), (8_100, "s-200"), (10_300, "s-100")] {
        registry.register(at(ms), AT, incarnation(100));
        let known = registry.incarnation_of("s").map(|u| u.id.to_string());
        assert_eq!(known.as_deref(), Some(current), "at {ms}");
    }
}
