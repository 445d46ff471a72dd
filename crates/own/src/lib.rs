//! Ownership: which upstream owns a slice, and which host may grant slices and send requests.
//!
//! [`OwnershipMachine`] implements the ownership protocol of one host. It handles `(now, event)`
//! and pushes actions; it does no I/O and reads no clock. docs/OWNERSHIP.md describes the protocol
//! and argues its safety.
//!
//! - [`settings`]: times and limits, and the constraints between them.
//! - [`host`]: identity and addresses of one incarnation of a host.
//! - [`row`]: contents of the table's ownership rows.
//! - [`event`]: events that a machine handles.
//! - [`action`]: actions that a machine asks its caller to carry out.
//! - [`machine`]: the state machine.
//! - [`mod@verify`]: checks a whole snapshot against the invariants.

mod claim;
mod commits;
mod coordination;
mod coordinator;
mod evidence;
mod grant;
mod handover;
mod liveness;
mod messages;
mod moves;
mod previous_hosts;
mod reach;
mod renew;
mod replica;
mod row_maintenance;
mod transactions;
mod transfer;
mod view;

pub mod action;
pub mod event;
pub mod host;
pub mod machine;
pub mod row;
pub mod settings;
pub mod verify;

pub use action::{Action, Lease, StopReason};
pub use event::{CommitOutcome, Event};
pub use host::HostRef;
pub use machine::OwnershipMachine;
pub use row::{
    AssignedSlice, CarvedKey, EntryRow, IncomingSlice, OwnershipRow, OwnershipRowChange, RowError,
    WriteId,
};
pub use settings::{OwnershipSettings, SettingsError};
pub use verify::{Snapshot, Violation, verify};
