//! Names of HTTP headers that callers, hosts and upstreams exchange.

/// Caller's or host's name for the request; echoed in the answer.
pub const REQUEST_ID: &str = "medlardyke-request-id";
/// Time left for the request, in milliseconds.
pub const DEADLINE_MS: &str = "medlardyke-deadline-ms";
/// Outcome of a request that was not answered: `not-run` or `unknown`; `answered` else.
pub const OUTCOME: &str = "medlardyke-outcome";
/// Reason behind the outcome, from [`crate::Reason`].
pub const REASON: &str = "medlardyke-reason";
/// Fencing token of the grant under which a request is sent.
pub const EPOCH: &str = "medlardyke-epoch";
/// Entry of the request, towards upstreams.
pub const ENTRY: &str = "medlardyke-entry";
/// Slice of the request's key, towards upstreams.
pub const SLICE: &str = "medlardyke-slice";
