//! Runs a scenario and judges it.

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
use crate::report::{PhaseReport, RunReport, TableLoad, Violation, cut};
use crate::scenario::changes::ChangesReport;
use crate::scenario::{Action, Picks, Scenario, act};

/// Longest length of a load, whose end its steps decide.
const LONGEST_MS: u64 = 600_000;
/// File in the trial's folder with what became of each request.
const RECORDS_FILE: &str = "records.jsonl";

/// How to run scenarios.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// The program.
    pub binary: PathBuf,
    /// Hosts, domains, upstreams and entries.
    pub layout: Layout,
    /// Seed of all draws.
    pub seed: u64,
    /// Factor on the layout's usual rate.
    pub rate: f64,
    /// Least length of the load, in seconds.
    pub seconds: Option<u64>,
    /// Length of the load before the measured one, in which placement settles, in milliseconds.
    pub warm_up_ms: u64,
    /// Latency up to which an answer counts as served at once, in milliseconds.
    pub at_once_ms: u64,
    /// Whether the folder with logs and journals is kept in any case.
    pub keep: bool,
}

impl RunSettings {
    /// Creates the settings with the default for all that has one.
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

/// What the load and the steps left behind.
#[derive(Debug)]
struct Outcome {
    runs: Vec<LoadResult>,
    changes: Option<ChangesReport>,
    targets: Vec<HostId>,
    /// When the measured load began.
    began: Timestamp,
    before: Counters,
    after: Counters,
}

/// Runs a scenario and judges it; if there are violations, the folder with the logs is kept.
///
/// # Errors
///
/// Fails if the processes don't start or a step can't be carried out.
pub async fn run(scenario: &Scenario, cfg: &RunSettings) -> anyhow::Result<RunReport> {
    let mut cluster = Cluster::start(ClusterSettings {
        upstream_proxies: scenario.upstream_proxies,
        seed: cfg.seed,
        ..ClusterSettings::new(cfg.binary.clone(), cfg.layout.clone())
    })
    .await?;
    let result = run_on(&mut cluster, scenario, cfg).await;
    let failed = result.as_ref().map_or(true, |r| !r.violations.is_empty());
    let kept = (failed || cfg.keep).then(|| cluster.keep().display().to_string());
    match result {
        Ok(report) => Ok(RunReport { kept, ..report }),
        Err(e) => Err(e.context(format!("logs are in {}", kept.unwrap_or_default()))),
    }
}

async fn run_on(
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
    let began = BootClock.now();
    let before = cluster.platform.counters().await?;
    let mut runs = Vec::new();
    let mut changes = None;
    for (i, phase) in scenario.phases.iter().enumerate() {
        let rate = cfg.layout.rate_per_s * cfg.rate * phase.rate;
        let load = LoadSettings {
            duration_ms: phase.ms.unwrap_or(LONGEST_MS),
            ..load_settings(cluster, cfg, &targets, rate, i)?
        };
        let running = load::start(load)?;
        if phase.ms.is_some() {
            runs.push(running.finish().await?);
            continue;
        }
        let (run, reported) = drive(cluster, scenario, cfg, &picks, running).await?;
        runs.push(run);
        changes = reported;
    }
    let after = cluster.platform.counters().await?;
    let outcome = Outcome {
        runs,
        changes,
        targets,
        began,
        before,
        after,
    };
    report(cluster, scenario, cfg, picks, outcome)
}

/// Loads the cluster for some time that doesn't count.
async fn warm_up(cluster: &Cluster, cfg: &RunSettings, targets: &[HostId]) -> anyhow::Result<()> {
    let rate = cfg.layout.rate_per_s * cfg.rate;
    let load = LoadSettings {
        duration_ms: cfg.warm_up_ms,
        id_prefix: Some(SmolStr::new_static("warm-up")),
        ..load_settings(cluster, cfg, targets, rate, 0)?
    };
    load::run(load).await.map(drop)
}

/// Returns the hosts to which callers go: a balancer turns away from hosts that stand still.
fn targets(cluster: &Cluster, scenario: &Scenario, picks: &Picks) -> Vec<HostId> {
    let stopped: Vec<&HostId> = scenario
        .steps
        .iter()
        .filter_map(|s| match s.action {
            Action::StopHost(pick) => Some(picks.host(pick)),
            _ => None,
        })
        .collect();
    let mut targets = cluster.hosts.running();
    targets.retain(|host| !stopped.contains(&host));
    targets
}

fn load_settings(
    cluster: &Cluster,
    cfg: &RunSettings,
    targets: &[HostId],
    rate_per_s: f64,
    phase: usize,
) -> anyhow::Result<LoadSettings> {
    let addresses: anyhow::Result<Vec<SocketAddr>> =
        targets.iter().map(|h| cluster.hosts.callers(h)).collect();
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

/// Carries out all steps under load and ends the load after the tail.
async fn drive(
    cluster: &mut Cluster,
    scenario: &Scenario,
    cfg: &RunSettings,
    picks: &Picks,
    running: RunningLoad,
) -> anyhow::Result<(LoadResult, Option<ChangesReport>)> {
    let began = Instant::now();
    let mut changes = None;
    for step in &scenario.steps {
        sleep_until(began, Duration::from_millis(step.at_ms)).await;
        if let Some(report) = act::act(cluster, picks, &step.action).await? {
            changes = Some(report);
        }
    }
    sleep(Duration::from_millis(scenario.tail_ms)).await;
    sleep_until(began, Duration::from_secs(cfg.seconds.unwrap_or(0))).await;
    Ok((running.stop().await?, changes))
}

async fn sleep_until(began: Instant, at: Duration) {
    sleep(at.saturating_sub(began.elapsed())).await;
}

fn report(
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
    let judge_cfg = JudgeSettings {
        gaps: GapSettings {
            at_once_ms: cfg.at_once_ms,
            slices: None,
        },
        ..JudgeSettings::default()
    };
    let journals = cluster.upstreams.journals()?;
    let judged = judge(&records, &journals, judge_cfg);
    let churn = churn_since(outcome.began, journals);
    let at_home = at_home(&records, &outcome.targets, &cfg.layout, &cluster.catalogue);
    let faults = judged.faults.into_iter();
    let mut violations: Vec<Violation> = faults.map(|fault| Violation::Judged { fault }).collect();
    let ended = cluster.hosts.ended().into_iter();
    violations.extend(ended.map(|host| Violation::HostEnded { host }));
    let mut report = RunReport {
        scenario: scenario.name.clone(),
        layout: cfg.layout.name.clone(),
        seed: cfg.seed,
        hosts: cfg.layout.initial_hosts().len() as u64,
        upstreams: cluster.catalogue.upstreams.len() as u64,
        seconds: duration_ms as f64 / 1_000.0,
        sent: summary.sent,
        answered: summary.answered,
        cut: cut(&summary),
        refused: summary.not_run,
        unknown: summary.unknown,
        answers: summary.answers,
        phases: if scenario.phases.len() > 1 {
            phases
        } else {
            Vec::new()
        },
        at_once_ms: cfg.at_once_ms,
        unavailable: judged.unavailable,
        unavailable_at_home: judge(&at_home, &[], judge_cfg).unavailable,
        churn,
        violations,
        missed: Vec::new(),
        table: table_load(&outcome.before, &outcome.after, duration_ms),
        changes: outcome.changes,
        usage: cluster.hosts.usage(),
        picks,
        kept: None,
    };
    report.weigh(scenario.expect);
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

/// Writes down what became of each request, in JSON lines.
fn write_records(path: &Path, records: &[Record]) -> anyhow::Result<()> {
    let mut text = Vec::new();
    for record in records {
        serde_json::to_writer(&mut text, record)?;
        text.push(b'\n');
    }
    std::fs::write(path, text).with_context(|| format!("write {}", path.display()))
}

/// Counts changes of keys' owners from `began` on.
fn churn_since(began: Timestamp, mut journals: Vec<JournalLine>) -> Churn {
    journals.retain(|line| line.at_us >= began.as_micros());
    judge(&[], &journals, JudgeSettings::default()).key_churn
}

/// Returns the requests that went to a host in the domain of the key's first owner.
fn at_home(
    records: &[Record],
    targets: &[HostId],
    layout: &Layout,
    catalogue: &Catalogue,
) -> Vec<Record> {
    let mut homes: IndexMap<(&SmolStr, &SmolStr), &DomainId> = IndexMap::new();
    for record in records.iter().filter(|r| r.seen == ClientOutcome::Answered) {
        let (Some(key), Some(upstream)) = (&record.key, &record.upstream) else {
            continue;
        };
        let declared = catalogue
            .upstreams
            .iter()
            .find(|(n, _)| n.as_str() == upstream);
        if let Some((_, declared)) = declared {
            homes
                .entry((&record.entry, key))
                .or_insert(&declared.domain);
        }
    }
    let is_home = |r: &&Record| {
        let key = r.key.as_ref();
        let home = key.and_then(|key| homes.get(&(&r.entry, key)));
        let target = targets.get(r.target).and_then(|h| layout.domain_of(h));
        home.is_some_and(|home| target == Some(*home))
    };
    records.iter().filter(is_home).cloned().collect()
}
