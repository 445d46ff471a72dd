//! Log lines about single requests.
//!
//! Each request that is refused or sent again gets a line for each such decision, and one in some of
//! those that are answered. A line names the request and what decided: the configuration's version,
//! the upstream, how crowded it was thought to be, and how old the report of that was.

use std::cell::Cell;
use std::time::Duration;

use direct::{Configuration, Registration, RequestFingerprint, Route};
use gate::Metrics;
use gate::counters::{Count, Latency};
use ids::{BootClock, Clock, EntryId, Reason, Timestamp, Version};
use slog::{Logger, info};
use smol_str::SmolStr;

/// Lines about requests in a second; more are counted and left out.
///
/// A hundredth of a host's processor at the cost of a line, some 20 microseconds.
const LINES_A_SECOND: u32 = 100;
/// One in so many answered requests gets a line.
const SAMPLE: u32 = 128;

/// What is known of a request while it is served.
#[derive(Debug, Clone, Default)]
pub struct Story {
    /// The request.
    pub id: SmolStr,
    /// What it asks: repeats of one request have the same.
    pub content: RequestFingerprint,
    /// The route that it took.
    pub route: SmolStr,
    /// The entry that serves it.
    pub entry: Option<EntryId>,
    /// The configuration's version.
    pub version: Version,
    /// Its key.
    pub key: Option<u16>,
    /// The upstream that it was last sent to, or that had no room for it.
    pub upstream: SmolStr,
    /// How crowded that upstream was thought to be: requests for each slot.
    pub crowd: f64,
    /// How old the upstream's report of its load was.
    pub report_age: Option<Duration>,
    /// How often it was sent.
    pub sent: u32,
}

impl Story {
    /// Notes which route of `cfg` the request takes.
    pub fn takes(&mut self, cfg: &Configuration, route: &Route, key: Option<u16>) {
        self.version = cfg.version;
        self.route = route.name.clone();
        self.key = key;
    }

    /// Notes that the request goes to `target`, or would if there were room.
    pub fn goes_to(&mut self, target: &Registration, crowd: f64, report_age: Option<Duration>) {
        self.upstream = SmolStr::new(target.id.as_str());
        self.crowd = crowd;
        self.report_age = report_age;
    }
}

/// Writes lines about requests, as many as may be.
#[derive(Debug)]
pub struct Teller {
    log: Logger,
    second: Cell<u64>,
    lines: Cell<u32>,
    left_out: Cell<u64>,
    answered: Cell<u32>,
    reported: Cell<Timestamp>,
}

impl Teller {
    /// Builds a teller that writes to `log`.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            second: Cell::new(0),
            lines: Cell::new(0),
            left_out: Cell::new(0),
            answered: Cell::new(0),
            reported: Cell::new(BootClock.now()),
        }
    }

    /// Tells that a request got an upstream's answer.
    pub fn answered(&self, story: &Story, arrived: Timestamp, status: u16, metrics: &Metrics) {
        let after = BootClock.now().since(arrived);
        metrics.count(Count::Answered);
        metrics.record(Latency::Answered, after);
        let count = self.answered.get() + 1;
        self.answered.set(count % SAMPLE);
        if count == SAMPLE && self.may_tell() {
            self.line(
                "request answered",
                story,
                after,
                "answered",
                status.into(),
                None,
            );
        }
    }

    /// Tells that a request got no answer.
    pub fn refused(
        &self,
        story: &Story,
        arrived: Timestamp,
        reason: Reason,
        retry_after: Option<Duration>,
        metrics: &Metrics,
    ) {
        let after = BootClock.now().since(arrived);
        metrics.refused(reason);
        metrics.record(Latency::Refused, after);
        if self.may_tell() {
            let status = u64::from(reason.status());
            self.line(
                "request not served",
                story,
                after,
                reason.as_str(),
                status,
                retry_after,
            );
        }
    }

    /// Tells that a request is sent again.
    pub fn sent_again(&self, story: &Story, arrived: Timestamp, reason: Reason, metrics: &Metrics) {
        metrics.retried(reason);
        if self.may_tell() {
            let after = BootClock.now().since(arrived);
            self.line("request sent again", story, after, reason.as_str(), 0, None);
        }
    }

    fn line(
        &self,
        event: &'static str,
        story: &Story,
        after: Duration,
        reason: &'static str,
        status: u64,
        retry_after: Option<Duration>,
    ) {
        let millis = |span: Duration| span.as_millis() as u64;
        info!(self.log, "{}", event;
            "request" => story.id.as_str(),
            "reason" => reason,
            "status" => status,
            "after_ms" => millis(after),
            "retry_after_ms" => retry_after.map(millis),
            "content" => %story.content,
            "route" => story.route.as_str(),
            "entry" => story.entry.as_ref().map(|e| e.as_str().to_owned()),
            "version" => story.version.0,
            "key" => story.key,
            "upstream" => story.upstream.as_str(),
            "crowd" => (story.crowd * 100.0).round() / 100.0,
            "report_age_ms" => story.report_age.map(millis),
            "sent" => story.sent);
    }

    /// Tells whether another line may be written; says how many were left out before.
    fn may_tell(&self) -> bool {
        let now = BootClock.now();
        let second = now.as_micros() / 1_000_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
            let left_out = self.left_out.take();
            if left_out > 0 {
                let since = self.reported.replace(now);
                info!(self.log, "lines left out"; "lines" => left_out,
                    "since_ms" => now.since(since).as_millis() as u64);
            }
        }
        let lines = self.lines.get();
        if lines >= LINES_A_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return false;
        }
        self.lines.set(lines + 1);
        true
    }
}
