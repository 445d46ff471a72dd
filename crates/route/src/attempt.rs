//! Whether and when a request is tried again.

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
    pub least_try: Duration,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            backoff: Duration::from_millis(5),
            backoff_max: Duration::from_millis(100),
            retries_max: 3,
            reroutes_max: 40,
            least_try: Duration::from_millis(2),
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

/// One request, over all of its tries.
#[derive(Debug)]
pub struct Attempt<S> {
    settings: AttemptSettings,
    state: S,
}

impl Attempt<Ready> {
    /// Creates a request that has not been tried; `divided` tells whether its entry is divided
    /// by key, so that only the key's owner can serve it.
    #[must_use]
    pub fn new(
        settings: AttemptSettings,
        idempotent: bool,
        divided: bool,
        deadline: Timestamp,
    ) -> Self {
        todo!()
    }

    /// Takes note that the request is handed on.
    #[must_use]
    pub fn start(self) -> Attempt<UnderWay> {
        todo!()
    }
}

impl Attempt<UnderWay> {
    /// Decides what follows from the end of a try.
    #[must_use]
    pub fn ended(self, now: Timestamp, how: Try, budget: &mut RetryBudget) -> Next {
        todo!()
    }
}
