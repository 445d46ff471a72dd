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
    #[error("heartbeat_timeout must be at least three times heartbeat_every")]
    HeartbeatTimeout,
    /// Evidence would expire before an unresponsive standby is replaced.
    #[error("evidence_ttl must be longer than heartbeat_timeout")]
    EvidenceTtl,
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
    pub heartbeat_every: Duration,
    /// Time without contact after which a host counts as unresponsive and another one acts in its
    /// place.
    pub heartbeat_timeout: Duration,
    /// Time for which a host may act on evidence that it was not replaced.
    pub evidence_ttl: Duration,
    /// Maximum drift of any clock, in millionths.
    pub drift_ppm: u32,
    /// Time that a request may be in progress at an upstream beyond its deadline.
    pub deadline_margin: Duration,
    /// Time after which a transaction that was not confirmed is resubmitted.
    pub commit_retry_delay: Duration,
    /// Time after which a transaction without any response is resubmitted.
    pub commit_timeout: Duration,
    /// Time without contact after which a host that was only reported by other hosts is no longer a
    /// candidate.
    pub indirect_heartbeat_timeout: Duration,
    /// Time after which the requests held for a planned move are resumed if its transaction has no
    /// result.
    pub move_hold_timeout: Duration,
    /// Time after the release of an incoming slice after which the row no longer names its previous
    /// owner.
    pub clear_incoming_delay: Duration,
    /// Time without contact after which a host is assumed to have ended: none of its queued
    /// requests can be sent any more.
    pub host_expiry: Duration,
    /// Time for which an entry waits for all its upstreams before its slices are assigned.
    pub assignment_delay: Duration,
    /// Time without a live host in an upstream's domain after which hosts of other domains may
    /// claim the upstream, if it has no coordinating host.
    pub foreign_claim_delay: Duration,
    /// Time for which a host must be live before upstreams of its domain are handed over to it.
    pub rebalance_delay: Duration,
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
            heartbeat_every: Duration::from_millis(100),
            heartbeat_timeout: Duration::from_millis(500),
            evidence_ttl: Duration::from_millis(600),
            drift_ppm: 10_000,
            deadline_margin: Duration::from_millis(200),
            commit_retry_delay: Duration::from_millis(300),
            commit_timeout: Duration::from_secs(1),
            indirect_heartbeat_timeout: Duration::from_secs(1),
            move_hold_timeout: Duration::from_millis(100),
            clear_incoming_delay: Duration::from_millis(500),
            host_expiry: Duration::from_mins(10),
            assignment_delay: Duration::from_millis(400),
            foreign_claim_delay: Duration::from_secs(3),
            rebalance_delay: Duration::from_secs(10),
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
        if self.heartbeat_timeout < self.heartbeat_every * 3 {
            return Err(SettingsError::HeartbeatTimeout);
        }
        if self.evidence_ttl <= self.heartbeat_timeout {
            return Err(SettingsError::EvidenceTtl);
        }
        if self.drift_ppm > 50_000 {
            return Err(SettingsError::Drift);
        }
        Ok(())
    }

    /// Returns the gap between two steps above which the local process counts as paused.
    #[must_use]
    pub fn pause_threshold(&self) -> Duration {
        self.heartbeat_timeout / 4
    }

    /// Returns how long to wait by one clock so that `span` has certainly passed by any other.
    #[must_use]
    pub fn lengthened_for_drift(&self, span: Duration) -> Duration {
        let drift = f64::from(self.drift_ppm) / 1e6;
        span.mul_f64((1.0 + drift) / (1.0 - drift)) + Duration::from_millis(1)
    }

    /// Returns how much of `span` by any other clock is certain not to have passed after `span` by
    /// one clock.
    #[must_use]
    pub fn shortened_for_drift(&self, span: Duration) -> Duration {
        let drift = f64::from(self.drift_ppm) / 1e6;
        span.mul_f64((1.0 - drift) / (1.0 + drift))
    }

    /// Returns the time after the replacement of a host by which its last grants have expired: the
    /// host may renew until its evidence expires.
    #[must_use]
    pub fn replaced_host_expiry(&self) -> Duration {
        self.lengthened_for_drift(self.evidence_ttl) + self.lengthened_for_drift(self.grant_ttl)
    }
}
