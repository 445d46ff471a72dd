//! The control duty: membership, ownership and placement, on a thread of its own.
//!
//! - [`input`]: what the duty is told.
//! - [`duty`]: the thread's loop, and how the machines are joined.
//! - `take`: takes the inputs.
//! - [`member`], [`ownership`], [`planning`]: carry out what the machines want done.
//! - [`links`]: control connections with other hosts.
//! - [`pairs`]: the hosts that coordinate upstreams together with this one.
//! - [`peers`]: other hosts, as the parts name them.
//! - [`placement`]: what moves for the sake of load.
//! - [`table`]: calls to the platform.
//! - [`upstreams`]: grants and health requests.
//! - [`routes`]: catalogue and ownership, compiled for the path of requests.
//! - [`leases`]: what the dispatch duty is told.

pub(crate) mod duty;
pub(crate) mod input;
mod leases;
mod links;
mod member;
mod ownership;
mod pairs;
mod peers;
mod placement;
mod planning;
mod routes;
mod table;
mod take;
mod upstreams;
