//! Ownership: which upstream owns a slice, and which host may grant and send.
//!
//! [`Machine`] is one host's part. It takes `(now, event)` and pushes actions; it does no I/O and
//! reads no clock. docs/OWNERSHIP.md gives the protocol and the argument for its safety.
//!
//! - [`settings`]: times and bounds, and what must hold between them.
//! - [`host`]: one run of a host, and where to reach it.
//! - [`row`]: what the table's ownership rows hold.
//! - [`event`]: what a machine is told.
//! - [`action`]: what a machine wants done.
//! - [`machine`]: the machine itself.
//! - [`mod@verify`]: checks a whole snapshot against the invariants.

mod claim;
mod commits;
mod evidence;
mod handover;
mod held;
mod inherit;
mod keep;
mod link;
mod moves;
mod peers;
mod renew;
mod replica;
mod roster;
mod transfer;
mod view;

pub mod action;
pub mod event;
pub mod host;
pub mod machine;
pub mod row;
pub mod settings;
pub mod verify;

pub use action::{Action, Lease, Stop};
pub use event::{CommitOutcome, Event};
pub use host::HostRef;
pub use machine::Machine;
pub use row::{Assigned, Carved, EntryRow, Incoming, OwnChange, OwnRow, RowError, Writer};
pub use settings::{OwnSettings, SettingsError};
pub use verify::{Snapshot, Violation, verify};
