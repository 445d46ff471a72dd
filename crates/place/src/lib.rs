//! Placement: which upstream should own which slice.
//!
//! Each coordinating host measures the load of the slices that it dispatches, receives short load
//! summaries of the other upstreams, and proposes moves only for the slices of its own upstreams.
//! The crate does no I/O and reads no clock; the same inputs give the same proposals.
//!
//! - [`decay`]: exponentially decayed sums that need no periodic update.
//! - [`sketch`]: a bounded sketch of the keys with the most work.
//! - [`loads`]: observed, summarised and reported loads of slices and upstreams.
//! - [`reports`]: the weight of the load that an upstream reports of itself.
//! - [`plan`]: the planner and the moves that it proposes.
//! - [`unassigned`]: distribution of unassigned slices over the upstreams.
//! - [`initial`]: the initial placement of an entry's slices.
//!
//! The unit of load is the busy slot: seconds of work per second.

pub mod decay;
pub mod initial;
pub mod loads;
pub mod plan;
pub mod reports;
pub mod sketch;
pub mod unassigned;

pub use decay::Decay;
pub use initial::{even_split, rendezvous_bounded};
pub use loads::{
    LoadConfidence, LoadSummary, Loads, LoadsSettings, Sample, UpstreamKey, UpstreamState,
    UpstreamView, warm_up_fraction,
};
pub use plan::{PlanContext, PlanInput, Planner, PlannerSettings, ProposedMove};
pub use reports::ReportStats;
pub use sketch::{HotKey, Sketch, SketchSettings};
pub use unassigned::{Candidate, Placement, UnassignedSlice, place_unassigned};
