//! Helpers for the tests that run trials.

use std::ops::Deref;
use std::path::PathBuf;
use std::thread::panicking;

use ids::Reason;
use tokio::sync::Semaphore;
use trial::cluster::layout::Layout;
use trial::report::{RunReport, Violation};
use trial::run::RunSettings;

/// Limits the trials that run concurrently, as each starts more than a dozen processes.
static RUNNING_TRIALS: Semaphore = Semaphore::const_new(3);

/// Runs a trial in the small layout, at a rate that a busy machine sustains, and prints its report
/// as a line of JSON.
pub fn trial(name: &str) -> Trial {
    trial_in(Layout::small(), name)
}

/// Runs a trial like [`trial`], in another layout.
pub fn trial_in(layout: Layout, name: &str) -> Trial {
    let scenario = trial::all().into_iter().find(|s| s.name == name);
    let scenario = scenario.unwrap_or_else(|| panic!("no trial {name}"));
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_medlardyke"));
    let cfg = RunSettings {
        rate: rate_of(name),
        keep: true,
        warm_up_ms: 1_000,
        ..RunSettings::new(binary, layout)
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime starts");
    let report = runtime.block_on(async {
        let _permit = RUNNING_TRIALS.acquire().await.expect("never closed");
        trial::run(&scenario, &cfg).await
    });
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
