//! An entry host: its settings, and the threads of its duties.
//!
//! - [`settings`]: settings as written in the JSON file.
//! - [`check`]: reading and checking that file.
//! - [`log`]: logs as JSON lines.
//! - [`run`]: starts and stops all duties.
//! - [`status`]: what a host says of itself.
//! - `control`: membership, ownership and placement.
//!
//! Duties, a thread each, joined by bounded rings: callers (`gate::Gate`), dispatch
//! (`gate::DispatchThread`), control, metrics.

pub mod check;
mod control;
pub mod log;
pub mod run;
pub mod settings;
pub mod status;

pub use check::load_settings;
pub use run::{Addresses, Host, StartError};
pub use settings::Settings;
