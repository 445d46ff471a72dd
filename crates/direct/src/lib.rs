//! Decisions of an entry host that sends requests to upstreams itself.
//!
//! Nothing in this crate does I/O, reads a clock or draws random numbers. The modules, in the order
//! in which a request passes them:
//!
//! - [`config`]: the operator's configuration, decoded.
//! - [`routes`]: route lookup by host and path, and selection of the entry that serves a request.
//! - [`fingerprint`]: fingerprints of requests, by which repeats are recognized.
//! - [`registration`]: what an upstream registers.
//! - [`registry`]: registry of upstreams, and the failure domains that are drained.
//! - [`warmup`]: request rate that an upstream bears while it is cold.
//! - [`status`]: status that an upstream reports with an answer.
//! - `recent_starts`, `start_schedule`: when requests may start at an upstream that limits starts.
//! - [`load`]: a host's estimate of the load, the speed and the health of an upstream.
//! - [`links`]: which links to upstreams this host has lost.
//! - [`peers`]: selection of the host through which requests go instead.
//! - [`choose`](mod@choose): selection of the upstream for a request, or why there is none.
//! - [`caller_retries`]: detection of callers that were refused before and try again.
//! - [`crashes`]: detection and quarantine of requests that crash upstreams.
//! - [`permits`]: permits at an upstream, granted by one host.
//! - [`permit_queue`]: the requests that are queued there, in the order of service.
//! - `permit_demand`: the demand there, and when refused callers may return.
//! - [`permit_hosts`]: selection of that host.
//! - [`reservation`]: which permits are requested for a request, and what follows without one.
//! - [`retry`]: whether a request is retried after a failed attempt.

pub mod caller_retries;
pub mod choose;
pub mod config;
pub mod crashes;
pub mod fingerprint;
pub mod links;
pub mod load;
pub mod peers;
mod permit_demand;
pub mod permit_hosts;
pub mod permit_queue;
pub mod permits;
mod recent_starts;
pub mod registration;
pub mod registry;
pub mod reservation;
pub mod retry;
pub mod routes;
mod start_schedule;
pub mod status;
pub mod warmup;

pub use caller_retries::CallerRetries;
pub use choose::{Candidate, Choice, ChooseSettings, Priority, RequestNeeds, choose};
pub use config::{CallerLimits, Configuration, EntrySpec, Route, WeightedEntry};
pub use crashes::{CrashSettings, CrashTracker, Quarantine, RecentAnswers};
pub use fingerprint::RequestFingerprint;
pub use links::{LinkLoss, LinkSettings, LinkState, UpstreamLinks};
pub use load::{LoadReport, LoadSettings, SentRequest, UpstreamLoad};
pub use peers::{PeerHost, PeerSelector, PeerSettings};
pub use permit_hosts::{PermitHost, PermitHosts};
pub use permit_queue::{DomainKey, PermitQueue, QueueSettings, QueuedRequest};
pub use permits::{PermitEnd, PermitReply, PermitRequest, PermitSettings, Permits};
pub use registration::{Registration, UpstreamState};
pub use registry::UpstreamRegistry;
pub use reservation::{HostShare, PermitRefusal, Reservation, Step};
pub use retry::{AttemptEnd, RetryDecision, RetrySettings, RetryState};
pub use routes::{RouteKey, RouteTable, Splitter};
pub use status::{AnnouncedLimit, RateLimit, UpstreamStatus};
pub use warmup::{ColdStart, Warmup, WarmupBounds};
