//! The planner and the ways that it is weighed against.
//!
//! - [`ownership`]: who owns what, with a count of all changes.
//! - [`planned`]: the planner of the crate `place`, on one or more coordinating hosts.
//! - [`baseline`]: plain hashing, rendezvous hashing with bounded loads, greedy moves, and an
//!   optimisation over a window.

pub mod baseline;
pub mod ownership;
pub mod planned;

use std::fmt;

use ids::Timestamp;

use crate::workload::Request;

pub use ownership::Ownership;

/// A way of placing slices on upstreams.
pub trait Policy: fmt::Debug {
    /// Returns the name for results.
    fn name(&self) -> &str;

    /// Returns the upstream that serves `req`, and takes note of its work.
    fn serve(&mut self, now: Timestamp, req: &Request) -> usize;

    /// Plans and carries out changes of ownership, once a second.
    fn tick(&mut self, now: Timestamp);

    /// Returns who owns what.
    fn ownership(&self) -> &Ownership;

    /// Returns who owns what, to take its changes.
    fn ownership_mut(&mut self) -> &mut Ownership;
}
