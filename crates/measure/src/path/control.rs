//! Measures the cost of idle hosts by number of hosts, domains, upstreams and slices.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;
use smol_str::SmolStr;
use standin::platform::Counters;
use tokio::time::sleep;

use super::args::ControlArgs;
use super::cluster::{Cluster, ClusterSettings, HostProcess, HostStatus, Traffic};
use super::fit;
use super::machine::load_average;
use super::usage::ProcessUsage;
use crate::json_lines;

/// Time between a stable cluster and the start of a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Size of a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
struct ClusterSize {
    hosts: usize,
    domains: usize,
    upstreams: usize,
    slices: u32,
}

/// Cost of an idle cluster; figures are means over hosts unless they say otherwise.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Serialize)]
struct IdleCost {
    /// CPU time, in percent of a core.
    cpu_percent: f64,
    /// CPU time of the control thread, in percent of a core.
    control_cpu_percent: f64,
    /// CPU time of the host that uses most, in percent of a core.
    max_cpu_percent: f64,
    /// Bytes sent per second to other hosts, upstreams and platform.
    sent_bytes_per_s: f64,
    /// Bytes received per second from other hosts, upstreams and platform.
    received_bytes_per_s: f64,
    /// Bytes sent and received per second by the host with most traffic.
    max_bytes_per_s: f64,
    /// Bytes sent to and received from other hosts, per second.
    hosts_bytes_per_s: f64,
    /// Bytes sent to and received from upstreams, per second.
    upstreams_bytes_per_s: f64,
    /// Bytes sent to and received from the platform, per second.
    platform_bytes_per_s: f64,
    rss_kib: f64,
    /// Reads of the table's changes by all hosts together, per second.
    table_reads_per_s: f64,
    /// Writes to the table by all hosts together, per second.
    table_writes_per_s: f64,
    /// Reads of the list of hosts by all hosts together, per second.
    list_reads_per_s: f64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ControlLine {
    kind: &'static str,
    #[serde(flatten)]
    size: ClusterSize,
    seed: u64,
    #[serde(flatten)]
    cost: IdleCost,
    load_average: f64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct SlopeLine {
    kind: &'static str,
    against: Parameter,
    of: SmolStr,
    #[serde(flatten)]
    line: fit::FittedLine,
}

/// Usage and counters of all hosts and the platform at one time.
struct Snapshot {
    at: Instant,
    usage: Vec<ProcessUsage>,
    statuses: Vec<HostStatus>,
    platform: Counters,
}

/// Runs `medlardyke measure control`.
///
/// # Errors
///
/// Fails if the processes don't start or a result can't be written.
pub async fn run(args: &ControlArgs) -> anyhow::Result<()> {
    let mut measured: Vec<(ClusterSize, IdleCost)> = Vec::new();
    for size in sizes(args)? {
        let cost = measure(args, size).await?;
        json_lines::print(&ControlLine {
            kind: "control",
            size,
            seed: args.seed,
            cost,
            load_average: load_average(),
        })?;
        measured.push((size, cost));
    }
    print_slopes(&measured)
}

/// Returns the sizes to measure: each value of each list with the first values of the others.
fn sizes(args: &ControlArgs) -> anyhow::Result<Vec<ClusterSize>> {
    let lists = [&args.hosts, &args.upstreams, &args.domains];
    let is_empty = lists.iter().any(|l| l.is_empty()) || args.slices.is_empty();
    anyhow::ensure!(!is_empty, "each list of sizes needs at least one number");
    let base = ClusterSize {
        hosts: args.hosts[0],
        domains: args.domains[0],
        upstreams: args.upstreams[0],
        slices: args.slices[0],
    };
    let mut sizes = vec![base];
    let hosts = args.hosts[1..].iter();
    sizes.extend(hosts.map(|&hosts| ClusterSize { hosts, ..base }));
    let upstreams = args.upstreams[1..].iter();
    sizes.extend(upstreams.map(|&upstreams| ClusterSize { upstreams, ..base }));
    let slices = args.slices[1..].iter();
    sizes.extend(slices.map(|&slices| ClusterSize { slices, ..base }));
    let domains = args.domains[1..].iter();
    sizes.extend(domains.map(|&domains| ClusterSize { domains, ..base }));
    Ok(sizes)
}

async fn measure(args: &ControlArgs, size: ClusterSize) -> anyhow::Result<IdleCost> {
    let cfg = ClusterSettings {
        domains: size.domains,
        upstreams: size.upstreams,
        slices: Some(size.slices),
        checks_grants: true,
        upstream_processes: false,
        seed: args.seed,
        ..ClusterSettings::new()?
    };
    let mut cluster = Cluster::start(cfg).await?;
    cluster.start_hosts(size.hosts).await?;
    cluster.wait_until_stable().await?;
    sleep(SETTLE_TIME).await;
    let before = take_snapshot(&cluster).await?;
    sleep(Duration::from_millis(args.measure_ms)).await;
    let after = take_snapshot(&cluster).await?;
    Ok(cost(&before, &after))
}

async fn take_snapshot(cluster: &Cluster) -> anyhow::Result<Snapshot> {
    let usage = cluster.hosts.iter().map(HostProcess::usage);
    Ok(Snapshot {
        at: Instant::now(),
        usage: usage.collect::<anyhow::Result<_>>()?,
        statuses: cluster.statuses().await?,
        platform: cluster.platform.counters().await?,
    })
}

fn cost(before: &Snapshot, after: &Snapshot) -> IdleCost {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let usage: Vec<ProcessUsage> = after
        .usage
        .iter()
        .zip(&before.usage)
        .map(|(a, b)| a.since(b))
        .collect();
    let traffic: Vec<Traffic> = after
        .statuses
        .iter()
        .zip(&before.statuses)
        .map(|(a, b)| a.traffic.since(b.traffic))
        .collect();
    let percent = |cpu: Duration| cpu.as_secs_f64() / seconds * 100.0;
    let control = |r: &ProcessUsage| r.threads.get("control").copied().unwrap_or_default();
    let mean_of =
        |of: &dyn Fn(&Traffic) -> u64| mean(traffic.iter().map(|t| of(t) as f64 / seconds));
    let platform =
        |of: fn(&Counters) -> u64| (of(&after.platform) - of(&before.platform)) as f64 / seconds;
    IdleCost {
        cpu_percent: mean(usage.iter().map(|r| percent(r.cpu()))),
        control_cpu_percent: mean(usage.iter().map(|r| percent(control(r)))),
        max_cpu_percent: max(usage.iter().map(|r| percent(r.cpu()))),
        sent_bytes_per_s: mean_of(&Traffic::sent),
        received_bytes_per_s: mean_of(&Traffic::received),
        max_bytes_per_s: max(traffic
            .iter()
            .map(|t| (t.sent() + t.received()) as f64 / seconds)),
        hosts_bytes_per_s: mean_of(&|t| t.hosts.total()),
        upstreams_bytes_per_s: mean_of(&|t| t.upstreams.total()),
        platform_bytes_per_s: mean_of(&|t| t.platform.total()),
        rss_kib: mean(usage.iter().map(|r| r.rss_kib as f64)),
        table_reads_per_s: platform(|c| c.change_reads),
        table_writes_per_s: platform(|c| c.writes),
        list_reads_per_s: platform(|c| c.host_reads),
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

fn max(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}

/// Parameter that varies while the others keep their values of the first size.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum Parameter {
    Hosts,
    Upstreams,
    Slices,
    Domains,
}

impl Parameter {
    const ALL: [Self; 4] = [Self::Hosts, Self::Upstreams, Self::Slices, Self::Domains];

    /// Returns the parameter's value in `size`.
    fn value_in(self, size: ClusterSize) -> f64 {
        match self {
            Self::Hosts => size.hosts as f64,
            Self::Upstreams => size.upstreams as f64,
            Self::Slices => f64::from(size.slices),
            Self::Domains => size.domains as f64,
        }
    }

    /// Returns `size` with this parameter's value taken from `base`.
    const fn with_base_value(self, size: ClusterSize, base: ClusterSize) -> ClusterSize {
        match self {
            Self::Hosts => ClusterSize {
                hosts: base.hosts,
                ..size
            },
            Self::Upstreams => ClusterSize {
                upstreams: base.upstreams,
                ..size
            },
            Self::Slices => ClusterSize {
                slices: base.slices,
                ..size
            },
            Self::Domains => ClusterSize {
                domains: base.domains,
                ..size
            },
        }
    }
}

fn print_slopes(measured: &[(ClusterSize, IdleCost)]) -> anyhow::Result<()> {
    let Some((base, _)) = measured.first().copied() else {
        return Ok(());
    };
    for against in Parameter::ALL {
        let varied = measured
            .iter()
            .filter(|(size, _)| against.with_base_value(*size, base) == base);
        for (of, points) in points(against, varied)? {
            let Some(line) = fit::fit_line(&points) else {
                continue;
            };
            json_lines::print(&SlopeLine {
                kind: "control-slope",
                against,
                of,
                line,
            })?;
        }
    }
    Ok(())
}

/// Returns points of (parameter, cost) for each figure of the cost.
fn points<'a>(
    against: Parameter,
    varied: impl Iterator<Item = &'a (ClusterSize, IdleCost)>,
) -> anyhow::Result<IndexMap<SmolStr, Vec<(f64, f64)>>> {
    let mut points: IndexMap<SmolStr, Vec<(f64, f64)>> = IndexMap::new();
    for (size, cost) in varied {
        let costs = serde_json::to_value(cost)?;
        for (of, value) in costs.as_object().into_iter().flatten() {
            let value = value.as_f64().unwrap_or_default();
            let of = SmolStr::new(of);
            points
                .entry(of)
                .or_default()
                .push((against.value_in(*size), value));
        }
    }
    Ok(points)
}
