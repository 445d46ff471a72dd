//! A server that simulates the platform: table service, object store and list of hosts.
//!
//! It implements the protocol of [`platform::protocol`] and accepts test commands, such as
//! faults to inject, on a separate address. `docs/PLATFORM.md` describes both.
//!
//! - [`settings`]: addresses, tokens and limits.
//! - [`server`]: [`StandinPlatform`], the listener, which can close connections on command.
//! - [`access`]: write permissions of hosts and operators.
//! - [`faults`]: faults injected into calls.
//! - [`hosts`]: the list of hosts, which shows changes after a lag.
//! - [`rate_limit`]: limit on calls per second.
//! - [`counters`]: counts of calls since the start.
//! - [`audit`]: log of committed transactions and their authors.
//! - [`store`]: the state, and the calls that read or change it.
//!
//! `service` and `admin` translate HTTP requests into calls on the store.

pub mod access;
mod admin;
pub mod audit;
pub mod counters;
pub mod faults;
pub mod hosts;
pub mod rate_limit;
pub mod server;
mod service;
pub mod settings;
pub mod store;

pub use access::{AccessDenied, Role};
pub use audit::AuditEntry;
pub use counters::Counters;
pub use faults::{Faults, LoseConfirmations, Mode};
pub(crate) use server::Addresses;
pub use server::{StandinPlatform, run};
pub use settings::{PlatformSettings, RateLimits};
