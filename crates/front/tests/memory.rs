//! What bodies may take of a host's memory.

use std::time::Duration;

use bytes::Bytes;
use front::forward::body::Pace;
use front::memory::{BodySize, MemoryBudget};
use ids::Timestamp;
use proptest::prelude::*;

const HOST: usize = 160 << 20;

/// Guards against uploads that crowd out small requests: however many come, those still find room.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(HOST);
    let mut uploads = Vec::new();
    loop {
        let mut upload = budget.request(BodySize::Large);
        if !upload.cover(360 << 10) {
            break;
        }
        uploads.push(upload);
    }
    assert!(uploads.len() > 50, "{} uploads", uploads.len());
    let mut small = Vec::new();
    for _ in 0..5_000 {
        let mut request = budget.request(BodySize::Small);
        assert!(request.cover(2 << 10));
        small.push(request);
    }
    drop(uploads);
    drop(small);
    assert_eq!(budget.held(), 0);
}

/// Guards against an answer that is lost for lack of room, and against one that is counted only while it is read.
#[test]
fn answers_are_held_over_the_budget_until_they_have_left() {
    let budget = MemoryBudget::new(HOST);
    let body = Bytes::from(vec![7; 1 << 20]);
    let answers: Vec<Bytes> = (0..100).map(|_| budget.hold_answer(body.clone())).collect();
    assert!(budget.held() > budget.most());
    assert!(!budget.request(BodySize::Small).cover(1), "no room");
    let rest = answers[0].slice(10..20);
    drop(answers);
    assert_eq!(budget.held(), 1 << 20, "a part has not left yet");
    assert_eq!(rest, [7; 10].as_slice());
    drop(rest);
    assert_eq!(budget.held(), 0);
}

/// Guards against a caller that sends too slowly for its own deadline and is held until then.
#[test]
fn a_body_that_cannot_come_in_time_is_known_after_a_second() {
    struct Case {
        name: &'static str,
        bytes_per_s: usize,
        left: usize,
        enough: bool,
    }
    for case in [
        Case {
            name: "slow, much left",
            bytes_per_s: 10_000,
            left: 350_000,
            enough: false,
        },
        Case {
            name: "slow, little left",
            bytes_per_s: 10_000,
            left: 50_000,
            enough: true,
        },
        Case {
            name: "silent",
            bytes_per_s: 0,
            left: 1,
            enough: false,
        },
        Case {
            name: "of unknown length",
            bytes_per_s: 10,
            left: 0,
            enough: true,
        },
    ] {
        let began = Timestamp::ZERO + Duration::from_secs(9);
        let deadline = began + Duration::from_secs(12);
        let mut pace = Pace::new(began);
        let soon = began + Duration::from_millis(300);
        assert!(
            pace.is_enough(soon, 0, case.left, deadline),
            "{}",
            case.name
        );
        let later = began + Duration::from_secs(1);
        let enough = pace.is_enough(later, case.bytes_per_s, case.left, deadline);
        assert_eq!(enough, case.enough, "{}", case.name);
        assert!(
            !pace.is_enough(deadline, case.left, 0, deadline),
            "{}",
            case.name
        );
    }
}

proptest! {
    /// Whatever is reserved, grown, refused and dropped, no more than the budget is held, and all comes back.
    #[test]
    fn requests_never_hold_more_than_the_budget(
        steps in proptest::collection::vec((any::<bool>(), 0_usize..4_000_000, any::<bool>()), 1..200)
    ) {
        let budget = MemoryBudget::new(64 << 20);
        let mut held = Vec::new();
        for (is_large, bytes, goes) in steps {
            let size = if is_large { BodySize::Large } else { BodySize::Small };
            let mut request = budget.request(size);
            if request.cover(bytes / 2) && request.cover(bytes) {
                held.push(request);
            }
            if goes && !held.is_empty() {
                held.swap_remove(bytes % held.len());
            }
            prop_assert!(budget.held() <= budget.most());
        }
        held.clear();
        prop_assert_eq!(budget.held(), 0);
    }
}
