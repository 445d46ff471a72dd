//! The planner and its wishes.
//!
//! - [`settings`]: settings of the planner.
//! - [`wish`]: the changes of ownership that it asks for.
//! - [`planner`]: when an upstream sheds slices, and which.
//!
//! A plan looks at every upstream once and at the slices of those local upstreams that have to
//! shed some; quiet slices cost nothing.

pub mod planner;
pub mod settings;
pub mod wish;

mod balance;
mod budget;
mod cost;
mod watch;

pub use balance::PlanContext;
pub use planner::{PlanInput, Planner};
pub use settings::PlannerSettings;
pub use wish::Wish;
