//! A server that plays the platform: table service, object store and list of hosts.
//!
//! It speaks the protocol of [`platform::protocol`] and takes commands for tests, such as
//! faults, on an address of its own. `docs/PLATFORM.md` describes both.
//!
//! - [`settings`]: addresses, tokens and limits.
//! - [`server`]: [`StandinPlatform`], which listens, and closes connections on command.
//! - [`access`]: who may write what.
//! - [`faults`]: what goes wrong with calls.
//! - [`hosts`]: the list of hosts and its lag.
//! - [`rate`]: how many calls a second are served.
//! - [`counters`]: what was served since the start.
//! - [`audit`]: who wrote which rows.
//! - [`store`]: all state, and calls applied to it.
//!
//! `service` and `admin` turn HTTP requests into calls on the store.

pub mod access;
mod admin;
pub mod audit;
pub mod counters;
pub mod faults;
pub mod hosts;
pub mod rate;
pub mod server;
mod service;
pub mod settings;
pub mod store;

pub use access::{Refused, Role};
pub use audit::AuditEntry;
pub use counters::Counters;
pub use faults::{Faults, LoseConfirmations, Mode};
pub(crate) use server::Started;
pub use server::{StandinPlatform, run};
pub use settings::{PlatformSettings, Rates};
