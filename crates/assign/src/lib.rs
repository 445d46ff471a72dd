//! Ownership of keys by upstreams that accept fenced grants of key ranges.
//!
//! For each partition of an entry's keys, a row in the platform's store names the owner of each
//! range, the fencing token of the range, its previous owners, and the granting host.
//! docs/OWNERSHIP.md gives the protocol and the argument for its safety. This crate does no I/O and
//! reads no clock.
//!
//! - [`range`]: key ranges and fencing tokens.
//! - [`row`]: the row of a partition; `packed` is its form in the store.
//! - [`part`]: partitions of an entry's keys, each with a row and a granting host.
//! - [`owners`]: look-up of a key's owner on the request path.
//! - [`settings`]: timeouts and limits.
//! - [`loads`]: request rates of keys.
//! - [`plan`]: which ranges should move; `balance` evens out load, `utilization` computes the load
//!   of upstreams.
//! - [`clock`]: the store's clock.
//! - [`evidence`]: how long a host may act on its last read of the store.
//! - [`succession`]: when a host takes over as the granting host.
//! - [`order`]: calls and commits that the lease manager requests, and their outcomes.
//! - [`keeper`]: grants, renews, releases and moves the ranges of one partition; `grant_state`
//!   holds the state of each range's grants.
//! - [`unserved`]: keys that no upstream serves at present.

mod balance;
pub mod clock;
pub mod evidence;
mod grant_state;
pub mod keeper;
pub mod loads;
pub mod order;
pub mod owners;
mod packed;
pub mod part;
pub mod plan;
pub mod range;
pub mod row;
pub mod settings;
pub mod succession;
pub mod unserved;
mod utilization;

pub use clock::StoreClock;
pub use evidence::Evidence;
pub use keeper::Keeper;
pub use loads::KeyLoads;
pub use order::{Action, CallEnd, CallKind, CommitEnd, OrderCall, Standing};
pub use owners::{EntryOwners, Owners};
pub use part::{Part, PartId};
pub use plan::{Planner, UpstreamView};
pub use range::{Fence, KeyRange};
pub use row::{Earlier, EntryRow, Piece, RowError, Run};
pub use settings::AssignSettings;
pub use succession::{Succession, SuccessionSettings, TakeOver, Word};
pub use unserved::{Moving, Unserved};
