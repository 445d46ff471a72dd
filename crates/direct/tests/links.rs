//! Tests of which links to upstreams count as lost, and when they are checked.

use std::time::Duration;

use direct::{LinkLoss, LinkSettings, LinkState, UpstreamLinks};
use ids::{Timestamp, UpstreamId};

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(10_000 + ms)
}

fn up(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a valid name")
}

/// What happens to a host's links, in order.
enum Event {
    Sent(&'static str),
    Responded(&'static str),
    Opened(&'static str),
    Failed(&'static str),
    FoundLost(&'static str, LinkLoss),
}

use Event::{Failed, FoundLost, Opened, Responded, Sent};
use LinkLoss::{Refused, Silent};

fn apply(links: &mut UpstreamLinks, ms: u64, event: &Event) {
    let now = at(ms);
    match event {
        Sent(name) => {
            links.sent(now, &up(name), Duration::from_millis(50));
        }
        Responded(name) => links.responded(now, &up(name)),
        Opened(name) => {
            links.opened(now, &up(name));
        }
        Failed(name) => links.failed(now, &up(name)),
        FoundLost(name, loss) => {
            links.found_lost(now, &up(name), *loss);
        }
    }
}

struct StateCase {
    name: &'static str,
    events: &'static [(u64, Event)],
    /// States of the links to `a`, `b` and `c` after that.
    states: [LinkState; 3],
}

const USABLE: LinkState = LinkState::Usable;

const STATE_CASES: &[StateCase] = &[
    StateCase {
        name: "a failure alone proves nothing: the upstream may have ended",
        events: &[(0, Failed("a")), (10, Failed("a"))],
        states: [USABLE; 3],
    },
    StateCase {
        name: "one link is lost",
        events: &[(0, Failed("a")), (5, FoundLost("a", Refused))],
        states: [LinkState::Lost(Refused), USABLE, USABLE],
    },
    StateCase {
        name: "two links are lost and nothing arrives over another: all are",
        events: &[
            (0, Opened("c")),
            (100, Failed("a")),
            (105, FoundLost("a", Silent)),
            (110, Failed("b")),
            (115, FoundLost("b", Silent)),
        ],
        states: [LinkState::Lost(Silent); 3],
    },
    StateCase {
        name: "two links are lost while another works",
        events: &[
            (100, Failed("a")),
            (105, FoundLost("a", Silent)),
            (107, Responded("c")),
            (110, Failed("b")),
            (115, FoundLost("b", Silent)),
        ],
        states: [LinkState::Lost(Silent), LinkState::Lost(Silent), USABLE],
    },
    StateCase {
        name: "a connection that opens ends the loss of all, but not of those found lost",
        events: &[
            (100, Failed("a")),
            (105, FoundLost("a", Silent)),
            (110, Failed("b")),
            (115, FoundLost("b", Silent)),
            (700, Opened("b")),
        ],
        states: [LinkState::Lost(Silent), USABLE, USABLE],
    },
    StateCase {
        name: "responses over old connections don't show that new ones open",
        events: &[
            (100, Failed("a")),
            (105, FoundLost("a", Refused)),
            (110, Responded("a")),
        ],
        states: [LinkState::Lost(Refused), USABLE, USABLE],
    },
];

/// A host that was cut off tried each upstream by itself, and one whose upstream had crashed must
/// not think that its links are lost.
#[test]
fn links_are_lost_only_if_other_hosts_reach_the_upstream() {
    for case in STATE_CASES {
        let mut links = UpstreamLinks::new(LinkSettings::default());
        for (ms, event) in case.events {
            apply(&mut links, *ms, event);
        }
        let states = ["a", "b", "c"].map(|name| links.state(&up(name)));
        assert_eq!(states, case.states, "{}", case.name);
    }
}

struct CheckCase {
    name: &'static str,
    events: &'static [(u64, Event)],
    /// When the link to `a` is first to be checked; none if not within 3 s.
    checked_at: Option<u64>,
}

const CHECK_CASES: &[CheckCase] = &[
    CheckCase {
        name: "nothing waits",
        events: &[(0, Responded("b"))],
        checked_at: None,
    },
    CheckCase {
        name: "no upstream responds any more",
        events: &[
            (0, Responded("b")),
            (10, Responded("b")),
            (20, Responded("b")),
            (20, Sent("a")),
        ],
        checked_at: Some(220),
    },
    CheckCase {
        name: "a host with few requests waits for a multiple of the expected time",
        events: &[
            (0, Responded("b")),
            (9_000, Responded("b")),
            (9_000, Sent("a")),
        ],
        checked_at: Some(9_200),
    },
    CheckCase {
        name: "only this upstream is silent",
        events: &[
            (0, Sent("a")),
            (300, Responded("b")),
            (600, Responded("b")),
            (900, Responded("b")),
        ],
        checked_at: Some(200),
    },
];

/// A request whose upstream could not be reached waited for its whole deadline before the host
/// noticed.
#[test]
fn silent_links_are_checked_soon() {
    for case in CHECK_CASES {
        let mut links = UpstreamLinks::new(LinkSettings::default());
        let mut events = case.events.iter().peekable();
        let end = case.events.last().map_or(0, |(ms, _)| *ms) + 3_000;
        let checked_at = (0..end).find(|&ms| {
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= ms) {
                apply(&mut links, ms, event);
            }
            links.due_checks(at(ms)).contains(&up("a"))
        });
        assert_eq!(checked_at, case.checked_at, "{}", case.name);
    }
}

/// A busy host checks a silent upstream, which may be slow, less often than it gets responses.
#[test]
fn a_slow_upstream_is_checked_at_intervals() {
    let mut links = UpstreamLinks::new(LinkSettings::default());
    apply(&mut links, 0, &Sent("a"));
    let mut checks = Vec::new();
    for ms in 0..5_000 {
        if ms % 20 == 0 {
            apply(&mut links, ms, &Responded("b"));
        }
        if !links.due_checks(at(ms)).is_empty() {
            checks.push(ms);
        }
    }
    assert_eq!(checks, [1_000, 2_000, 3_000, 4_000]);
}

/// Lost links are probed at intervals, and all of them at once when a connection opens.
#[test]
fn lost_links_are_probed() {
    let mut links = UpstreamLinks::new(LinkSettings::default());
    for (ms, name) in [(0, "a"), (100, "b")] {
        apply(&mut links, ms, &Failed(name));
        apply(&mut links, ms, &FoundLost(name, Silent));
    }
    assert!(links.are_all_lost());
    let due_at = |links: &mut UpstreamLinks, ms| {
        let mut due = links.due_probes(at(ms));
        due.sort_unstable();
        due
    };
    assert_eq!(due_at(&mut links, 499), []);
    assert_eq!(due_at(&mut links, 500), [up("a")]);
    assert_eq!(due_at(&mut links, 600), [up("b")]);
    assert_eq!(due_at(&mut links, 999), []);
    apply(&mut links, 999, &Opened("a"));
    assert!(!links.are_all_lost());
    assert_eq!(due_at(&mut links, 999), [up("b")]);
}

struct SuspicionCase {
    name: &'static str,
    events: &'static [(u64, Event)],
    are_suspect: bool,
}

const SUSPICION_CASES: &[SuspicionCase] = &[
    SuspicionCase {
        name: "one upstream fails",
        events: &[(0, Failed("a")), (10, Failed("a"))],
        are_suspect: false,
    },
    SuspicionCase {
        name: "two upstreams fail",
        events: &[(0, Failed("a")), (10, Failed("b"))],
        are_suspect: true,
    },
    SuspicionCase {
        name: "another upstream responds between two failures",
        events: &[(0, Failed("a")), (5, Responded("c")), (10, Failed("b"))],
        are_suspect: false,
    },
    SuspicionCase {
        name: "all links were found lost",
        events: &[
            (0, Failed("a")),
            (1, FoundLost("a", Silent)),
            (2, Failed("b")),
            (3, FoundLost("b", Silent)),
        ],
        are_suspect: true,
    },
    SuspicionCase {
        name: "a connection opened after that",
        events: &[
            (0, Failed("a")),
            (1, FoundLost("a", Silent)),
            (2, Failed("b")),
            (3, FoundLost("b", Silent)),
            (500, Opened("a")),
        ],
        are_suspect: false,
    },
];

/// A host that was cut off told permit hosts that upstreams did not respond, and estimated them to fail.
#[test]
fn failures_at_several_upstreams_are_not_blamed_on_them() {
    for case in SUSPICION_CASES {
        let mut links = UpstreamLinks::new(LinkSettings::default());
        for (ms, event) in case.events {
            apply(&mut links, *ms, event);
        }
        assert_eq!(links.are_suspect(), case.are_suspect, "{}", case.name);
    }
}

/// Requests that were sent on silent connections waited for their whole deadlines.
#[test]
fn silent_connections_get_no_requests() {
    assert!(LinkState::Usable.allows_open_connections());
    assert!(LinkState::Lost(Refused).allows_open_connections());
    assert!(!LinkState::Lost(Silent).allows_open_connections());
}
