//! Interfaces that an adapter to a platform implements.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use assign::{GrantCall, GrantCallOutcome, PartitionId, StoreClock};
use direct::{Configuration, LoadReport, Registration, UpstreamStatus};
use gate::upstream::conn::AnswerHead;
use http::{HeaderMap, HeaderName};
use ids::{DomainId, Reason, Timestamp};
use platform::Watch;
use smol_str::SmolStr;

pub use crate::peer_exchange::{PeerCall, PeerCallError, PeerCalls};

/// Table of the platform in which operators keep the configuration.
pub const CONFIGURATION: &str = "configuration";
/// Table of the platform in which upstreams register.
pub const UPSTREAMS: &str = "upstreams";
/// Table in which the hosts keep their shared state.
pub const SHARED: &str = "shared";

/// What the headers of a caller's request specify.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The request's identifier; empty if it has none.
    pub id: SmolStr,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The request's key, for entries that are divided by key.
    pub key: Option<u16>,
}

/// Class of an upstream's response, which decides what follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The answer to the request.
    Answer,
    /// The upstream did not run the request and never will.
    NotRun,
    /// The upstream does not hold the request's key or is another incarnation; it did not run the
    /// request.
    Misdirected,
    /// Another server has the upstream's address now and did not run the request: the upstream no
    /// longer exists.
    Replaced,
    /// The response belongs to another request or is incomplete; the request may have run.
    Mismatch,
}

/// The head of an upstream's response, classified.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassifiedResponse {
    /// The class.
    pub class: ResponseClass,
    /// The status that the upstream reports.
    pub upstream_status: UpstreamStatus,
    /// The load that the upstream reports.
    pub load: Option<LoadReport>,
    /// How long the upstream keeps an idle connection open, if it states that.
    pub keep_alive: Option<Duration>,
}

/// Reads and writes the HTTP headers of callers and upstreams.
pub trait HeaderFormat: fmt::Debug + Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header is invalid.
    fn read_caller_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, Reason>;

    /// Writes headers that name the server that a request is meant for and the time left for its
    /// answer.
    fn write_target(&self, headers: &mut HeaderMap, server: &str, left: Duration);

    /// Returns the header of a request that bears its identifier, which the response repeats.
    fn request_id_header(&self) -> &HeaderName;

    /// Classifies the head of the response to the request `id`, which was sent to `server`.
    fn classify(&self, head: &AnswerHead, id: &str, server: &str) -> ClassifiedResponse;

    /// Returns the path at which the load balancer checks whether the host is ready.
    fn ready_path(&self) -> &'static str;
}

/// Destination of a grant call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Name under which the upstream's server registered.
    pub server: SmolStr,
    /// How to keep grants from another incarnation of the server.
    pub incarnation_check: IncarnationCheck,
}

/// Result of a grant call.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantCallResponse {
    /// How the call ended.
    pub outcome: GrantCallOutcome,
    /// The status that the upstream reports in its response.
    pub upstream_status: UpstreamStatus,
}

impl From<GrantCallOutcome> for GrantCallResponse {
    fn from(outcome: GrantCallOutcome) -> Self {
        Self {
            outcome,
            upstream_status: UpstreamStatus::default(),
        }
    }
}

/// How a grant call reaches its upstream.
#[derive(Debug, Clone)]
pub enum GrantPath {
    /// Over this host's own connections.
    Direct,
    /// Through another host, as this host has lost its link to the upstream.
    ThroughPeer(PeerCalls),
}

/// How grants for one incarnation of a server are kept from another at the same address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IncarnationCheck {
    /// Each incarnation has a name of its own and refuses calls for others.
    ByName,
    /// All incarnations have the same name. Keys of this partition are granted under one fencing
    /// token only over connections that lead to one process.
    ByConnection(PartitionId),
}

/// A row that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("decode {row}: {cause}")]
pub struct DecodeError {
    /// The row.
    pub row: SmolStr,
    /// Why it could not be decoded.
    pub cause: SmolStr,
}

/// The platform's store, and calls to upstreams for control.
pub trait Platform: Watch + Clone {
    /// Decodes a row of [`CONFIGURATION`]; returns none if it holds no configuration.
    ///
    /// # Errors
    ///
    /// Fails if the row is not a valid configuration.
    fn configuration(&self, key: &str, value: &[u8]) -> Result<Option<Configuration>, DecodeError>;

    /// Returns the failure domain that is drained for as long as [`CONFIGURATION`] has a row with
    /// this key; none if the row is of another kind.
    fn drained_domain(&self, key: &str) -> Option<DomainId>;

    /// Decodes a row of [`UPSTREAMS`] that was read at `now`.
    ///
    /// # Errors
    ///
    /// Fails if the row is not a valid registration.
    fn registration(
        &self,
        key: &str,
        value: &[u8],
        now: Timestamp,
    ) -> Result<Registration, DecodeError>;

    /// Returns the latest reading of the store's clock, if the store has a clock and has answered.
    fn store_clock(&self) -> Option<StoreClock>;

    /// Grants keys to an upstream or releases them.
    ///
    /// Keys must not be granted to two processes under one fencing token.
    fn send_grant_call(
        &self,
        to: Destination,
        call: GrantCall,
        path: GrantPath,
    ) -> impl Future<Output = GrantCallResponse> + 'static;
}
