//! The control duty: follows the store, and grants keys if it is this host's turn.
//!
//! - [`samples`]: the ring of samples from the callers' duty.
//! - [`state`]: what the duty knows, and the view that it publishes.
//! - [`follow`]: reads the tables of the store as they change.
//! - [`beat`]: heartbeats between hosts.
//! - [`keys`]: drives the keepers of entries that are divided by key.

pub mod beat;
pub mod follow;
pub mod keys;
pub mod samples;
pub mod state;

pub use state::{Control, Ctl};
