//! Decides whether a request is retried after a failed attempt.

use std::time::Duration;

use ids::Reason;

/// Settings of [`Tries`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatSettings {
    /// Delay before a retry after an upstream rejected the request because it does not hold the
    /// key; grows with each retry.
    pub key_pause: Duration,
    /// Maximum number of times that a request is sent, whatever its route allows.
    ///
    /// Each of them arrives at an upstream and counts against the retry budget of all hosts.
    pub sends_max: u32,
}

impl Default for RepeatSettings {
    fn default() -> Self {
        Self {
            key_pause: Duration::from_millis(60),
            sends_max: 4,
        }
    }
}

/// How an attempt ended that gave no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Nothing was sent.
    Unsent(Reason),
    /// The upstream reported that it did not run the request.
    NotRun(Reason),
    /// The upstream does not hold the request's key and did not run the request.
    Misdirected,
    /// Another server has the upstream's address now and did not run the request.
    Replaced,
    /// The request may have run.
    Broken(Reason),
}

impl Ended {
    /// Returns the reason for the caller if this was the last attempt.
    #[must_use]
    pub const fn reason(self) -> Reason {
        match self {
            Self::Unsent(reason) | Self::NotRun(reason) | Self::Broken(reason) => reason,
            Self::Misdirected | Self::Replaced => Reason::StaleRoute,
        }
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Retry the request after a delay.
    Again {
        /// Delay before the retry.
        pause: Duration,
    },
    /// Report the failure to the caller.
    GiveUp,
}

/// All attempts of a request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tries {
    sent: u32,
    ran: u32,
    unsent: u32,
}

impl Tries {
    /// Returns whether an attempt may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.ran > 0
    }

    /// Records the end of an attempt and decides what follows.
    ///
    /// `idempotent` and `max_attempts` are the route's. `withdraw` takes one retry out of the
    /// budget and returns whether there was one left.
    pub fn next(
        &mut self,
        end: Ended,
        idempotent: bool,
        max_attempts: u32,
        cfg: &RepeatSettings,
        withdraw: impl FnOnce() -> bool,
    ) -> Next {
        let delay = match end {
            Ended::Unsent(_) => {
                self.unsent += 1;
                return if self.unsent < cfg.sends_max {
                    Next::Again {
                        pause: Duration::ZERO,
                    }
                } else {
                    Next::GiveUp
                };
            }
            Ended::NotRun(_) | Ended::Replaced => Duration::ZERO,
            Ended::Misdirected => cfg.key_pause * (self.sent + 1),
            Ended::Broken(_) => {
                self.ran += 1;
                if !idempotent {
                    self.sent += 1;
                    return Next::GiveUp;
                }
                Duration::ZERO
            }
        };
        self.sent += 1;
        if self.ran >= max_attempts || self.sent >= cfg.sends_max || !withdraw() {
            return Next::GiveUp;
        }
        Next::Again { pause: delay }
    }
}
