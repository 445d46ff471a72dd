//! An upstream's check of grants.

use std::time::Duration;

use ids::{EntryId, Epoch, HostId, SliceNo, Timestamp};
use standin::upstream::grants::{Claim, GrantState};
use wire::grant::{GrantRefusal, GrantRequest, GrantScope, GrantSlices};

const BOOT: u64 = 77;
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
        boot: Some(BOOT),
        scope,
        ttl_ms: 1_000,
        reading_us: Some(START.as_micros()),
    }
}

/// A message of the next epoch that grants nothing, from a host that knows no run.
fn fence() -> GrantRequest {
    GrantRequest {
        boot: None,
        reading_us: None,
        ..grant(6, 1, slices(&[]))
    }
}

/// A book that has been granted slices 1 and 2 at epoch 5, message 10, from `START` on.
fn granted() -> GrantState {
    let mut book = GrantState::new(BOOT);
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
            name: "a message overtaken by another",
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
            name: "a higher epoch counts its messages anew",
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
fn grants_need_the_present_run_and_time_and_scope() {
    let cases = [
        Message {
            name: "a grant to the run before",
            msg: GrantRequest {
                boot: Some(BOOT - 1),
                ..grant(5, 11, slices(&[1]))
            },
            result: Err(GrantRefusal::OtherBoot),
            ..plain()
        },
        Message {
            name: "a grant to no run",
            msg: GrantRequest {
                boot: None,
                ..grant(6, 1, slices(&[1]))
            },
            result: Err(GrantRefusal::OtherBoot),
            ..plain()
        },
        Message {
            name: "a grant that was under way for longer than it lasts",
            msg: grant(5, 11, slices(&[1])),
            after: Duration::from_secs(1),
            result: Err(GrantRefusal::Expired),
        },
        Message {
            name: "a reading that never was",
            msg: GrantRequest {
                reading_us: Some(START.as_micros() + 1),
                ..grant(5, 11, slices(&[1]))
            },
            result: Err(GrantRefusal::Expired),
            ..plain()
        },
        Message {
            name: "a renewal by number",
            msg: grant(5, 11, GrantScope::Unchanged(10)),
            ..plain()
        },
        Message {
            name: "a renewal by a number that set no scope",
            msg: grant(5, 11, GrantScope::Unchanged(9)),
            result: Err(GrantRefusal::OtherScope),
            ..plain()
        },
        Message {
            name: "a renewal by number of an earlier epoch",
            msg: grant(6, 11, GrantScope::Unchanged(10)),
            result: Err(GrantRefusal::OtherScope),
            ..plain()
        },
        Message {
            name: "a message without reading, of no run in particular",
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
        then: Option<GrantRequest>,
        after_ms: u64,
        epoch: Option<u64>,
        slice: Option<u64>,
        allowed: bool,
    }
    let plain = || Case {
        name: "a granted slice",
        then: None,
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
            name: "the last moment",
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
            name: "an epoch that nobody granted",
            epoch: Some(6),
            ..refused()
        },
        Case {
            name: "the old epoch once fenced",
            then: Some(fence()),
            ..refused()
        },
        Case {
            name: "the new epoch once fenced, before its grant",
            then: Some(fence()),
            epoch: Some(6),
            ..refused()
        },
        Case {
            name: "a slice that was revoked",
            then: Some(grant(5, 11, slices(&[1]))),
            ..refused()
        },
        Case {
            name: "a slice renewed by number",
            then: Some(grant(5, 11, GrantScope::Unchanged(10))),
            ..plain()
        },
        Case {
            name: "any slice, if the entry is not divided",
            then: Some(grant(5, 11, GrantScope::Undivided)),
            slice: None,
            ..plain()
        },
    ];
    for case in cases {
        let mut book = granted();
        if let Some(msg) = &case.then {
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
fn fence_tells_the_scope_of_the_fenced_grant() {
    let mut book = granted();
    book.apply(START, &fence()).unwrap();
    assert_eq!(book.epoch(), Epoch(6));
    assert_eq!(book.scope(), Some(&slices(&[1, 2])));
}
