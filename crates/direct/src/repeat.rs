//! Whether a request whose try failed is sent again.

use std::time::Duration;

use ids::Reason;

/// Settings of [`Tries`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatSettings {
    /// Pause before a request goes to an upstream that turned it away for want of its key.
    pub key_pause: Duration,
    /// Most times that a request is sent on, however often it may be by its route.
    ///
    /// Each of them is an arrival at an upstream and comes out of the budget of all hosts.
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

/// How a try ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Nothing was sent.
    Unsent(Reason),
    /// The upstream said that it did not run the request.
    NotRun(Reason),
    /// The upstream does not hold the request's key; it did not run it.
    Misdirected,
    /// Another server has the upstream's address now; it did not run it.
    Replaced,
    /// It may have run.
    Broken(Reason),
}

impl Ended {
    /// Returns the reason that the caller is told if this was the last try.
    #[must_use]
    pub const fn reason(self) -> Reason {
        match self {
            Self::Unsent(reason) | Self::NotRun(reason) | Self::Broken(reason) => reason,
            Self::Misdirected | Self::Replaced => Reason::StaleRoute,
        }
    }
}

/// What to do with a request whose try failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it again after a pause.
    Again {
        /// The pause.
        pause: Duration,
    },
    /// Tell the caller.
    GiveUp,
}

/// The tries of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tries {
    sent: u32,
    ran: u32,
    unsent: u32,
}

impl Tries {
    /// Tells whether a try may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.ran > 0
    }

    /// Notes how a try ended, and says what to do.
    ///
    /// `idempotent` and `max_attempts` are the route's; `withdraw` takes one arrival out of the
    /// budget for repeats and tells whether there was one.
    pub fn next(
        &mut self,
        ended: Ended,
        idempotent: bool,
        max_attempts: u32,
        cfg: &RepeatSettings,
        withdraw: impl FnOnce() -> bool,
    ) -> Next {
        let pause = match ended {
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
        Next::Again { pause }
    }
}
