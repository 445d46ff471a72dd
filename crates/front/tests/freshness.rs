//! Whose knowledge of the store others may rely on.

use std::time::Duration;

use front::control::apply::Table;
use front::control::freshness::Freshness;
use ids::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Read(Table, u64),
    Failed(Table),
    Fed(u64, u64),
    LeftAlone(u64),
}

use Event::{Failed, Fed, LeftAlone, Read};
use Table::{Configuration, Shared, Upstreams};

struct Case {
    name: &'static str,
    events: &'static [Event],
    now: u64,
    left_ms: u64,
}

const WHOLE: [Event; 3] = [Read(Configuration, 0), Read(Shared, 0), Read(Upstreams, 0)];

const CASES: &[Case] = &[
    Case {
        name: "nothing was read",
        events: &[],
        now: 0,
        left_ms: 0,
    },
    Case {
        name: "two of three tables were read",
        events: &[Read(Upstreams, 0), Read(Shared, 0)],
        now: 0,
        left_ms: 0,
    },
    Case {
        name: "all were read",
        events: &WHOLE,
        now: 200,
        left_ms: 1_000,
    },
    Case {
        name: "reads of the upstreams hang",
        events: &WHOLE,
        now: 1_200,
        left_ms: 0,
    },
    Case {
        name: "a read that waited since before ends well after another failed",
        events: &[
            WHOLE[0],
            WHOLE[1],
            WHOLE[2],
            Failed(Upstreams),
            Read(Configuration, 100),
        ],
        now: 300,
        left_ms: 0,
    },
    Case {
        name: "the same table can be read again",
        events: &[
            WHOLE[0],
            WHOLE[1],
            WHOLE[2],
            Failed(Upstreams),
            Read(Upstreams, 250),
        ],
        now: 300,
        left_ms: 1_150,
    },
    Case {
        name: "a fed host is as fresh as what it is fed with",
        events: &[Fed(100, 700)],
        now: 300,
        left_ms: 500,
    },
    Case {
        name: "what a host was fed stays fresh for as long as was said, also when it is left alone",
        events: &[Fed(100, 700), LeftAlone(200)],
        now: 300,
        left_ms: 500,
    },
];

#[test]
fn freshness_ends_with_the_first_failure() {
    for case in CASES {
        let mut freshness = Freshness::default();
        for event in case.events {
            match *event {
                Read(table, began) => freshness.read(table, at(began)),
                Failed(table) => freshness.failed(table),
                Fed(now, left) => freshness.relayed(at(now), at(now), Duration::from_millis(left)),
                LeftAlone(now) => freshness.relay_lost(at(now)),
            }
        }
        let left = Duration::from_millis(case.left_ms);
        assert_eq!(freshness.left(at(case.now)), left, "{}", case.name);
        assert_eq!(
            freshness.is_fresh(at(case.now)),
            case.left_ms > 0,
            "{}",
            case.name
        );
    }
}

/// All hosts behind a lost feeder would read the store at once.
#[test]
fn a_host_that_is_left_alone_looks_for_another_feeder_before_it_reads() {
    let mut freshness = Freshness::default();
    assert!(!freshness.has_relay(at(0)), "nobody ever fed it");
    freshness.relayed(at(100), at(100), Duration::from_millis(700));
    assert!(freshness.has_relay(at(799)));
    assert!(
        !freshness.has_relay(at(800)),
        "its feeder knows no more itself"
    );
    freshness.relay_lost(at(700));
    freshness.relay_lost(at(900));
    assert!(freshness.has_relay(at(1_049)));
    assert!(
        !freshness.has_relay(at(1_050)),
        "counted from when it was left first"
    );
    freshness.relayed(at(1_100), at(1_100), Duration::from_millis(700));
    assert!(freshness.has_relay(at(1_700)));
}

/// Guards against hosts that read the store as soon as their feeder's first message is there: over a weak link it takes
/// longer than what it says stays fresh, and hundreds of hosts start together.
#[test]
fn a_host_whose_first_message_was_long_on_its_way_is_fed() {
    let mut freshness = Freshness::default();
    freshness.relayed(at(3_000), at(0), Duration::from_millis(1_200));
    assert!(!freshness.is_fresh(at(3_000)), "it is old news");
    assert!(
        freshness.has_relay(at(3_100)),
        "the next one is close behind"
    );
    assert!(!freshness.has_relay(at(3_400)), "it did not come");
}
