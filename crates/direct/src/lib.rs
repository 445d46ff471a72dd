//! Decisions of an entry host that sends requests to upstreams itself.
//!
//! Nothing here does I/O, reads a clock or draws random numbers of its own. A request meets the
//! modules in this order:
//!
//! - [`config`]: what the operator's configuration says, once decoded.
//! - [`routes`]: from host and path to a route, and from a route to the entry that serves it.
//! - [`content`]: what a request asks, by which its repeats are known.
//! - [`roster`]: the upstreams that registered themselves, and the failure domains that are drained.
//! - [`warmup`]: how many requests an upstream bears while it is cold.
//! - [`said`]: what an upstream says of itself in an answer.
//! - `starts`, `pace`: when requests may start at an upstream that gets only so many.
//! - [`load`]: what this host believes of one upstream's load, speed and health.
//! - [`choose`](mod@choose): which upstream gets a request, or why none does.
//! - [`returns`]: whether a caller was refused before and has come back.
//! - [`crashes`]: requests under which upstreams end, and which are sent to none for a while.
//! - [`permits`]: who may send to an upstream now, at the host that hands out its permits.
//! - [`permit_hosts`]: which host that is.
//! - [`repeat`]: whether a request whose try failed is sent again.

pub mod choose;
pub mod config;
pub mod content;
pub mod crashes;
pub mod load;
mod pace;
pub mod permit_hosts;
pub mod permits;
pub mod repeat;
pub mod returns;
pub mod roster;
pub mod routes;
pub mod said;
mod starts;
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
