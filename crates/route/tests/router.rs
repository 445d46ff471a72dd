//! Tests of the routing snapshot: paths, keys, owners, changes.

#[expect(dead_code, reason = "each test takes what it needs")]
mod support;

use std::collections::BTreeMap;

use catalogue::{Catalogue, KeyLocation, Sharding, Upstream};
use ids::{KeyHash, Reason, Revision, SliceNo};
use proptest::prelude::*;
use route::{Ownership, OwnershipChange, Router, UpstreamOwnership};
use support::{entry, entry_id, host_id, upstream_id};

const SLICES: u32 = 1_200;

fn divided_by(key: KeyLocation) -> Sharding {
    Sharding::Key {
        key,
        slices: SLICES,
    }
}

fn upstream(entry: &str, leaving: bool) -> Upstream {
    Upstream {
        leaving,
        ..support::upstream(entry, "north")
    }
}

fn owned(host: &str, slices: impl IntoIterator<Item = u64>) -> UpstreamOwnership {
    UpstreamOwnership {
        host: Some(host_id(host)),
        slices: slices.into_iter().map(SliceNo).collect(),
    }
}

/// Declares two entries divided by key and one that is not; `w1` owns the lower half of the first
/// one's slices and `w2` the upper.
fn declared() -> (Catalogue, Ownership) {
    let mut catalogue = Catalogue::default();
    let entries = [
        (
            "window",
            entry("w", divided_by(KeyLocation::PathSegment(1))),
        ),
        (
            "slot",
            entry("s", divided_by(KeyLocation::Header("pass".into()))),
        ),
        ("any", entry("a", Sharding::None)),
    ];
    for (id, entry) in entries {
        catalogue.entries.insert(entry_id(id), entry);
    }
    let upstreams = [
        ("w1", upstream("window", false)),
        ("w2", upstream("window", false)),
        ("a1", upstream("any", false)),
        ("a2", upstream("any", true)),
    ];
    for (id, upstream) in upstreams {
        catalogue.upstreams.insert(upstream_id(id), upstream);
    }
    let half = u64::from(SLICES) / 2;
    let ownership = Ownership {
        revision: Revision(7),
        upstreams: [
            (upstream_id("w1"), owned("h1", 0..half)),
            (upstream_id("w2"), owned("h2", half..u64::from(SLICES))),
            (upstream_id("a1"), owned("h1", [])),
        ]
        .into_iter()
        .collect(),
    };
    (catalogue, ownership)
}

fn build() -> Router {
    let (catalogue, ownership) = declared();
    Router::build(&Router::default(), &catalogue, &ownership)
}

struct Case {
    path: &'static str,
    header: Option<&'static str>,
    /// Entry, key, rest of the path.
    expect: Result<(&'static str, Option<&'static str>, &'static str), Reason>,
}

const fn found(
    path: &'static str,
    entry: &'static str,
    key: Option<&'static str>,
    rest: &'static str,
) -> Case {
    Case {
        path,
        header: None,
        expect: Ok((entry, key, rest)),
    }
}

const fn fails(path: &'static str, reason: Reason) -> Case {
    Case {
        path,
        header: None,
        expect: Err(reason),
    }
}

const CASES: &[Case] = &[
    found("/a", "any", None, ""),
    found("/a?x=1", "any", None, "?x=1"),
    found(
        "/w/v1/iss?from=now",
        "window",
        Some("iss"),
        "/v1/iss?from=now",
    ),
    found("/w/v1/i%73s/more", "window", Some("iss"), "/v1/i%73s/more"),
    found("/w/v1/%2F", "window", Some("/"), "/v1/%2F"),
    Case {
        header: Some("  p 1 "),
        ..found("/s/x", "slot", Some("p 1"), "/x")
    },
    fails("", Reason::BadRequest),
    fails("w/v1/iss", Reason::BadRequest),
    fails("/", Reason::UnknownEntry),
    fails("/window/v1/iss", Reason::UnknownEntry),
    fails("//w/v1/iss", Reason::UnknownEntry),
    fails("/w", Reason::MissingKey),
    fails("/w/v1?/iss", Reason::MissingKey),
    fails("/w/v1/", Reason::MissingKey),
    fails("/w/v1/%4", Reason::BadRequest),
    fails("/w/v1/%+1", Reason::BadRequest),
    fails("/w/../iss", Reason::BadRequest),
    fails("/w/v1/%2e%2E", Reason::BadRequest),
    fails("/s/x", Reason::MissingKey),
    Case {
        header: Some(" "),
        ..fails("/s/x", Reason::MissingKey)
    },
];

#[test]
fn entries_and_keys() {
    let router = build();
    for case in CASES {
        let header = |name: &str| case.header.filter(|_| name == "pass").map(str::as_bytes);
        let located = router.locate(case.path, header).map(|l| {
            let id = router.entry(l.entry).expect("in force").id.as_str();
            (id.to_owned(), l.key, l.rest)
        });
        let hash = |key: &str| KeyHash::of(key.as_bytes());
        let expect = case
            .expect
            .map(|(id, key, rest)| (id.to_owned(), key.map(hash), rest));
        assert_eq!(located, expect, "{:?}", case.path);
    }
}

/// Returns owner and host of a key as text.
fn owner(router: &Router, entry: &str, key: KeyHash) -> Result<String, Reason> {
    let entry = router.entry_key(&entry_id(entry)).expect("seen");
    let target = router.owner(entry, key)?;
    let upstream = &router.upstream(target.upstream).expect("seen").id;
    let host = router.host(target.host).expect("seen");
    Ok(format!("{upstream} by {host}"))
}

#[test]
fn owners_and_changes() {
    let (mut catalogue, mut ownership) = declared();
    let ok = |text: &str| Ok(text.to_owned());
    let low = KeyHash(1);
    let high = KeyHash(u64::MAX - 1);
    let mut router = build();
    assert_eq!(owner(&router, "window", low), ok("w1 by h1"));
    assert_eq!(owner(&router, "window", high), ok("w2 by h2"));
    assert_eq!(owner(&router, "slot", low), Err(Reason::NoOwner));
    assert_eq!(owner(&router, "any", low), Err(Reason::UnknownEntry));

    let assigned = |slice, to: &str| OwnershipChange::Assigned {
        upstream: upstream_id(to),
        slice,
    };
    let coordinator = |of: &str, host: Option<&str>| OwnershipChange::Coordinator {
        upstream: upstream_id(of),
        host: host.map(host_id),
    };
    let unassigned = |slice, from: &str| OwnershipChange::Unassigned {
        upstream: upstream_id(from),
        slice,
    };
    let before = router.clone();
    let hot = high.hot_slice();
    let low_slice = low.slice(SLICES);
    let steps = [
        ("a hot key", assigned(hot, "w1"), high, ok("w1 by h1")),
        ("a hot key moves", assigned(hot, "w2"), high, ok("w2 by h2")),
        ("moves back", assigned(hot, "w1"), high, ok("w1 by h1")),
        ("folded back", unassigned(hot, "w1"), high, ok("w2 by h2")),
        ("a range", assigned(low_slice, "w2"), low, ok("w2 by h2")),
        (
            "new host",
            coordinator("w2", Some("h9")),
            low,
            ok("w2 by h9"),
        ),
        (
            "no host",
            coordinator("w2", None),
            low,
            Err(Reason::NoOwner),
        ),
        (
            "a host again",
            coordinator("w2", Some("h2")),
            low,
            ok("w2 by h2"),
        ),
        (
            "no owner",
            unassigned(low_slice, "w2"),
            low,
            Err(Reason::NoOwner),
        ),
        (
            "unknown upstream",
            assigned(low_slice, "w7"),
            low,
            Err(Reason::NoOwner),
        ),
        (
            "out of range",
            assigned(SliceNo(9_999), "w1"),
            low,
            Err(Reason::NoOwner),
        ),
    ];
    for (i, (name, change, key, expect)) in steps.into_iter().enumerate() {
        let revision = Revision(8 + i as u64);
        router = router.with_changes(revision, &[change]);
        assert_eq!(owner(&router, "window", key), expect, "{name}");
        assert_eq!(router.revision(), revision, "{name}");
    }
    assert_eq!(
        owner(&before, "window", low),
        ok("w1 by h1"),
        "earlier snapshots are unchanged"
    );

    let keys = ["w1", "w2", "a1"].map(|u| router.upstream_key(&upstream_id(u)));
    catalogue.upstreams.shift_remove(&upstream_id("w1"));
    catalogue.entries.shift_remove(&entry_id("slot"));
    ownership.upstreams.shift_remove(&upstream_id("w1"));
    let next = Router::build(&router, &catalogue, &ownership);
    let same = ["w1", "w2", "a1"].map(|u| next.upstream_key(&upstream_id(u)));
    assert_eq!(keys, same, "keys stay valid");
    assert_eq!(owner(&next, "window", low), Err(Reason::NoOwner));
    assert_eq!(owner(&next, "slot", low), Err(Reason::UnknownEntry));
    assert_eq!(
        next.locate("/s/x", |_| Some(b"k")),
        Err(Reason::UnknownEntry)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// After any changes, a snapshot routes like a map with the last assignment of each slice.
    #[test]
    fn changes_follow_a_model(
        changes in prop::collection::vec((0..2_u8, 0..8_u64, any::<bool>(), 0..3_u8), 0..60),
    ) {
        let mut router = build();
        let half = u64::from(SLICES) / 2;
        let mut model: BTreeMap<SliceNo, &str> = (0..u64::from(SLICES))
            .map(|s| (SliceNo(s), if s < half { "w1" } else { "w2" }))
            .collect();
        let keys: Vec<KeyHash> = (0..8).map(|k| KeyHash(k * (u64::MAX / 8) + 3)).collect();
        for (upstream, key, hot, what) in changes {
            let key = keys[key as usize];
            let slice = if hot { key.hot_slice() } else { key.slice(SLICES) };
            let name = ["w1", "w2"][upstream as usize];
            let upstream = upstream_id(name);
            let change = if what > 0 {
                model.insert(slice, name);
                OwnershipChange::Assigned { upstream, slice }
            } else {
                // Only the owner loses a slice: its next owner may have become known first.
                if model.get(&slice) == Some(&name) {
                    model.remove(&slice);
                }
                OwnershipChange::Unassigned { upstream, slice }
            };
            router = router.with_changes(Revision(9), &[change]);
        }
        for key in keys {
            let expect = model.get(&key.hot_slice()).or(model.get(&key.slice(SLICES)));
            let expect = expect.map(|&u| format!("{u} by h{}", &u[1..]));
            prop_assert_eq!(owner(&router, "window", key).ok(), expect);
        }
    }
}
