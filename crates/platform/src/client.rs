//! The platform over HTTP/1.1.
//!
//! - [`settings`]: address, credentials and times.
//! - [`http_platform`]: [`HttpPlatform`], which speaks the [protocol](crate::protocol).
//!
//! - [`exchange`]: makes calls and tells apart what is known of their effect; adapters to other
//!   protocols build on it.
//!
//! Below them, `pool` keeps connections and `pages` joins pages of changes.

pub mod exchange;
pub mod http_platform;
mod pages;
mod pool;
pub mod settings;

pub use exchange::{Answer, Call, Exchange, Kind};
pub use http_platform::HttpPlatform;
pub use settings::{HttpSettings, InvalidToken, Token};
