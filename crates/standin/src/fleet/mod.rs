//! Simulation of the users' platform, following its published protocol: the metadata store, and
//! servers that accept grants of key ranges with fencing tokens.
//!
//! - [`deploy`]: settings and configuration of a process.
//! - [`store`]: the store and its faults; [`copies`]: its returns from copies of itself.
//! - [`keys`]: keys that a server holds.
//! - [`cold`]: limits of a server that is warming up.
//! - [`endless`]: answers that never end.
//! - [`calls`]: other answers to control calls.
//! - [`twice`]: answers that are sent twice.
//! - [`target`]: a server, its faults, and the journal of the requests that it ran; `answers` holds
//!   its responses.

mod answers;
pub mod calls;
pub mod cold;
pub mod copies;
pub mod deploy;
pub mod endless;
pub mod keys;
pub mod store;
pub mod target;
pub mod twice;

pub use calls::CallAnswers;
pub use cold::ColdSettings;
pub use copies::{LostRows, StoreCopy};
pub use endless::EndlessAnswer;
pub use store::{FleetStore, StoreMode};
pub use target::{Arrival, ExecutedRequest, FleetTarget, Journal, TargetFault, TargetSettings};
pub use twice::RepeatedAnswer;
