//! Times and bounds.

use std::time::Duration;

/// Times and bounds of the granting of keys; the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssignSettings {
    /// How long a grant holds, from when it arrives at the upstream.
    ///
    /// The keys of an upstream that fell silent are unserved for about this and one renewal. It
    /// must outlast the change of the granting host, about 1.5 s, after the last renewal.
    pub hold: Duration,
    /// Time between renewals of a grant: a quarter of `hold`, so that two may be lost.
    pub renew_every: Duration,
    /// How much slower an upstream's clock may run, as a part of the time.
    pub drift: f64,
    /// Time added to waits for a grant's end: a grant leaves within 200 ms of when it was decided on,
    /// or not at all, and the rest is for its way and the firing of timers.
    pub margin: Duration,
    /// How long the granting host goes on without having read its row.
    ///
    /// Keys stay served through an outage of the store of this length. After a host was replaced
    /// that can't be asked whether it stopped, an upstream that can't be asked either keeps its
    /// keys for this long.
    pub evidence: Duration,
    /// Time without an answer of an owner after which its keys go to others.
    pub silence: Duration,
    /// Time between two looks for ranges that should move.
    pub plan_every: Duration,
}

impl Default for AssignSettings {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(3),
            renew_every: Duration::from_millis(750),
            drift: 0.02,
            margin: Duration::from_millis(250),
            evidence: Duration::from_secs(10),
            silence: Duration::from_millis(1_500),
            plan_every: Duration::from_millis(500),
        }
    }
}

impl AssignSettings {
    /// Returns how long after it was sent a grant may hold at most, by the sender's clock, if it
    /// was not held up on its way.
    #[must_use]
    pub fn outlast(&self) -> Duration {
        self.hold.mul_f64(1.0 + 2.0 * self.drift) + self.margin
    }
}
