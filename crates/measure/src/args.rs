//! Command-line arguments of `medlardyke measure` and `medlardyke report`.

use std::path::PathBuf;

use anyhow::Result;
use clap::{Args, Subcommand, ValueEnum};
use smol_str::SmolStr;

use crate::path::{self, args as path_args};
use crate::workload::WorkloadSettings;
use crate::{bound, keep_alive, loss, placement, report, scaling};

/// Largest load of a key, as a fraction of an upstream's share, in all cases but `giants`.
const MAX_KEY_SHARE: f64 = 0.8;

/// Measures placement over generated load; prints a JSON line per case.
///
/// Example: medlardyke measure placement --case tariffbok --seed 1
#[derive(Debug)]
#[derive(Args)]
pub struct MeasureArgs {
    /// Benchmark to run.
    #[command(subcommand)]
    benchmark: Benchmark,
}

#[derive(Debug, Clone)]
#[derive(Subcommand)]
enum Benchmark {
    /// All placement policies on the same load: imbalance, churn, settling time.
    Placement {
        /// Load to generate.
        #[arg(long, value_enum, default_value_t = Case::All)]
        case: Case,
        /// Seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Length of the run in seconds of simulated load; the first 120 don't count.
        #[arg(long, default_value_t = 1200, value_parser = clap::value_parser!(u64).range(240..))]
        seconds: u64,
    },
    /// Reassignment of slices after the loss of one upstream, a tenth of them, or a domain.
    Loss {
        /// Seed of the hashes.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Time and memory of the planner by number of slices and upstreams.
    Scaling {
        /// Seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Rules for closing idle upstream connections.
    KeepAlive {
        /// Seed of the arrivals.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Latency that one hop and two hops add to direct requests, with real processes.
    Path(path_args::AddedLatencyArgs),
    /// Goodput and refusals at up to three times the capacity, with real processes.
    Overload(path_args::OverloadArgs),
    /// Cost of idle hosts by number of hosts, upstreams and slices, with real processes.
    Control(path_args::ControlArgs),
    /// What an ideal queue and a first-come queue answer of a trace, beside the outcomes of a run.
    ///
    /// Example: medlardyke measure bound --description description.json --trace trace.jsonl
    Bound(bound::BoundArgs),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(ValueEnum)]
enum Case {
    /// Landavgift's lookups; no key exceeds an upstream's share.
    Tariffbok,
    /// Kōtuku's pass windows; no key exceeds an upstream's share.
    Windowcast,
    /// Landavgift's lookups with all Zipf ranks: two keys exceed an upstream's share.
    Giants,
    /// Landavgift's lookups with bursts and a daily cycle.
    Bursts,
    /// An entry of 200 upstreams, where each host sends its loads to 16 others a second.
    Wide,
    /// All cases except `wide`.
    All,
}

impl Case {
    fn workloads(self) -> Vec<WorkloadSettings> {
        match self {
            Self::Tariffbok => vec![WorkloadSettings::tariffbok().limit_key_share(MAX_KEY_SHARE)],
            Self::Windowcast => vec![WorkloadSettings::windowcast().limit_key_share(MAX_KEY_SHARE)],
            Self::Giants => vec![WorkloadSettings {
                name: SmolStr::new_static("tariffbok-giants"),
                ..WorkloadSettings::tariffbok()
            }],
            Self::Bursts => vec![WorkloadSettings {
                name: SmolStr::new_static("tariffbok-bursts"),
                burst_every_s: 45,
                day_s: 600,
                ..WorkloadSettings::tariffbok().limit_key_share(MAX_KEY_SHARE)
            }],
            Self::Wide => vec![WorkloadSettings::wide().limit_key_share(MAX_KEY_SHARE)],
            Self::All => [
                Self::Tariffbok,
                Self::Windowcast,
                Self::Giants,
                Self::Bursts,
            ]
            .into_iter()
            .flat_map(Self::workloads)
            .collect(),
        }
    }
}

/// Renders JSON lines of measurements as one page that compares them.
///
/// Example: medlardyke report before.jsonl after.jsonl --out report.html
#[derive(Debug)]
#[derive(Args)]
pub struct ReportArgs {
    /// Files of JSON lines, one for each commit or run to compare.
    #[arg(required = true)]
    lines: Vec<PathBuf>,
    /// Page to write.
    #[arg(long, default_value = "report.html")]
    out: PathBuf,
}

/// Runs `medlardyke measure`.
///
/// # Errors
///
/// Fails if an input can't be read or is not valid, or if a result can't be written.
pub fn run_measure(args: &MeasureArgs) -> Result<()> {
    match &args.benchmark {
        Benchmark::Placement {
            case,
            seed,
            seconds,
        } => run_placement(*case, *seed, *seconds),
        Benchmark::Loss { seed } => loss::run(*seed),
        Benchmark::Scaling { seed } => scaling::run(*seed),
        Benchmark::KeepAlive { seed } => keep_alive::run(*seed),
        Benchmark::Path(args) => path::block_on(path::added_latency::run(args)),
        Benchmark::Overload(args) => path::block_on(path::overload::run(args)),
        Benchmark::Control(args) => path::block_on(path::control::run(args)),
        Benchmark::Bound(args) => bound::run(args),
    }
}

/// Runs `medlardyke report`.
///
/// # Errors
///
/// Fails if a file can't be read or the page can't be written.
pub fn run_report(args: &ReportArgs) -> Result<()> {
    report::run(&args.lines, &args.out)
}

fn run_placement(case: Case, seed: u64, seconds: u64) -> Result<()> {
    for workload in case.workloads() {
        placement::run(&WorkloadSettings {
            seed,
            seconds,
            ..workload
        })?;
    }
    Ok(())
}
