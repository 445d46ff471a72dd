//! Waiting until every entry is answered through every host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::HostId;
use standin::load::{self, ClientOutcome, KeyDistribution, LoadSettings};
use tokio::time::sleep;

use super::Cluster;

/// Requests of one look at one host.
const REQUESTS_PER_LOOK: f64 = 48.0;
const LOOK_MS: u64 = 100;
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Waits until a burst of requests to each running host is answered to the last one.
///
/// # Errors
///
/// Fails if that takes longer than `within`.
pub async fn wait(cluster: &mut Cluster, within: Duration) -> anyhow::Result<()> {
    let began = Instant::now();
    for host in cluster.hosts.running() {
        wait_for(cluster, &host, began, within).await?;
    }
    Ok(())
}

/// Waits until a burst of requests to one host is answered to the last one.
///
/// # Errors
///
/// Fails if that takes longer than `within`.
pub async fn wait_for_host(
    cluster: &mut Cluster,
    host: &HostId,
    within: Duration,
) -> anyhow::Result<()> {
    wait_for(cluster, host, Instant::now(), within).await
}

async fn wait_for(
    cluster: &mut Cluster,
    host: &HostId,
    began: Instant,
    within: Duration,
) -> anyhow::Result<()> {
    let address = cluster.hosts.callers(host)?;
    loop {
        let run = load::run(burst(cluster, address)).await?;
        let failed = run
            .records
            .iter()
            .find(|r| r.seen != ClientOutcome::Answered);
        let Some(failed) = failed else {
            return Ok(());
        };
        let ended = cluster.hosts.ended();
        anyhow::ensure!(ended.is_empty(), "hosts ended: {ended:?}");
        anyhow::ensure!(
            began.elapsed() < within,
            "host {host} does not answer all requests within {within:?}; one of them: {failed:?}"
        );
        sleep(LOOK_EVERY).await;
    }
}

fn burst(cluster: &Cluster, target: SocketAddr) -> LoadSettings {
    let layout = &cluster.settings().layout;
    LoadSettings {
        targets: vec![target],
        rate_per_s: REQUESTS_PER_LOOK * 1_000.0 / LOOK_MS as f64,
        duration_ms: LOOK_MS,
        entries: layout.loads.clone(),
        keys: KeyDistribution { ..layout.keys },
        next_target: false,
        ..LoadSettings::default()
    }
}
