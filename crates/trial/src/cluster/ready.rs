//! Waits until every entry is answered through every host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::HostId;
use standin::load::{self, ClientOutcome, KeyDistribution, LoadSettings};
use tokio::time::sleep;

use super::Cluster;

/// Number of requests in one burst to one host.
const REQUESTS_PER_BURST: f64 = 48.0;
const BURST_MS: u64 = 100;
const BURST_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a burst of requests to each running host is answered in full.
///
/// # Errors
///
/// Fails if that takes longer than `timeout`.
pub async fn wait_for_hosts(cluster: &mut Cluster, timeout: Duration) -> anyhow::Result<()> {
    let started = Instant::now();
    for host in cluster.hosts.running() {
        wait_for_answers(cluster, &host, started, timeout).await?;
    }
    Ok(())
}

/// Waits until a burst of requests to one host is answered in full.
///
/// # Errors
///
/// Fails if that takes longer than `timeout`.
pub async fn wait_for_host(
    cluster: &mut Cluster,
    host: &HostId,
    timeout: Duration,
) -> anyhow::Result<()> {
    wait_for_answers(cluster, host, Instant::now(), timeout).await
}

async fn wait_for_answers(
    cluster: &mut Cluster,
    host: &HostId,
    started: Instant,
    timeout: Duration,
) -> anyhow::Result<()> {
    let address = cluster.hosts.caller_address(host)?;
    loop {
        let run = load::run(burst(cluster, address)).await?;
        let failed = run
            .records
            .iter()
            .find(|r| r.seen != ClientOutcome::Answered);
        let Some(failed) = failed else {
            return Ok(());
        };
        let exited = cluster.hosts.exited();
        anyhow::ensure!(exited.is_empty(), "hosts exited: {exited:?}");
        anyhow::ensure!(
            started.elapsed() < timeout,
            "host {host} does not answer all requests within {timeout:?}; one of them: {failed:?}"
        );
        sleep(BURST_INTERVAL).await;
    }
}

fn burst(cluster: &Cluster, target: SocketAddr) -> LoadSettings {
    let layout = &cluster.settings().layout;
    LoadSettings {
        targets: vec![target],
        rate_per_s: REQUESTS_PER_BURST * 1_000.0 / BURST_MS as f64,
        duration_ms: BURST_MS,
        entries: layout.loads.clone(),
        keys: KeyDistribution { ..layout.keys },
        next_target: false,
        ..LoadSettings::default()
    }
}
