//! Dispatch on the coordinating host: owns the dispatcher and the connections to upstreams.
//!
//! - [`ring`]: the channels to and from the dispatch thread.
//! - [`duty`]: the thread that passes events to the dispatcher and executes its actions.
//! - `pool`: upstreams, their connections and leases.
//! - `exchange`: the exchange of one call with its upstream.
//! - `abort`: cancellation of an exchange.
//! - `work`: calls and answers held by the dispatch thread.

mod abort;
pub mod duty;
mod exchange;
mod pool;
pub mod ring;
mod work;

pub use duty::{DispatchDuty, DutyError};
pub use ring::{
    CallTicket, DispatchChannels, DispatchTx, LoadSample, Notice, ToDispatch, UpstreamTarget,
};
