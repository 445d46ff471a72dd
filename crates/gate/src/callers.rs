//! The HTTP server towards callers, and the entry side of a request's path.
//!
//! - [`serve`]: the thread, its accept loop and its end.
//! - `intake`: reads and checks a whole request.
//! - `linger`: closes callers' streams without harm.
//! - [`path`]: admits a request and tries it until it is answered or given up.
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
