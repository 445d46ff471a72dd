//! Framed connections between hosts.
//!
//! - [`client`]: sends calls to the dispatch thread of another host.
//! - [`server`]: receives calls of other hosts.
//!
//! Requests and cancellations go one way, replies the other. A request counts as sent once its
//! whole frame was written: an incomplete frame is never read as a request.

//!
//! A server that closes sends a reply to the call number [`GO_AWAY`], which no call has. The client
//! then makes no more calls on the connection and closes it once it has all replies, so that after
//! a planned stop the outcome of each call is known.

pub mod client;
pub(crate) mod link;
pub mod server;

/// Call number of the reply by which a server announces that it closes.
pub const GO_AWAY: u64 = 0;

pub use client::{PeerCall, Peers};
