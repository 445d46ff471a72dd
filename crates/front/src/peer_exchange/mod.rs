//! Requests to upstreams that go through another host.
//!
//! A host that does not reach an upstream sends the request to one that does, which sends it on at
//! most once and returns the response. All decisions stay with the first host: the choice of the
//! upstream, the permit, the deadline and retries. A connection carries one request at a time, so that
//! closing it cancels the request.
//!
//! A grant must not leave long after it was decided on. The host that sends one for another measures the
//! time since its own last message on the connection, and does not send it after the time that the
//! message allows.
//!
//! - `calls`: control calls through other hosts.
//! - `client`: requests through other hosts.
//! - `server`: requests of other hosts.
//! - `messages`: what they exchange.

pub mod calls;
mod client;
mod messages;
mod server;

pub use calls::{PeerCall, PeerCallError, PeerCalls, PeerCallsRx};
pub use client::PeerClient;
pub(crate) use client::{PeerFailure, PeerProbe};
pub use server::PeerServer;

/// Maximum size of a message: the largest answer, and its head.
const MAX_MESSAGE_BYTES: usize = crate::upstream_client::MAX_ANSWER_BYTES + (64 << 10);
