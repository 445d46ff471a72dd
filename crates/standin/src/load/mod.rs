//! An open-loop load generator.
//!
//! It sends requests at scheduled times, regardless of whether earlier requests are answered, and
//! measures latency from the intended time, so that the latency includes the time for which a
//! stalled server delays later requests.
//!
//! - [`settings`]: settings of a load.
//! - [`schedule`]: the times of requests.
//! - [`record`]: the outcomes of requests.

mod pool;
pub mod record;
pub mod schedule;
mod send;
pub mod settings;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Context;
use ids::{BootClock, Clock};
use smol_str::SmolStr;
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::client::Protocol;
use pool::Pool;
pub use record::{ClientOutcome, Latencies, Record, Summary};
use schedule::{PlannedRequest, Schedule};
pub use settings::{EntryLoad, KeyDistribution, LoadSettings};

/// Time before a request is due from which the scheduler polls the clock instead of sleeping.
const SPIN: Duration = Duration::from_micros(80);
/// Longest sleep of the scheduler, which checks for cancellation between sleeps.
const MAX_SLEEP: Duration = Duration::from_millis(20);
const PREFIX_CHARS: usize = 8;

/// The result of a load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadResult {
    /// Summary of all requests.
    pub summary: Summary,
    /// Records of all requests, in order of their intended times.
    pub records: Vec<Record>,
}

/// A load in progress.
#[derive(Debug)]
pub struct RunningLoad {
    stop: CancellationToken,
    scheduler: thread::JoinHandle<Sent>,
    deadline_ms: Option<u32>,
}

/// Result of the scheduler: the requests sent, and the time that the schedule took.
#[derive(Debug)]
struct Sent {
    requests: JoinSet<Record>,
    duration: Duration,
}

/// Starts a load on the current runtime, with a thread that follows the schedule.
///
/// # Errors
///
/// Fails if the settings are invalid.
pub fn start(cfg: LoadSettings) -> anyhow::Result<RunningLoad> {
    let prefix = cfg.id_prefix.clone().unwrap_or_else(draw_prefix);
    let schedule = Schedule::new(&cfg, prefix)?;
    let protocol = if cfg.http2 {
        Protocol::Http2
    } else {
        Protocol::Http1
    };
    let pools = cfg
        .targets
        .iter()
        .map(|peer| Pool::new(*peer, protocol, cfg.connections))
        .collect();
    let deadline_ms = cfg.deadline_ms;
    let load = Arc::new(send::Load { cfg, pools });
    check(&load)?;
    let stop = CancellationToken::new();
    let scheduler = Scheduler {
        load,
        stop: stop.clone(),
        runtime: Handle::current(),
    };
    let scheduler = thread::Builder::new()
        .name("load-schedule".to_owned())
        .spawn(move || scheduler.run(schedule))
        .context("start scheduler")?;
    Ok(RunningLoad {
        stop,
        scheduler,
        deadline_ms,
    })
}

/// Runs a load to its end.
///
/// # Errors
///
/// Fails if the settings are invalid.
pub async fn run(cfg: LoadSettings) -> anyhow::Result<LoadResult> {
    start(cfg)?.finish().await
}

impl RunningLoad {
    /// Returns a token whose cancellation ends the schedule.
    #[must_use]
    pub fn stopper(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Ends the schedule and waits for the outcomes of the requests sent.
    ///
    /// # Errors
    ///
    /// Fails if a task of the load panicked.
    pub async fn stop(self) -> anyhow::Result<LoadResult> {
        self.stop.cancel();
        self.finish().await
    }

    /// Waits for the end of the schedule and for all outcomes.
    ///
    /// # Errors
    ///
    /// Fails if a task of the load panicked.
    pub async fn finish(self) -> anyhow::Result<LoadResult> {
        let scheduler = self.scheduler;
        let sent = tokio::task::spawn_blocking(move || scheduler.join())
            .await
            .context("wait for scheduler")?;
        let Ok(sent) = sent else {
            anyhow::bail!("the scheduler panicked");
        };
        let Sent {
            mut requests,
            duration,
        } = sent;
        let mut records = Vec::with_capacity(requests.len());
        while let Some(record) = requests.join_next().await {
            records.push(record.context("send request")?);
        }
        records.sort_by(|a, b| (a.intended_us, &a.id).cmp(&(b.intended_us, &b.id)));
        let duration_ms = duration.as_millis() as u64;
        let summary = Summary::of(&records, duration_ms, self.deadline_ms);
        Ok(LoadResult { summary, records })
    }
}

/// Checks that requests can be built from the settings.
fn check(load: &send::Load) -> anyhow::Result<()> {
    for (i, entry) in load.cfg.entries.iter().enumerate() {
        let planned = PlannedRequest {
            at: Duration::ZERO,
            id: SmolStr::new_static("check"),
            entry: i,
            key: Some(SmolStr::new_static("key-0")),
            target: 0,
        };
        send::request(load, &planned, entry, bytes::Bytes::new(), &load.pools[0])
            .with_context(|| format!("entry {i}"))?;
    }
    Ok(())
}

fn draw_prefix() -> SmolStr {
    let uuid = uuid::Uuid::new_v4().simple().to_string();
    SmolStr::new(&uuid[..PREFIX_CHARS])
}

/// Follows the schedule on a separate thread, because the runtime's timers are too coarse.
#[derive(Debug)]
struct Scheduler {
    load: Arc<send::Load>,
    stop: CancellationToken,
    runtime: Handle,
}

impl Scheduler {
    fn run(self, schedule: Schedule) -> Sent {
        let start = Instant::now();
        let start_reading = BootClock.now();
        let mut requests = JoinSet::new();
        for planned in schedule {
            if !self.wait_until(start + planned.at) {
                break;
            }
            let intended = start_reading + planned.at;
            let load = Arc::clone(&self.load);
            let request = async move { send::send(&load, planned, intended).await };
            requests.spawn_on(request, &self.runtime);
        }
        if !self.stop.is_cancelled() {
            self.wait_until(start + Duration::from_millis(self.load.cfg.duration_ms));
        }
        Sent {
            requests,
            duration: start.elapsed(),
        }
    }

    /// Waits until `due`; returns false if the load was stopped.
    fn wait_until(&self, due: Instant) -> bool {
        loop {
            if self.stop.is_cancelled() {
                return false;
            }
            let remaining = due.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return true;
            }
            if remaining > SPIN {
                thread::sleep(remaining.saturating_sub(SPIN).min(MAX_SLEEP));
            } else {
                thread::yield_now();
            }
        }
    }
}
