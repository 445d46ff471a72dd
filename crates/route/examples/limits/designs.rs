//! Direct sending with a share of the slots against one dispatching host for each upstream.

use serde::Serialize;

use crate::overload::round;
use crate::world::{Beyond, Config, Design, Keys, Phase, World};

/// One case.
#[derive(Debug, Serialize)]
struct Line {
    case: &'static str,
    design: Design,
    beyond: Beyond,
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
    for between_us in [500, 1_500] {
        for keys in [Keys::None, Keys::Uniform, Keys::Zipf] {
            for load in [0.5, 0.8, 0.95] {
                one(Design::Direct, Beyond::Shed, keys, between_us, load);
                one(Design::Direct, Beyond::Wait, keys, between_us, load);
                one(Design::Dispatcher, Beyond::Shed, keys, between_us, load);
            }
        }
    }
}

fn one(design: Design, beyond: Beyond, keys: Keys, between_us: u64, load: f64) {
    let cfg = Config {
        hosts: 11,
        upstreams: 10,
        domains: 3,
        between_us,
        design,
        beyond,
        keys,
        deadlines_ms: &[1_000],
        phases: vec![Phase { secs: 30, load }],
        ..Config::default()
    };
    let tallies = World::run(cfg);
    let tally = &tallies[0];
    let line = Line {
        case: "designs",
        design,
        beyond,
        keys,
        between_ms: between_us as f64 / 1_000.0,
        load,
        requests: tally.requests,
        p50_ms: round(tally.ms(0.5)),
        p99_ms: round(tally.ms(0.99)),
        refused_percent: round(100.0 * tally.refusals() as f64 / tally.requests as f64),
        shed_by_upstream: tally.shed,
        retries: tally.retries,
        max_over_mean: round(tally.max_over_mean()),
        variation: round(tally.variation()),
    };
    println!(
        "{}",
        serde_json::to_string(&line).expect("a line is plain data")
    );
}
