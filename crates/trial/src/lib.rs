//! Trials: real processes of the program under load and faults, judged by the upstreams' journals.
//!
//! - [`cluster`]: starts the processes and makes the faults.
//! - [`scenario`]: what happens when, under which load.
//! - [`mod@run`]: runs a scenario and judges it.
//! - [`report`]: the line that a run prints.
//! - [`args`]: the command line.

pub mod args;
pub mod cluster;
pub mod report;
pub mod run;
pub mod scenario;

pub use args::Args;
pub use cluster::{Cluster, ClusterSettings};
pub use report::RunReport;
pub use run::run;
pub use scenario::{Scenario, all};
