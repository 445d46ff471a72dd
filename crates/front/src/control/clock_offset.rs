//! Readings of another host's clock, expressed on this host's clock.
//!
//! A host that is sent a reading of a peer's clock, and sends it back together with a reading of its
//! own, shows that its own reading came later. From then on the peer can date whatever the host
//! says, however long it takes on the way: never later than it was.

use ids::Timestamp;

use crate::control::relay::ClockEcho;

/// Largest rate at which the clocks of two hosts drift apart, in microseconds a second: ten times
/// that of common quartz clocks.
const MAX_DRIFT_US_PER_S: i64 = 1_000;
const US_PER_S: i64 = 1_000_000;

/// What is known of the offset between this host's clock and a peer's.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockOffset {
    lower_bound: Option<LowerBound>,
}

/// A lower bound of this host's clock less the peer's.
#[derive(Debug, Clone, Copy)]
struct LowerBound {
    micros: i64,
    /// When it held exactly, on this host's clock.
    at: Timestamp,
}

impl LowerBound {
    /// Returns the bound at `now`: the clocks may have drifted apart since.
    fn at(self, now: Timestamp) -> i64 {
        let elapsed = micros(now) - micros(self.at);
        self.micros - elapsed.abs() / US_PER_S * MAX_DRIFT_US_PER_S - MAX_DRIFT_US_PER_S
    }
}

impl ClockOffset {
    /// Records a reading of this host's clock that the peer has sent back.
    pub fn record(&mut self, now: Timestamp, echo: ClockEcho) {
        let bound = LowerBound {
            micros: echo.sent_at_us.cast_signed() - echo.received_at_us.cast_signed(),
            at: Timestamp::from_micros(echo.sent_at_us),
        };
        let is_better = |known: LowerBound| known.at(now) < bound.at(now);
        if self.lower_bound.is_none_or(is_better) {
            self.lower_bound = Some(bound);
        }
    }

    /// Returns a reading of this host's clock that is not later than the moment at which the peer's
    /// clock showed `reading`; none if the peer has sent nothing back.
    #[must_use]
    pub fn to_own(&self, now: Timestamp, reading: Timestamp) -> Option<Timestamp> {
        let own = micros(reading) + self.lower_bound?.at(now);
        let own = Timestamp::from_micros(u64::try_from(own).unwrap_or_default());
        Some(own.min(now))
    }
}

const fn micros(at: Timestamp) -> i64 {
    at.as_micros().cast_signed()
}
