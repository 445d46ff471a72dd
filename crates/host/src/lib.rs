//! An entry host: its settings and its threads.
//!
//! - [`settings`]: settings as written in the JSON file.
//! - [`check`]: reading and checking that file.
//! - [`log`]: logs as JSON lines.
//! - [`run`]: starts and stops all threads.
//! - [`status`]: the status endpoint of a host.
//! - `control`: membership, ownership and placement.
//!
//! The threads, connected by bounded channels, serve callers (`gate::Gate`), dispatch requests
//! (`gate::DispatchThread`), run the control code and send metrics.

pub mod check;
mod control;
pub mod log;
pub mod run;
pub mod settings;
pub mod status;

pub use check::load_settings;
pub use run::{Addresses, Host, StartError};
pub use settings::Settings;
