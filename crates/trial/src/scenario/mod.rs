//! Scenarios: steps, their times, the load and the expected outcome.
//!
//! - [`step`]: steps and their actions.
//! - [`picks`]: the hosts, upstreams and domain to which the steps apply.
//! - [`list`]: all scenarios.
//! - [`act`]: executes a step.
//! - [`changes`]: changes of the catalogue, and the time until they are in force.

pub mod act;
pub mod changes;
pub mod list;
pub mod picks;
pub mod step;

use serde::Serialize;
use smol_str::SmolStr;

pub use list::all;
pub use picks::{HostRole, Picks, UpstreamRole};
pub use step::{Action, Step};

/// One phase of a trial's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Factor applied to the layout's usual rate.
    pub rate: f64,
    /// Duration in milliseconds; absent if the phase lasts until the end of the tail.
    pub duration_ms: Option<u64>,
}

/// Requirements besides the judge's rules, and aims.
///
/// A requirement that doesn't hold is a violation; a missed aim is only reported.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Expectations {
    /// Requirement: no request is cut.
    pub no_cut: bool,
    /// Aim: no request is refused.
    pub no_refusal: bool,
    /// Aim: no key changes owner.
    pub no_churn: bool,
    /// Aim: longest unavailability of a key, in milliseconds.
    pub unavailable_ms: Option<f64>,
}

/// A trial.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name; the command line and the reports use it, so it must not change.
    pub name: SmolStr,
    /// Description that `--list` prints.
    pub description: &'static str,
    /// Steps in the order of their times.
    pub steps: Vec<Step>,
    /// Phases of the load, in order.
    pub phases: Vec<Phase>,
    /// Time between the last step and the end of the load, in milliseconds.
    pub tail_ms: u64,
    /// Whether each upstream is reached through a fault proxy.
    pub upstream_proxies: bool,
    /// Service time of requests, in milliseconds; the stand-ins' default if absent.
    pub service_ms: Option<f64>,
    /// Requirements and aims.
    pub expect: Expectations,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: SmolStr::default(),
            description: "",
            steps: Vec::new(),
            phases: vec![Phase {
                rate: 1.0,
                duration_ms: None,
            }],
            tail_ms: 6_000,
            upstream_proxies: false,
            service_ms: None,
            expect: Expectations::default(),
        }
    }
}
