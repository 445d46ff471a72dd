//! Which upstream owns which keys, where upstreams take fenced grants of key ranges.
//!
//! A row for each part of an entry's keys, in the platform's store, says which upstream owns each range and under which
//! fence, who owned it before, and which host grants. docs/OWNERSHIP.md gives the protocol and the
//! argument for its safety. Nothing here does I/O or reads a clock.
//!
//! - [`range`]: ranges of keys, and fences.
//! - [`row`]: the row of an entry; `packed` is its form in the store.
//! - [`part`]: parts of an entry's keys, each with a row and a granting host.
//! - [`owners`]: look-ups of a key's owner, for the path of requests.
//! - [`settings`]: times and bounds.
//! - [`loads`]: how busy each key is.
//! - [`plan`]: which ranges should move; `balance` evens out loads, `levels` says how loaded upstreams
//!   are.
//! - [`clock`]: the store's clock.
//! - [`evidence`]: how long a host may act on what it last read.
//! - [`succession`]: when a host takes the granting over from another.
//! - [`order`]: what a keeper wants done, and how it ends.
//! - [`keeper`]: grants, renews, releases and moves the ranges of one entry; `live` is what it knows of
//!   the grants of a piece.

mod balance;
pub mod clock;
pub mod evidence;
pub mod keeper;
mod levels;
mod live;
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
