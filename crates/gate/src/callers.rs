//! The HTTP server for callers, and routing of their requests on the entry host.
//!
//! - [`serve`]: the thread, its accept loop and its shutdown.
//! - `intake`: reads and validates a whole request.
//! - `linger`: closes callers' streams without a connection reset.
//! - [`path`]: admits a request and attempts it until it is answered or refused.
//! - `reply`: writes answers and refusals.
//! - [`own`]: the host's own endpoints.

mod intake;
mod linger;
pub mod own;
pub mod path;
mod reply;
pub mod serve;

pub use own::{OwnAnswer, OwnEndpoints, OwnRequest};
pub use path::PathSettings;
pub use serve::{Gate, GateError};
