//! Route lookup by host and longest prefix, and split routes.

use std::time::Duration;

use direct::{Configuration, Route, RouteTable, Splitter, WeightedEntry};
use ids::EntryId;
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str, weights: &[u32]) -> Route {
    let share = |(i, &weight): (usize, &u32)| WeightedEntry {
        entry: EntryId::new(format!("e{i}")).expect("a valid name"),
        weight,
    };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        large_bodies: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        max_attempts: 2,
        weighted_entries: weights.iter().enumerate().map(share).collect(),
    }
}

struct Case {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case {
        host: "a.example",
        path: "/x/1",
        found: Some("short"),
    },
    Case {
        host: "a.example",
        path: "/x/y/1",
        found: Some("long"),
    },
    Case {
        host: "a.example",
        path: "/x/y",
        found: Some("short"),
    },
    Case {
        host: "A.Example",
        path: "/x/1",
        found: Some("short"),
    },
    Case {
        host: "a.example:8080",
        path: "/x/1",
        found: Some("short"),
    },
    Case {
        host: "a.example",
        path: "/xy/1",
        found: None,
    },
    Case {
        host: "a.example",
        path: "/x",
        found: None,
    },
    Case {
        host: "b.example",
        path: "/x/1",
        found: Some("other"),
    },
    Case {
        host: "c.example",
        path: "/x/1",
        found: None,
    },
    Case {
        host: "",
        path: "/x/1",
        found: None,
    },
];

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let cfg = Configuration {
        routes: vec![
            route("short", "a.example", "/x/", &[1]),
            route("long", "a.example", "/x/y/", &[1]),
            route("other", "b.example", "/", &[1]),
        ],
        ..Configuration::default()
    };
    let table = RouteTable::new(&cfg);
    for case in CASES {
        let found = table.find(case.host, case.path);
        let name = found.map(|key| table.route(key).name.as_str());
        assert_eq!(name, case.found, "{} {}", case.host, case.path);
    }
}

proptest! {
    /// Any sequence of requests is close to the weights, also right after they changed.
    #[test]
    fn splits_keep_to_their_weights(
        before in prop::collection::vec(1_u32..100, 2..5),
        after in prop::collection::vec(1_u32..100, 2..5),
    ) {
        let mut splitter = Splitter::default();
        for weights in [before, after] {
            let route = route("split", "a.example", "/", &weights);
            let total: u32 = weights.iter().sum();
            let mut counts = vec![0_u32; weights.len()];
            for _ in 0..400 {
                let entry = splitter.next_entry(&route).expect("it has entries").clone();
                let at = route.weighted_entries.iter().position(|s| s.entry == entry).expect("a share");
                counts[at] += 1;
            }
            for (count, weight) in counts.iter().zip(&weights) {
                let expected = 400.0 * f64::from(*weight) / f64::from(total);
                prop_assert!((f64::from(*count) - expected).abs() <= 4.0, "{counts:?} {weights:?}");
            }
        }
    }
}
