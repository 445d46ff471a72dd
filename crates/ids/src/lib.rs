//! Names, numbers, timestamps and outcomes shared by all crates.
//!
//! - [`name`]: validated text names (host, domain, upstream, entry, ...).
//! - [`number`]: numbers that only increase (epoch, revision, version, incarnation).
//! - [`mod@slice`]: the mapping from keys to the slices of an entry.
//! - [`clock`]: a monotonic clock that includes time spent suspended, and its timestamps.
//! - [`outcome`]: the three outcomes of a request and the reasons for them.
//! - [`arena`]: dense maps with small `Copy` keys.
//! - [`header`]: names of HTTP headers that callers, hosts and upstreams exchange.

pub mod arena;
pub mod clock;
pub mod header;
pub mod name;
pub mod number;
pub mod outcome;
pub mod slice;

pub use arena::{Arena, ArenaKey};
pub use clock::{BootClock, Clock, ManualClock, Timestamp};
pub use name::{
    ChangeId, DomainId, EntryId, HostId, InvalidName, OperatorId, RegionId, RequestId, UpstreamId,
};
pub use number::{Epoch, Incarnation, Revision, StoreEra, Version};
pub use outcome::{Outcome, Reason};
pub use slice::{KeyHash, SliceNo};
