//! How long a host's knowledge of the store counts as fresh.

use std::time::Duration;

use front::control::freshness::Freshness;
use front::control::tables::Table;
use ids::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Read(Table, u64),
    Failed(Table),
    Relayed(u64, u64),
    RelayLost(u64),
}

use Event::{Failed, Read, RelayLost, Relayed};
use Table::{Configuration, Shared, Upstreams};

struct Case {
    name: &'static str,
    events: &'static [Event],
    now: u64,
    left_ms: u64,
}

const ALL_READ: [Event; 3] = [Read(Configuration, 0), Read(Shared, 0), Read(Upstreams, 0)];

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
        events: &ALL_READ,
        now: 200,
        left_ms: 1_000,
    },
    Case {
        name: "reads of the upstreams hang",
        events: &ALL_READ,
        now: 1_200,
        left_ms: 0,
    },
    Case {
        name: "a read that began earlier succeeds after a read of another table failed",
        events: &[
            ALL_READ[0],
            ALL_READ[1],
            ALL_READ[2],
            Failed(Upstreams),
            Read(Configuration, 100),
        ],
        now: 300,
        left_ms: 0,
    },
    Case {
        name: "the same table can be read again",
        events: &[
            ALL_READ[0],
            ALL_READ[1],
            ALL_READ[2],
            Failed(Upstreams),
            Read(Upstreams, 250),
        ],
        now: 300,
        left_ms: 1_150,
    },
    Case {
        name: "a host that gets rows from a relay is as fresh as those",
        events: &[Relayed(100, 700)],
        now: 300,
        left_ms: 500,
    },
    Case {
        name: "relayed rows stay fresh for the stated time, also when the relay is lost",
        events: &[Relayed(100, 700), RelayLost(200)],
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
                Relayed(ms, left) => freshness.relayed(at(ms), at(ms), Duration::from_millis(left)),
                RelayLost(now) => freshness.relay_lost(at(now)),
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

/// Guards against a burst of reads: if a relay fails, all hosts behind it would read the store at
/// once.
#[test]
fn a_host_that_loses_its_relay_looks_for_another_before_it_reads() {
    let mut freshness = Freshness::default();
    assert!(!freshness.has_relay(at(0)), "no host has relayed to it yet");
    freshness.relayed(at(100), at(100), Duration::from_millis(700));
    assert!(freshness.has_relay(at(799)));
    assert!(
        !freshness.has_relay(at(800)),
        "the relay's own freshness has ended"
    );
    freshness.relay_lost(at(700));
    freshness.relay_lost(at(900));
    assert!(freshness.has_relay(at(1_049)));
    assert!(
        !freshness.has_relay(at(1_050)),
        "counted from the first loss"
    );
    freshness.relayed(at(1_100), at(1_100), Duration::from_millis(700));
    assert!(freshness.has_relay(at(1_700)));
}

/// Guards against hosts that read the store as soon as the first message of their relay arrives:
/// over a slow link, that takes longer than the freshness that the message states, and hundreds of
/// hosts start together.
#[test]
fn a_slow_first_message_still_counts_as_relayed() {
    let mut freshness = Freshness::default();
    freshness.relayed(at(3_000), at(0), Duration::from_millis(1_200));
    assert!(!freshness.is_fresh(at(3_000)), "the message is too old");
    assert!(
        freshness.has_relay(at(3_100)),
        "the next message is about to arrive"
    );
    assert!(
        !freshness.has_relay(at(3_400)),
        "no further message arrived"
    );
}
