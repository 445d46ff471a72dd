//! Reservation of capacity for requests that any upstream of their entry may run.

use std::time::Duration;

use direct::PermitRefusal::{Silent, SilentWithinLimit, Unavailable};
use direct::{HostShare, PermitRefusal, Reservation, Step};

type Refused = (&'static str, PermitRefusal);

const fn full(ms: u64) -> PermitRefusal {
    PermitRefusal::Full {
        retry_after: Duration::from_millis(ms),
        score: ms as f64 / 1_000.0,
    }
}

const fn refuse(ms: u64) -> Step<&'static str> {
    Step::Refuse {
        retry_after: Duration::from_millis(ms),
    }
}

const SHARE: Step<&str> = Step::SendInShare { upstream: None };

struct Case {
    name: &'static str,
    refused: &'static [Refused],
    /// Next step of a request that is not idempotent, and of one that is.
    steps: [Step<&'static str>; 2],
    /// Next steps if no further upstream can be asked.
    steps_if_exhausted: [Step<&'static str>; 2],
}

const CASES: &[Case] = &[
    Case {
        name: "none asked",
        refused: &[],
        steps: [Step::Ask, Step::Ask],
        steps_if_exhausted: [Step::Ask, Step::Ask],
    },
    Case {
        name: "one full",
        refused: &[("a", full(50))],
        steps: [Step::Ask, Step::Ask],
        steps_if_exhausted: [Step::Queue("a"), Step::SendToBest],
    },
    Case {
        name: "both full: the one with the lower score",
        refused: &[("a", full(50)), ("b", full(40))],
        steps: [Step::Queue("b"), Step::SendToBest],
        steps_if_exhausted: [Step::Queue("b"), Step::SendToBest],
    },
    Case {
        name: "both full with the same score: the better one by the estimate",
        refused: &[("a", full(50)), ("b", full(50))],
        steps: [Step::Queue("a"), Step::SendToBest],
        steps_if_exhausted: [Step::Queue("a"), Step::SendToBest],
    },
    Case {
        name: "both full, cold ones between them don't count",
        refused: &[("a", full(50)), ("cold", Unavailable), ("b", full(90))],
        steps: [Step::Queue("a"), Step::SendToBest],
        steps_if_exhausted: [Step::Queue("a"), Step::SendToBest],
    },
    Case {
        name: "one full, one silent",
        refused: &[("a", full(50)), ("b", Silent)],
        steps: [Step::Queue("a"), Step::SendTo("b")],
        steps_if_exhausted: [Step::Queue("a"), Step::SendTo("b")],
    },
    Case {
        name: "one silent, one full",
        refused: &[("b", Silent), ("a", full(50))],
        steps: [Step::Queue("a"), Step::SendTo("b")],
        steps_if_exhausted: [Step::Queue("a"), Step::SendTo("b")],
    },
    Case {
        name: "one silent",
        refused: &[("a", Silent)],
        steps: [Step::Ask, Step::SendTo("a")],
        steps_if_exhausted: [SHARE, Step::SendTo("a")],
    },
    Case {
        name: "both silent",
        refused: &[("a", Silent), ("b", Silent)],
        steps: [SHARE, Step::SendTo("a")],
        steps_if_exhausted: [SHARE, Step::SendTo("a")],
    },
    Case {
        name: "all cold",
        refused: &[("a", Unavailable), ("b", Unavailable)],
        steps: [Step::Ask, Step::Ask],
        steps_if_exhausted: [Step::Ask, Step::Ask],
    },
    Case {
        name: "silent within its rate limit",
        refused: &[("a", SilentWithinLimit)],
        steps: [
            Step::SendInShare {
                upstream: Some("a"),
            },
            Step::SendTo("a"),
        ],
        steps_if_exhausted: [
            Step::SendInShare {
                upstream: Some("a"),
            },
            Step::SendTo("a"),
        ],
    },
    Case {
        name: "silent within its rate limit, then gone",
        refused: &[("a", SilentWithinLimit), ("a", Unavailable)],
        steps: [Step::Ask, Step::Ask],
        steps_if_exhausted: [Step::Ask, Step::Ask],
    },
];

/// Cases in which a request that is not idempotent was to be queued at `b`.
const QUEUED_CASES: &[(&str, PermitRefusal, Step<&str>)] = &[
    ("can't be answered in its time", full(700), Step::Queue("a")),
    ("silent now", Silent, Step::Queue("a")),
    ("has left", Unavailable, Step::Queue("a")),
];

fn reservation(is_idempotent: bool, refused: &[Refused]) -> Reservation<&'static str> {
    let mut reservation = Reservation::new(is_idempotent);
    for &(upstream, refusal) in refused {
        // A request that is sent asks no further upstream.
        let is_sent = matches!(reservation.step(), Step::SendTo(_)) && refusal != Unavailable;
        if !is_sent {
            reservation.refused(upstream, refusal);
        }
    }
    reservation
}

/// Guards against requests that are sent to full upstreams and must not run twice.
#[test]
fn steps_follow_from_refusals() {
    for case in CASES {
        for (is_idempotent, i) in [(false, 0), (true, 1)] {
            let mut reservation = reservation(is_idempotent, case.refused);
            let name = format!("{}, idempotent: {is_idempotent}", case.name);
            assert_eq!(*reservation.step(), case.steps[i], "{name}");
            reservation.exhausted();
            assert_eq!(*reservation.step(), case.steps_if_exhausted[i], "{name}");
        }
    }
}

#[test]
fn queued_requests_are_refused_or_go_elsewhere() {
    for (name, refusal, step) in QUEUED_CASES {
        let mut reservation = reservation(false, &[("a", full(50)), ("b", full(40))]);
        reservation.refused("b", *refusal);
        assert_eq!(reservation.step(), step, "{name}");
    }
    let mut both_refuse = reservation(false, &[("a", full(50)), ("b", full(40))]);
    both_refuse.refused("b", full(700));
    both_refuse.refused("a", full(900));
    assert_eq!(*both_refuse.step(), refuse(700));
    let mut both_silent = reservation(false, &[("a", Silent), ("b", full(40))]);
    both_silent.refused("b", Silent);
    assert_eq!(*both_silent.step(), SHARE);
}

/// Guards against requests that fail at an upstream that the host does not reach, as another one has
/// a queue.
#[test]
fn a_short_queue_is_preferred_to_a_bad_upstream() {
    for (is_idempotent, score, is_preferred) in [
        (false, 0.06, true),
        (false, 0.04, false),
        (true, 0.06, false),
    ] {
        let reservation = reservation(is_idempotent, &[("a", full(50))]);
        assert_eq!(reservation.prefers_queue(score), is_preferred, "{score}");
    }
}

/// Guards against a second attempt without a permit.
#[test]
fn each_attempt_that_must_not_run_twice_needs_a_permit() {
    for (is_idempotent, step) in [(false, Step::Ask), (true, Step::SendToBest)] {
        let mut reservation = reservation(is_idempotent, &[("a", full(50)), ("b", full(40))]);
        reservation.begin_attempt();
        assert_eq!(*reservation.step(), step);
        assert_eq!(reservation.was_asked(&"a"), is_idempotent);
    }
}

/// Guards against hosts that together overfill upstreams for which no permit host replies.
#[test]
fn a_host_sends_no_more_than_its_share_without_permits() {
    for (slots, hosts, share) in [(12, 3, 4), (11, 3, 3), (2, 3, 1), (0, 1, 1), (5, 0, 5)] {
        let name = format!("{slots} slots, {hosts} hosts");
        let mut usage = HostShare::default();
        let entered = (0..20).filter(|_| usage.enter(slots, hosts)).count();
        assert_eq!(entered, share, "{name}");
        usage.leave();
        assert!(usage.enter(slots, hosts), "{name}");
        assert!(!usage.enter(slots, hosts), "{name}");
    }
}
