//! Decides whether a request is retried after a failed attempt.

use std::time::Duration;

use ids::Reason;

/// Settings of [`RetryState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetrySettings {
    /// Delay before a retry after an upstream rejected the request because it does not hold the
    /// key; grows with each retry.
    pub misdirected_delay: Duration,
    /// Maximum number of times that a request is sent, whatever its route allows.
    ///
    /// Each of them arrives at an upstream and counts against the retry budget of all hosts.
    pub max_sends: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            misdirected_delay: Duration::from_millis(60),
            max_sends: 4,
        }
    }
}

/// How an attempt ended that gave no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing was sent.
    Unsent(Reason),
    /// The upstream reported that it did not run the request.
    NotRun(Reason),
    /// The upstream does not hold the request's key and did not run the request.
    Misdirected,
    /// Another server has the upstream's address now and did not run the request.
    Replaced,
    /// The request may have run.
    MayHaveRun(Reason),
}

impl AttemptEnd {
    /// Returns the reason for the caller if this was the last attempt.
    #[must_use]
    pub const fn reason(self) -> Reason {
        match self {
            Self::Unsent(reason) | Self::NotRun(reason) | Self::MayHaveRun(reason) => reason,
            Self::Misdirected | Self::Replaced => Reason::StaleRoute,
        }
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry the request after a delay.
    Retry {
        /// Delay before the retry.
        delay: Duration,
    },
    /// Report the failure to the caller.
    GiveUp,
}

/// All attempts of a request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryState {
    sent: u32,
    ran: u32,
    unsent: u32,
}

impl RetryState {
    /// Returns whether an attempt may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.ran > 0
    }

    /// Records the end of an attempt and decides what follows.
    ///
    /// `idempotent` and `max_attempts` are the route's. `take_budget` takes one retry out of the
    /// budget and returns whether there was one left.
    pub fn record_end(
        &mut self,
        end: AttemptEnd,
        idempotent: bool,
        max_attempts: u32,
        cfg: &RetrySettings,
        take_budget: impl FnOnce() -> bool,
    ) -> RetryDecision {
        let delay = match end {
            AttemptEnd::Unsent(_) => {
                self.unsent += 1;
                return if self.unsent < cfg.max_sends {
                    RetryDecision::Retry {
                        delay: Duration::ZERO,
                    }
                } else {
                    RetryDecision::GiveUp
                };
            }
            AttemptEnd::NotRun(_) | AttemptEnd::Replaced => Duration::ZERO,
            AttemptEnd::Misdirected => cfg.misdirected_delay * (self.sent + 1),
            AttemptEnd::MayHaveRun(_) => {
                self.ran += 1;
                if !idempotent {
                    self.sent += 1;
                    return RetryDecision::GiveUp;
                }
                Duration::ZERO
            }
        };
        self.sent += 1;
        if self.ran >= max_attempts || self.sent >= cfg.max_sends || !take_budget() {
            return RetryDecision::GiveUp;
        }
        RetryDecision::Retry { delay }
    }
}
