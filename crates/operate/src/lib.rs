//! The operators' commands.
//!
//! - [`args`]: the command line.
//! - [`settings`]: who the operator is, and where platform and hosts are.
//! - [`exit`]: exit codes.
//! - [`command`]: one module a command; each works on the platform's traits.
//! - [`drive`]: carries out what the state machine of a change asks for.
//! - [`read`]: reads the catalogue and its history.
//! - [`hosts`]: asks entry hosts which version they have in force.
//! - [`render`]: text for people.
//!
//! `docs/CATALOGUE.md` is the operators' page.

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
