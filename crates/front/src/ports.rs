//! What an adapter to a platform provides.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use assign::{GrantCall, GrantCallOutcome, StoreClock};
use direct::{Configuration, LoadReport, Registration, UpstreamStatus};
use gate::upstream::conn::AnswerHead;
use http::HeaderMap;
use ids::{DomainId, Reason, Timestamp};
use platform::Watch;
use smol_str::SmolStr;

/// Table of the platform in which operators keep the configuration.
pub const CONFIGURATION: &str = "configuration";
/// Table of the platform in which upstreams register.
pub const UPSTREAMS: &str = "upstreams";
/// Table in which the hosts keep what they share.
pub const SHARED: &str = "shared";

/// What a caller's request says beside its HTTP parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
    /// Names the request; empty if it has no name.
    pub id: SmolStr,
    /// How long the caller waits.
    pub wait: Option<Duration>,
    /// The key, for entries that are divided by key.
    pub key: Option<u16>,
}

/// What an upstream's answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer to the request.
    Answer,
    /// The upstream did not run the request and never will.
    NotRun,
    /// The upstream does not hold the request's key, or is another run; it did not run it.
    Misdirected,
    /// Another server has the address now, and did not run the request: the one that was meant is gone.
    Replaced,
    /// It belongs to another request, or is no whole answer; the request may have run.
    Foreign,
}

/// An upstream's answer, judged by its head.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judged {
    /// What it means.
    pub verdict: Verdict,
    /// What the upstream says of itself.
    pub said: UpstreamStatus,
    /// The load that the upstream reports.
    pub load: Option<LoadReport>,
    /// How long the upstream keeps the connection at rest, if it says so.
    pub keep_alive: Option<Duration>,
}

/// How callers and upstreams put things into HTTP headers.
pub trait Dialect: fmt::Debug + Send + Sync + 'static {
    /// Reads what a caller's request says.
    ///
    /// # Errors
    ///
    /// Fails if a header makes no sense.
    fn asked(&self, headers: &HeaderMap) -> Result<Asked, Reason>;

    /// Writes to which server a request goes, and how long its answer is waited for.
    fn address(&self, headers: &mut HeaderMap, server: &str, left: Duration);

    /// Judges the head of the answer to the request `id`, which went to `server`.
    fn judge(&self, head: &AnswerHead, id: &str, server: &str) -> Judged;

    /// Returns the path by which the balancer asks whether the host is ready.
    fn ready_path(&self) -> &'static str;
}

/// Where an order goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// The name under which its server registered.
    pub server: SmolStr,
    /// How the run that is meant is told from others of its server.
    pub run: RunCheck,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq)]
pub struct Ordered {
    /// How the call ended.
    pub end: GrantCallOutcome,
    /// What the upstream says of itself in its answer.
    pub said: UpstreamStatus,
}

impl From<GrantCallOutcome> for Ordered {
    fn from(end: GrantCallOutcome) -> Self {
        Self {
            end,
            said: UpstreamStatus::default(),
        }
    }
}

/// How one run of a server is told from another at the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunCheck {
    /// Each run has a name of its own, and others refuse what is not meant for them; or nothing can
    /// be known, as the store is away.
    ByName,
    /// All runs have the same name; the registrations as of this moment showed the run that is
    /// meant. Only a connection that was open well before then surely leads to it.
    SeenAt(Timestamp),
}

/// A row that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("decode {row}: {cause}")]
pub struct DecodeError {
    /// The row.
    pub row: SmolStr,
    /// What is wrong with it.
    pub cause: SmolStr,
}

/// The platform's store, and the upstreams' calls for control.
pub trait Platform: Watch + Clone {
    /// Decodes a row of [`CONFIGURATION`]; none if it is no configuration.
    ///
    /// # Errors
    ///
    /// Fails if the row is not a valid configuration.
    fn configuration(&self, key: &str, value: &[u8]) -> Result<Option<Configuration>, DecodeError>;

    /// Returns the failure domain that is drained for as long as [`CONFIGURATION`] has a row with this key;
    /// none if the row says something else.
    fn drained_domain(&self, key: &str) -> Option<DomainId>;

    /// Decodes a row of [`UPSTREAMS`] that was read at `now`.
    ///
    /// # Errors
    ///
    /// Fails if the row is not a valid registration.
    fn registered(
        &self,
        key: &str,
        value: &[u8],
        now: Timestamp,
    ) -> Result<Registration, DecodeError>;

    /// Returns the newest reading of the store's clock, if it has one and has answered.
    fn store_clock(&self) -> Option<StoreClock>;

    /// Tells an upstream which keys it may run requests on, or must stop.
    ///
    /// A grant must reach no other run of the server than the one that is meant, which would hold
    /// keys under a fence that was not made for it.
    fn order(&self, to: Destination, call: GrantCall) -> impl Future<Output = Ordered> + 'static;
}
