//! Framed connections between hosts.
//!
//! - [`client`]: hands calls to the dispatch duty of another host.
//! - [`server`]: takes calls of other hosts.
//!
//! Requests and cancellations go one way, replies the other. A request counts as handed over once
//! its whole frame was written: less than a frame is never read as a request.

pub mod client;
pub(crate) mod link;
pub mod server;

pub use client::{PeerCall, Peers};
