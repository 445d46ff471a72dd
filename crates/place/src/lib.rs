//! Placement: which upstream should own which slice.
//!
//! Each coordinating host measures the load of the slices that it dispatches, receives short load
//! summaries of the other upstreams, and proposes moves only for the slices of its own upstreams.
//! The crate does no I/O and reads no clock; the same inputs give the same proposals.
//!
//! - [`decay`]: exponentially decayed sums that need no periodic update.
//! - [`sketch`]: a bounded sketch of the keys with the most work.
//! - [`loads`]: observed, summarised and reported loads of slices and upstreams.
//! - [`reports`]: how much the load that an upstream reports counts.
//! - [`plan`]: the planner and the moves that it proposes.
//! - [`orphans`]: distribution of unassigned slices over the upstreams.
//! - [`initial`]: the initial placement of an entry's slices.
//!
//! The unit of load is the busy slot: seconds of work per second.

pub mod decay;
pub mod initial;
pub mod loads;
pub mod orphans;
pub mod plan;
pub mod reports;
pub mod sketch;

pub use decay::Decay;
pub use initial::{even_split, rendezvous_bounded};
pub use loads::{
    Knowledge, LoadSummary, Loads, LoadsSettings, Sample, UpstreamKey, UpstreamState, UpstreamView,
    ramp_share,
};
pub use orphans::{Candidate, Orphan, Placed, spread_orphans};
pub use plan::{PlanContext, PlanInput, Planner, PlannerSettings, Wish};
pub use reports::Reports;
pub use sketch::{HotKey, Sketch, SketchSettings};
