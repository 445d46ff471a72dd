//! Runs a scenario and checks the outcome.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use catalogue::Catalogue;
use ids::{BootClock, Clock as _, DomainId, HostId, Timestamp};
use indexmap::IndexMap;
use smol_str::{SmolStr, format_smolstr};
use standin::judge::{Churn, GapSettings, JudgeSettings, judge};
use standin::load::{self, ClientOutcome, LoadResult, LoadSettings, RunningLoad, Summary};
use standin::platform::Counters;
use standin::upstream::settings::ServiceTime;
use standin::{AdminCommand, JournalLine, Record};
use tokio::time::sleep;

use crate::cluster::layout::Layout;
use crate::cluster::{Cluster, ClusterSettings};
use crate::report::{PhaseReport, RunReport, TableLoad, Violation, count_cut};
use crate::scenario::changes::ChangesReport;
use crate::scenario::{Action, Picks, Scenario, act};

/// Upper bound on the duration of a load that ends with the scenario's steps.
const LONGEST_MS: u64 = 600_000;
/// File in the trial's directory with the outcome of each request.
const RECORDS_FILE: &str = "records.jsonl";

/// How to run scenarios.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// Path of the medlardyke binary.
    pub binary: PathBuf,
    /// Hosts, domains, upstreams and entries.
    pub layout: Layout,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Factor applied to the layout's usual rate.
    pub rate: f64,
    /// Minimum duration of the load, in seconds.
    pub seconds: Option<u64>,
    /// Duration of the warm-up load, during which placement settles, in milliseconds.
    pub warm_up_ms: u64,
    /// Latency up to which an answer counts as immediate, in milliseconds.
    pub at_once_ms: u64,
    /// Whether the directory with logs and journals is kept even without violations.
    pub keep: bool,
}

impl RunSettings {
    /// Creates the settings, with defaults for the other fields.
    #[must_use]
    pub const fn new(binary: PathBuf, layout: Layout) -> Self {
        Self {
            binary,
            layout,
            seed: 1,
            rate: 1.0,
            seconds: None,
            warm_up_ms: 5_000,
            at_once_ms: 200,
            keep: false,
        }
    }
}

/// Results of the load and of the steps.
#[derive(Debug)]
struct Outcome {
    runs: Vec<LoadResult>,
    changes: Option<ChangesReport>,
    targets: Vec<HostId>,
    /// Start of the measured load.
    started: Timestamp,
    before: Counters,
    after: Counters,
}

/// Runs a scenario and checks the outcome.
///
/// The directory with the logs is kept if there are violations or the run fails.
///
/// # Errors
///
/// Fails if the processes don't start or a step fails.
pub async fn run(scenario: &Scenario, cfg: &RunSettings) -> anyhow::Result<RunReport> {
    let mut cluster = Cluster::start(ClusterSettings {
        upstream_proxies: scenario.upstream_proxies,
        seed: cfg.seed,
        ..ClusterSettings::new(cfg.binary.clone(), cfg.layout.clone())
    })
    .await?;
    let result = run_on_cluster(&mut cluster, scenario, cfg).await;
    let failed = result.as_ref().map_or(true, |r| !r.violations.is_empty());
    let kept = (failed || cfg.keep).then(|| cluster.keep().display().to_string());
    match result {
        Ok(report) => Ok(RunReport { kept, ..report }),
        Err(e) => Err(e.context(format!("logs are in {}", kept.unwrap_or_default()))),
    }
}

async fn run_on_cluster(
    cluster: &mut Cluster,
    scenario: &Scenario,
    cfg: &RunSettings,
) -> anyhow::Result<RunReport> {
    let picks = Picks::of(cluster).await?;
    if let Some(ms) = scenario.service_ms {
        let command = AdminCommand::ServiceTime(ServiceTime::Fixed { ms });
        for name in cluster.upstreams.names() {
            cluster.upstreams.command(&name, &command).await?;
        }
    }
    let targets = targets(cluster, scenario, &picks);
    warm_up(cluster, cfg, &targets).await?;
    let started = BootClock.now();
    let before = cluster.platform.counters().await?;
    let mut runs = Vec::new();
    let mut changes = None;
    for (i, phase) in scenario.phases.iter().enumerate() {
        let rate = cfg.layout.rate_per_s * cfg.rate * phase.rate;
        let load = LoadSettings {
            duration_ms: phase.duration_ms.unwrap_or(LONGEST_MS),
            ..load_settings(cluster, cfg, &targets, rate, i)?
        };
        let running = load::start(load)?;
        if phase.duration_ms.is_some() {
            runs.push(running.finish().await?);
            continue;
        }
        let (run, step_report) = run_steps(cluster, scenario, cfg, &picks, running).await?;
        runs.push(run);
        changes = step_report;
    }
    let after = cluster.platform.counters().await?;
    let outcome = Outcome {
        runs,
        changes,
        targets,
        started,
        before,
        after,
    };
    build_report(cluster, scenario, cfg, picks, outcome)
}

/// Runs the warm-up load, whose results are discarded.
async fn warm_up(cluster: &Cluster, cfg: &RunSettings, targets: &[HostId]) -> anyhow::Result<()> {
    let rate = cfg.layout.rate_per_s * cfg.rate;
    let load = LoadSettings {
        duration_ms: cfg.warm_up_ms,
        id_prefix: Some(SmolStr::new_static("warm-up")),
        ..load_settings(cluster, cfg, targets, rate, 0)?
    };
    load::run(load).await.map(drop)
}

/// Returns the hosts that receive the load.
///
/// Hosts that a step pauses are left out, as a load balancer in front of the hosts would do.
fn targets(cluster: &Cluster, scenario: &Scenario, picks: &Picks) -> Vec<HostId> {
    let paused: Vec<&HostId> = scenario
        .steps
        .iter()
        .filter_map(|s| match s.action {
            Action::PauseHost(role) => Some(picks.host(role)),
            _ => None,
        })
        .collect();
    let mut targets = cluster.hosts.running();
    targets.retain(|host| !paused.contains(&host));
    targets
}

fn load_settings(
    cluster: &Cluster,
    cfg: &RunSettings,
    targets: &[HostId],
    rate_per_s: f64,
    phase: usize,
) -> anyhow::Result<LoadSettings> {
    let addresses: anyhow::Result<Vec<SocketAddr>> = targets
        .iter()
        .map(|h| cluster.hosts.caller_address(h))
        .collect();
    Ok(LoadSettings {
        targets: addresses?,
        rate_per_s,
        entries: cfg.layout.loads.clone(),
        keys: cfg.layout.keys,
        seed: cfg.seed.wrapping_add(phase as u64),
        id_prefix: Some(format_smolstr!("t{phase}")),
        ..LoadSettings::default()
    })
}

/// Executes all steps under load and stops the load after the scenario's tail.
async fn run_steps(
    cluster: &mut Cluster,
    scenario: &Scenario,
    cfg: &RunSettings,
    picks: &Picks,
    running: RunningLoad,
) -> anyhow::Result<(LoadResult, Option<ChangesReport>)> {
    let started = Instant::now();
    let mut changes = None;
    for step in &scenario.steps {
        sleep_until(started, Duration::from_millis(step.at_ms)).await;
        if let Some(report) = act::execute(cluster, picks, &step.action).await? {
            changes = Some(report);
        }
    }
    sleep(Duration::from_millis(scenario.tail_ms)).await;
    sleep_until(started, Duration::from_secs(cfg.seconds.unwrap_or(0))).await;
    Ok((running.stop().await?, changes))
}

async fn sleep_until(started: Instant, at: Duration) {
    sleep(at.saturating_sub(started.elapsed())).await;
}

fn build_report(
    cluster: &mut Cluster,
    scenario: &Scenario,
    cfg: &RunSettings,
    picks: Picks,
    outcome: Outcome,
) -> anyhow::Result<RunReport> {
    let phases = outcome.runs.iter().map(phase_report).collect();
    let duration_ms: u64 = outcome.runs.iter().map(|r| r.summary.duration_ms).sum();
    let records: Vec<Record> = outcome.runs.into_iter().flat_map(|r| r.records).collect();
    let summary = Summary::of(&records, duration_ms, LoadSettings::default().deadline_ms);
    write_records(&cluster.dir().join(RECORDS_FILE), &records)?;
    let judge_settings = JudgeSettings {
        gaps: GapSettings {
            at_once_ms: cfg.at_once_ms,
            slices: None,
        },
        ..JudgeSettings::default()
    };
    let journals = cluster.upstreams.journals()?;
    let verdict = judge(&records, &journals, judge_settings);
    let churn = churn_since(outcome.started, journals);
    let same_domain =
        same_domain_requests(&records, &outcome.targets, &cfg.layout, &cluster.catalogue);
    let faults = verdict.faults.into_iter();
    let mut violations: Vec<Violation> = faults.map(|fault| Violation::Judged { fault }).collect();
    let exited = cluster.hosts.exited().into_iter();
    violations.extend(exited.map(|host| Violation::HostEnded { host }));
    let mut report = RunReport {
        scenario: scenario.name.clone(),
        layout: cfg.layout.name.clone(),
        seed: cfg.seed,
        hosts: cfg.layout.initial_hosts().len() as u64,
        upstreams: cluster.catalogue.upstreams.len() as u64,
        seconds: duration_ms as f64 / 1_000.0,
        sent: summary.sent,
        answered: summary.answered,
        cut: count_cut(&summary),
        refused: summary.not_run,
        unknown: summary.unknown,
        answers: summary.answers,
        phases: if scenario.phases.len() > 1 {
            phases
        } else {
            Vec::new()
        },
        at_once_ms: cfg.at_once_ms,
        unavailable: verdict.unavailable,
        unavailable_at_home: judge(&same_domain, &[], judge_settings).unavailable,
        churn,
        violations,
        missed: Vec::new(),
        table: table_load(&outcome.before, &outcome.after, duration_ms),
        changes: outcome.changes,
        usage: cluster.hosts.usage(),
        picks,
        kept: None,
    };
    report.check_expectations(scenario.expect);
    Ok(report)
}

fn phase_report(run: &LoadResult) -> PhaseReport {
    let summary = &run.summary;
    PhaseReport {
        sent_per_s: summary.sent as f64 * 1_000.0 / summary.duration_ms.max(1) as f64,
        goodput_per_s: summary.goodput_per_s,
        answers: summary.answers,
        refusals: summary.refusals,
    }
}

fn table_load(before: &Counters, after: &Counters, duration_ms: u64) -> TableLoad {
    let seconds = duration_ms.max(1) as f64 / 1_000.0;
    TableLoad {
        reads_per_s: (after.reads - before.reads) as f64 / seconds,
        writes_per_s: (after.writes - before.writes) as f64 / seconds,
        writes: after.writes - before.writes,
        conflicts: after.conflicts - before.conflicts,
    }
}

/// Writes the outcome of each request as lines of JSON.
fn write_records(path: &Path, records: &[Record]) -> anyhow::Result<()> {
    let mut text = Vec::new();
    for record in records {
        serde_json::to_writer(&mut text, record)?;
        text.push(b'\n');
    }
    std::fs::write(path, text).with_context(|| format!("write {}", path.display()))
}

/// Counts changes of key ownership since `started`.
fn churn_since(started: Timestamp, mut journals: Vec<JournalLine>) -> Churn {
    journals.retain(|line| line.at_us >= started.as_micros());
    judge(&[], &journals, JudgeSettings::default()).key_churn
}

/// Returns the requests sent to a host in the domain of the key's first owner.
fn same_domain_requests(
    records: &[Record],
    targets: &[HostId],
    layout: &Layout,
    catalogue: &Catalogue,
) -> Vec<Record> {
    let mut owner_domains: IndexMap<(&SmolStr, &SmolStr), &DomainId> = IndexMap::new();
    for record in records.iter().filter(|r| r.seen == ClientOutcome::Answered) {
        let (Some(key), Some(upstream_name)) = (&record.key, &record.upstream) else {
            continue;
        };
        let upstream = catalogue
            .upstreams
            .iter()
            .find(|(n, _)| n.as_str() == upstream_name);
        if let Some((_, upstream)) = upstream {
            owner_domains
                .entry((&record.entry, key))
                .or_insert(&upstream.domain);
        }
    }
    let is_same_domain = |r: &&Record| {
        let key = r.key.as_ref();
        let owner_domain = key.and_then(|key| owner_domains.get(&(&r.entry, key)));
        let target_domain = targets.get(r.target).and_then(|h| layout.domain_of(h));
        owner_domain.is_some_and(|domain| target_domain == Some(*domain))
    };
    records.iter().filter(is_same_domain).cloned().collect()
}
