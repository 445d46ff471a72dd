//! An entry host that sends requests to upstreams itself.
//!
//! - [`settings`]: settings as written in the JSON file.
//! - [`ports`]: what an adapter to a platform provides.
//! - [`view`]: what the control duty tells the callers' duty.
//! - [`limit_told`]: how hosts tell each other of upstreams' limits.
//! - [`memory`]: what bodies may take of the host's memory.
//! - [`story`]: log lines about single requests.
//! - [`run`](mod@run): starts and stops the duties.
//!
//! Duties, a thread each: callers ([`serve`], [`forward`], [`connections`],
//! [`permits`]) and control
//! ([`control`]). Control publishes a [`view::View`]; callers report samples of requests over a
//! bounded ring.

pub mod connections;
pub mod control;
pub mod crashes;
pub mod forward;
pub mod limit_told;
pub mod log;
pub mod memory;
pub mod news;
pub mod permits;
pub mod ports;
pub mod run;
pub mod serve;
pub mod settings;
pub mod story;
pub mod view;

pub use ports::{Asked, Dialect, Judged, Platform, Verdict};
pub use run::run;
pub use settings::Settings;
