//! Replica of the table's rows on each host, heartbeats, and how both spread.
//!
//! - [`prefix`]: the two prefixes of the table that spread, and how far a replica is complete.
//! - [`replica`]: the versioned copy of the rows below both prefixes.
//! - [`membership`]: the state machine of one host: whom it hears, whom it feeds, when it reads the
//!   table. It takes `(now, event)` and gives actions; the host carries them out.
//!
//! What was weighed, and what it costs, is in docs/SPREADING.md.

pub mod membership;
pub mod prefix;
pub mod replica;

pub use membership::{Action, Changed, Config, Event, Evidence, HostView, Me, Member};
pub use prefix::{Prefix, Watermarks};
pub use replica::{Fault, Intake, Pager, Replica, RowChange, SliceDiff, Taken};
