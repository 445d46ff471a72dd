//! Dispatch on the coordinating host: owns the dispatcher and the connections to upstreams.
//!
//! - [`channels`]: the channels to and from the dispatch thread.
//! - [`thread`]: start and end of the dispatch thread; `event_loop`: passes events to the dispatcher
//!   and executes its actions.
//! - `pool`: upstreams, their connections and leases.
//! - `exchange`: the exchange of one call with its upstream.
//! - `abort`: cancellation of an exchange.
//! - `calls`: calls and answers held by the dispatch thread.

mod abort;
mod calls;
pub mod channels;
mod event_loop;
mod exchange;
mod pool;
pub mod thread;

pub use channels::{
    DispatchChannels, DispatchCommand, DispatchEvent, DispatchTx, LoadSample, PendingCall,
    UpstreamTarget,
};
pub use thread::{DispatchThread, DispatchThreadError};
