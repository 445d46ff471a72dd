//! Stand-ins that take the place of upstreams and platform in tests and measurements.
//!
//! - [`upstream`]: a server that plays an upstream.
//! - [`journal`]: what upstreams write down about the requests that they run.
//! - [`platform`]: a server that plays the platform.
//! - [`client`]: an HTTP client over one connection.

pub mod client;
mod http;
pub mod journal;
pub mod platform;
pub mod upstream;

pub use journal::{JournalEvent, JournalLine, Started};
pub use platform::{PlatformSettings, StandinPlatform};
pub use upstream::{AdminCommand, Upstream, UpstreamSettings};
