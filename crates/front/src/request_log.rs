//! Log lines about single requests.
//!
//! Each refusal and each retry of a request is logged, and a sample of the answers. A line names
//! the request and what the decision was based on: the configuration's version, the upstream, its
//! estimated occupancy, and the age of the load report behind that estimate.

use std::cell::Cell;
use std::time::Duration;

use direct::{Configuration, Registration, RequestFingerprint, Route};
use gate::Metrics;
use gate::counters::{Count, Latency};
use ids::{BootClock, Clock, EntryId, Reason, Timestamp, Version};
use slog::{Logger, info};
use smol_str::SmolStr;

/// Maximum number of lines about requests per second; more are counted and left out.
///
/// At some 20 microseconds a line, this is a hundredth of a host's processor.
const MAX_LINES_PER_SECOND: u32 = 100;
/// One in this many answered requests is logged.
const SAMPLE_INTERVAL: u32 = 128;

/// What a request was sent with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentWith {
    /// A permit at the upstream.
    Permit,
    /// Nothing but this host's estimate of the upstream's load.
    Estimate,
    /// A place in this host's share of the entry, as no permit host replied.
    Share,
}

impl SentWith {
    /// Returns the text in log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Permit => "permit",
            Self::Estimate => "estimate",
            Self::Share => "share",
        }
    }
}

/// What is known of a request while it is served.
#[derive(Debug, Clone, Default)]
pub struct RequestLog {
    /// The request's identifier.
    pub id: SmolStr,
    /// Fingerprint of what the request asks; a repeat of the request has the same.
    pub fingerprint: RequestFingerprint,
    /// Name of the request's route.
    pub route: SmolStr,
    /// The entry that serves it.
    pub entry: Option<EntryId>,
    /// Version of the configuration.
    pub version: Version,
    /// The request's key.
    pub key: Option<u16>,
    /// The upstream that the request was last sent to, or that had no room for it.
    pub upstream: SmolStr,
    /// Estimated occupancy of that upstream: requests for each slot.
    pub occupancy: f64,
    /// Age of the upstream's last load report.
    pub report_age: Option<Duration>,
    /// Number of times that the request was sent.
    pub sent: u32,
    /// What it was last sent with.
    pub sent_with: Option<SentWith>,
}

impl RequestLog {
    /// Records the request's route in `cfg`.
    pub fn set_route(&mut self, cfg: &Configuration, route: &Route, key: Option<u16>) {
        self.version = cfg.version;
        self.route = route.name.clone();
        self.key = key;
    }

    /// Records that the request goes to `target`, or would if there were room.
    pub fn set_upstream(
        &mut self,
        target: &Registration,
        occupancy: f64,
        report_age: Option<Duration>,
    ) {
        self.upstream = SmolStr::new(target.id.as_str());
        self.occupancy = occupancy;
        self.report_age = report_age;
    }

    /// Records that the request is sent.
    pub const fn record_sent(&mut self, sent_with: SentWith) {
        self.sent += 1;
        self.sent_with = Some(sent_with);
    }
}

/// Writes log lines about requests, up to a maximum rate.
#[derive(Debug)]
pub struct RequestLogger {
    log: Logger,
    second: Cell<u64>,
    lines_this_second: Cell<u32>,
    left_out: Cell<u64>,
    answered: Cell<u32>,
    left_out_reported: Cell<Timestamp>,
}

impl RequestLogger {
    /// Builds a logger that writes to `log`.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            second: Cell::new(0),
            lines_this_second: Cell::new(0),
            left_out: Cell::new(0),
            answered: Cell::new(0),
            left_out_reported: Cell::new(BootClock.now()),
        }
    }

    /// Counts a request that an upstream answered, and logs a sample of them.
    pub fn answered(
        &self,
        request: &RequestLog,
        arrived: Timestamp,
        status: u16,
        metrics: &Metrics,
    ) {
        let after = BootClock.now().since(arrived);
        metrics.count(Count::Answered);
        metrics.record(Latency::Answered, after);
        let count = self.answered.get() + 1;
        self.answered.set(count % SAMPLE_INTERVAL);
        if count == SAMPLE_INTERVAL && self.may_log() {
            self.line(
                "request answered",
                request,
                after,
                "answered",
                status.into(),
                None,
            );
        }
    }

    /// Counts and logs a request that was refused.
    pub fn refused(
        &self,
        request: &RequestLog,
        arrived: Timestamp,
        reason: Reason,
        retry_after: Option<Duration>,
        metrics: &Metrics,
    ) {
        let after = BootClock.now().since(arrived);
        metrics.refused(reason);
        metrics.record(Latency::Refused, after);
        if self.may_log() {
            let status = u64::from(reason.status());
            self.line(
                "request not served",
                request,
                after,
                reason.as_str(),
                status,
                retry_after,
            );
        }
    }

    /// Counts and logs a retry of a request.
    pub fn retried(
        &self,
        request: &RequestLog,
        arrived: Timestamp,
        reason: Reason,
        metrics: &Metrics,
    ) {
        metrics.retried(reason);
        if self.may_log() {
            let after = BootClock.now().since(arrived);
            self.line(
                "request sent again",
                request,
                after,
                reason.as_str(),
                0,
                None,
            );
        }
    }

    fn line(
        &self,
        event: &'static str,
        request: &RequestLog,
        after: Duration,
        reason: &'static str,
        status: u64,
        retry_after: Option<Duration>,
    ) {
        let millis = |span: Duration| span.as_millis() as u64;
        info!(self.log, "{}", event;
            "request" => request.id.as_str(),
            "reason" => reason,
            "status" => status,
            "after_ms" => millis(after),
            "retry_after_ms" => retry_after.map(millis),
            "content" => %request.fingerprint,
            "route" => request.route.as_str(),
            "entry" => request.entry.as_ref().map(|e| e.as_str().to_owned()),
            "version" => request.version.0,
            "key" => request.key,
            "upstream" => request.upstream.as_str(),
            "crowd" => (request.occupancy * 100.0).round() / 100.0,
            "report_age_ms" => request.report_age.map(millis),
            "sent" => request.sent,
            "sent_with" => request.sent_with.map(SentWith::as_str));
    }

    /// Returns whether another line may be written; logs how many were left out before.
    fn may_log(&self) -> bool {
        let now = BootClock.now();
        let second = now.as_micros() / 1_000_000;
        if self.second.replace(second) != second {
            self.lines_this_second.set(0);
            let left_out = self.left_out.take();
            if left_out > 0 {
                let since = self.left_out_reported.replace(now);
                info!(self.log, "lines left out"; "lines" => left_out,
                    "since_ms" => now.since(since).as_millis() as u64);
            }
        }
        let lines = self.lines_this_second.get();
        if lines >= MAX_LINES_PER_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return false;
        }
        self.lines_this_second.set(lines + 1);
        true
    }
}
