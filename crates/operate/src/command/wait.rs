//! Waits until a version is in force on every host.

use std::net::SocketAddr;
use std::time::Duration;

use ids::Version;
use tokio::time::{Instant, sleep};

use crate::hosts::{HostReply, query_all};

/// Time between two polls of the hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The result of a wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitResult {
    /// Number of hosts that have the version in force.
    pub in_force: usize,
    /// Number of hosts that were queried.
    pub asked: usize,
    /// Last answer or error of each of the other hosts.
    pub lagging: Vec<String>,
    /// Duration of the wait.
    pub elapsed: Duration,
}

/// Returns the hosts of both lists, each once.
#[must_use]
pub fn all_hosts(settings: &[SocketAddr], given: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut hosts = Vec::new();
    for host in settings.iter().chain(given) {
        if !hosts.contains(host) {
            hosts.push(*host);
        }
    }
    hosts
}

/// Queries all hosts until each has `version` in force or `max_wait` has passed.
///
/// Calls `progress` with a line of text whenever the number of these hosts changes.
pub async fn wait_for_version(
    hosts: &[SocketAddr],
    version: Version,
    max_wait: Duration,
    progress: &mut dyn FnMut(&str),
) -> WaitResult {
    let start = Instant::now();
    let mut last = usize::MAX;
    loop {
        let result = summarize(&query_all(hosts).await, version, start.elapsed());
        if result.in_force != last {
            last = result.in_force;
            progress(&progress_line(&result, version));
        }
        if result.in_force == result.asked || result.elapsed >= max_wait {
            return result;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn progress_line(result: &WaitResult, version: Version) -> String {
    let WaitResult {
        in_force,
        asked,
        elapsed,
        ..
    } = result;
    let ms = elapsed.as_millis();
    format!("version {version} in force on {in_force} of {asked} hosts after {ms} ms")
}

fn summarize(replies: &[HostReply], version: Version, elapsed: Duration) -> WaitResult {
    let lagging: Vec<String> = replies
        .iter()
        .filter(|r| !r.has(version))
        .map(lagging_line)
        .collect();
    WaitResult {
        in_force: replies.len() - lagging.len(),
        asked: replies.len(),
        lagging,
        elapsed,
    }
}

fn lagging_line(reply: &HostReply) -> String {
    match &reply.answer {
        Ok(s) => format!(
            "{} ({}) has version {}",
            s.host, reply.address, s.catalogue_version
        ),
        Err(e) => format!("{e:#}"),
    }
}
