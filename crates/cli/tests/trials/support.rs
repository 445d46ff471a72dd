//! Helpers for the tests that run trials.

use std::ops::{Deref, RangeInclusive};
use std::path::PathBuf;
use std::thread::panicking;

use futures::future::join_all;
use ids::Reason;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;
use trial::cluster::layout::Layout;
use trial::report::{RunReport, Violation};
use trial::run::RunSettings;

/// Number of trials that usually run concurrently, as each starts more than a dozen processes.
const MAX_TRIALS: usize = 3;

static RUNNING_TRIALS: Semaphore = Semaphore::const_new(MAX_TRIALS);

/// Runs a trial in the small layout, at a rate that a busy machine sustains, and prints its report
/// as a line of JSON.
pub fn trial(name: &str) -> Trial {
    trial_in(Layout::small(), name)
}

/// Runs a trial like [`trial`], in another layout.
pub fn trial_in(layout: Layout, name: &str) -> Trial {
    let cfg = RunSettings {
        rate: rate_of(name),
        ..settings(layout)
    };
    runtime().block_on(async {
        let _permit = RUNNING_TRIALS.acquire().await.expect("never closed");
        play(name, &cfg).await
    })
}

/// Runs a trial in the small layout once for each seed, all at once and at the usual rate, while no
/// other trial runs.
pub fn trials_at_once(name: &str, seeds: RangeInclusive<u64>) -> Vec<Trial> {
    runtime().block_on(async {
        let all = RUNNING_TRIALS.acquire_many(MAX_TRIALS as u32);
        let _permits = all.await.expect("never closed");
        let plays = seeds.map(|seed| async move {
            let cfg = RunSettings {
                seed,
                ..settings(Layout::small())
            };
            play(name, &cfg).await
        });
        join_all(plays).await
    })
}

fn settings(layout: Layout) -> RunSettings {
    RunSettings {
        keep: true,
        warm_up_ms: 1_000,
        ..RunSettings::new(PathBuf::from(env!("CARGO_BIN_EXE_medlardyke")), layout)
    }
}

fn runtime() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(4).enable_all().build();
    runtime.expect("a runtime starts")
}

async fn play(name: &str, cfg: &RunSettings) -> Trial {
    let scenario = trial::all().into_iter().find(|s| s.name == name);
    let scenario = scenario.unwrap_or_else(|| panic!("no trial {name}"));
    let report = trial::run(&scenario, cfg).await;
    let report = report.unwrap_or_else(|e| panic!("{name}: {e:#}"));
    println!("{}", serde_json::to_string(&report).expect("plain data"));
    Trial(report)
}

/// The report of a trial; its directory with logs and journals is kept if the test fails.
pub struct Trial(RunReport);

impl Deref for Trial {
    type Target = RunReport;

    fn deref(&self) -> &RunReport {
        &self.0
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Some(dir) = &self.0.kept else { return };
        if panicking() {
            eprintln!("logs are in {dir}");
        } else if let Err(e) = std::fs::remove_dir_all(dir) {
            eprintln!("delete {dir}: {e}");
        }
    }
}

/// Asserts that there were no violations and that requests were answered.
pub fn assert_clean(report: &RunReport) {
    let none: &[Violation] = &[];
    assert_eq!(report.violations, none, "kept in {:?}", report.kept);
    assert!(report.answered > 0, "no request was answered");
}

/// Asserts that no request was cut.
pub fn assert_uncut(report: &RunReport) {
    assert_eq!(report.cut, 0, "unknown: {:?}", report.unknown);
}

/// Asserts that no key was unserved for longer than `within_ms`.
pub fn assert_served_again(report: &RunReport, within_ms: f64) {
    let longest = report.unavailable.longest_ms;
    assert!(longest <= within_ms, "a key was unserved for {longest} ms");
}

/// Asserts that no request was refused for `reason`.
pub fn assert_none_refused(report: &RunReport, reason: Reason) {
    let refused = report.refused.get(reason.as_str());
    assert_eq!(refused, None, "{reason}: {:?}", report.refused);
}

/// Returns the factor on the usual rate; `mixed-faults` must reach a minimum number of requests.
fn rate_of(name: &str) -> f64 {
    if name == "mixed-faults" { 1.0 } else { 0.5 }
}
