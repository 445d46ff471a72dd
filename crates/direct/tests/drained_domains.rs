//! Requests to upstreams of failure domains that the operator drains and restores.

use direct::{Registration, UpstreamRegistry, UpstreamState};
use ids::{DomainId, EntryId, Revision, Timestamp, UpstreamId};

/// When the domain is drained, and when it is restored.
const DRAINED_MS: u64 = 5_000;
const RESTORED_MS: u64 = 20_000;
/// Revision at which it is restored.
const RESTORED_AT: Revision = Revision(70);
/// Time for which upstreams are cold after a start, as in current deployments.
const COLD_MS: u64 = 3_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn domain(name: &str) -> DomainId {
    DomainId::new(name).expect("a valid name")
}

fn entry() -> EntryId {
    EntryId::new("postings").expect("a valid name")
}

fn registered(name: &str, cold_until_ms: u64) -> Registration {
    Registration {
        id: UpstreamId::new(name).expect("a valid name"),
        server: name.into(),
        started_ms: None,
        write_count: None,
        entry: entry(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain(&name[..1]),
        slots: 2,
        state: UpstreamState::Ready,
        leaving_since: None,
        cold_until: at(cold_until_ms),
        is_missing: false,
    }
}

/// Two upstreams in each of the domains a, b and c.
fn registry() -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for name in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        registry.register(at(0), Revision(1), registered(name, 0));
    }
    registry
}

fn ready(registry: &UpstreamRegistry) -> Vec<&str> {
    let ready = registry.ready(&entry());
    ready.into_iter().map(|u| u.server.as_str()).collect()
}

fn cold_until(registry: &UpstreamRegistry, name: &str) -> Timestamp {
    registry
        .incarnation_of(name)
        .expect("it is registered")
        .cold_until
}

#[test]
fn drained_domains_take_nothing() {
    struct Case {
        name: &'static str,
        drained: &'static [&'static str],
        restored: &'static [&'static str],
        ready: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "one",
            drained: &["b"],
            restored: &[],
            ready: &["a1", "a2", "c1", "c2"],
        },
        Case {
            name: "two at once",
            drained: &["a", "b"],
            restored: &[],
            ready: &["c1", "c2"],
        },
        Case {
            name: "one after the other",
            drained: &["a", "b"],
            restored: &["a"],
            ready: &["a1", "a2", "c1", "c2"],
        },
        Case {
            name: "all",
            drained: &["a", "b", "c"],
            restored: &[],
            ready: &[],
        },
        Case {
            name: "an unknown one",
            drained: &["x"],
            restored: &[],
            ready: &["a1", "a2", "b1", "b2", "c1", "c2"],
        },
    ];
    for case in cases {
        let mut registry = registry();
        for name in case.drained {
            assert!(registry.drain_domain(domain(name), Some(at(DRAINED_MS))));
            assert!(!registry.drain_domain(domain(name), Some(at(DRAINED_MS + 900))));
        }
        for name in case.restored {
            assert!(registry.restore_domain(&domain(name), RESTORED_AT, |_| None));
            assert!(!registry.restore_domain(&domain(name), RESTORED_AT, |_| None));
        }
        assert_eq!(ready(&registry), case.ready, "{}", case.name);
    }
}

/// Upstreams that register, or register again, while their domain is drained get no requests
/// either.
#[test]
fn upstreams_that_register_in_a_drained_domain_get_nothing() {
    let mut registry = registry();
    registry.drain_domain(domain("b"), Some(at(DRAINED_MS)));
    registry.register(at(6_000), Revision(8), registered("b3", 9_000));
    registry.register(at(6_500), Revision(9), registered("b1", 9_500));
    assert_eq!(ready(&registry), ["a1", "a2", "c1", "c2"]);
    registry.restore_domain(&domain("b"), RESTORED_AT, |_| None);
    assert_eq!(ready(&registry).len(), 7);
}

/// Requests on keys are served while the keys move, for less than half of the five seconds after
/// which nothing may reach the domain. A host that starts during the drain sends nothing there at
/// all.
#[test]
fn keys_of_a_drained_domain_are_served_while_they_move() {
    struct Case {
        name: &'static str,
        since: Option<Timestamp>,
        /// Time since the drain, and whether requests on keys go to their owner there.
        serves: [(u64, bool); 3],
    }
    let cases = [
        Case {
            name: "the host learns of the drain",
            since: Some(at(DRAINED_MS)),
            serves: [(0, true), (1_500, true), (2_500, false)],
        },
        Case {
            name: "the domain was drained when the host started",
            since: None,
            serves: [(0, false), (1_500, false), (2_500, false)],
        },
    ];
    for case in cases {
        let mut registry = registry();
        registry.drain_domain(domain("b"), case.since);
        let owner = registry.incarnation_of("b1").expect("it is registered");
        for (ms, serves) in case.serves {
            let now = at(DRAINED_MS + ms);
            let is_served = registry.serves_owned_keys(owner, now);
            assert_eq!(is_served, serves, "{}: after {ms} ms", case.name);
        }
        let elsewhere = registry.incarnation_of("c1").expect("it is registered");
        assert!(registry.serves_owned_keys(elsewhere, at(DRAINED_MS + 9_000)));
    }
}

/// While a domain is drained, no host observes the state of its upstreams: they count as cold until
/// each has registered otherwise afterwards.
#[test]
fn a_restored_domain_is_cold_until_its_upstreams_report_otherwise() {
    struct Case {
        name: &'static str,
        /// Revision of the upstream's next registration, and its cold time in it.
        update: Option<(u64, u64)>,
        cold_until_ms: u64,
    }
    let cases = [
        Case {
            name: "no registration",
            update: None,
            cold_until_ms: RESTORED_MS + COLD_MS,
        },
        Case {
            name: "a registration from before the domain was restored is ignored",
            update: Some((69, 0)),
            cold_until_ms: RESTORED_MS + COLD_MS,
        },
        Case {
            name: "it is warm",
            update: Some((71, 0)),
            cold_until_ms: 0,
        },
        Case {
            name: "it is cold for a while",
            update: Some((71, RESTORED_MS + 1_200)),
            cold_until_ms: RESTORED_MS + 1_200,
        },
    ];
    for case in cases {
        let mut registry = registry();
        registry.drain_domain(domain("b"), Some(at(DRAINED_MS)));
        let until = |_: &EntryId| Some(at(RESTORED_MS + COLD_MS));
        registry.restore_domain(&domain("b"), RESTORED_AT, until);
        assert_eq!(cold_until(&registry, "a1"), at(0), "{}", case.name);
        if let Some((revision, cold_until_ms)) = case.update {
            let update = registered("b1", cold_until_ms);
            registry.register(at(RESTORED_MS + 600), Revision(revision), update);
        }
        let is = cold_until(&registry, "b1");
        assert_eq!(is, at(case.cold_until_ms), "{}", case.name);
    }
}

/// An upstream may become cold at any moment, without any other change of its registration. The
/// passing of its cold time, which each read reports with another delay, is not a change.
#[test]
fn becoming_cold_again_is_a_change() {
    let mut registry = registry();
    assert!(registry.register(at(8_000), Revision(8), registered("a1", 11_000)));
    assert!(!registry.register(at(8_650), Revision(9), registered("a1", 11_400)));
    assert_eq!(cold_until(&registry, "a1"), at(11_000));
    assert!(!registry.register(at(12_000), Revision(10), registered("a1", 0)));
    assert!(registry.register(at(13_000), Revision(11), registered("a1", 15_900)));
    assert_eq!(cold_until(&registry, "a1"), at(15_900));
}
