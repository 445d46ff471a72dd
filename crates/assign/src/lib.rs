//! Ownership of keys by upstreams that accept fenced grants of key ranges.
//!
//! For each partition of an entry's keys, a row in the platform's store names the owner of each
//! range, the fencing token of the range, its previous owners, and the granting host.
//! docs/OWNERSHIP.md gives the protocol and the argument for its safety. This crate does no I/O and
//! reads no clock.
//!
//! - [`range`]: key ranges and fencing tokens.
//! - [`row`]: the row of a partition; `packed` is its form in the store.
//! - [`partition`]: partitions of an entry's keys, each with a row and a granting host.
//! - [`owners`]: look-up of a key's owner on the request path.
//! - [`settings`]: timeouts and limits.
//! - [`loads`]: request rates of keys.
//! - [`plan`]: which ranges should move; `balance` evens out load, `utilization` computes the load
//!   of upstreams.
//! - [`clock`]: the store's clock.
//! - [`read_lease`]: how long a host may act on its last read of the store.
//! - [`takeover`]: when a host takes over as the granting host.
//! - [`grant_call`]: calls and commits that the lease manager requests, and their outcomes.
//! - [`lease_manager`]: grants, renews, releases and moves the ranges of one partition;
//!   `grant_state` holds the state of each range's grants.
//! - [`process`]: which process at an upstream's address may have been granted keys.
//! - [`unserved`]: keys that no upstream serves at present.

mod balance;
pub mod clock;
pub mod grant_call;
mod grant_state;
pub mod lease_manager;
pub mod loads;
pub mod owners;
mod packed;
pub mod partition;
pub mod plan;
pub mod process;
pub mod range;
pub mod read_lease;
pub mod row;
pub mod settings;
pub mod takeover;
pub mod unserved;
mod utilization;

pub use clock::StoreClock;
pub use grant_call::{Action, CallKind, CommitOutcome, GrantCall, GrantCallOutcome, LeaseContext};
pub use lease_manager::PartitionLeaseManager;
pub use loads::KeyLoads;
pub use owners::{EntryOwners, PartitionOwners};
pub use partition::{Partition, PartitionId};
pub use plan::{PlannedUpstream, Planner};
pub use process::{GrantedProcesses, Opening};
pub use range::{FencingToken, KeyRange};
pub use read_lease::ReadLease;
pub use row::{HostIncarnation, OwnedRange, PartitionRow, PreviousGranter, Recovery, RowError};
pub use settings::AssignSettings;
pub use takeover::{
    DecisionContext, GranterStatus, TakeoverMonitor, TakeoverReason, TakeoverSettings,
};
pub use unserved::{MovingRanges, UnservedKeys};
