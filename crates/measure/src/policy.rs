//! Placement policies: the planner and the baselines that it is compared with.
//!
//! - [`ownership`]: the owners of slices and hot keys, and counts of their changes.
//! - [`planner`]: the planner of the crate `place`, running on one or more coordinating hosts.
//! - [`baseline`]: plain hashing, rendezvous hashing with bounded loads, greedy moves, and an
//!   optimisation over recent load.

pub mod baseline;
pub mod ownership;
pub mod planner;

use std::fmt;

use ids::Timestamp;

use crate::workload::Request;

pub use ownership::Ownership;

/// A policy that places slices on upstreams.
pub trait Policy: fmt::Debug {
    /// Returns the policy's name in results.
    fn name(&self) -> &str;

    /// Records the work of `req` and returns the upstream that serves it.
    fn serve(&mut self, now: Timestamp, req: &Request) -> usize;

    /// Plans and carries out changes of ownership, once a second.
    fn tick(&mut self, now: Timestamp);

    /// Returns the owners of slices and hot keys.
    fn ownership(&self) -> &Ownership;

    /// Returns the owners for mutation, so that the caller can take the recorded changes.
    fn ownership_mut(&mut self) -> &mut Ownership;
}
