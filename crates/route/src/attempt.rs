//! Whether and when a request is tried again.
//!
//! The rules, in the order in which they are checked at the end of a try:
//!
//! 1. A request whose class is non-idempotent is tried again only if the try surely did not run.
//! 2. A reason that another try can't mend ends the request.
//! 3. Want of routing knowledge is mended by routing anew; such tries are bounded in number but
//!    not charged to the retry budget, as they put no load on upstreams.
//! 4. All other tries are charged to the budget.
//! 5. If the deadline leaves no time for a pause and a try, the request ends at once.
//!
//! Once one try may have run, the request can't end as not run, whatever later tries say.

use std::time::Duration;

use ids::{Outcome, Reason, Timestamp};

use crate::budget::RetryBudget;

/// Settings of an [`Attempt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSettings {
    /// Pause before the first retry; doubles with each further one.
    pub backoff: Duration,
    /// The longest pause.
    pub backoff_max: Duration,
    /// The most retries that are charged to the budget.
    pub retries_max: u32,
    /// The most retries for want of routing knowledge, which are not charged to the budget.
    pub reroutes_max: u32,
    /// The least time that a further try needs; with less left, the request is given up at once.
    pub min_attempt_time: Duration,
}

impl Default for AttemptSettings {
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

/// State of a request that may be sent.
#[derive(Debug)]
pub struct Ready(());

/// State of a request that was handed to a coordinating host.
#[derive(Debug)]
pub struct UnderWay(());

/// How one try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Try {
    /// The upstream's whole answer came.
    Answered,
    /// There is no answer, for this reason; the reason's outcome tells whether the try may have
    /// run.
    Failed {
        /// Reason.
        reason: Reason,
        /// When to come back, if the refusing side said so.
        retry_after: Option<Duration>,
    },
}

/// The end of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// What the caller may rely on.
    pub outcome: Outcome,
    /// Reason; none if the request was answered.
    pub reason: Option<Reason>,
    /// When the caller may come back; none if it makes no difference.
    pub retry_after: Option<Duration>,
}

/// What follows from a try.
#[derive(Debug)]
pub enum Next {
    /// The caller gets its answer or refusal at once.
    Done(Verdict),
    /// The request is routed anew (with newer knowledge if there is some) and tried after a
    /// pause.
    Retry {
        /// The request.
        attempt: Attempt<Ready>,
        /// Pause.
        after: Duration,
        /// Reason of the retry, for counters.
        reason: Reason,
    },
    /// The request is tried at another upstream after a pause.
    Elsewhere {
        /// The request.
        attempt: Attempt<Ready>,
        /// Pause.
        after: Duration,
        /// Reason of the retry, for counters.
        reason: Reason,
    },
}

/// What can mend a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryKind {
    /// Nothing that this host could do.
    None,
    /// Newer routing knowledge.
    Reroute,
    /// Another try at any upstream that may serve the request.
    Any,
    /// Another try at another upstream; the same one would say the same.
    Other,
}

/// Returns what can mend a try that failed for `reason`, if it may be repeated at all.
///
/// If only the key's owner can serve the request, an owner that can't be reached is a matter of
/// routing: the key may get another owner.
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
        Reason::DeadlineTooShort | Reason::QueueFull | Reason::UpstreamLimit | Reason::Overload => {
            RetryKind::Other
        }
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

/// One request, over all of its tries.
#[derive(Debug)]
pub struct Attempt<S> {
    settings: AttemptSettings,
    idempotent: bool,
    divided: bool,
    deadline: Timestamp,
    retries: u32,
    reroutes: u32,
    /// Reason of the first try that may have run.
    unknown_reason: Option<Reason>,
    #[expect(dead_code, reason = "the state is in its type")]
    state: S,
}

impl<S> Attempt<S> {
    /// Returns how many tries have failed so far.
    #[must_use]
    pub const fn failed_tries(&self) -> u32 {
        self.retries + self.reroutes
    }

    /// Returns when the request's time is over.
    #[must_use]
    pub const fn deadline(&self) -> Timestamp {
        self.deadline
    }

    fn into_state<T>(self, state: T) -> Attempt<T> {
        Attempt {
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

    /// Ends the request for `reason`, unless an earlier try may have run.
    fn refuse(&self, reason: Reason, retry_after: Option<Duration>) -> Next {
        let reason = match self.unknown_reason {
            Some(unknown_reason) if reason.outcome() == Outcome::NotRun => unknown_reason,
            _ => reason,
        };
        Next::Done(Verdict {
            outcome: reason.outcome(),
            reason: Some(reason),
            retry_after,
        })
    }

    /// Returns the pause after `tries` failed ones.
    fn backoff_after(&self, tries: u32) -> Duration {
        let doubled = self.settings.backoff.saturating_mul(1 << tries.min(16));
        doubled.min(self.settings.backoff_max)
    }
}

impl Attempt<Ready> {
    /// Creates a request that has not been tried; `divided` tells whether its entry is divided
    /// by key, so that only the key's owner can serve it.
    #[must_use]
    pub const fn new(
        settings: AttemptSettings,
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

    /// Takes note that the request is handed on, or that routing it is tried.
    #[must_use]
    pub fn start(self) -> Attempt<UnderWay> {
        self.into_state(UnderWay(()))
    }
}

impl Attempt<UnderWay> {
    /// Decides what follows from the end of a try.
    #[must_use]
    pub fn ended(mut self, now: Timestamp, how: Try, budget: &mut RetryBudget) -> Next {
        let Try::Failed {
            reason,
            retry_after,
        } = how
        else {
            return Next::Done(Verdict {
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

    fn reroute(mut self, now: Timestamp, reason: Reason, hint: Option<Duration>) -> Next {
        let after = self
            .backoff_after(self.reroutes)
            .max(hint.unwrap_or_default());
        if self.reroutes >= self.settings.reroutes_max || !self.has_time(now, after) {
            return self.refuse(reason, Some(after));
        }
        self.reroutes += 1;
        self.into_decision(after, reason)
    }

    fn retry(
        mut self,
        now: Timestamp,
        reason: Reason,
        hint: Option<Duration>,
        budget: &mut RetryBudget,
    ) -> Next {
        // Another upstream owes nothing to the refusing one's hint.
        let hint = hint.filter(|_| self.divided).unwrap_or_default();
        let after = self.backoff_after(self.retries).max(hint);
        if self.retries >= self.settings.retries_max || !self.has_time(now, after) {
            return self.refuse(reason, Some(after));
        }
        if !budget.withdraw(now) {
            return self.refuse(Reason::RetryBudget, Some(after));
        }
        self.retries += 1;
        self.into_decision(after, reason)
    }

    fn into_decision(self, after: Duration, reason: Reason) -> Next {
        let elsewhere = !self.divided;
        let attempt = self.into_state(Ready(()));
        if elsewhere {
            return Next::Elsewhere {
                attempt,
                after,
                reason,
            };
        }
        Next::Retry {
            attempt,
            after,
            reason,
        }
    }

    fn has_time(&self, now: Timestamp, after: Duration) -> bool {
        now + after + self.settings.min_attempt_time <= self.deadline
    }
}
