//! Compares direct sending, where each host has a share of the slots, with one dispatching host per
//! upstream.

use serde::Serialize;

use crate::overload::round;
use crate::world::{Config, Design, Keys, OverflowPolicy, Phase, Simulation};

/// Results of one case.
#[derive(Debug, Serialize)]
struct Line {
    case: &'static str,
    design: Design,
    #[serde(rename = "beyond")]
    overflow: OverflowPolicy,
    keys: Keys,
    between_ms: f64,
    load: f64,
    requests: u64,
    p50_ms: f64,
    p99_ms: f64,
    refused_percent: f64,
    shed_by_upstream: u64,
    retries: u64,
    max_over_mean: f64,
    variation: f64,
}

/// Runs all cases.
pub fn run() {
    for domain_latency_us in [500, 1_500] {
        for keys in [Keys::None, Keys::Uniform, Keys::Zipf] {
            for load in [0.5, 0.8, 0.95] {
                one(
                    Design::Direct,
                    OverflowPolicy::Shed,
                    keys,
                    domain_latency_us,
                    load,
                );
                one(
                    Design::Direct,
                    OverflowPolicy::Wait,
                    keys,
                    domain_latency_us,
                    load,
                );
                one(
                    Design::Dispatcher,
                    OverflowPolicy::Shed,
                    keys,
                    domain_latency_us,
                    load,
                );
            }
        }
    }
}

fn one(design: Design, overflow: OverflowPolicy, keys: Keys, domain_latency_us: u64, load: f64) {
    let cfg = Config {
        hosts: 11,
        upstreams: 10,
        domains: 3,
        domain_latency_us,
        design,
        overflow,
        keys,
        deadlines_ms: &[1_000],
        phases: vec![Phase { secs: 30, load }],
        ..Config::default()
    };
    let stats = Simulation::run(cfg);
    let phase_stats = &stats[0];
    let line = Line {
        case: "designs",
        design,
        overflow,
        keys,
        between_ms: domain_latency_us as f64 / 1_000.0,
        load,
        requests: phase_stats.requests,
        p50_ms: round(phase_stats.ms(0.5)),
        p99_ms: round(phase_stats.ms(0.99)),
        refused_percent: round(100.0 * phase_stats.refusals() as f64 / phase_stats.requests as f64),
        shed_by_upstream: phase_stats.shed,
        retries: phase_stats.retries,
        max_over_mean: round(phase_stats.max_over_mean()),
        variation: round(phase_stats.variation()),
    };
    println!(
        "{}",
        serde_json::to_string(&line).expect("a line is plain data")
    );
}
