//! Stand-ins that take the place of upstreams and platform in tests and measurements.
//!
//! - [`upstream`]: a server that plays an upstream.
//! - [`journal`]: what upstreams write down about the requests that they run.
//! - [`platform`]: a server that plays the platform.
//! - [`fleet`]: the users' platform by its published protocol.
//! - [`proxy`]: a TCP proxy that makes faults.
//! - [`load`]: an open-loop load generator.
//! - [`judge`]: what a load's records and the journals show of faults.
//! - [`client`]: an HTTP client over one connection.
//! - [`args`]: command lines of all these.

pub mod args;
pub mod client;
pub mod fleet;
mod http;
pub mod journal;
pub mod judge;
pub mod load;
pub mod platform;
pub mod proxy;
mod timer;
pub mod upstream;

pub use journal::{JournalEvent, JournalLine, Started};
pub use judge::{JudgeSettings, Report};
pub use load::{EntryLoad, LoadRun, LoadSettings, Record, Seen};
pub use platform::{PlatformSettings, StandinPlatform};
pub use proxy::{Fault, FaultPlan, FaultProxy, ProxySettings};
pub use upstream::{AdminCommand, Upstream, UpstreamSettings};
