//! Measures the latency that one hop and two hops add to direct requests, on the same upstreams.
//!
//! The routes take turns under the same load, so that other activity on the machine affects all of
//! them equally. Each figure is the median of the turns.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use standin::load::{Latencies, Summary};
use standin::upstream::settings::ServiceTime;
use standin::{LoadSettings, load};

use super::args::AddedLatencyArgs;
use super::cluster::{Cluster, ClusterSettings, HostProcess, HostStatus};
use super::fit::median;
use super::machine::load_average;
use super::usage::ProcessUsage;
use crate::json_lines;

/// Duration of the load on each route before the first turn, in milliseconds.
const WARM_UP_MS: u64 = 500;
/// Most attempts to measure a rate, which starts over if an upstream was handed over meanwhile.
const ATTEMPTS: u32 = 5;

/// Route of requests from the load generator to the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum Route {
    /// Directly to the upstreams, without a host in between.
    Direct,
    /// Through the host that coordinates the upstreams.
    OneHop,
    /// Through another host of the domain, which forwards to the coordinating host.
    InDomainHop,
}

impl Route {
    const ALL: [Self; 3] = [Self::Direct, Self::OneHop, Self::InDomainHop];
}

/// Results of one route in one turn.
#[derive(Debug, Clone)]
struct Turn {
    summary: Summary,
    usage: Vec<ProcessUsage>,
}

/// Results of all routes at one rate.
#[derive(Debug)]
struct RateResults {
    share: f64,
    rate_per_s: f64,
    /// Index of the host that coordinated all upstreams.
    coordinator: usize,
    turns: Vec<[Turn; 3]>,
}

/// Percentiles of latency, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Serialize)]
struct Percentiles {
    #[serde(rename = "p50_us")]
    p50: f64,
    #[serde(rename = "p99_us")]
    p99: f64,
    #[serde(rename = "p999_us")]
    p999: f64,
}

/// Result line of one route at one rate.
#[derive(Debug)]
#[derive(Serialize)]
struct PathLine {
    kind: &'static str,
    #[serde(rename = "way")]
    route: Route,
    share: SmolStr,
    seed: u64,
    rate_per_s: f64,
    turns: u32,
    goodput_per_s: f64,
    refused: u64,
    latency: Percentiles,
    /// Difference from the direct route in the same turn.
    added: Percentiles,
    /// CPU time of all hosts per request, in microseconds.
    cpu_us_per_request: f64,
    /// Requests per second that one core of the hosts would serve at that cost.
    requests_per_core_s: f64,
    /// CPU time per request of each thread, in microseconds.
    threads_us: indexmap::IndexMap<SmolStr, f64>,
    /// Resident memory of the coordinating host after the last turn, in kibibytes.
    coordinator_rss_kib: u64,
    /// The same for the other host.
    other_rss_kib: u64,
    load_average: f64,
}

/// Runs `medlardyke measure path`.
///
/// # Errors
///
/// Fails if the processes don't start or a result can't be written.
pub async fn run(args: &AddedLatencyArgs) -> anyhow::Result<()> {
    let cfg = ClusterSettings {
        upstreams: args.upstreams,
        service: ServiceTime::Fixed {
            ms: args.service_ms,
        },
        seed: args.seed,
        ..ClusterSettings::new()?
    };
    let mut cluster = Cluster::start(cfg).await?;
    cluster.start_hosts(1).await?;
    cluster.wait_until_ready().await?;
    cluster.start_hosts(2).await?;
    for share in &args.shares {
        measure(args, &cluster, *share).await?;
    }
    Ok(())
}

/// Measures one rate, starting over until one host coordinates all upstreams in all turns.
async fn measure(args: &AddedLatencyArgs, cluster: &Cluster, share: f64) -> anyhow::Result<()> {
    for _ in 0..ATTEMPTS {
        let coordinator = coordinator(&cluster.wait_until_ready().await?);
        let Some(coordinator) = coordinator else {
            continue;
        };
        let turns = take_turns(args, cluster, share, coordinator).await?;
        if self::coordinator(&cluster.statuses().await?) != Some(coordinator) {
            continue;
        }
        let results = RateResults {
            share,
            rate_per_s: cluster.capacity_per_s() * share,
            coordinator,
            turns,
        };
        for route in Route::ALL {
            json_lines::print(&summarize(args, route, &results))?;
        }
        return Ok(());
    }
    anyhow::bail!("no single host coordinated all upstreams throughout any of {ATTEMPTS} attempts")
}

/// Returns the index of the host that coordinates all upstreams, if there is one.
fn coordinator(statuses: &[HostStatus]) -> Option<usize> {
    let mut coordinating = (0..statuses.len()).filter(|n| !statuses[*n].upstreams.is_empty());
    let first = coordinating.next()?;
    coordinating.next().is_none().then_some(first)
}

async fn take_turns(
    args: &AddedLatencyArgs,
    cluster: &Cluster,
    share: f64,
    coordinator: usize,
) -> anyhow::Result<Vec<[Turn; 3]>> {
    let rate_per_s = cluster.capacity_per_s() * share;
    let mut turns = Vec::new();
    let targets = Route::ALL.map(|route| targets(cluster, route, coordinator));
    for targets in &targets {
        turn(cluster, targets, rate_per_s, WARM_UP_MS, args.seed).await?;
    }
    for n in 0..args.turns {
        let seed = args.seed.wrapping_add(u64::from(n));
        let ms = args.turn_ms;
        turns.push([
            turn(cluster, &targets[0], rate_per_s, ms, seed).await?,
            turn(cluster, &targets[1], rate_per_s, ms, seed).await?,
            turn(cluster, &targets[2], rate_per_s, ms, seed).await?,
        ]);
    }
    Ok(turns)
}

async fn turn(
    cluster: &Cluster,
    targets: &[SocketAddr],
    rate_per_s: f64,
    duration_ms: u64,
    seed: u64,
) -> anyhow::Result<Turn> {
    let before = usages(cluster)?;
    let cfg = LoadSettings {
        rate_per_s,
        duration_ms,
        seed,
        ..cluster.load_settings(targets.to_vec())
    };
    let run = load::run(cfg).await?;
    let after = usages(cluster)?;
    let usage = after.iter().zip(&before).map(|(a, b)| a.since(b));
    Ok(Turn {
        summary: run.summary,
        usage: usage.collect(),
    })
}

fn targets(cluster: &Cluster, route: Route, coordinator: usize) -> Vec<SocketAddr> {
    match route {
        Route::Direct => cluster.upstreams.clone(),
        Route::OneHop => vec![cluster.hosts[coordinator].callers],
        Route::InDomainHop => vec![cluster.hosts[1 - coordinator].callers],
    }
}

fn usages(cluster: &Cluster) -> anyhow::Result<Vec<ProcessUsage>> {
    cluster.hosts.iter().map(HostProcess::usage).collect()
}

fn summarize(args: &AddedLatencyArgs, route: Route, results: &RateResults) -> PathLine {
    let RateResults {
        share,
        rate_per_s,
        coordinator,
        turns,
    } = results;
    let route_turns = || turns.iter().map(|t| &t[route as usize]);
    let latency =
        |of: fn(&Latencies) -> u64| median(route_turns().map(|t| of(&t.summary.answers) as f64));
    let added = |of: fn(&Latencies) -> u64| {
        median(turns.iter().map(|t| {
            let direct = of(&t[Route::Direct as usize].summary.answers);
            of(&t[route as usize].summary.answers) as f64 - direct as f64
        }))
    };
    let percentiles = |value: &dyn Fn(fn(&Latencies) -> u64) -> f64| Percentiles {
        p50: value(|l| l.p50_us),
        p99: value(|l| l.p99_us),
        p999: value(|l| l.p999_us),
    };
    let cpu_us_per_request = median(route_turns().map(|t| {
        let cpu: Duration = t.usage.iter().map(ProcessUsage::cpu).sum();
        micros(cpu) / t.summary.sent.max(1) as f64
    }));
    let last = turns.last().map(|t| &t[route as usize].usage);
    let rss_kib = |host: usize| last.map_or(0, |usage| usage[host].rss_kib);
    PathLine {
        kind: "path",
        route,
        share: format!("{share}").into(),
        seed: args.seed,
        rate_per_s: *rate_per_s,
        turns: args.turns,
        goodput_per_s: median(route_turns().map(|t| t.summary.goodput_per_s)),
        refused: route_turns()
            .map(|t| t.summary.sent - t.summary.answered)
            .sum(),
        latency: percentiles(&latency),
        added: percentiles(&added),
        cpu_us_per_request,
        requests_per_core_s: 1e6 / cpu_us_per_request,
        threads_us: cpu_us_by_thread(route_turns()),
        coordinator_rss_kib: rss_kib(*coordinator),
        other_rss_kib: rss_kib(1 - coordinator),
        load_average: load_average(),
    }
}

/// Returns the CPU time per request of each thread, in microseconds, over all hosts and turns.
fn cpu_us_by_thread<'a>(turns: impl Iterator<Item = &'a Turn>) -> indexmap::IndexMap<SmolStr, f64> {
    let mut micros_by_thread = indexmap::IndexMap::<SmolStr, f64>::new();
    let mut sent = 0;
    for turn in turns {
        sent += turn.summary.sent;
        let threads = turn.usage.iter().flat_map(|r| &r.threads);
        for (name, cpu) in threads {
            *micros_by_thread.entry(name.clone()).or_default() += micros(*cpu);
        }
    }
    for value in micros_by_thread.values_mut() {
        *value /= sent.max(1) as f64;
    }
    micros_by_thread
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
