//! The platform over HTTP/1.1.
//!
//! - [`settings`]: address, credentials and timeouts.
//! - [`http_platform`]: [`HttpPlatform`], which implements the [protocol](crate::protocol).
//!
//! - [`exchange`]: makes calls and classifies failures by whether the call may have had an effect;
//!   adapters to other protocols build on it.
//!
//! Internally, `pool` keeps idle connections and `pages` merges pages of changes.

pub mod exchange;
pub mod http_platform;
mod pages;
mod pool;
pub mod settings;

pub use exchange::{Answer, Call, Exchange, Kind};
pub use http_platform::HttpPlatform;
pub use settings::{HttpSettings, InvalidToken, Token};
