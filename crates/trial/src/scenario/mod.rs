//! What happens when, under which load.
//!
//! - [`step`]: what can happen.
//! - [`picks`]: to whom it happens.
//! - [`list`]: all scenarios.
//! - [`act`]: carries a step out.
//! - [`changes`]: changes of the catalogue, and when they are in force.

pub mod act;
pub mod changes;
pub mod list;
pub mod picks;
pub mod step;

use serde::Serialize;
use smol_str::SmolStr;

pub use list::all;
pub use picks::{HostPick, Picks, UpstreamPick};
pub use step::{Action, Step};

/// A part of a trial's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Factor on the layout's usual rate.
    pub rate: f64,
    /// Length; absent if it lasts until the last step and the tail are over, in milliseconds.
    pub ms: Option<u64>,
}

/// What must hold besides the judge's rules, and what is aimed at.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Expect {
    /// No request may be cut.
    pub no_cut: bool,
    /// No request should be refused.
    pub no_refusal: bool,
    /// No key should change its owner.
    pub no_churn: bool,
    /// Longest time for which a key should be unavailable, in milliseconds.
    pub unavailable_ms: Option<f64>,
}

/// A trial.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name; it stays.
    pub name: SmolStr,
    /// What it shows.
    pub about: &'static str,
    /// What happens when.
    pub steps: Vec<Step>,
    /// The load, part by part.
    pub phases: Vec<Phase>,
    /// Time between the last step and the end of the load, in milliseconds.
    pub tail_ms: u64,
    /// Whether fault proxies stand in front of the upstreams.
    pub upstream_proxies: bool,
    /// Time for which requests run, in milliseconds; the stand-ins' own if absent.
    pub service_ms: Option<f64>,
    /// What must hold and what is aimed at.
    pub expect: Expect,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: SmolStr::default(),
            about: "",
            steps: Vec::new(),
            phases: vec![Phase {
                rate: 1.0,
                ms: None,
            }],
            tail_ms: 6_000,
            upstream_proxies: false,
            service_ms: None,
            expect: Expect::default(),
        }
    }
}
