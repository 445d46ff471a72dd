//! Stand-ins for upstreams and the platform, for tests and measurements.
//!
//! - [`upstream`]: a server that simulates an upstream.
//! - [`journal`]: the upstreams' journal of the requests that they run.
//! - [`platform`]: a server that simulates the platform.
//! - [`fleet`]: a simulation of the users' platform, following its published protocol.
//! - [`proxy`]: a TCP proxy that injects faults.
//! - [`load`]: an open-loop load generator.
//! - [`judge`]: detects faults from a load's records and the journals.
//! - [`links`]: failures of the links between hosts and upstreams.
//! - [`client`]: an HTTP client over one connection.
//! - [`args`]: command-line arguments of the stand-ins.

pub mod args;
pub mod client;
pub mod fleet;
mod http;
pub mod journal;
pub mod judge;
pub mod links;
pub mod load;
pub mod platform;
pub mod proxy;
mod timer;
pub mod upstream;

pub use journal::{JournalEvent, JournalLine, Started};
pub use judge::{JudgeSettings, Report};
pub use links::LinkCut;
pub use load::{ClientOutcome, EntryLoad, LoadResult, LoadSettings, Record};
pub use platform::{PlatformSettings, StandinPlatform};
pub use proxy::{Fault, FaultPlan, FaultProxy, ProxySettings};
pub use upstream::{AdminCommand, Upstream, UpstreamSettings};
