//! The measuring program and its report.
//!
//! It drives the real decision code over generated load and prints one JSON line per case; it
//! models no sockets and no cluster. Each run prints its seed, and the same seed gives the same
//! load for all policies.
//!
//! - [`args`]: the commands `measure` and `report`.
//! - [`workload`]: generated load: Zipf keys, a moving hot set, bursts, night and day.
//! - [`policy`]: the planner and the ways that it is weighed against.
//! - [`score`]: imbalance, churn and settling time of one run.
//! - [`placement`]: all policies on the same load.
//! - [`loss`]: spread of the slices of lost upstreams.
//! - [`scaling`]: the planner's time and memory against slices and upstreams.
//! - [`keep_alive`]: rules for closing idle upstream connections.
//! - [`mod@line`]: writing and reading JSON lines.
//! - [`path`]: the cost of the data path, overload and quiet control, with real processes.
//! - [`report`]: one page that compares two sets of lines.

pub mod args;
pub mod keep_alive;
pub mod line;
pub mod loss;
pub mod path;
pub mod placement;
pub mod policy;
pub mod report;
pub mod scaling;
pub mod score;
pub mod workload;

pub use args::{MeasureArgs, ReportArgs, run_measure, run_report};
