//! Decisions of an entry host that sends requests to upstreams itself.
//!
//! Nothing in this crate does I/O, reads a clock or draws random numbers. The modules, in the order
//! in which a request passes them:
//!
//! - [`config`]: the operator's configuration, decoded.
//! - [`routes`]: route lookup by host and path, and selection of the entry that serves a request.
//! - [`content`]: fingerprints of requests, by which repeats are recognized.
//! - [`roster`]: registry of upstreams, and the failure domains that are drained.
//! - [`warmup`]: request rate that an upstream bears while it is cold.
//! - [`said`]: status that an upstream reports with an answer.
//! - `recent_starts`, `start_schedule`: when requests may start at an upstream that limits starts.
//! - [`load`]: a host's estimate of the load, the speed and the health of an upstream.
//! - [`choose`](mod@choose): selection of the upstream for a request, or why there is none.
//! - [`returns`]: detection of callers that were refused before and try again.
//! - [`crashes`]: detection and quarantine of requests that crash upstreams.
//! - [`permits`]: permits at an upstream, granted by one host.
//! - [`permit_hosts`]: selection of that host.
//! - [`repeat`]: whether a request is retried after a failed attempt.

pub mod choose;
pub mod config;
pub mod content;
pub mod crashes;
pub mod load;
pub mod permit_hosts;
pub mod permits;
mod recent_starts;
pub mod repeat;
pub mod returns;
pub mod roster;
pub mod routes;
pub mod said;
mod start_schedule;
pub mod warmup;

pub use choose::{Candidate, Choice, ChooseSettings, Rank, Wanted, choose};
pub use config::{CallerBounds, Configuration, EntrySpec, Route, Share};
pub use content::Content;
pub use crashes::{Answered, CrashSettings, Crashes, Quarantine};
pub use load::{LoadReport, LoadSettings, Sent, UpstreamLoad};
pub use permit_hosts::{PermitHost, PermitHosts};
pub use permits::{PermitEnd, PermitRequest, PermitSettings, Permits, Reply};
pub use repeat::{Ended, Next, RepeatSettings, Tries};
pub use returns::Returns;
pub use roster::{Registered, Roster, State};
pub use routes::{RouteKey, RouteTable, Splitter};
pub use said::{Limit, LimitWord, Said};
pub use warmup::{ColdStart, Warmup, WarmupBounds};
