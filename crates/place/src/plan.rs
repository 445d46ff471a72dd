//! The planner and the moves that it proposes.
//!
//! - [`settings`]: settings of the planner.
//! - [`proposal`]: the changes of ownership that it proposes.
//! - [`planner`]: decides when slices are moved off an upstream, and which.
//!
//! A plan examines every upstream once, and the slices of only those local upstreams that have to
//! give some away; the other slices cost no time.

pub mod planner;
pub mod proposal;
pub mod settings;

mod balance;
mod budget;
mod cost;
mod tracking;

pub use balance::PlanContext;
pub use planner::{PlanInput, Planner};
pub use proposal::ProposedMove;
pub use settings::PlannerSettings;
