//! Times and bounds, and what must hold between them.

use std::time::Duration;

use thiserror::Error;

/// Settings that contradict each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Grants would lapse between renewals.
    #[error("grant_ttl must be at least three times renew_every")]
    Renewal,
    /// A host would be taken for silent after one lost message.
    #[error("silence must be at least three times watch_every")]
    Silence,
    /// Evidence would lapse before a silent deputy is replaced.
    #[error("evidence must be longer than silence")]
    Evidence,
    /// The stated bound on clocks is out of range.
    #[error("drift_ppm must be at most 50000")]
    Drift,
}

/// Times and bounds of a [`Machine`](crate::Machine).
///
/// All hosts must have the same values: a host waits out what others may do by theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnSettings {
    /// Longest time between two ticks.
    pub tick: Duration,
    /// Time from an upstream's reading to the end of the grant.
    pub grant_ttl: Duration,
    /// Time between renewals of a grant.
    pub renew_every: Duration,
    /// Time between a coordinating host's messages to its deputy.
    pub watch_every: Duration,
    /// How long a host must be silent before another one acts in its place.
    pub silence: Duration,
    /// How long a host may act on evidence that it was not replaced.
    pub evidence: Duration,
    /// How much any clock may run fast or slow, in millionths.
    pub drift_ppm: u32,
    /// Time that a request may stay under way at an upstream beyond its deadline.
    pub deadline_margin: Duration,
    /// Time after which a transaction that was not confirmed is submitted again.
    pub commit_retry: Duration,
    /// Time after which a transaction of which nothing was heard is submitted again.
    pub commit_patience: Duration,
    /// Time after which a host that was heard of neither directly nor through others is no
    /// candidate for anything.
    pub roster: Duration,
    /// Time after which a planned move whose transaction has no result lets its requests go on.
    pub loose_after: Duration,
    /// Time after a slice came after which its row forgets where from.
    pub clear_after: Duration,
    /// Silence after which a host is taken for surely over: nothing that it had in hand can be sent
    /// any more.
    pub gone_after: Duration,
    /// Time for which an entry waits for all its upstreams before its slices are handed out.
    pub hand_out_after: Duration,
    /// Time after which an upstream whose domain has no host that is up may be claimed by hosts of
    /// other domains, if nobody coordinates it.
    pub foreign_after: Duration,
    /// Time for which a host must be up before upstreams of its domain are handed to it.
    pub rebalance_after: Duration,
    /// Most slices that are moved at once by a planned move.
    pub move_batch: usize,
    /// Most upstreams over which the slices of one are spread at once.
    pub spread_targets: usize,
}

impl Default for OwnSettings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(20),
            grant_ttl: Duration::from_millis(600),
            renew_every: Duration::from_millis(150),
            watch_every: Duration::from_millis(100),
            silence: Duration::from_millis(500),
            evidence: Duration::from_millis(600),
            drift_ppm: 10_000,
            deadline_margin: Duration::from_millis(200),
            commit_retry: Duration::from_millis(300),
            commit_patience: Duration::from_secs(1),
            roster: Duration::from_secs(1),
            loose_after: Duration::from_millis(100),
            clear_after: Duration::from_millis(500),
            gone_after: Duration::from_mins(10),
            hand_out_after: Duration::from_millis(400),
            foreign_after: Duration::from_secs(3),
            rebalance_after: Duration::from_secs(10),
            move_batch: 32,
            spread_targets: 8,
        }
    }
}

impl OwnSettings {
    /// Checks what must hold between the settings.
    ///
    /// # Errors
    ///
    /// Fails with the first rule that is broken.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.grant_ttl < self.renew_every * 3 {
            return Err(SettingsError::Renewal);
        }
        if self.silence < self.watch_every * 3 {
            return Err(SettingsError::Silence);
        }
        if self.evidence <= self.silence {
            return Err(SettingsError::Evidence);
        }
        if self.drift_ppm > 50_000 {
            return Err(SettingsError::Drift);
        }
        Ok(())
    }

    /// Returns the gap between two steps that counts as a pause of the own process.
    #[must_use]
    pub fn pause(&self) -> Duration {
        self.silence / 4
    }

    /// Returns how long to wait by one clock so that `span` has surely passed by any other.
    #[must_use]
    pub fn outlast(&self, span: Duration) -> Duration {
        let drift = f64::from(self.drift_ppm) / 1e6;
        span.mul_f64((1.0 + drift) / (1.0 - drift)) + Duration::from_millis(1)
    }

    /// Returns how much of `span` by any other clock has surely not passed after that time by one.
    #[must_use]
    pub fn within(&self, span: Duration) -> Duration {
        let drift = f64::from(self.drift_ppm) / 1e6;
        span.mul_f64((1.0 - drift) / (1.0 + drift))
    }

    /// Returns how long a replaced host may still renew, and what it renewed last.
    #[must_use]
    pub fn quiet(&self) -> Duration {
        self.outlast(self.evidence) + self.outlast(self.grant_ttl)
    }
}
