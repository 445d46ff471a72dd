//! Outcomes of a load's requests.

use hdrhistogram::Histogram;
use ids::Outcome;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Highest latency that the histogram records, in microseconds; higher ones are clamped.
const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of a request as the client observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientOutcome {
    /// Its complete answer arrived.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// A complete answer arrived that does not belong to the request.
    Wrong,
}

impl From<Outcome> for ClientOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered,
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

/// The record of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Id.
    pub id: SmolStr,
    /// First segment of the path.
    pub entry: SmolStr,
    /// Key, if the entry is divided by key.
    pub key: Option<SmolStr>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Index of the target to which it was scheduled.
    pub target: usize,
    /// Scheduled time of sending, in microseconds since the machine's boot.
    pub intended_us: u64,
    /// Time at which its outcome was known, in microseconds since the machine's boot.
    pub done_us: u64,
    /// Outcome.
    pub seen: ClientOutcome,
    /// Reason for the outcome; one that starts with `client-` was determined by the client.
    pub reason: Option<SmolStr>,
    /// Upstream that the answer names.
    pub upstream: Option<SmolStr>,
}

impl Record {
    /// Returns the time from the intended start to the outcome, in microseconds.
    #[must_use]
    pub const fn latency_us(&self) -> u64 {
        self.done_us.saturating_sub(self.intended_us)
    }
}

/// Latencies, in microseconds, from the intended start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Latencies {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Latencies {
    fn of(latencies: impl Iterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        for us in latencies {
            histogram.saturating_record(us);
        }
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// The result of a load.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Requests whose complete answer arrived.
    pub answered: u64,
    /// Answers among them that arrived after the deadline.
    pub late: u64,
    /// Requests that did not run, by reason.
    pub not_run: IndexMap<SmolStr, u64>,
    /// Requests that may have run, by reason.
    pub unknown: IndexMap<SmolStr, u64>,
    /// Requests with wrong answers, by reason.
    pub wrong: IndexMap<SmolStr, u64>,
    /// Latencies of answers.
    pub answers: Latencies,
    /// Latencies of requests that did not run.
    pub refusals: Latencies,
    /// Answers per second within the deadline.
    pub goodput_per_s: f64,
    /// Time from the first request to the end of the schedule, in milliseconds.
    pub duration_ms: u64,
}

impl Summary {
    /// Summarizes the records of a load with this duration and deadline.
    #[must_use]
    pub fn of(records: &[Record], duration_ms: u64, deadline_ms: Option<u32>) -> Self {
        let limit = deadline_ms.map_or(u64::MAX, |ms| u64::from(ms) * 1_000);
        let answered = with_outcome(records, ClientOutcome::Answered).count() as u64;
        let late = with_outcome(records, ClientOutcome::Answered)
            .filter(|r| r.latency_us() > limit)
            .count() as u64;
        Self {
            sent: records.len() as u64,
            answered,
            late,
            not_run: by_reason(records, ClientOutcome::NotRun),
            unknown: by_reason(records, ClientOutcome::Unknown),
            wrong: by_reason(records, ClientOutcome::Wrong),
            answers: Latencies::of(
                with_outcome(records, ClientOutcome::Answered).map(Record::latency_us),
            ),
            refusals: Latencies::of(
                with_outcome(records, ClientOutcome::NotRun).map(Record::latency_us),
            ),
            goodput_per_s: (answered - late) as f64 * 1_000.0 / duration_ms.max(1) as f64,
            duration_ms,
        }
    }
}

fn with_outcome(records: &[Record], seen: ClientOutcome) -> impl Iterator<Item = &Record> {
    records.iter().filter(move |r| r.seen == seen)
}

fn by_reason(records: &[Record], seen: ClientOutcome) -> IndexMap<SmolStr, u64> {
    let mut counts = IndexMap::new();
    for record in with_outcome(records, seen) {
        let reason = record.reason.clone().unwrap_or_default();
        *counts.entry(reason).or_default() += 1;
    }
    counts.sort_unstable_keys();
    counts
}
