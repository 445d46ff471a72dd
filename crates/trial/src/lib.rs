//! Trials: run real processes under load and faults, and check the upstreams' journals.
//!
//! - [`cluster`]: starts the processes and injects the faults.
//! - [`scenario`]: the steps of each trial, their times and the load.
//! - [`mod@run`]: runs a scenario and checks the outcome.
//! - [`report`]: the report that a run prints, as one line of JSON.
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
