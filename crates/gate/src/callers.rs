//! The HTTP server for callers, and routing of their requests on the entry host.
//!
//! - [`serve`]: the thread, its accept loop and its shutdown.
//! - `request_reader`: reads and validates a whole request.
//! - `linger`: closes callers' streams without a connection reset.
//! - [`path`]: admits a request and attempts it until it is answered or refused.
//! - `reply`: builds responses to callers.
//! - [`endpoints`]: the host's own endpoints.

pub mod endpoints;
mod linger;
pub mod path;
mod reply;
mod request_reader;
pub mod serve;

pub use endpoints::{HostAnswer, HostEndpoints, HostRequest};
pub use path::PathSettings;
pub use serve::{Gate, GateError};
