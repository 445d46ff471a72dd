//! Messages between the system's own processes, and their framing.
//!
//! - [`frame`]: a length-delimited codec for any message of this crate.
//! - [`dispatch`]: requests handed from an entry host to the coordinating host.
//! - [`control`]: heartbeats and the spreading of table rows.
//! - [`own`]: ownership messages between hosts, and what ownership rows hold.
//! - [`grant`]: grants to upstreams, and their health, as JSON over HTTP.
//! - [`traffic`]: counting the bytes of connections.
//!
//! Messages between own processes use `prost` by derive, so that the build needs no generator.

pub mod control;
pub mod dispatch;
pub mod frame;
pub mod grant;
pub mod own;
pub mod traffic;

pub use frame::{FrameCodec, FrameError, MAX_FRAME_BYTES};
pub use traffic::{Counted, Traffic, TrafficSnapshot};
