//! The metrics table: its page, the names sent, and the counts.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use cadence::{SpyMetricSink, StatsdClient};
use gate::counters::{Count, Latency, PREFIX};
use gate::{METRICS, Metrics};
use ids::Reason;

const HEAD: &str = "# Metrics

Sent to the StatsD address of the settings once a second; counts since the start are also part of
`GET /medlardyke/status`. All names begin with `medlardyke.`. The table is made from the code: after a
change run `BLESS=1 cargo test -p gate --test metrics`.

Hosts on the users' platform serve the same counters as text for scrapers at `listen.metrics`, path
`/metrics`: `medlardyke_refused_queue_full_total` for `refused.queue-full`, and latencies as histograms
such as `medlardyke_latency_answered_seconds`. Counters of zero are left out.

- A request that ends without an answer counts once under `refused.<reason>` and once under its
  outcome. Reasons are those of the `medlardyke-reason` header.
- A try that failed and is followed by another one counts under `retried.<reason>`.

| name | kind | unit | what it tells |
|---|---|---|---|
";

fn page() -> String {
    let mut page = HEAD.to_owned();
    for metric in METRICS.iter() {
        let kind = metric.kind.as_str();
        let line = writeln!(
            page,
            "| `{}` | {kind} | {} | {} |",
            metric.name, metric.unit, metric.about
        );
        line.expect("writing to a string does not fail");
    }
    page
}

#[test]
fn the_page_shows_the_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(&path, page()).expect("write the page");
    }
    let found = std::fs::read_to_string(&path).expect("read the page");
    assert!(
        found == page(),
        "docs/METRICS.md is out of date: run with BLESS=1"
    );
}

#[test]
fn names_are_unique() {
    let names: BTreeSet<&str> = METRICS.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names.len(), METRICS.len());
}

fn sent(emitted: impl Iterator<Item = Vec<u8>>) -> Vec<String> {
    emitted
        .map(|bytes| String::from_utf8(bytes).expect("text"))
        .collect()
}

#[test]
fn every_metric_of_the_table_is_sent_under_its_name() {
    let (rx, sink) = SpyMetricSink::new();
    let metrics = Metrics::new(StatsdClient::from_sink(PREFIX, sink));
    for count in Count::ALL {
        metrics.count(*count);
    }
    for reason in Reason::ALL {
        metrics.refused(*reason);
        metrics.retried(*reason);
    }
    for latency in Latency::ALL {
        metrics.record(*latency, Duration::from_millis(7));
    }
    metrics.flush().expect("sent");
    let lines = sent(rx.try_iter());
    let named: BTreeSet<&str> = lines.iter().filter_map(|l| l.split(':').next()).collect();
    for metric in METRICS.iter() {
        let name = format!("{PREFIX}.{}", metric.name);
        assert!(named.contains(name.as_str()), "{name} is missing");
    }
    assert_eq!(named.len(), METRICS.len(), "nothing else is sent");
}

#[test]
fn only_increments_are_sent_and_totals_stay() {
    let (rx, sink) = SpyMetricSink::new();
    let metrics = Metrics::new(StatsdClient::from_sink(PREFIX, sink));
    for added in [1, 3] {
        for _ in 0..added {
            metrics.refused(Reason::QueueFull);
        }
        metrics.flush().expect("sent");
        let lines = sent(rx.try_iter());
        let expected = format!("{PREFIX}.refused.queue-full:{added}|c");
        assert!(lines.contains(&expected), "{lines:?}");
    }
    metrics.flush().expect("sent");
    assert!(sent(rx.try_iter()).is_empty(), "nothing was added");
    let snapshot = metrics.snapshot();
    assert_eq!(snapshot.counts["refused.queue-full"], 4);
    assert_eq!(snapshot.counts["outcome.not-run"], 4);
    assert!(!snapshot.counts.contains_key("refused.overload"));
}
