//! A server that plays an upstream, with the faults that upstreams have.
//!
//! - [`settings`]: what an upstream is like.
//! - [`grants`]: its check of grants.
//! - [`load`]: its load and what it reports of it.
//! - [`admin`]: commands that change it while it runs.
//! - [`answer`]: its answers.
//! - [`server`]: its sockets.

pub mod admin;
pub mod answer;
mod core;
pub mod grants;
pub mod load;
mod pace;
pub mod server;
pub mod settings;

pub use admin::{ADMIN_PATH, AdminCommand, JOURNAL_PATH};
pub use answer::AnswerBody;
pub use server::Upstream;
pub use settings::{ColdStart, LoadReport, ServiceTime, UpstreamSettings};
