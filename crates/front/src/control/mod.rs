//! The control thread: follows the store, and grants keys where this host is the granting host.
//!
//! - [`samples`]: the ring of samples from the request thread.
//! - [`state`]: the state of the control thread; [`partitions`]: its partitions of sharded entries;
//!   [`shared`]: how its tasks share it; [`publish`]: the view that it publishes.
//! - [`tables`]: the tables of the store and the keys of their rows.
//! - [`replica`]: replicas of the store's tables.
//! - [`apply`](mod@apply): applies what was read of the tables to the state.
//! - [`freshness`]: until when this host's knowledge of the store is fresh.
//! - [`clock_offset`]: readings of another host's clock on this host's clock.
//! - [`era`]: how often the store has returned from an older copy of itself.
//! - [`follow`]: reads the tables of the store as they change.
//! - [`announce`]: writes this host's own row.
//! - [`relay`]: passes rows of the store on from host to host; [`tree`]: from which host to which.
//! - [`registry`]: changes to the registry of upstreams.
//! - [`hosts`]: the hosts that have written their row.
//! - [`heartbeat`]: heartbeats between hosts; [`messages`]: their format; `confirmations`: what they
//!   say about grants by earlier rows.
//! - [`crashes`]: finds requests that crash upstreams.
//! - [`limits`]: rate limits that upstreams announce.
//! - [`quarantined`]: the quarantined requests and their row in the store; [`quarantine`]: adds and
//!   writes them.
//! - [`observations`]: what requests revealed about upstreams.
//! - [`keys`]: drives the lease managers of sharded entries; `takeover` decides when this host
//!   becomes the granting host, `eligible_owners` lists the upstreams that may own keys.

pub mod announce;
pub mod apply;
pub mod clock_offset;
mod confirmations;
pub mod crashes;
mod eligible_owners;
pub mod era;
pub mod follow;
pub mod freshness;
pub mod heartbeat;
pub mod hosts;
pub mod keys;
pub mod limits;
pub mod messages;
pub mod observations;
pub mod partitions;
pub mod publish;
pub mod quarantine;
pub mod quarantined;
pub mod registry;
pub mod relay;
pub mod replica;
pub mod samples;
pub mod shared;
pub mod state;
pub mod tables;
mod takeover;
pub mod tree;

pub use shared::SharedControl;
pub use state::{ControlState, RequestThreadLinks};
