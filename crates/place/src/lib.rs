//! Placement: which upstream should own which slice.
//!
//! Each coordinating host observes the work of the slices that it dispatches, hears of the other
//! upstreams' loads by short summaries, and plans moves for the slices of its own upstreams only.
//! Nothing here does I/O or reads a clock; the same inputs give the same wishes.
//!
//! - [`decay`]: exponentially decayed sums that need no work while nothing happens.
//! - [`sketch`]: a bounded sketch of the keys with the most work.
//! - [`loads`]: work of slices and upstreams, observed, summarised and reported.
//! - [`reports`]: how far the load that an upstream reports is believed.
//! - [`plan`]: the planner and its wishes.
//! - [`orphans`]: the slices of a lost upstream, spread over the others.
//! - [`initial`]: the first placement of an entry's slices.
//!
//! Loads are counted in busy slots: seconds of work per second.

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
