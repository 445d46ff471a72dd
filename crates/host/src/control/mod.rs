//! The control thread: membership, ownership and placement.
//!
//! - [`thread`]: the thread's loop, which connects the state machines.
//! - [`input`]: inputs of the thread.
//! - `input_handlers`: handlers of the inputs.
//! - `membership_actions`, `ownership_actions`: carry out the actions of the state machines.
//! - `planning`: plans placement and sends loads to other hosts.
//! - [`placement`]: state of the planner.
//! - [`connections`]: control connections with other hosts.
//! - [`counterparts`]: the hosts that coordinate upstreams together with this one.
//! - [`peers`]: conversions between descriptions of hosts.
//! - [`table`]: calls to the platform.
//! - [`upstream_clients`]: grants and health requests to upstreams.
//! - [`routing`]: catalogue and ownership, and the routing snapshot compiled from them.
//! - [`dispatch_updates`]: messages to the dispatch thread.

mod connections;
mod counterparts;
mod dispatch_updates;
pub(crate) mod input;
mod input_handlers;
mod membership_actions;
mod ownership_actions;
mod peers;
mod placement;
mod planning;
mod routing;
mod table;
pub(crate) mod thread;
mod upstream_clients;
