//! Messages between hosts and to upstreams, and their framing.
//!
//! - [`frame`]: a length-delimited codec for the protobuf messages of this crate.
//! - [`dispatch`]: requests forwarded by an entry host to the coordinating host.
//! - [`control`]: heartbeats and the relaying of table rows.
//! - [`own`]: ownership messages between hosts, and the content of ownership rows.
//! - [`grant`]: grants to upstreams and the health of upstreams, as JSON over HTTP.
//! - [`traffic`]: counts of the bytes sent and received on connections.
//!
//! Messages between hosts derive `prost::Message`, so the build needs no code generator.

pub mod control;
pub mod dispatch;
pub mod frame;
pub mod grant;
pub mod own;
pub mod traffic;

pub use frame::{FrameCodec, FrameError, MAX_FRAME_BYTES};
pub use traffic::{Counted, Traffic, TrafficSnapshot};
