//! Retry decisions: whether and when a request is retried.
//!
//! The rules, in the order in which they are checked at the end of an attempt:
//!
//! 1. A non-idempotent request is retried only if the attempt certainly did not run.
//! 2. A failure whose reason no further attempt can remedy ends the request.
//! 3. A failure caused by outdated or missing routing information is remedied by routing the
//!    request again. The number of such attempts is bounded, but they are not charged to the retry
//!    budget because they put no load on upstreams.
//! 4. All other retries are charged to the budget.
//! 5. If the deadline leaves no time for the delay and another attempt, the request ends at once.
//!
//! Once one attempt may have run, the request can't end as not run, whatever later attempts report.

use std::time::Duration;

use ids::{Outcome, Reason, Timestamp};

use crate::budget::RetryBudget;

/// Settings of a [`RetryState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetrySettings {
    /// Delay before the first retry; doubles with each further one.
    pub backoff: Duration,
    /// Upper bound of the delay.
    pub backoff_max: Duration,
    /// Maximum number of retries that are charged to the budget.
    pub retries_max: u32,
    /// Maximum number of retries caused by outdated or missing routing information, which are not
    /// charged to the budget.
    pub reroutes_max: u32,
    /// Minimum time that another attempt needs; with less left, the request ends at once.
    pub min_attempt_time: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            backoff: Duration::from_millis(5),
            backoff_max: Duration::from_millis(100),
            retries_max: 3,
            reroutes_max: 40,
            min_attempt_time: Duration::from_millis(2),
        }
    }
}

/// State of a request that is ready for an attempt.
#[derive(Debug)]
pub struct Ready(());

/// State of a request with an attempt in flight.
#[derive(Debug)]
pub struct InFlight(());

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The upstream's complete answer arrived.
    Answered,
    /// There is no answer; the reason's outcome determines whether the attempt may have run.
    Failed {
        /// Reason of the failure.
        reason: Reason,
        /// Delay that the refusing side asked for, if any.
        retry_after: Option<Duration>,
    },
}

/// The final result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestEnd {
    /// Outcome that the caller may rely on.
    pub outcome: Outcome,
    /// Reason; none if the request was answered.
    pub reason: Option<Reason>,
    /// Delay after which the caller may send the request again; none if waiting makes no
    /// difference.
    pub retry_after: Option<Duration>,
}

/// What follows from the end of an attempt.
#[derive(Debug)]
pub enum RetryDecision {
    /// The request ends: the caller gets its answer or refusal at once.
    Done(RequestEnd),
    /// The request is routed again, with newer routing information if available, and retried after
    /// a delay.
    Retry {
        /// The request's retry state.
        state: RetryState<Ready>,
        /// Delay before the retry.
        delay: Duration,
        /// Reason of the retry, for counters.
        reason: Reason,
    },
    /// The request is retried at another upstream after a delay.
    RetryElsewhere {
        /// The request's retry state.
        state: RetryState<Ready>,
        /// Delay before the retry.
        delay: Duration,
        /// Reason of the retry, for counters.
        reason: Reason,
    },
}

/// What kind of retry can remedy a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryKind {
    /// None: no retry by this host can succeed.
    None,
    /// A retry with newer routing information.
    Reroute,
    /// A retry at any upstream that may serve the request.
    Any,
    /// A retry at another upstream; the same one would refuse again.
    Other,
}

/// Returns what kind of retry can remedy a failure for `reason`, provided that the request may be
/// repeated at all.
///
/// If only the key's owner can serve the request, an unreachable owner is a routing failure: the
/// key may get another owner.
const fn retry_kind(reason: Reason, divided: bool) -> RetryKind {
    match reason {
        Reason::ConnectFailed if divided => RetryKind::Reroute,
        Reason::NoOwner
        | Reason::NoLease
        | Reason::HostUnreachable
        | Reason::StaleRoute
        | Reason::Moving
        | Reason::Leaving
        | Reason::GrantRefused => RetryKind::Reroute,
        Reason::ConnectFailed
        | Reason::UpstreamShed
        | Reason::AnswerCut
        | Reason::AnswerMismatch
        | Reason::UpstreamReset
        | Reason::HostLost => RetryKind::Any,
        Reason::DeadlineTooShort
        | Reason::QueueFull
        | Reason::NoCapacity
        | Reason::UpstreamLimit
        | Reason::Overload => RetryKind::Other,
        Reason::BadRequest
        | Reason::MissingKey
        | Reason::BadDeadline
        | Reason::UnknownEntry
        | Reason::HeadTooLarge
        | Reason::BodyTooLarge
        | Reason::BodyTimeout
        | Reason::DeadlineExpired
        | Reason::RateLimit
        | Reason::ConcurrencyLimit
        | Reason::NoCatalogue
        | Reason::NoUpstream
        | Reason::CrashesUpstreams
        | Reason::RetryBudget
        | Reason::Duplicate
        | Reason::DuplicateUnknown
        | Reason::AnswerTimeout
        | Reason::AnswerTooLarge
        | Reason::HostEnded
        | Reason::CallerGone
        | Reason::HostMemory => RetryKind::None,
    }
}

/// Retry state of one request, over all of its attempts.
#[derive(Debug)]
pub struct RetryState<S> {
    settings: RetrySettings,
    idempotent: bool,
    divided: bool,
    deadline: Timestamp,
    retries: u32,
    reroutes: u32,
    /// Reason of the first failed attempt that may have run.
    unknown_reason: Option<Reason>,
    #[expect(dead_code, reason = "the state is in its type")]
    state: S,
}

impl<S> RetryState<S> {
    /// Returns how many attempts have failed so far.
    #[must_use]
    pub const fn failed_attempts(&self) -> u32 {
        self.retries + self.reroutes
    }

    /// Returns the request's deadline.
    #[must_use]
    pub const fn deadline(&self) -> Timestamp {
        self.deadline
    }

    fn into_state<T>(self, state: T) -> RetryState<T> {
        RetryState {
            settings: self.settings,
            idempotent: self.idempotent,
            divided: self.divided,
            deadline: self.deadline,
            retries: self.retries,
            reroutes: self.reroutes,
            unknown_reason: self.unknown_reason,
            state,
        }
    }

    /// Ends the request with `reason`, or with the reason of an earlier attempt that may have run.
    fn refuse(&self, reason: Reason, retry_after: Option<Duration>) -> RetryDecision {
        let reason = match self.unknown_reason {
            Some(unknown_reason) if reason.outcome() == Outcome::NotRun => unknown_reason,
            _ => reason,
        };
        RetryDecision::Done(RequestEnd {
            outcome: reason.outcome(),
            reason: Some(reason),
            retry_after,
        })
    }

    /// Returns the delay after `retries` earlier retries.
    fn backoff(&self, retries: u32) -> Duration {
        let doubled = self.settings.backoff.saturating_mul(1 << retries.min(16));
        doubled.min(self.settings.backoff_max)
    }
}

impl RetryState<Ready> {
    /// Creates the state of a request that has not been attempted. `divided` is whether its entry
    /// is divided by key, so that only the key's owner can serve it.
    #[must_use]
    pub const fn new(
        settings: RetrySettings,
        idempotent: bool,
        divided: bool,
        deadline: Timestamp,
    ) -> Self {
        Self {
            settings,
            idempotent,
            divided,
            deadline,
            retries: 0,
            reroutes: 0,
            unknown_reason: None,
            state: Ready(()),
        }
    }

    /// Records the start of an attempt; routing the request is part of it.
    #[must_use]
    pub fn start(self) -> RetryState<InFlight> {
        self.into_state(InFlight(()))
    }
}

impl RetryState<InFlight> {
    /// Records the end of an attempt and decides what follows.
    #[must_use]
    pub fn ended(
        mut self,
        now: Timestamp,
        end: AttemptEnd,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        let AttemptEnd::Failed {
            reason,
            retry_after,
        } = end
        else {
            return RetryDecision::Done(RequestEnd {
                outcome: Outcome::Answered,
                reason: None,
                retry_after: None,
            });
        };
        if reason.outcome() == Outcome::Unknown {
            self.unknown_reason.get_or_insert(reason);
            if !self.idempotent {
                return self.refuse(reason, None);
            }
        }
        match retry_kind(reason, self.divided) {
            RetryKind::None => self.refuse(reason, retry_after),
            RetryKind::Other if self.divided => self.refuse(reason, retry_after),
            RetryKind::Reroute => self.reroute(now, reason, retry_after),
            RetryKind::Any | RetryKind::Other => self.retry(now, reason, retry_after, budget),
        }
    }

    fn reroute(mut self, now: Timestamp, reason: Reason, hint: Option<Duration>) -> RetryDecision {
        let delay = self.backoff(self.reroutes).max(hint.unwrap_or_default());
        if self.reroutes >= self.settings.reroutes_max || !self.has_time(now, delay) {
            return self.refuse(reason, Some(delay));
        }
        self.reroutes += 1;
        self.into_decision(delay, reason)
    }

    fn retry(
        mut self,
        now: Timestamp,
        reason: Reason,
        hint: Option<Duration>,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        // The hint applies to the refusing upstream only, so it is ignored if another one is tried.
        let hint = hint.filter(|_| self.divided).unwrap_or_default();
        let delay = self.backoff(self.retries).max(hint);
        if self.retries >= self.settings.retries_max || !self.has_time(now, delay) {
            return self.refuse(reason, Some(delay));
        }
        if !budget.withdraw(now) {
            return self.refuse(Reason::RetryBudget, Some(delay));
        }
        self.retries += 1;
        self.into_decision(delay, reason)
    }

    fn into_decision(self, delay: Duration, reason: Reason) -> RetryDecision {
        let elsewhere = !self.divided;
        let state = self.into_state(Ready(()));
        if elsewhere {
            return RetryDecision::RetryElsewhere {
                state,
                delay,
                reason,
            };
        }
        RetryDecision::Retry {
            state,
            delay,
            reason,
        }
    }

    fn has_time(&self, now: Timestamp, delay: Duration) -> bool {
        now + delay + self.settings.min_attempt_time <= self.deadline
    }
}
