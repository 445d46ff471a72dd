//! Measures upstreams that misreport their health or have fewer slots than they declare.

use serde::Serialize;

use crate::overload::round;
use crate::world::{Config, Keys, Phase, Reports, Simulation};

/// Results of one case.
#[derive(Debug, Serialize)]
struct Line {
    case: &'static str,
    reports: Reports,
    true_slots: u32,
    load: f64,
    /// Start of the phase, in seconds since the upstreams were added.
    from_s: u64,
    goodput_per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
    shed_by_upstream: u64,
    refused_percent: f64,
}

/// Runs all cases.
pub fn run() {
    let all = [
        Reports::None,
        Reports::AlwaysHealthy,
        Reports::NeverHealthy,
        Reports::Inverted,
    ];
    for reports in all {
        for (true_slots, load) in [(4, 0.5), (4, 0.95), (2, 0.8)] {
            one(reports, true_slots, load);
        }
    }
}

fn one(reports: Reports, true_slots: u32, load: f64) {
    let cfg = Config {
        hosts: 4,
        upstreams: 4,
        keys: Keys::None,
        reports,
        true_slots,
        phases: vec![Phase { secs: 5, load }, Phase { secs: 30, load }],
        ..Config::default()
    };
    let stats = Simulation::run(cfg);
    for (from_s, phase_stats) in [0, 5].into_iter().zip(&stats) {
        let line = Line {
            case: "reports",
            reports,
            true_slots,
            load,
            from_s,
            goodput_per_s: round(phase_stats.good as f64 / phase_stats.secs as f64),
            p50_ms: round(phase_stats.ms(0.5)),
            p99_ms: round(phase_stats.ms(0.99)),
            shed_by_upstream: phase_stats.shed,
            refused_percent: round(
                100.0 * phase_stats.refusals() as f64 / phase_stats.requests as f64,
            ),
        };
        let line = serde_json::to_string(&line).expect("a line is plain data");
        println!("{line}");
    }
}
