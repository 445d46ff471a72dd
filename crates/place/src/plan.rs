//! The planner and its wishes.

mod cost;
mod planner;

pub use planner::{PlanContext, PlanInput, Planner, PlannerSettings, Wish};
