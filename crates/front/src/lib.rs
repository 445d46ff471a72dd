//! An entry host that sends requests to upstreams itself.
//!
//! - [`settings`]: settings from the JSON file.
//! - [`ports`]: traits that an adapter to a platform implements.
//! - [`view`]: state that the control thread publishes for the request thread.
//! - [`rate_limit_message`]: rate limits of upstreams in datagrams between hosts.
//! - [`memory`]: memory budget for request and answer bodies.
//! - [`links`]: which links to upstreams this host has lost.
//! - [`observation`]: observations of upstreams that the request thread reports to control.
//! - [`request_log`]: log lines about single requests.
//! - [`run`](mod@run): starts and stops the threads.
//!
//! There are two threads: the request thread ([`serve`], [`forward`], [`connections`], [`permits`],
//! [`peer_exchange`], `reach`)
//! and the control thread ([`control`]). The control thread publishes a [`view::View`]; the request
//! thread reports samples of requests over a bounded channel.

pub mod connections;
pub mod control;
pub mod crashes;
pub mod forward;
mod framed_conn;
pub mod links;
pub mod log;
pub mod memory;
pub mod observation;
pub mod peer_exchange;
pub mod permits;
pub mod ports;
pub mod rate_limit_message;
mod reach;
pub mod request_log;
mod request_thread;
pub mod run;
pub mod serve;
pub mod settings;
mod upstream_client;
pub mod view;

pub use ports::{CallerHeaders, ClassifiedResponse, HeaderFormat, Platform, ResponseClass};
pub use run::run;
pub use settings::Settings;
