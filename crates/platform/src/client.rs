//! The platform over HTTP/1.1.
//!
//! - [`settings`]: address, credentials and times.
//! - [`http_platform`]: [`HttpPlatform`], which speaks the [protocol](crate::protocol).
//!
//! Below them, `pool` keeps connections, `exchange` makes calls and tells apart what is known
//! of their effect, and `pages` joins pages of changes.

mod exchange;
pub mod http_platform;
mod pages;
mod pool;
pub mod settings;

pub use http_platform::HttpPlatform;
pub use settings::{HttpSettings, InvalidToken, Token};
