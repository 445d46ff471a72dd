//! Measures goodput and refusals at up to three times the capacity, and recovery.

use indexmap::IndexMap;
use serde::Serialize;
use smol_str::SmolStr;
use standin::load::{Latencies, Record, Summary};
use standin::upstream::settings::ServiceTime;
use standin::{ClientOutcome, LoadSettings, load};

use super::args::OverloadArgs;
use super::cluster::{Cluster, ClusterSettings};
use super::gauges::{GaugeReceiver, GaugeValues};
use super::machine::load_average;
use crate::json_lines;

/// Loads of the phases, as fractions of the upstreams' capacity; the last one shows recovery.
const PHASE_LOADS: [f64; 5] = [0.5, 1.0, 2.0, 3.0, 0.5];
/// Slices of the entry that is sharded by key.
const SLICES: u32 = 768;
/// Length of the windows in which answers are checked for recovery, in microseconds.
const WINDOW_US: u64 = 100_000;
const QUEUE_P50: &str = "medlardyke.latency.queue.p50";
const QUEUE_P99: &str = "medlardyke.latency.queue.p99";

/// Result line of one phase.
#[derive(Debug)]
#[derive(Serialize)]
struct OverloadLine {
    kind: &'static str,
    /// Whether the entry is sharded by key: `yes` or `no`.
    divided: SmolStr,
    phase: SmolStr,
    seed: u64,
    capacity_per_s: f64,
    offered_per_s: f64,
    /// Answers within their deadline, per second.
    goodput_per_s: f64,
    /// Goodput as a fraction of that of the best phase.
    of_peak: f64,
    late: u64,
    not_run: IndexMap<SmolStr, u64>,
    unknown: IndexMap<SmolStr, u64>,
    wrong: IndexMap<SmolStr, u64>,
    answers: Latencies,
    refusals: Latencies,
    /// Largest median queueing time that a host reported for one second, in microseconds.
    queue_p50_us: f64,
    /// Largest 99th percentile of queueing time that a host reported, in microseconds.
    queue_p99_us: f64,
    /// Time from the end of the overload until requests are answered as before it, in
    /// milliseconds; only in the last phase.
    recovery_ms: Option<u64>,
    load_average: f64,
}

struct Phase {
    share: f64,
    summary: Summary,
    records: Vec<Record>,
    gauges: GaugeValues,
}

/// Runs `medlardyke measure overload`.
///
/// # Errors
///
/// Fails if the processes don't start or a result can't be written.
pub async fn run(args: &OverloadArgs) -> anyhow::Result<()> {
    for slices in [Some(SLICES), None] {
        run_entry(args, slices).await?;
    }
    Ok(())
}

async fn run_entry(args: &OverloadArgs, slices: Option<u32>) -> anyhow::Result<()> {
    let gauges = GaugeReceiver::start()?;
    let cfg = ClusterSettings {
        upstreams: args.upstreams,
        slices,
        service: ServiceTime::Exponential {
            mean_ms: args.service_ms,
        },
        checks_grants: true,
        statsd: Some(gauges.address()),
        seed: args.seed,
        ..ClusterSettings::new()?
    };
    let mut cluster = Cluster::start(cfg).await?;
    cluster.start_hosts(args.hosts).await?;
    cluster.wait_until_ready().await?;
    let mut phases = Vec::new();
    for share in PHASE_LOADS {
        phases.push(run_phase(args, &cluster, share, &gauges).await?);
    }
    print_results(args, slices, cluster.capacity_per_s(), &phases)
}

async fn run_phase(
    args: &OverloadArgs,
    cluster: &Cluster,
    share: f64,
    gauges: &GaugeReceiver,
) -> anyhow::Result<Phase> {
    let before = gauges.take();
    drop(before);
    let targets = cluster.hosts.iter().map(|h| h.callers).collect();
    let cfg = LoadSettings {
        rate_per_s: cluster.capacity_per_s() * share,
        duration_ms: args.phase_ms,
        deadline_ms: Some(args.deadline_ms),
        connections: 1_024,
        ..cluster.load_settings(targets)
    };
    let run = load::run(cfg).await?;
    Ok(Phase {
        share,
        summary: run.summary,
        records: run.records,
        gauges: gauges.take(),
    })
}

fn print_results(
    args: &OverloadArgs,
    slices: Option<u32>,
    capacity_per_s: f64,
    phases: &[Phase],
) -> anyhow::Result<()> {
    let goodputs = phases.iter().map(|p| p.summary.goodput_per_s);
    let peak = goodputs.fold(0.0, f64::max);
    for (n, phase) in phases.iter().enumerate() {
        let is_last = n + 1 == phases.len();
        let summary = &phase.summary;
        json_lines::print(&OverloadLine {
            kind: "overload",
            divided: if slices.is_some() { "yes" } else { "no" }.into(),
            phase: format!("{}-of-capacity-{}", n + 1, phase.share).into(),
            seed: args.seed,
            capacity_per_s,
            offered_per_s: capacity_per_s * phase.share,
            goodput_per_s: summary.goodput_per_s,
            of_peak: summary.goodput_per_s / peak,
            late: summary.late,
            not_run: summary.not_run.clone(),
            unknown: summary.unknown.clone(),
            wrong: summary.wrong.clone(),
            answers: summary.answers,
            refusals: summary.refusals,
            queue_p50_us: max_gauge(&phase.gauges, QUEUE_P50),
            queue_p99_us: max_gauge(&phase.gauges, QUEUE_P99),
            recovery_ms: is_last.then(|| recovery_ms(&phases[0], phase)),
            load_average: load_average(),
        })?;
    }
    Ok(())
}

fn max_gauge(gauges: &GaugeValues, name: &str) -> f64 {
    let values = gauges.get(name).into_iter().flatten();
    values.copied().fold(0.0, f64::max)
}

/// Returns the time from the start of `phase` to the end of its last bad window, in milliseconds.
///
/// In a bad window, every request is slower than the 99th percentile of `baseline`, or the fraction
/// of answered requests is more than 0.05 below that of `baseline`.
fn recovery_ms(baseline: &Phase, phase: &Phase) -> u64 {
    let limit = baseline.summary.answers.p99_us;
    let Some(start_us) = phase.records.first().map(|r| r.intended_us) else {
        return 0;
    };
    let mut windows: IndexMap<u64, Vec<&Record>> = IndexMap::new();
    for record in &phase.records {
        let window = (record.intended_us - start_us) / WINDOW_US;
        windows.entry(window).or_default().push(record);
    }
    let baseline_fraction = answered_fraction(&baseline.records);
    let bad = windows.iter().filter(|(_, records)| {
        let slow = records.iter().all(|r| r.latency_us() > limit);
        // The margin allows for a refusal in a window, as some occur at this load anyway.
        slow || answered_fraction_of(records) < baseline_fraction - 0.05
    });
    let last = bad.map(|(window, _)| window + 1).max();
    last.unwrap_or_default() * WINDOW_US / 1_000
}

fn answered_fraction(records: &[Record]) -> f64 {
    answered_fraction_of(&records.iter().collect::<Vec<_>>())
}

fn answered_fraction_of(records: &[&Record]) -> f64 {
    let answered = records
        .iter()
        .filter(|r| r.seen == ClientOutcome::Answered)
        .count();
    answered as f64 / records.len().max(1) as f64
}
