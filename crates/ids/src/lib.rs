//! Names, numbers, times and outcomes that all crates share.
//!
//! - [`name`]: checked text names (host, domain, upstream, entry, ...).
//! - [`number`]: counters that only rise (epoch, revision, version, incarnation).
//! - [`mod@slice`]: how a key maps to a slice of its entry.
//! - [`clock`]: a clock that counts suspension, and its timestamps.
//! - [`outcome`]: the three outcomes of a request and the reasons for them.
//! - [`arena`]: small `Copy` keys into dense maps.
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
pub use number::{Epoch, Incarnation, Revision, Version};
pub use outcome::{Outcome, Reason};
pub use slice::{KeyHash, SliceNo};
