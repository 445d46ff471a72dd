//! Counters and latencies in the text exposition format, for scrapers.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, NoLabelSet};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::counters::{Latency, METRICS, Metrics, PREFIX};

/// Upper bounds of the latency buckets, in seconds. They range from the time of a refusal to the
/// longest deadline; each is about twice the one before.
pub const BUCKET_BOUNDS: [f64; 13] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Bucket counts of one latency since the start.
#[derive(Debug, Default)]
pub(crate) struct Buckets {
    /// Count for each of [`BUCKET_BOUNDS`], and for values above the last one.
    counts: [AtomicU64; BUCKET_BOUNDS.len() + 1],
    micros: AtomicU64,
}

impl Buckets {
    pub(crate) fn record(&self, span: Duration) {
        let seconds = span.as_secs_f64();
        let index = BUCKET_BOUNDS.partition_point(|&bound| bound < seconds);
        self.counts[index].fetch_add(1, Ordering::Relaxed);
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(micros, Ordering::Relaxed);
    }

    /// Returns the count of each bucket, and the sum in seconds.
    pub(crate) fn read(&self) -> (Vec<u64>, f64) {
        let counts = self.counts.iter().map(|c| c.load(Ordering::Relaxed));
        let sum = self.micros.load(Ordering::Relaxed) as f64 / 1e6;
        (counts.collect(), sum)
    }
}

/// Collects a host's metrics at each scrape.
#[derive(Debug)]
struct MetricsCollector(Arc<Metrics>);

impl Collector for MetricsCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let snapshot = self.0.snapshot();
        for info in METRICS.iter() {
            let Some(&total) = snapshot.counts.get(&info.name) else {
                continue;
            };
            let counter = ConstCounter::new(total);
            let name = exposed_name(&info.name);
            let metric = encoder.encode_descriptor(
                &name,
                &info.about,
                None,
                EncodeMetric::metric_type(&counter),
            )?;
            counter.encode(metric)?;
        }
        for &latency in Latency::ALL {
            let (counts, sum) = self.0.buckets(latency).read();
            let histogram = Histogram::new(BUCKET_BOUNDS);
            let name = format!("{}_seconds", exposed_name(latency.as_str()));
            let mut metric = encoder.encode_descriptor(
                &name,
                latency.as_str(),
                None,
                histogram.metric_type(),
            )?;
            let bounds = BUCKET_BOUNDS.iter().copied().chain([f64::MAX]);
            let buckets: Vec<(f64, u64)> = bounds.zip(counts.iter().copied()).collect();
            let count = counts.iter().sum();
            metric.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)?;
        }
        Ok(())
    }
}

/// Returns the exposed name, which has only letters, digits and underscores.
fn exposed_name(name: &str) -> String {
    format!("{PREFIX}_{}", name.replace(['.', '-'], "_"))
}

/// Returns the metrics in the text exposition format.
///
/// # Panics
///
/// Does not panic: writing to a string does not fail.
#[must_use]
pub fn expose(metrics: &Arc<Metrics>) -> String {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(MetricsCollector(Arc::clone(metrics))));
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry)
        .expect("writing to a string does not fail");
    text
}
