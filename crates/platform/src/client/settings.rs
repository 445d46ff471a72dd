//! Address, credentials and timeouts.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;
use thiserror::Error;

/// An error for a text that can't be sent as a bearer token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a token has visible ASCII characters only")]
pub struct InvalidToken;

/// A bearer token; its text is never printed.
///
/// The default token is empty and is not sent.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize)]
#[serde(try_from = "SmolStr")]
pub struct Token(SmolStr);

impl Token {
    /// Validates `text` and creates the token.
    ///
    /// # Errors
    ///
    /// Fails if `text` contains anything but visible ASCII characters.
    pub fn new(text: impl Into<SmolStr>) -> Result<Self, InvalidToken> {
        let text = text.into();
        if text.bytes().all(|b| b.is_ascii_graphic()) {
            return Ok(Self(text));
        }
        Err(InvalidToken)
    }

    /// Returns the text, which must not be logged.
    #[must_use]
    pub fn secret(&self) -> &str {
        &self.0
    }
}

impl TryFrom<SmolStr> for Token {
    type Error = InvalidToken;

    fn try_from(text: SmolStr) -> Result<Self, InvalidToken> {
        Self::new(text)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Settings of an [`HttpPlatform`](super::HttpPlatform).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpSettings {
    /// The platform's address.
    pub address: SocketAddr,
    /// Credentials.
    pub token: Token,
    /// Timeout of a call, from connecting to receiving the whole answer.
    pub timeout: Duration,
    /// Maximum idle time of a connection that a read reuses; the platform must keep idle
    /// connections open for longer.
    pub read_idle: Duration,
    /// Maximum idle time of a connection that a write reuses. A write on a connection that the
    /// platform has just closed may end as unconfirmed, whereas a failure to open a connection
    /// certainly has no effect.
    pub write_idle: Duration,
    /// Maximum number of idle connections kept open.
    pub kept: usize,
    /// Maximum size of an answer in bytes.
    pub answer_bytes: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            token: Token::default(),
            timeout: Duration::from_secs(1),
            read_idle: Duration::from_secs(10),
            write_idle: Duration::from_millis(500),
            kept: 4,
            answer_bytes: 64 << 20,
        }
    }
}
