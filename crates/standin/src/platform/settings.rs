//! Settings of the stand-in platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ids::OperatorId;
use indexmap::IndexMap;
use platform::Token;
use platform::memory::PageLimits;
use serde::{Deserialize, Serialize};

/// Limits on calls per second; calls beyond them are refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateLimits {
    /// Reads per second; `None` for no limit.
    pub reads_per_s: Option<u32>,
    /// Writes per second; `None` for no limit.
    pub writes_per_s: Option<u32>,
}

/// Settings of a [`StandinPlatform`](super::StandinPlatform).
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address for test commands.
    pub admin_address: SocketAddr,
    /// Tokens of hosts.
    pub host_tokens: Vec<Token>,
    /// Tokens of operators.
    pub operators: IndexMap<OperatorId, Token>,
    /// Operators who are treated as owners of every entry.
    pub admins: Vec<OperatorId>,
    /// Lag with which the list of hosts shows changes, in milliseconds.
    pub lag_ms: u64,
    /// Limits on calls per second.
    pub rates: RateLimits,
    /// Maximum number of rows in one page of changes.
    pub page_rows: usize,
    /// Size of keys and values, in bytes, after which a page of changes ends.
    pub page_bytes: usize,
    /// Maximum number of transactions in the audit log.
    pub audit_entries: usize,
}

impl PlatformSettings {
    /// Returns the lag of the list of hosts.
    #[must_use]
    pub const fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms)
    }

    /// Returns the limits on a page of changes.
    #[must_use]
    pub const fn page_limits(&self) -> PageLimits {
        PageLimits {
            rows: self.page_rows,
            bytes: self.page_bytes,
        }
    }
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let page = PageLimits::default();
        Self {
            admin_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            host_tokens: Vec::new(),
            operators: IndexMap::new(),
            admins: Vec::new(),
            lag_ms: 0,
            rates: RateLimits::default(),
            page_rows: page.rows,
            page_bytes: page.bytes,
            audit_entries: 100_000,
        }
    }
}
