//! The three outcomes of a request and the reasons for them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a caller's request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream's whole answer is returned.
    Answered,
    /// No upstream ran any part of the request, and none will.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the text used in headers, problem bodies and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error for a text that is not a known reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} names no reason")]
pub struct UnknownReason(pub String);

macro_rules! reasons {
    ($($(#[$meta:meta])* $name:ident = $text:literal, $outcome:ident, $status:literal, $about:literal;)*) => {
        /// Why a request was refused, retried or left without an answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $(#[doc = $about] $name,)*
        }

        impl Reason {
            /// All reasons, in the order of the metrics table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the text used in headers, problem bodies and counters.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the outcome of a request with this reason.
            #[must_use]
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// Returns the HTTP status of a refusal for this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns a one-line explanation of the reason for operators.
            #[must_use]
            pub const fn about(self) -> &'static str {
                match self { $(Self::$name => $about,)* }
            }
        }
    };
}

reasons! {
    BadRequest = "bad-request", NotRun, 400, "The request is malformed.";
    MissingKey = "missing-key", NotRun, 400, "The entry is divided by key and the request names none.";
    BadDeadline = "bad-deadline", NotRun, 400, "The deadline header is no number of milliseconds.";
    UnknownEntry = "unknown-entry", NotRun, 404, "No catalogue entry has this path.";
    HeadTooLarge = "head-too-large", NotRun, 431, "The request's head is over the limit.";
    BodyTooLarge = "body-too-large", NotRun, 413, "The request's body is over the entry's limit.";
    BodyTimeout = "body-timeout", NotRun, 408, "The caller sent its request too slowly.";
    DeadlineExpired = "deadline-expired", NotRun, 504, "The deadline passed before the request was sent on.";
    DeadlineTooShort = "deadline-too-short", NotRun, 503, "The request could not finish within its deadline and was not sent on.";
    RateLimit = "rate-limit", NotRun, 429, "The entry's rate limit is reached.";
    ConcurrencyLimit = "concurrency-limit", NotRun, 429, "The entry's concurrency limit is reached.";
    QueueFull = "queue-full", NotRun, 503, "The upstream's queue is full.";
    NoCapacity = "no-capacity", NotRun, 503, "No upstream's capacity could be reserved for the request, which must not run twice.";
    UpstreamLimit = "upstream-limit", NotRun, 503, "The upstream says how many requests a second it takes, and gets as many.";
    HostMemory = "host-memory", NotRun, 503, "The host holds as many bytes of requests and answers as it may.";
    Overload = "overload", NotRun, 503, "The queue has stood too long; the request was dropped from it unsent.";
    NoCatalogue = "no-catalogue", NotRun, 503, "This host has no catalogue yet.";
    NoOwner = "no-owner", NotRun, 503, "No upstream owns the key at the moment.";
    NoUpstream = "no-upstream", NotRun, 503, "The entry has no upstream that takes requests.";
    NoLease = "no-lease", NotRun, 503, "The coordinator's lease on the upstream has lapsed.";
    HostUnreachable = "host-unreachable", NotRun, 503, "The coordinating host could not be reached; nothing was sent.";
    StaleRoute = "stale-route", NotRun, 503, "The sending host's routing knowledge was out of date.";
    CrashesUpstreams = "crashes-upstreams", NotRun, 503, "Upstreams ended under this request; it is sent to none for a while.";
    Moving = "moving", NotRun, 503, "The key is moving and the wait exceeded the deadline.";
    Leaving = "leaving", NotRun, 503, "The host is leaving.";

    ConnectFailed = "connect-failed", NotRun, 503, "No connection to the upstream could be opened.";
    UpstreamShed = "upstream-shed", NotRun, 503, "The upstream said it did not run the request.";
    GrantRefused = "grant-refused", NotRun, 503, "The upstream refused the grant under which the request came.";
    RetryBudget = "retry-budget", NotRun, 503, "A retry was possible but the entry's retry budget was spent.";
    Duplicate = "duplicate", Unknown, 409, "A request with this id is in flight; this copy was not sent, the first may run.";
    DuplicateUnknown = "duplicate-unknown", Unknown, 409, "A request with this id was sent before and its result is not kept.";
    AnswerTimeout = "answer-timeout", Unknown, 504, "The deadline passed after the request was sent.";
    AnswerCut = "answer-cut", Unknown, 502, "The upstream's answer ended early.";
    AnswerTooLarge = "answer-too-large", Unknown, 502, "The upstream's answer is over the entry's limit.";
    AnswerMismatch = "answer-mismatch", Unknown, 502, "The upstream's answer names another request.";
    UpstreamReset = "upstream-reset", Unknown, 502, "The connection broke after the request may have left.";
    HostLost = "host-lost", Unknown, 502, "The coordinating host was lost after the request was handed to it.";
    HostEnded = "host-ended", Unknown, 504, "The host ended before the upstream answered.";
    CallerGone = "caller-gone", Unknown, 499, "The caller left before the answer.";
}

impl FromStr for Reason {
    type Err = UnknownReason;

    fn from_str(text: &str) -> Result<Self, UnknownReason> {
        Self::ALL
            .iter()
            .copied()
            .find(|r| r.as_str() == text)
            .ok_or_else(|| UnknownReason(text.to_owned()))
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
