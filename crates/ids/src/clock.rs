//! A monotonic clock that includes time spent suspended, and its timestamps.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A reading of one host's [`Clock`], in microseconds.
///
/// Readings from different hosts must never be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The earliest possible reading.
    pub const ZERO: Self = Self(0);
    /// A reading that no clock reaches.
    pub const NEVER: Self = Self(u64::MAX);

    /// Builds a timestamp from microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a timestamp from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the reading in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this reading, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, rhs: Duration) {
        *self = *self + rhs;
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A source of timestamps that never decrease.
pub trait Clock: fmt::Debug + Send + Sync + 'static {
    /// Returns the current reading.
    fn now(&self) -> Timestamp;
}

/// The time since the system booted, including time spent suspended (`CLOCK_BOOTTIME`).
///
/// With a monotonic clock that stops during suspension, a lease could outlive its
/// limit on a host that was suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Timestamp {
        let t = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(t.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(t.tv_nsec).unwrap_or(0);
        Timestamp(secs * 1_000_000 + nanos / 1_000)
    }
}

/// A clock that tests advance manually; clones share one reading.
#[derive(Debug, Clone, Default)]
pub struct ManualClock(Arc<AtomicU64>);

impl ManualClock {
    /// Advances the clock by `span`.
    pub fn advance(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.0.fetch_add(micros, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp(self.0.load(Ordering::SeqCst))
    }
}
