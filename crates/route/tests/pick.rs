//! Tests of the choice among upstreams that may serve any request.

mod support;

use std::time::Duration;

use catalogue::{Catalogue, Sharding};
use ids::{Reason, Timestamp};
use route::{EntryKey, Ownership, Picker, PickerSettings, Router, UpstreamKey, UpstreamOwnership};
use support::{domain_id, entry_id, host_id, ms, upstream_id};

/// Builds a snapshot of upstreams, each with its domain and whether it is coordinated.
fn build(previous: &Router, upstreams: &[(&str, &str, bool)]) -> Router {
    let mut catalogue = Catalogue::default();
    let mut ownership = Ownership::default();
    let entry = support::entry("any", Sharding::None);
    catalogue.entries.insert(entry_id("any"), entry);
    for &(name, domain, coordinated) in upstreams {
        let upstream = support::upstream("any", domain);
        catalogue.upstreams.insert(upstream_id(name), upstream);
        let owned = UpstreamOwnership {
            host: coordinated.then(|| host_id("h1")),
            slices: Vec::new(),
        };
        ownership.upstreams.insert(upstream_id(name), owned);
    }
    Router::build(previous, &catalogue, &ownership)
}

fn entry(router: &Router) -> EntryKey {
    router.locate("/any", |_| None).expect("declared").entry
}

fn key(router: &Router, name: &str) -> UpstreamKey {
    router.upstream_key(&upstream_id(name)).expect("declared")
}

/// Picks `n` times, ends each call at once, and returns how often `name` was chosen.
fn share(picker: &mut Picker, now: Timestamp, router: &Router, name: &str, n: usize) -> usize {
    let wanted = key(router, name);
    let mut count = 0;
    for _ in 0..n {
        let chosen = picker
            .pick(now, router, entry(router), &[])
            .expect("there are candidates");
        picker.abandoned(chosen);
        count += usize::from(chosen == wanted);
    }
    count
}

const THREE: &[(&str, &str, bool)] = &[("u1", "d1", true), ("u2", "d1", true), ("u3", "d1", true)];

#[test]
fn calls_under_way_are_spread_evenly() {
    let router = build(&Router::default(), THREE);
    let mut picker = Picker::new(PickerSettings::default());
    for _ in 0..300 {
        let chosen = picker.pick(ms(0), &router, entry(&router), &[]);
        chosen.expect("there are candidates");
    }
    for name in ["u1", "u2", "u3"] {
        let n = picker.in_flight(key(&router, name));
        assert!((95..=105).contains(&n), "{name}: {n}");
    }
}

#[test]
fn reported_load_counts_and_fades() {
    let router = build(&Router::default(), &THREE[..2]);
    let mut picker = Picker::new(PickerSettings::default());
    let busy = key(&router, "u1");
    while picker.in_flight(busy) == 0 {
        let chosen = picker.pick(ms(0), &router, entry(&router), &[]);
        chosen.expect("there are candidates");
    }
    picker.replied(ms(0), busy, 50);
    assert_eq!(share(&mut picker, ms(0), &router, "u1", 100), 0);
    let later = share(&mut picker, ms(5_000), &router, "u1", 100);
    assert!(later > 20, "{later}");
}

#[test]
fn failing_ones_are_passed_over_then_ramped() {
    let router = build(&Router::default(), THREE);
    let mut picker = Picker::new(PickerSettings {
        cool_off: Duration::from_millis(100),
        ..PickerSettings::default()
    });
    let bad = key(&router, "u1");
    let others = [key(&router, "u2"), key(&router, "u3")];
    let pick_bad = |picker: &mut Picker, now| {
        let chosen = picker.pick(now, &router, entry(&router), &others);
        assert_eq!(chosen, Ok(bad));
    };
    pick_bad(&mut picker, ms(0));
    pick_bad(&mut picker, ms(0));
    picker.failed(ms(0), bad);
    picker.failed(ms(0), bad);
    assert_eq!(share(&mut picker, ms(99), &router, "u1", 100), 0);
    pick_bad(&mut picker, ms(100));
    picker.failed(ms(100), bad);
    assert_eq!(
        share(&mut picker, ms(299), &router, "u1", 100),
        0,
        "the cool-off doubles"
    );
    pick_bad(&mut picker, ms(300));
    picker.replied(ms(300), bad, 0);
    let ramped = share(&mut picker, ms(300), &router, "u1", 300);
    assert!(ramped < 10, "{ramped}");
    let full = share(&mut picker, ms(9_000), &router, "u1", 300);
    assert!((60..140).contains(&full), "{full}");
}

#[test]
fn new_ones_start_with_a_small_share() {
    let first = build(&Router::default(), &THREE[..2]);
    let mut picker = Picker::new(PickerSettings::default());
    picker.adopt(ms(0), &first);
    let second = build(&first, THREE);
    picker.adopt(ms(1_000), &second);
    let early = share(&mut picker, ms(1_000), &second, "u3", 300);
    let late = share(&mut picker, ms(9_000), &second, "u3", 300);
    assert!(early < 10, "{early}");
    assert!((60..140).contains(&late), "{late}");
}

#[test]
fn the_own_domain_is_preferred_until_it_is_loaded() {
    let both = [("u1", "d1", true), ("u2", "d2", true)];
    let router = build(&Router::default(), &both);
    let mut picker = Picker::new(PickerSettings {
        domain: Some(domain_id("d1")),
        ..PickerSettings::default()
    });
    assert_eq!(share(&mut picker, ms(0), &router, "u1", 100), 100);
    for _ in 0..100 {
        let chosen = picker.pick(ms(0), &router, entry(&router), &[]);
        chosen.expect("there are candidates");
    }
    let n = picker.in_flight(key(&router, "u1"));
    assert!((50..=52).contains(&n), "{n}");
}

#[test]
fn some_choice_is_made_while_any_is_left() {
    struct Case {
        name: &'static str,
        upstreams: &'static [(&'static str, &'static str, bool)],
        failed: &'static [&'static str],
        avoid: &'static [&'static str],
        expect: Result<&'static str, Reason>,
    }
    let cases = [
        Case {
            name: "one upstream is available",
            upstreams: THREE,
            failed: &["u1"],
            avoid: &["u2"],
            expect: Ok("u3"),
        },
        Case {
            name: "an untried failing upstream is preferred to a tried one",
            upstreams: &THREE[..2],
            failed: &["u1"],
            avoid: &["u2"],
            expect: Ok("u1"),
        },
        Case {
            name: "a tried upstream is preferred to none",
            upstreams: &THREE[..1],
            failed: &["u1"],
            avoid: &["u1"],
            expect: Ok("u1"),
        },
        Case {
            name: "an upstream without a coordinating host is no candidate",
            upstreams: &[("u1", "d1", false), ("u2", "d1", true)],
            failed: &[],
            avoid: &["u2"],
            expect: Ok("u2"),
        },
        Case {
            name: "there is no candidate",
            upstreams: &[("u1", "d1", false)],
            failed: &[],
            avoid: &[],
            expect: Err(Reason::NoUpstream),
        },
    ];
    for case in cases {
        let router = build(&Router::default(), case.upstreams);
        let mut picker = Picker::new(PickerSettings::default());
        let all: Vec<UpstreamKey> = case.upstreams.iter().map(|u| key(&router, u.0)).collect();
        for name in case.failed {
            let others: Vec<_> = all
                .iter()
                .copied()
                .filter(|&k| k != key(&router, name))
                .collect();
            let chosen = picker.pick(ms(0), &router, entry(&router), &others);
            picker.failed(ms(0), chosen.expect("there are candidates"));
        }
        let avoid: Vec<_> = case.avoid.iter().map(|u| key(&router, u)).collect();
        let chosen = picker.pick(ms(1), &router, entry(&router), &avoid);
        let expect = case.expect.map(|u| key(&router, u));
        assert_eq!(chosen, expect, "{}", case.name);
    }
}
