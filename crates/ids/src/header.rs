//! Names of HTTP headers that callers, hosts and upstreams exchange.

/// Id of the request, chosen by the caller or the host and returned in the answer.
pub const REQUEST_ID: &str = "medlardyke-request-id";
/// Time left until the request's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "medlardyke-deadline-ms";
/// Outcome of the request: `answered`, or `not-run` or `unknown` if there was no answer.
pub const OUTCOME: &str = "medlardyke-outcome";
/// Reason for the outcome, from [`crate::Reason`].
pub const REASON: &str = "medlardyke-reason";
/// Fencing token of the grant under which the request is sent.
pub const EPOCH: &str = "medlardyke-epoch";
/// Entry of the request; sent to upstreams.
pub const ENTRY: &str = "medlardyke-entry";
/// Slice of the request's key; sent to upstreams.
pub const SLICE: &str = "medlardyke-slice";
