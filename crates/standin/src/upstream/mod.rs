//! A server that simulates an upstream and its faults.
//!
//! - [`settings`]: settings of an upstream.
//! - [`grants`]: validation of grants and requests.
//! - [`load`]: its load and the load that it reports.
//! - [`admin`]: commands that change it at run time.
//! - [`answer`]: its responses.
//! - [`server`]: its sockets.

pub mod admin;
pub mod answer;
mod core;
pub mod grants;
pub mod load;
pub mod server;
mod service_time;
pub mod settings;

pub use admin::{ADMIN_PATH, AdminCommand, JOURNAL_PATH};
pub use answer::AnswerBody;
pub use server::Upstream;
pub use settings::{ColdStart, LoadReport, ServiceTime, UpstreamSettings};
