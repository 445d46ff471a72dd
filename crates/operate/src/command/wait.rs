//! Waiting until a version is in force on every host.

use std::net::SocketAddr;
use std::time::Duration;

use ids::Version;
use tokio::time::{Instant, sleep};

use crate::hosts::{Asked, ask_all};

/// Time between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// What came of waiting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waited {
    /// Hosts that have the version in force.
    pub in_force: usize,
    /// Hosts that were asked.
    pub asked: usize,
    /// The others, with what they said last.
    pub lagging: Vec<String>,
    /// How long it took.
    pub took: Duration,
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

/// Asks all hosts until each has `version` in force or `longest` has passed.
pub async fn wait_for(
    hosts: &[SocketAddr],
    version: Version,
    longest: Duration,
    progress: &mut dyn FnMut(&str),
) -> Waited {
    let start = Instant::now();
    let mut last = usize::MAX;
    loop {
        let waited = summarize(&ask_all(hosts).await, version, start.elapsed());
        if waited.in_force != last {
            last = waited.in_force;
            progress(&line(&waited, version));
        }
        if waited.in_force == waited.asked || waited.took >= longest {
            return waited;
        }
        sleep(PAUSE).await;
    }
}

fn line(waited: &Waited, version: Version) -> String {
    let Waited {
        in_force,
        asked,
        took,
        ..
    } = waited;
    let ms = took.as_millis();
    format!("version {version} in force on {in_force} of {asked} hosts after {ms} ms")
}

fn summarize(asked: &[Asked], version: Version, took: Duration) -> Waited {
    let lagging: Vec<String> = asked.iter().filter(|a| !a.has(version)).map(lag).collect();
    Waited {
        in_force: asked.len() - lagging.len(),
        asked: asked.len(),
        lagging,
        took,
    }
}

fn lag(asked: &Asked) -> String {
    match &asked.answer {
        Ok(s) => format!(
            "{} ({}) has version {}",
            s.host, asked.address, s.catalogue_version
        ),
        Err(e) => format!("{e:#}"),
    }
}
