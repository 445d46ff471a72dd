//! The control duty: follows the store, and grants keys if it is this host's turn.
//!
//! - [`samples`]: the ring of samples from the callers' duty.
//! - [`state`]: what the duty knows, and the view that it publishes.
//! - [`copies`]: copies of the store's tables.
//! - [`take`](mod@take): takes what was read of the tables.
//! - [`freshness`]: until when what is known of the store is fresh.
//! - [`follow`]: reads the tables of the store as they change.
//! - [`announce`]: writes this host's own row.
//! - [`relay`]: passes what was read on to other hosts; [`tree`]: to whom.
//! - [`registry`]: what it makes of the upstreams' registrations.
//! - [`beat`]: heartbeats between hosts; [`messages`]: what they say.
//! - [`crashes`]: finds requests under which upstreams end.
//! - [`limits`]: how many requests a second upstreams say they take.
//! - [`quarantine`]: the requests that are sent to no upstream for now, and the store's row of them.
//! - [`sightings`]: what requests brought to light of upstreams.
//! - [`keys`]: drives the keepers of entries that are divided by key; `turns` says whose turn it is to grant, `takers`
//!   which upstreams may own keys.

pub mod announce;
pub mod beat;
pub mod copies;
pub mod crashes;
pub mod follow;
pub mod freshness;
pub mod keys;
pub mod limits;
pub mod messages;
pub mod quarantine;
pub mod registry;
pub mod relay;
pub mod samples;
pub mod sightings;
pub mod state;
pub mod take;
mod takers;
pub mod tree;
mod turns;

pub use state::{Control, Ctl};
