//! Benchmarks of placement and of the data path, and the report that compares their results.
//!
//! Except for [`path`] and [`bound`], the benchmarks run the production decision code on generated
//! load, without sockets or a cluster. They print one JSON line per case. Each line holds the seed, and the same
//! seed gives the same load for all policies.
//!
//! - [`args`]: the commands `measure` and `report`.
//! - [`workload`]: generated load: Zipf-distributed keys, a changing hot set, bursts, daily cycle.
//! - [`policy`]: the planner and the baselines that it is compared with.
//! - [`score`]: imbalance, churn and settling time of one policy.
//! - [`placement`]: runs all policies on the same load.
//! - [`loss`]: reassignment of the slices of lost upstreams.
//! - [`scaling`]: the planner's time and memory by number of slices and upstreams.
//! - [`keep_alive`]: rules for closing idle upstream connections.
//! - [`json_lines`]: writing and reading JSON lines.
//! - [`bound`]: distance of a run from what an ideal queue answers.
//! - [`path`]: latency, overload and the control cost of idle hosts, with real processes.
//! - [`report`]: an HTML page that compares sets of JSON lines.

pub mod args;
pub mod bound;
pub mod json_lines;
pub mod keep_alive;
pub mod loss;
pub mod path;
pub mod placement;
pub mod policy;
pub mod report;
pub mod scaling;
pub mod score;
pub mod workload;

pub use args::{MeasureArgs, ReportArgs, run_measure, run_report};
