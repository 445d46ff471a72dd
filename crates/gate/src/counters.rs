//! The metrics table and the counters.
//!
//! The request path only updates atomics and histograms. [`Metrics::flush`], called by a reporting
//! thread, sends the changes since its last call to a `StatsD` server.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;
use ids::Reason;
use indexmap::IndexMap;
use serde::Serialize;

use crate::exposition::Buckets;

/// Prefix of all metric names.
pub const PREFIX: &str = "medlardyke";
/// Largest number of metrics queued for sending; more are dropped.
const QUEUE_CAPACITY: usize = 4_096;
/// Largest recorded latency, in microseconds; longer ones are recorded as this value.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 2;

/// Type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases; the server receives the increments.
    Counter,
    /// The value at the time of the report.
    Gauge,
}

impl MetricKind {
    /// Returns the text used in the table.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
        }
    }
}

/// One row of the metrics table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricInfo {
    /// Name, without [`PREFIX`].
    pub name: String,
    /// Kind.
    pub kind: MetricKind,
    /// Unit.
    pub unit: &'static str,
    /// Description.
    pub about: String,
}

macro_rules! counts {
    ($($name:ident = $text:literal, $unit:literal, $about:literal;)*) => {
        /// Counters other than those of each reason.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Count {
            $(#[doc = $about] $name,)*
        }

        impl Count {
            /// All counters, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            const fn unit(self) -> &'static str {
                match self { $(Self::$name => $unit,)* }
            }

            const fn about(self) -> &'static str {
                match self { $(Self::$name => $about,)* }
            }
        }
    };
}

counts! {
    Requests = "requests", "requests", "Requests of callers whose head was read.";
    Answered = "outcome.answered", "requests", "Requests that got an upstream's whole answer.";
    NotRun = "outcome.not-run", "requests", "Requests refused that surely did not run.";
    Unknown = "outcome.unknown", "requests", "Requests without an answer that may have run.";
    CallersAccepted = "callers.accepted", "connections", "Connections of callers that were accepted.";
    CallersRefused = "callers.refused", "connections", "Connections of callers closed at once, over the limit.";
    CallersClosed = "callers.closed", "connections", "Connections of callers that ended.";
    HandedOn = "peer.handed-on", "requests", "Requests handed to another host.";
    HandedIn = "peer.handed-in", "requests", "Requests taken from other hosts.";
    PeerConnected = "peer.connected", "connections", "Connections opened to other hosts.";
    PeerFailed = "peer.failed", "connections", "Connections to other hosts that failed to open or broke.";
    PeerGarbage = "peer.garbage", "connections", "Connections of other hosts closed because of bytes that are no frame.";
    UpstreamConnected = "upstream.connected", "connections", "Connections opened to upstreams.";
    UpstreamDiscarded = "upstream.discarded", "connections", "Connections to upstreams closed after use because they were not surely clean.";
    UpstreamStale = "upstream.stale", "connections", "Kept connections to upstreams found closed before use.";
    Sent = "upstream.sent", "requests", "Requests written to upstreams.";
    Aborted = "upstream.aborted", "requests", "Requests to upstreams given up before their answer.";
    StoreReturns = "store.returns", "returns", "Returns of the store from an older copy of itself that the host noticed.";
    DomainsDrained = "domains.drained", "orders", "Orders to drain a failure domain that the host took.";
    UpstreamsEnded = "upstream.ended-under", "requests", "Requests during which their upstream's process ended.";
    UpstreamsLimited = "upstream.limited", "upstreams", "Words of upstreams that they take only so many requests a second, or as many as ever again.";
    UpstreamsLeaving = "upstream.leaving", "upstreams", "Upstreams that said in an answer that they leave, before their registration did.";
    Quarantined = "requests.quarantined", "requests", "Requests that the host learnt to send to no upstream, as upstreams ended under them.";
    LinksLost = "upstream.links-lost", "links", "Links to upstreams that this host lost while another host reached the upstream.";
    PeerRequests = "peer.requests-sent", "requests", "Requests that went to their upstream through another host.";
    PeerRequestsServed = "peer.requests-served", "requests", "Requests of other hosts that this one sent to an upstream.";
    PermitsSilent = "permits.silent", "requests", "Requests for a permit to send that no host replied to.";
    PermitsAskedAgain = "permits.asked-again", "requests", "Requests for a permit that were repeated because no reply, or no permit, had come in the expected time.";
    PermitsDisplaced = "permits.displaced", "requests", "Queued requests for a permit that this host refused in favour of a later one of a more urgent route or of a failure domain that uses less.";
    NoLongerEligible = "upstream.no-longer-eligible", "requests", "Requests that could no longer go to the upstream for which they had waited.";
    PermitsWithdrawn = "permits.withdrawn", "requests", "Queued requests for a permit that this host refused because their upstream was taken out of service.";
    SentInShare = "permits.sent-in-share", "requests", "Requests that must not run twice, sent without a permit within the host's share of their entry, as no host replied.";
    ShareUsedUp = "permits.share-used-up", "requests", "Requests that must not run twice, refused as no host replied and the host's share of their entry was used up.";
    GrantsWithheld = "grants.withheld", "grants", "Grants not sent because another process than the one that was granted the keys before may listen: the keys need a higher fencing token.";
    RegistrationsRefused = "registrations.refused", "registrations", "Registrations of upstreams read that make no sense.";
    SamplesDropped = "samples.dropped", "samples", "Load samples dropped because their ring was full.";
}

macro_rules! latencies {
    ($($name:ident = $text:literal, $about:literal;)*) => {
        /// Latencies, each reported as percentiles.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Latency {
            $(#[doc = $about] $name,)*
        }

        impl Latency {
            /// All latencies, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            const fn about(self) -> &'static str {
                match self { $(Self::$name => $about,)* }
            }
        }
    };
}

latencies! {
    Answered = "latency.answered", "from the whole request to the answer, for answered requests";
    Refused = "latency.refused", "from the whole request to the refusal";
    Queue = "latency.queue", "from a call's arrival at the coordinating host to its sending";
    Upstream = "latency.upstream", "from the sending of a call to the upstream's whole answer";
    ConfigurationAge = "configuration.age", "from the start of the read of the store that the configuration is known by to the next message or read that confirms it";
}

/// Percentiles reported for each latency.
const PERCENTILES: [(&str, f64); 4] = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999), ("max", 1.0)];

/// The table of all metrics.
pub static METRICS: LazyLock<Vec<MetricInfo>> = LazyLock::new(table);

fn table() -> Vec<MetricInfo> {
    let mut table: Vec<MetricInfo> = Count::ALL.iter().map(|c| count_info(*c)).collect();
    table.extend(Reason::ALL.iter().map(|r| refused_info(*r)));
    table.extend(Reason::ALL.iter().map(|r| retried_info(*r)));
    table.extend(Latency::ALL.iter().flat_map(|l| latency_info(*l)));
    table
}

fn count_info(count: Count) -> MetricInfo {
    MetricInfo {
        name: count.as_str().to_owned(),
        kind: MetricKind::Counter,
        unit: count.unit(),
        about: count.about().to_owned(),
    }
}

fn refused_info(reason: Reason) -> MetricInfo {
    MetricInfo {
        name: refused_name(reason),
        kind: MetricKind::Counter,
        unit: "requests",
        about: format!("Refused ({}): {}", reason.outcome(), reason.about()),
    }
}

fn retried_info(reason: Reason) -> MetricInfo {
    MetricInfo {
        name: retried_name(reason),
        kind: MetricKind::Counter,
        unit: "retries",
        about: format!("Tried again after: {}", reason.about()),
    }
}

fn latency_info(latency: Latency) -> impl Iterator<Item = MetricInfo> {
    PERCENTILES.iter().map(move |(suffix, _)| MetricInfo {
        name: format!("{}.{suffix}", latency.as_str()),
        kind: MetricKind::Gauge,
        unit: "microseconds",
        about: format!("Time {}, {suffix} since the last report.", latency.about()),
    })
}

fn refused_name(reason: Reason) -> String {
    format!("refused.{reason}")
}

fn retried_name(reason: Reason) -> String {
    format!("retried.{reason}")
}

/// All counts since the start, by name; counts of zero are omitted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(transparent)]
pub struct MetricsSnapshot {
    /// Value by name.
    pub counts: IndexMap<String, u64>,
}

/// A counter, and the part of it that was already sent.
#[derive(Debug, Default)]
struct Counter {
    total: AtomicU64,
    sent: AtomicU64,
}

impl Counter {
    fn add(&self, count: u64) {
        self.total.fetch_add(count, Ordering::Relaxed);
    }

    fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns the increment since the last call.
    fn take_increment(&self) -> u64 {
        let total = self.total();
        total - self.sent.swap(total, Ordering::Relaxed)
    }
}

/// The counters of one host.
pub struct Metrics {
    counts: Vec<Counter>,
    refused: Vec<Counter>,
    retried: Vec<Counter>,
    latencies: Vec<Mutex<Histogram<u32>>>,
    buckets: Vec<Buckets>,
    client: StatsdClient,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }
}

impl Metrics {
    /// Creates counters that are reported through `client`.
    ///
    /// # Panics
    ///
    /// Does not panic: the bounds of the histograms are valid.
    #[must_use]
    pub fn new(client: StatsdClient) -> Self {
        Self {
            counts: counters(Count::ALL.len()),
            refused: counters(Reason::ALL.len()),
            retried: counters(Reason::ALL.len()),
            latencies: Latency::ALL
                .iter()
                .map(|_| Mutex::new(histogram()))
                .collect(),
            buckets: Latency::ALL.iter().map(|_| Buckets::default()).collect(),
            client,
        }
    }

    /// Creates counters that are reported to a `StatsD` server over UDP.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub fn to_statsd(server: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        Ok(Self::new(StatsdClient::from_sink(PREFIX, sink)))
    }

    /// Adds one to a counter.
    pub fn count(&self, count: Count) {
        self.counts[count as usize].add(1);
    }

    /// Counts a refusal and its outcome.
    pub fn refused(&self, reason: Reason) {
        self.refused[reason as usize].add(1);
        match reason.outcome() {
            ids::Outcome::Answered => self.count(Count::Answered),
            ids::Outcome::NotRun => self.count(Count::NotRun),
            ids::Outcome::Unknown => self.count(Count::Unknown),
        }
    }

    /// Counts a retry.
    pub fn retried(&self, reason: Reason) {
        self.retried[reason as usize].add(1);
    }

    /// Records a latency.
    pub fn record(&self, latency: Latency, span: Duration) {
        self.buckets[latency as usize].record(span);
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let histogram = &self.latencies[latency as usize];
        histogram
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .saturating_record(micros);
    }

    /// Returns the bucket counts of a latency since the start.
    pub(crate) fn buckets(&self, latency: Latency) -> &Buckets {
        &self.buckets[latency as usize]
    }

    /// Returns the number of requests refused for `reason`.
    #[must_use]
    pub fn refusals(&self, reason: Reason) -> u64 {
        self.refused[reason as usize].total()
    }

    /// Returns the number of retries after `reason`.
    #[must_use]
    pub fn retries(&self, reason: Reason) -> u64 {
        self.retried[reason as usize].total()
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn total(&self, count: Count) -> u64 {
        self.counts[count as usize].total()
    }

    /// Returns all counts since the start.
    #[must_use]
    pub fn snapshot(&self) -> MetricsSnapshot {
        let counts = self
            .named()
            .map(|(name, counter)| (name, counter.total()))
            .filter(|(_, total)| *total > 0)
            .collect();
        MetricsSnapshot { counts }
    }

    /// Sends the changes since the last call.
    ///
    /// # Errors
    ///
    /// Fails if the queue to the sending thread is full or the client refuses a value. The values
    /// of this report are then lost; the counts since the start are not.
    pub fn flush(&self) -> anyhow::Result<()> {
        for (name, counter) in self.named() {
            let added = counter.take_increment();
            if added > 0 {
                self.client.count(&name, added)?;
            }
        }
        for latency in Latency::ALL {
            self.flush_latency(*latency)?;
        }
        self.client.flush()?;
        Ok(())
    }

    fn flush_latency(&self, latency: Latency) -> anyhow::Result<()> {
        let mut histogram = self.latencies[latency as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if histogram.is_empty() {
            return Ok(());
        }
        for (suffix, quantile) in PERCENTILES {
            let name = format!("{}.{suffix}", latency.as_str());
            self.client
                .gauge(&name, histogram.value_at_quantile(quantile))?;
        }
        histogram.reset();
        Ok(())
    }

    fn named(&self) -> impl Iterator<Item = (String, &Counter)> {
        let counts = Count::ALL.iter().map(|c| c.as_str().to_owned());
        let refused = Reason::ALL.iter().map(|r| refused_name(*r));
        let retried = Reason::ALL.iter().map(|r| retried_name(*r));
        let counters = self.counts.iter().chain(&self.refused).chain(&self.retried);
        counts.chain(refused).chain(retried).zip(counters)
    }
}

fn counters(count: usize) -> Vec<Counter> {
    (0..count).map(|_| Counter::default()).collect()
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS).expect("the bounds are valid")
}
