//! Goodput and refusals at up to twice the capacity, and recovery.

use indexmap::IndexMap;
use serde::Serialize;
use smol_str::SmolStr;
use standin::load::{Latencies, Record, Summary};
use standin::upstream::settings::ServiceTime;
use standin::{ClientOutcome, LoadSettings, load};

use super::args::OverloadArgs;
use super::cluster::{Cluster, ClusterSettings};
use super::gauges::{Gauges, Values};
use super::machine::load_average;
use crate::line;

/// Loads of the phases, as shares of the upstreams' capacity; the last one shows the recovery.
const PHASES: [f64; 5] = [0.5, 1.0, 2.0, 3.0, 0.5];
/// Slices of the entry that is divided by key.
const SLICES: u32 = 768;
/// Length of a window in which goodput is looked at for recovery, in microseconds.
const WINDOW_US: u64 = 100_000;
const QUEUE_P50: &str = "medlardyke.latency.queue.p50";
const QUEUE_P99: &str = "medlardyke.latency.queue.p99";

/// One phase.
#[derive(Debug)]
#[derive(Serialize)]
struct Line {
    kind: &'static str,
    /// Whether the entry is divided by key.
    divided: SmolStr,
    phase: SmolStr,
    seed: u64,
    capacity_per_s: f64,
    offered_per_s: f64,
    /// Answers in time, a second.
    goodput_per_s: f64,
    /// Goodput against that of the best phase.
    of_peak: f64,
    late: u64,
    not_run: IndexMap<SmolStr, u64>,
    unknown: IndexMap<SmolStr, u64>,
    wrong: IndexMap<SmolStr, u64>,
    answers: Latencies,
    refusals: Latencies,
    /// Most that a host reported for one second, in microseconds.
    queue_p50_us: f64,
    /// Likewise.
    queue_p99_us: f64,
    /// Time from the end of the overload until requests are answered as before it, in
    /// milliseconds; of the last phase.
    recovery_ms: Option<u64>,
    load_average: f64,
}

struct Phase {
    share: f64,
    summary: Summary,
    records: Vec<Record>,
    gauges: Values,
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
    let gauges = Gauges::receive()?;
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
    cluster.settled().await?;
    let mut phases = Vec::new();
    for share in PHASES {
        phases.push(phase(args, &cluster, share, &gauges).await?);
    }
    print(args, slices, cluster.capacity_per_s(), &phases)
}

async fn phase(
    args: &OverloadArgs,
    cluster: &Cluster,
    share: f64,
    gauges: &Gauges,
) -> anyhow::Result<Phase> {
    let before = gauges.take();
    drop(before);
    let targets = cluster.hosts.iter().map(|h| h.callers).collect();
    let cfg = LoadSettings {
        rate_per_s: cluster.capacity_per_s() * share,
        duration_ms: args.phase_ms,
        deadline_ms: Some(args.deadline_ms),
        connections: 1_024,
        ..cluster.load(targets)
    };
    let run = load::run(cfg).await?;
    Ok(Phase {
        share,
        summary: run.summary,
        records: run.records,
        gauges: gauges.take(),
    })
}

fn print(
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
        line::print(&Line {
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
            queue_p50_us: highest(&phase.gauges, QUEUE_P50),
            queue_p99_us: highest(&phase.gauges, QUEUE_P99),
            recovery_ms: is_last.then(|| recovery_ms(&phases[0], phase)),
            load_average: load_average(),
        })?;
    }
    Ok(())
}

fn highest(gauges: &Values, name: &str) -> f64 {
    let values = gauges.get(name).into_iter().flatten();
    values.copied().fold(0.0, f64::max)
}

/// Returns when the last window began in which a request was refused, or all took longer than
/// was usual before, counted from the start of the phase.
fn recovery_ms(usual: &Phase, phase: &Phase) -> u64 {
    let limit = usual.summary.answers.p99_us;
    let Some(began) = phase.records.first().map(|r| r.intended_us) else {
        return 0;
    };
    let mut windows: IndexMap<u64, Vec<&Record>> = IndexMap::new();
    for record in &phase.records {
        let window = (record.intended_us - began) / WINDOW_US;
        windows.entry(window).or_default().push(record);
    }
    let usual_share = share_answered(&usual.records);
    let bad = windows.iter().filter(|(_, records)| {
        let slow = records.iter().all(|r| r.latency_us() > limit);
        // One refusal in a window may be one of those that happen at this load anyway.
        slow || share_answered_slice(records) < usual_share - 0.05
    });
    let last = bad.map(|(window, _)| window + 1).max();
    last.unwrap_or_default() * WINDOW_US / 1_000
}

fn share_answered(records: &[Record]) -> f64 {
    share_answered_slice(&records.iter().collect::<Vec<_>>())
}

fn share_answered_slice(records: &[&Record]) -> f64 {
    let answered = records
        .iter()
        .filter(|r| r.seen == ClientOutcome::Answered)
        .count();
    answered as f64 / records.len().max(1) as f64
}
