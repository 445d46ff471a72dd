//! Replicates the platform table's rows to every host, and tracks which hosts are alive.
//!
//! - [`prefix`]: the two replicated prefixes of the table, and the revisions to which a replica is
//!   complete.
//! - [`replica`]: the versioned copy of the rows below both prefixes.
//! - [`membership`]: the state machine of one host. It decides which hosts to exchange heartbeats
//!   with, which hosts to relay rows to, and when to read the table. It takes `(now, event)` and
//!   returns actions, which the host carries out.
//!
//! docs/SPREADING.md describes the alternatives and their cost.

pub mod membership;
pub mod prefix;
pub mod replica;

pub use membership::{
    Action, ChangeSummary, Event, HostIdentity, HostView, Membership, MembershipSettings, ReadLease,
};
pub use prefix::{Prefix, Watermarks};
pub use replica::{
    IncomingTransfer, OutgoingTransfer, PageOutcome, Replica, ReplicaFault, RowChange, SliceDiff,
};
