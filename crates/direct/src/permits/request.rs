//! Requests for permits, the replies to them, and how requests end.

use std::time::Duration;

use ids::DomainId;

use crate::choose::Priority;
use crate::status::RateLimit;
use crate::warmup::ColdStart;

/// A request for a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// Its priority among the requests that go to the upstream. It tells hosts of an earlier version
    /// whether the request is urgent; the order of service follows from the rank.
    pub priority: Priority,
    /// Priority of its route; zero is the most urgent.
    pub rank: u32,
    /// Whether its caller was refused before and repeats it.
    pub is_repeat: bool,
    /// Failure domain of the requesting host; none if it is not known.
    pub domain: Option<DomainId>,
    /// Time left until its objective.
    pub until_objective: Duration,
    /// Time left until the caller's deadline.
    pub until_deadline: Duration,
    /// Service time to assume if none was observed.
    pub entry_service_time: Duration,
    /// Whether it may be queued; a request that may go to another upstream is not.
    pub may_wait: bool,
    /// State of the upstream's warm-up as known; none if being cold makes no difference to it.
    pub cold: Option<ColdStart>,
    /// The upstream's rate limit as known to the requesting host.
    pub limit: RateLimit,
    /// Number of hosts that rank before this one for the upstream's permits and did not reply.
    pub skipped_hosts: u32,
}

impl PermitRequest {
    /// Returns the same request after it has waited for `waited`.
    #[must_use]
    pub fn after(self, waited: Duration) -> Self {
        Self {
            until_objective: self.until_objective.saturating_sub(waited),
            until_deadline: self.until_deadline.saturating_sub(waited),
            ..self
        }
    }
}

/// Reply to a permit request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitReply {
    /// The permit is granted.
    Granted,
    /// The request is queued; its answer is expected after this time.
    Queued {
        /// Time until the answer.
        expected_time: Duration,
    },
    /// The request can't be answered in time; a slot is expected to be free after this time.
    Full {
        /// Time until a slot is free.
        retry_after: Duration,
    },
    /// The upstream is cold, has a rate limit or is out of service, and gets no more requests for now,
    /// not even without a permit.
    RateLimited {
        /// Time until another request may start.
        retry_after: Duration,
    },
}

/// When to ask again for a permit at an upstream that is out of service. A host that knows of its return
/// sooner than the permit host is hardly delayed.
const OUT_OF_SERVICE_RETRY_AFTER: Duration = Duration::from_millis(250);

impl PermitReply {
    /// The reply at an upstream that is out of service.
    pub const OUT_OF_SERVICE: Self = Self::RateLimited {
        retry_after: OUT_OF_SERVICE_RETRY_AFTER,
    };
}

/// How a request that had or wanted a permit ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitEnd {
    /// The upstream answered it.
    Answered,
    /// The upstream responded otherwise than with an answer.
    OtherResponse,
    /// The upstream could not be reached or did not respond.
    NoResponse,
    /// Nothing can be inferred about the upstream: the request was not sent, or the caller left.
    Unknown,
}
