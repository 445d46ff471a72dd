//! Memory budget for bodies.

use std::time::Duration;

use bytes::Bytes;
use front::forward::body::TransferRate;
use front::memory::{BodySize, MemoryBudget};
use gate::upstream::BodyRoom;
use ids::Timestamp;
use proptest::prelude::*;

const HOST: usize = 160 << 20;

/// Guards against large uploads that take the memory of small requests.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(HOST);
    let mut uploads = Vec::new();
    loop {
        let mut upload = budget.reservation(BodySize::Large);
        if !upload.grow_to(360 << 10) {
            break;
        }
        uploads.push(upload);
    }
    assert!(uploads.len() > 50, "{} uploads", uploads.len());
    let mut small = Vec::new();
    for _ in 0..5_000 {
        let mut request = budget.reservation(BodySize::Small);
        assert!(request.grow_to(2 << 10));
        small.push(request);
    }
    drop(uploads);
    drop(small);
    assert_eq!(budget.held(), 0);
}

/// Guards against answers that are dropped for lack of memory, and against answers that are counted
/// only while they are read.
#[test]
fn answers_count_beyond_the_budget_until_they_are_sent() {
    let budget = MemoryBudget::new(HOST);
    let body = Bytes::from(vec![7; 1 << 20]);
    let answers: Vec<Bytes> = (0..100).map(|_| budget.hold_answer(body.clone())).collect();
    assert!(budget.held() > budget.max());
    assert!(
        !budget.reservation(BodySize::Small).grow_to(1),
        "no memory left"
    );
    let rest = answers[0].slice(10..20);
    drop(answers);
    assert_eq!(budget.held(), 1 << 20, "a part has not been sent yet");
    assert_eq!(rest, [7; 10].as_slice());
    drop(rest);
    assert_eq!(budget.held(), 0);
}

/// Guards against holding a request until its deadline although its caller sends too slowly to meet
/// it.
#[test]
fn a_transfer_too_slow_for_its_deadline_is_detected_after_a_second() {
    struct Case {
        name: &'static str,
        bytes_per_s: usize,
        left: usize,
        can_finish: bool,
    }
    for case in [
        Case {
            name: "slow, much remaining",
            bytes_per_s: 10_000,
            left: 350_000,
            can_finish: false,
        },
        Case {
            name: "slow, little remaining",
            bytes_per_s: 10_000,
            left: 50_000,
            can_finish: true,
        },
        Case {
            name: "no bytes",
            bytes_per_s: 0,
            left: 1,
            can_finish: false,
        },
        Case {
            name: "unknown length",
            bytes_per_s: 10,
            left: 0,
            can_finish: true,
        },
    ] {
        let began = Timestamp::ZERO + Duration::from_secs(9);
        let deadline = began + Duration::from_secs(12);
        let mut rate = TransferRate::new(began);
        let early = began + Duration::from_millis(300);
        assert!(
            rate.can_finish(early, 0, case.left, deadline),
            "{}",
            case.name
        );
        let later = began + Duration::from_secs(1);
        let can_finish = rate.can_finish(later, case.bytes_per_s, case.left, deadline);
        assert_eq!(can_finish, case.can_finish, "{}", case.name);
        assert!(
            !rate.can_finish(deadline, case.left, 0, deadline),
            "{}",
            case.name
        );
    }
}

proptest! {
    /// However requests are reserved, grown, refused and dropped, no more than the budget is held,
    /// and all of it is released.
    #[test]
    fn requests_never_hold_more_than_the_budget(
        steps in proptest::collection::vec((any::<bool>(), 0_usize..4_000_000, any::<bool>()), 1..200)
    ) {
        let budget = MemoryBudget::new(64 << 20);
        let mut held = Vec::new();
        for (is_large, bytes, is_dropped) in steps {
            let size = if is_large { BodySize::Large } else { BodySize::Small };
            let mut request = budget.reservation(size);
            if request.grow_to(bytes / 2) && request.grow_to(bytes) {
                held.push(request);
            }
            if is_dropped && !held.is_empty() {
                held.swap_remove(bytes % held.len());
            }
            prop_assert!(budget.held() <= budget.max());
        }
        held.clear();
        prop_assert_eq!(budget.held(), 0);
    }
}

/// Guards against upstreams that take a host's memory by answers without end: each answer has a limit, and
/// so have all together, beyond the size that always finds room.
#[test]
fn answers_without_end_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(HOST);
    let mut endless: Vec<_> = (0..100).map(|_| budget.answer()).collect();
    for answer in &mut endless {
        let mut bytes = 0;
        while answer.grow_to(bytes + (16 << 10)) {
            bytes += 16 << 10;
        }
        assert!((64 << 10..8 << 20).contains(&bytes), "{bytes}");
    }
    assert!(budget.held() < HOST / 4, "{} bytes", budget.held());
    assert!(budget.answer().reserve(64 << 10), "a small answer");
    assert!(budget.reservation(BodySize::Large).grow_to(1 << 20));
    assert!(!budget.answer().reserve(1 << 30), "longer than any answer");
    drop(endless);
    assert_eq!(budget.held(), 0);
    let mut declared = budget.answer();
    assert!(declared.reserve(10 << 20), "a large answer");
    let rest = declared.hold(Bytes::from(vec![7; 10 << 20])).slice(10..20);
    assert_eq!(budget.held(), 10 << 20, "a part has not been sent yet");
    drop(rest);
    assert_eq!(budget.held(), 0);
}
