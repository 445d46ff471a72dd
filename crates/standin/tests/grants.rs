//! How an upstream accepts grants and checks requests against them.

use std::time::Duration;

use ids::{EntryId, Epoch, HostId, SliceNo, Timestamp};
use standin::upstream::grants::{Claim, GrantState};
use wire::grant::{GrantRefusal, GrantRequest, GrantScope, GrantSlices};

const INCARNATION: u64 = 77;
const START: Timestamp = Timestamp::from_millis(10_000);

fn entry() -> EntryId {
    EntryId::new("tariffbok").unwrap()
}

fn slices(numbers: &[u64]) -> GrantScope {
    GrantScope::Slices(GrantSlices {
        entry: entry(),
        slices: numbers.iter().copied().map(SliceNo).collect(),
    })
}

fn grant(epoch: u64, seq: u64, scope: GrantScope) -> GrantRequest {
    GrantRequest {
        epoch: Epoch(epoch),
        seq,
        coordinator: HostId::new("host-1").unwrap(),
        boot: Some(INCARNATION),
        scope,
        ttl_ms: 1_000,
        reading_us: Some(START.as_micros()),
    }
}

/// A message of the next epoch that grants nothing and names no incarnation of the upstream.
fn fence() -> GrantRequest {
    GrantRequest {
        boot: None,
        reading_us: None,
        ..grant(6, 1, slices(&[]))
    }
}

/// Returns a book that accepted slices 1 and 2 at `START`, with epoch 5 and sequence number 10.
fn granted() -> GrantState {
    let mut book = GrantState::new(INCARNATION);
    book.apply(START, &grant(5, 10, slices(&[1, 2]))).unwrap();
    book
}

struct Message {
    name: &'static str,
    msg: GrantRequest,
    after: Duration,
    result: Result<(), GrantRefusal>,
}

fn plain() -> Message {
    Message {
        name: "a renewal",
        msg: grant(5, 11, slices(&[1, 2])),
        after: Duration::ZERO,
        result: Ok(()),
    }
}

fn check(cases: &[Message]) {
    for case in cases {
        let mut book = granted();
        let before = format!("{book:?}");
        let result = book.apply(START + case.after, &case.msg);
        assert_eq!(result, case.result, "{}", case.name);
        if result.is_err() {
            assert_eq!(format!("{book:?}"), before, "{}: no effect", case.name);
        }
    }
}

#[test]
fn messages_out_of_order_are_refused() {
    let cases = [
        plain(),
        Message {
            name: "a repeat of the last message",
            msg: grant(5, 10, slices(&[1, 2])),
            ..plain()
        },
        Message {
            name: "a message that a later one overtook",
            msg: grant(5, 9, slices(&[1, 2, 3])),
            result: Err(GrantRefusal::Reordered),
            ..plain()
        },
        Message {
            name: "a lower epoch",
            msg: grant(4, 99, slices(&[1])),
            result: Err(GrantRefusal::LowerEpoch),
            ..plain()
        },
        Message {
            name: "a higher epoch restarts the sequence numbers",
            msg: grant(6, 0, slices(&[1])),
            ..plain()
        },
        Message {
            name: "another host under the same epoch",
            msg: GrantRequest {
                coordinator: HostId::new("host-2").unwrap(),
                ..grant(5, 11, slices(&[1]))
            },
            result: Err(GrantRefusal::OtherCoordinator),
            ..plain()
        },
    ];
    check(&cases);
}

#[test]
fn grants_need_the_current_incarnation_a_valid_time_and_a_known_scope() {
    let cases = [
        Message {
            name: "a grant to the previous incarnation",
            msg: GrantRequest {
                boot: Some(INCARNATION - 1),
                ..grant(5, 11, slices(&[1]))
            },
            result: Err(GrantRefusal::OtherBoot),
            ..plain()
        },
        Message {
            name: "a grant to no incarnation",
            msg: GrantRequest {
                boot: None,
                ..grant(6, 1, slices(&[1]))
            },
            result: Err(GrantRefusal::OtherBoot),
            ..plain()
        },
        Message {
            name: "a grant whose transit took longer than its lifetime",
            msg: grant(5, 11, slices(&[1])),
            after: Duration::from_secs(1),
            result: Err(GrantRefusal::Expired),
        },
        Message {
            name: "a clock reading in the future",
            msg: GrantRequest {
                reading_us: Some(START.as_micros() + 1),
                ..grant(5, 11, slices(&[1]))
            },
            result: Err(GrantRefusal::Expired),
            ..plain()
        },
        Message {
            name: "a renewal by sequence number",
            msg: grant(5, 11, GrantScope::Unchanged(10)),
            ..plain()
        },
        Message {
            name: "a renewal by a sequence number that set no scope",
            msg: grant(5, 11, GrantScope::Unchanged(9)),
            result: Err(GrantRefusal::OtherScope),
            ..plain()
        },
        Message {
            name: "a renewal by sequence number of an earlier epoch",
            msg: grant(6, 11, GrantScope::Unchanged(10)),
            result: Err(GrantRefusal::OtherScope),
            ..plain()
        },
        Message {
            name: "a message without clock reading and incarnation",
            msg: fence(),
            ..plain()
        },
    ];
    check(&cases);
}

#[test]
fn requests_need_an_unexpired_grant_of_the_highest_epoch() {
    struct Case {
        name: &'static str,
        later_message: Option<GrantRequest>,
        after_ms: u64,
        epoch: Option<u64>,
        slice: Option<u64>,
        allowed: bool,
    }
    let plain = || Case {
        name: "a granted slice",
        later_message: None,
        after_ms: 0,
        epoch: Some(5),
        slice: Some(2),
        allowed: true,
    };
    let refused = || Case {
        allowed: false,
        ..plain()
    };
    let cases = [
        plain(),
        Case {
            name: "the last millisecond of the grant",
            after_ms: 999,
            ..plain()
        },
        Case {
            name: "the end of the grant",
            after_ms: 1_000,
            ..refused()
        },
        Case {
            name: "a slice that is not granted",
            slice: Some(3),
            ..refused()
        },
        Case {
            name: "no slice",
            slice: None,
            ..refused()
        },
        Case {
            name: "no epoch",
            epoch: None,
            ..refused()
        },
        Case {
            name: "a lower epoch",
            epoch: Some(4),
            ..refused()
        },
        Case {
            name: "an epoch that was never granted",
            epoch: Some(6),
            ..refused()
        },
        Case {
            name: "the old epoch after a fence",
            later_message: Some(fence()),
            ..refused()
        },
        Case {
            name: "the new epoch after a fence, before its grant",
            later_message: Some(fence()),
            epoch: Some(6),
            ..refused()
        },
        Case {
            name: "a revoked slice",
            later_message: Some(grant(5, 11, slices(&[1]))),
            ..refused()
        },
        Case {
            name: "a slice renewed by sequence number",
            later_message: Some(grant(5, 11, GrantScope::Unchanged(10))),
            ..plain()
        },
        Case {
            name: "a request without slice, if the entry is not sharded",
            later_message: Some(grant(5, 11, GrantScope::Undivided)),
            slice: None,
            ..plain()
        },
    ];
    for case in cases {
        let mut book = granted();
        if let Some(msg) = &case.later_message {
            book.apply(START, msg).unwrap();
        }
        let claim = Claim {
            entry: &entry(),
            epoch: case.epoch.map(Epoch),
            slice: case.slice.map(SliceNo),
        };
        let now = START + Duration::from_millis(case.after_ms);
        assert_eq!(book.allows(now, claim), case.allowed, "{}", case.name);
    }
}

#[test]
fn fence_keeps_the_scope_of_the_fenced_grant() {
    let mut book = granted();
    book.apply(START, &fence()).unwrap();
    assert_eq!(book.epoch(), Epoch(6));
    assert_eq!(book.scope(), Some(&slices(&[1, 2])));
}
