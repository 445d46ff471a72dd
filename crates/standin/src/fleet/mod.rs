//! The users' platform by its published protocol: its metadata store, and servers that take fenced
//! grants of key ranges.
//!
//! - [`deploy`]: what a process starts with.
//! - [`store`]: the store and its faults.
//! - [`keys`]: which keys a server holds.
//! - [`cold`]: what a server bears while it is cold.
//! - [`target`]: a server, its faults, and what it wrote down of the requests that it ran; `answers` is
//!   what it answers.

mod answers;
pub mod cold;
pub mod deploy;
pub mod keys;
pub mod store;
pub mod target;

pub use cold::ColdSettings;
pub use store::{FleetStore, StoreMode};
pub use target::{Arrived, FleetTarget, Journal, Ran, TargetSettings, TargetTrouble};
