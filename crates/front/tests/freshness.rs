//! How long a host's knowledge of the store counts as fresh.

use std::time::Duration;

use front::control::freshness::{Freshness, MAX_READ_AGE, PARENT_SEARCH_TIME, RelayedKnowledge};
use front::control::tables::Table;
use ids::Timestamp;
use proptest::prelude::*;

/// Returns the time at which a case is `ms` milliseconds old.
fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

/// Returns what a host says that knows all tables as of `as_of`.
fn relayed_as_of(as_of: Timestamp, hops: usize) -> RelayedKnowledge {
    RelayedKnowledge {
        as_of: [as_of; Table::ALL.len()],
        hops,
    }
}

/// Returns what a host next to the reader says whose knowledge stays fresh for `left_ms` from `ms`.
fn relayed(ms: u64, left_ms: u64) -> RelayedKnowledge {
    relayed_as_of(at(ms + left_ms) - MAX_READ_AGE, 1)
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A read that began then succeeded.
    Read(Table, u64),
    /// A read that began at the first time failed at the second.
    Failed(Table, u64, u64),
    /// A message arrived, whose sender's knowledge stays fresh for the second time from the first on.
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
        events: &[
            ALL_READ[0],
            ALL_READ[1],
            ALL_READ[2],
            Read(Configuration, 900),
        ],
        now: 1_200,
        left_ms: 0,
    },
    Case {
        name: "reads of the configuration hang",
        events: &[ALL_READ[0], ALL_READ[1], ALL_READ[2], Read(Upstreams, 900)],
        now: 1_200,
        left_ms: 0,
    },
    Case {
        name: "a read that began earlier succeeds after a read of another table failed",
        events: &[
            ALL_READ[0],
            ALL_READ[1],
            ALL_READ[2],
            Failed(Upstreams, 150, 200),
            Read(Configuration, 100),
        ],
        now: 300,
        left_ms: 0,
    },
    Case {
        name: "a read that began earlier succeeds after a read of the same table failed",
        events: &[
            ALL_READ[0],
            ALL_READ[1],
            ALL_READ[2],
            Failed(Configuration, 150, 200),
            Read(Configuration, 100),
        ],
        now: 300,
        left_ms: 0,
    },
    Case {
        name: "a wait fails that began before a read that succeeded",
        events: &[
            ALL_READ[0],
            ALL_READ[1],
            ALL_READ[2],
            Read(Configuration, 200),
            Failed(Configuration, 100, 300),
        ],
        now: 300,
        left_ms: 900,
    },
    Case {
        name: "the same table can be read again",
        events: &[
            ALL_READ[0],
            ALL_READ[1],
            ALL_READ[2],
            Failed(Upstreams, 150, 200),
            Read(Upstreams, 250),
            Read(Configuration, 250),
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
    Case {
        name: "an older message does not make newer knowledge older",
        events: &[Relayed(100, 700), Relayed(200, 300)],
        now: 300,
        left_ms: 500,
    },
];

#[test]
fn freshness_is_that_of_the_oldest_read() {
    for case in CASES {
        let mut freshness = Freshness::default();
        for event in case.events {
            match *event {
                Read(table, began) => freshness.read(table, at(began)),
                Failed(table, began, now) => freshness.failed(table, at(began), at(now)),
                Relayed(ms, left_ms) => freshness.relayed(at(ms), relayed(ms, left_ms)),
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
    freshness.relayed(at(100), relayed(100, 700));
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
    freshness.relayed(at(1_100), relayed(1_100, 700));
    assert!(freshness.has_relay(at(1_700)));
}

/// Guards against a burst of reads when the host that reads stands still: hosts that received from it
/// read first, and relay to those behind them.
#[test]
fn hosts_far_from_the_reader_leave_reading_to_those_near_it() {
    for (hops, read_at) in [(1, 1_200), (2, 1_550), (5, 1_550)] {
        let mut freshness = Freshness::default();
        freshness.relayed(at(10), relayed_as_of(at(0), hops));
        assert!(freshness.has_relay(at(read_at - 1)), "{hops} hops");
        assert!(!freshness.has_relay(at(read_at)), "{hops} hops");
    }
}

/// Guards against hosts that read the store as soon as the first message of their relay arrives:
/// over a slow link, that takes longer than the freshness that the message states, and hundreds of
/// hosts start together.
#[test]
fn a_slow_first_message_still_counts_as_relayed() {
    let mut freshness = Freshness::default();
    freshness.relayed(at(3_000), relayed_as_of(at(0), 1));
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

proptest! {
    /// Guards against an old configuration: whatever messages arrive and relays end, a host begins to
    /// read the store in time if nobody has told it of a later read.
    #[test]
    fn reading_is_put_off_for_a_bounded_time(
        first_hops in 1_usize..6,
        events in prop::collection::vec((0_u64..6_000, any::<bool>(), 0_u64..400, 1_usize..6), 0..60),
    ) {
        let mut events = events;
        events.sort_unstable();
        let mut freshness = Freshness::default();
        let newest = at(400);
        freshness.relayed(at(400), relayed_as_of(newest, first_hops));
        let reads_by = newest + MAX_READ_AGE + PARENT_SEARCH_TIME;
        for (after_ms, is_lost, as_of, hops) in events {
            let now = at(400 + after_ms);
            if is_lost {
                freshness.relay_lost(now);
            } else {
                freshness.relayed(now, relayed_as_of(at(as_of), hops));
            }
            prop_assert!(now < newest + MAX_READ_AGE || !freshness.is_fresh(now));
            prop_assert!(now < reads_by || !freshness.has_relay(now));
        }
    }
}
