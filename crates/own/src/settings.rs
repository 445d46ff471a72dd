//! Times and limits, and the constraints between them.

use std::time::Duration;

use thiserror::Error;

/// Error for inconsistent settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Grants would expire between renewals.
    #[error("grant_ttl must be at least three times renew_every")]
    Renewal,
    /// One lost message would make a host count as unresponsive.
    #[error("silence must be at least three times watch_every")]
    Silence,
    /// Evidence would expire before an unresponsive standby is replaced.
    #[error("evidence must be longer than silence")]
    Evidence,
    /// The bound on clock drift is out of range.
    #[error("drift_ppm must be at most 50000")]
    Drift,
}

/// Times and limits of a [`OwnershipMachine`](crate::OwnershipMachine).
///
/// All hosts must use the same values, as each host waits for timeouts that apply at others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipSettings {
    /// Longest time between two ticks.
    pub tick: Duration,
    /// Time from an upstream's clock reading to the expiry of the grant.
    pub grant_ttl: Duration,
    /// Time between renewals of a grant.
    pub renew_every: Duration,
    /// Time between a coordinating host's heartbeats to its standby.
    pub watch_every: Duration,
    /// Time without contact after which a host counts as unresponsive and another one acts in its
    /// place.
    pub silence: Duration,
    /// Time for which a host may act on evidence that it was not replaced.
    pub evidence: Duration,
    /// Maximum drift of any clock, in millionths.
    pub drift_ppm: u32,
    /// Time that a request may be in progress at an upstream beyond its deadline.
    pub deadline_margin: Duration,
    /// Time after which a transaction that was not confirmed is resubmitted.
    pub commit_retry: Duration,
    /// Time after which a transaction without any response is resubmitted.
    pub commit_patience: Duration,
    /// Time without contact after which a host that was only reported by other hosts is no longer a
    /// candidate.
    pub roster: Duration,
    /// Time after which the requests held for a planned move are resumed if its transaction has no
    /// result.
    pub loose_after: Duration,
    /// Time after the release of an incoming slice after which the row no longer names its previous
    /// owner.
    pub clear_after: Duration,
    /// Time without contact after which a host is assumed to have ended: none of its queued
    /// requests can be sent any more.
    pub gone_after: Duration,
    /// Time for which an entry waits for all its upstreams before its slices are assigned.
    pub hand_out_after: Duration,
    /// Time without a live host in an upstream's domain after which hosts of other domains may
    /// claim the upstream, if it has no coordinating host.
    pub foreign_after: Duration,
    /// Time for which a host must be live before upstreams of its domain are handed over to it.
    pub rebalance_after: Duration,
    /// Maximum number of slices in one planned move.
    pub move_batch: usize,
    /// Maximum number of upstreams over which the slices of one upstream are spread at once.
    pub spread_targets: usize,
}

impl Default for OwnershipSettings {
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

impl OwnershipSettings {
    /// Checks the constraints between the settings.
    ///
    /// # Errors
    ///
    /// Fails with the first violated constraint.
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

    /// Returns the gap between two steps above which the local process counts as paused.
    #[must_use]
    pub fn pause(&self) -> Duration {
        self.silence / 4
    }

    /// Returns how long to wait by one clock so that `span` has certainly passed by any other.
    #[must_use]
    pub fn outlast(&self, span: Duration) -> Duration {
        let drift = f64::from(self.drift_ppm) / 1e6;
        span.mul_f64((1.0 + drift) / (1.0 - drift)) + Duration::from_millis(1)
    }

    /// Returns how much of `span` by any other clock is certain not to have passed after `span` by
    /// one clock.
    #[must_use]
    pub fn within(&self, span: Duration) -> Duration {
        let drift = f64::from(self.drift_ppm) / 1e6;
        span.mul_f64((1.0 - drift) / (1.0 + drift))
    }

    /// Returns the time after the replacement of a host by which its last grants have expired: the
    /// host may renew until its evidence expires.
    #[must_use]
    pub fn quiet(&self) -> Duration {
        self.outlast(self.evidence) + self.outlast(self.grant_ttl)
    }
}
