//! Readings of another host's clock on this host's clock.

use front::control::clock_offset::ClockOffset;
use front::control::relay::ClockEcho;
use ids::Timestamp;
use proptest::prelude::*;

/// Clocks of a host and its peer, as functions of the true time in microseconds.
#[derive(Debug, Clone, Copy)]
struct Clocks {
    own_start: u64,
    peer_start: u64,
    /// By how much the peer's clock runs faster, in parts per million.
    peer_drift: i64,
}

impl Clocks {
    fn own(self, true_us: u64) -> Timestamp {
        Timestamp::from_micros(self.own_start + true_us)
    }

    fn peer(self, true_us: u64) -> Timestamp {
        let elapsed = i128::from(true_us) * i128::from(1_000_000 + self.peer_drift) / 1_000_000;
        let elapsed = u64::try_from(elapsed).expect("clocks run forwards");
        Timestamp::from_micros(self.peer_start + elapsed)
    }

    /// Returns the echo of a reading that was sent at `sent` and took `delay` to arrive.
    fn echo(self, sent: u64, delay: u64) -> ClockEcho {
        ClockEcho {
            sent_at_us: self.own(sent).as_micros(),
            received_at_us: self.peer(sent + delay).as_micros(),
        }
    }
}

#[test]
fn nothing_is_dated_before_a_reading_came_back() {
    let offset = ClockOffset::default();
    assert_eq!(
        offset.to_own(Timestamp::from_millis(5), Timestamp::ZERO),
        None
    );
}

#[test]
fn a_reading_is_dated_within_the_time_that_it_took_on_the_way() {
    let clocks = Clocks {
        own_start: 7_000_000,
        peer_start: 900_000_000,
        peer_drift: 0,
    };
    let mut offset = ClockOffset::default();
    offset.record(clocks.own(0), clocks.echo(0, 300_000));
    offset.record(clocks.own(500_000), clocks.echo(400_000, 2_000));
    offset.record(clocks.own(900_000), clocks.echo(700_000, 150_000));
    let now = clocks.own(1_000_000);
    let dated = offset.to_own(now, clocks.peer(800_000)).expect("a date");
    let error_us = clocks.own(800_000).since(dated).as_micros();
    assert!((2_000..4_000).contains(&error_us), "{error_us}");
}

proptest! {
    /// Guards against old knowledge that counts as new: however long messages take and however the
    /// clocks drift, what a peer says is never dated later than it was.
    #[test]
    fn nothing_is_dated_too_late(
        own_start in 0_u64..1 << 50,
        peer_start in 0_u64..1 << 50,
        peer_drift in -1_000_i64..=1_000,
        echoes in prop::collection::vec((0_u64..60_000_000, 0_u64..3_000_000), 1..20),
        age in 0_u64..5_000_000,
        later in 0_u64..30_000_000,
    ) {
        let clocks = Clocks { own_start, peer_start, peer_drift };
        let mut echoes = echoes;
        echoes.sort_unstable();
        let mut offset = ClockOffset::default();
        let mut now = 0;
        for (sent, delay) in echoes {
            now = now.max(sent + delay);
            offset.record(clocks.own(now), clocks.echo(sent, delay));
        }
        now += later;
        let said_at = now.saturating_sub(age);
        let dated = offset.to_own(clocks.own(now), clocks.peer(said_at)).expect("a date");
        prop_assert!(dated <= clocks.own(said_at), "{dated} is after {}", clocks.own(said_at));
    }
}
