//! Passes rows of the store on from host to host.
//!
//! The hosts form a tree with the strongest ones of each domain at its root, and one host of all
//! reads the store. A host that received rows before names the revisions up to which it is complete
//! and receives what is newer. A host whose parent is unresponsive, or can't read the store, looks
//! for another parent and reads the store itself only if it finds none.

mod messages;
mod receive;
mod serve;

use std::time::Duration;

pub use messages::{ClockEcho, RelayedRow, RelayedRows, RelayedTable, ReplicaVersion};
pub use receive::receive;
pub use serve::serve;

/// Time without a message after which a relay target reads the store itself: two messages and their
/// transmission. What the store has accepted must be known within two seconds.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for sending one of the first messages: half a megabyte takes that long over a link of 10
/// Mbit/s that several relay targets share.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before the next search for a parent.
const PAUSE: Duration = Duration::from_millis(700);
