//! Measures one upstream under half, full and double load, and afterwards, for each queue order.

use route::{DispatcherSettings, QueueOrder, QueueSettings};
use serde::Serialize;

use crate::world::{Config, Phase, PhaseStats, Simulation};

/// Results of one phase of one case.
#[derive(Debug, Serialize)]
struct Line {
    case: &'static str,
    order: String,
    queue: u32,
    target_services: f64,
    refuse_early: bool,
    #[serde(rename = "returns")]
    caller_retries: u32,
    #[serde(rename = "heeds_cancel")]
    honors_cancel: bool,
    load: f64,
    goodput_per_s: f64,
    /// Goodput relative to the highest goodput of any load up to the capacity of all slots.
    of_peak: f64,
    p50_ms: f64,
    p99_ms: f64,
    wasted_per_s: f64,
    /// Time from the phase's start to the start of its last request that was not answered.
    last_refused_s: f64,
    refused: serde_json::Value,
}

const LOADS: [f64; 5] = [0.5, 0.9, 1.0, 2.0, 0.5];

/// Parameters of a case.
#[derive(Debug, Clone, Copy)]
struct Case {
    order: QueueOrder,
    queue: u32,
    target_services: f64,
    refuse_early: bool,
    caller_retries: u32,
    honors_cancel: bool,
}

impl Case {
    fn of(order: QueueOrder) -> Self {
        Self {
            order,
            queue: 64,
            target_services: QueueSettings::default().target_services,
            refuse_early: true,
            caller_retries: 0,
            honors_cancel: true,
        }
    }
}

/// Runs all cases.
pub fn run() {
    for queue in [64, 1_000] {
        for order in QueueOrder::ALL {
            for refuse_early in [false, true] {
                one(Case {
                    queue,
                    refuse_early,
                    ..Case::of(order)
                });
            }
        }
    }
    for order in [QueueOrder::Controlled, QueueOrder::ControlledLifo] {
        for target_services in [1.5, 3.0, 6.0, 12.0] {
            one(Case {
                target_services,
                ..Case::of(order)
            });
        }
    }
    for order in QueueOrder::ALL {
        for honors_cancel in [true, false] {
            one(Case {
                caller_retries: 3,
                honors_cancel,
                ..Case::of(order)
            });
        }
    }
}

fn one(case: Case) {
    let phase = |&load: &f64| Phase { secs: 20, load };
    let cfg = Config {
        queue: case.queue,
        caller_retries: case.caller_retries,
        honors_cancel: case.honors_cancel,
        dispatcher: DispatcherSettings {
            queue: QueueSettings {
                order: case.order,
                refuse_early: case.refuse_early,
                target_services: case.target_services,
                ..QueueSettings::default()
            },
            ..DispatcherSettings::default()
        },
        phases: LOADS.iter().map(phase).collect(),
        ..Config::default()
    };
    let stats = Simulation::run(cfg);
    let rate = |t: &PhaseStats| t.good as f64 / t.secs as f64;
    let peak = stats[..3].iter().map(rate).fold(0.0, f64::max);
    for (load, phase_stats) in LOADS.iter().zip(&stats) {
        let line = Line {
            case: "overload",
            order: format!("{:?}", case.order),
            queue: case.queue,
            target_services: case.target_services,
            refuse_early: case.refuse_early,
            caller_retries: case.caller_retries,
            honors_cancel: case.honors_cancel,
            load: *load,
            goodput_per_s: rate(phase_stats),
            of_peak: round(rate(phase_stats) / peak),
            p50_ms: round(phase_stats.ms(0.5)),
            p99_ms: round(phase_stats.ms(0.99)),
            wasted_per_s: round(phase_stats.wasted as f64 / phase_stats.secs as f64),
            last_refused_s: round(phase_stats.last_bad_us as f64 / 1e6),
            refused: serde_json::json!(phase_stats.refused),
        };
        let line = serde_json::to_string(&line).expect("a line is plain data");
        println!("{line}");
    }
}

/// Rounds to three decimal places.
pub fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
