//! Framed connections between hosts.
//!
//! - [`client`]: hands calls to the dispatch duty of another host.
//! - [`server`]: takes calls of other hosts.
//!
//! Requests and cancellations go one way, replies the other. A request counts as handed over once
//! its whole frame was written: less than a frame is never read as a request.

//!
//! A server that closes sends a reply to the call numbered [`GO_AWAY`], which is never made. The
//! other side then makes no more calls on the connection and closes it once it has all replies;
//! so a planned stop leaves no call in doubt.

pub mod client;
pub(crate) mod link;
pub mod server;

/// Number of the reply by which a server says that it closes.
pub const GO_AWAY: u64 = 0;

pub use client::{PeerCall, Peers};
