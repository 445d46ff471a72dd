//! Grants that arrive late, reordered, repeated and from several hosts.

use std::time::Duration;

use ids::{EntryId, Epoch, HostId, SliceNo, Timestamp};
use proptest::prelude::*;
use standin::upstream::grants::{Claim, GrantState};
use wire::grant::{GrantRequest, GrantScope, GrantSlices};

const INCARNATION: u64 = 3;
const SLICES: u64 = 3;
const START_MS: u64 = 1_000;

/// A grant message and its delay after the previous one.
#[derive(Debug, Clone)]
struct Arrival {
    after_ms: u64,
    msg: GrantRequest,
}

fn entry() -> EntryId {
    EntryId::new("entry").unwrap()
}

prop_compose! {
    fn arrival()(
        after_ms in 0..100_u64,
        epoch in 1..4_u64,
        seq in 0..8_u64,
        slices in 0..(1_u64 << SLICES),
        incarnation in prop_oneof![9 => Just(INCARNATION), 1 => Just(INCARNATION + 1)],
        reading in prop::option::weighted(0.8, 0..600_u64),
        ttl_ms in 50..400_u32,
    ) -> Arrival {
        let slices = (0..SLICES).filter(|s| slices >> s & 1 == 1).map(SliceNo).collect();
        let msg = GrantRequest {
            epoch: Epoch(epoch),
            seq,
            coordinator: HostId::new(format!("host-{epoch}")).unwrap(),
            boot: Some(incarnation),
            scope: GrantScope::Slices(GrantSlices { entry: entry(), slices }),
            ttl_ms,
            reading_us: reading.map(|ms| (START_MS + ms) * 1_000),
        };
        Arrival { after_ms, msg }
    }
}

fn grants_slice(msg: &GrantRequest, slice: SliceNo) -> bool {
    matches!(&msg.scope, GrantScope::Slices(granted) if granted.slices.contains(&slice))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A request may start only under the newest grant of the highest epoch, before it expires.
    #[test]
    fn only_the_newest_grant_counts(arrivals in prop::collection::vec(arrival(), 1..30)) {
        let mut book = GrantState::new(INCARNATION);
        let mut now = Timestamp::from_millis(START_MS);
        let mut newest: Option<GrantRequest> = None;
        for Arrival { after_ms, msg } in arrivals {
            now += Duration::from_millis(after_ms);
            let before = (book.epoch(), book.seq());
            let accepted = book.apply(now, &msg).is_ok();
            prop_assert!((book.epoch(), book.seq()) >= before, "sequence falls at {msg:?}");
            if accepted && msg.reading_us.is_some() {
                prop_assert_eq!(msg.boot, Some(INCARNATION));
                newest = Some(msg);
            }
            for slice in (0..SLICES).map(SliceNo) {
                let claim = Claim { entry: &entry(), epoch: Some(book.epoch()), slice: Some(slice) };
                let expected = newest.as_ref().is_some_and(|m| {
                    let reading = Timestamp::from_micros(m.reading_us.unwrap_or_default());
                    let until = reading + Duration::from_millis(u64::from(m.ttl_ms));
                    m.epoch == book.epoch() && grants_slice(m, slice) && now < until
                });
                prop_assert_eq!(book.allows(now, claim), expected);
            }
        }
    }
}
