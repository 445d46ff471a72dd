//! The operators' commands.
//!
//! - [`args`]: the command line.
//! - [`settings`]: the operator's name and token, and addresses of the platform and hosts.
//! - [`exit`]: exit codes.
//! - [`command`]: one module per command; each uses the traits of the platform.
//! - [`drive`]: performs the actions that the state machine of a change returns.
//! - [`read`]: reads the catalogue and its history.
//! - [`hosts`]: requests the version in force from entry hosts.
//! - [`render`]: human-readable output.
//!
//! `docs/CATALOGUE.md` documents the commands for operators.

pub mod args;
pub mod command;
pub mod drive;
pub mod exit;
pub mod hosts;
pub mod read;
pub mod render;
pub mod settings;

pub use args::Args;
pub use command::run;
pub use exit::Exit;
pub use settings::OperatorSettings;
