//! The duty of the coordinating host: it owns the dispatcher and the connections to upstreams.
//!
//! - [`ring`]: what the duty is told, and what it tells.
//! - [`duty`]: the thread that feeds the dispatcher and carries out its actions.
//! - `pool`: upstreams, their connections and leases.
//! - `exchange`: one call's exchange with its upstream.
//! - `abort`: gives an exchange up.
//! - `work`: calls and answers that the duty holds.

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
