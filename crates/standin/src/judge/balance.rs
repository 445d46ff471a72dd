//! Distribution of load across upstreams.

use ids::{EntryId, UpstreamId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::execution::Executions;

/// Distribution of the load of one entry across its upstreams.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Balance {
    /// Requests that each upstream started.
    pub requests: IndexMap<UpstreamId, u64>,
    /// Highest busy time per slot of an upstream, divided by the mean of all upstreams.
    pub max_over_mean: f64,
    /// Standard deviation of the busy time per slot, divided by its mean.
    pub deviation: f64,
}

/// Busy time of an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct BusyTime {
    slots: u32,
    requests: u64,
    us: u64,
}

/// Computes the balance of each entry, including upstreams without requests.
pub(super) fn balance(executions: &Executions) -> IndexMap<EntryId, Balance> {
    let mut entries: IndexMap<&EntryId, IndexMap<&UpstreamId, BusyTime>> = IndexMap::new();
    for boot in &executions.incarnations {
        let upstreams = entries.entry(&boot.entry).or_default();
        upstreams.entry(&boot.upstream).or_default().slots = boot.slots;
    }
    for execution in &executions.all {
        let place = &execution.place;
        let upstreams = entries.entry(&execution.entry).or_default();
        let busy = upstreams.entry(&place.upstream).or_default();
        busy.requests += 1;
        busy.us += place.end_us.unwrap_or(place.start_us) - place.start_us;
    }
    entries
        .into_iter()
        .map(|(entry, upstreams)| (entry.clone(), balance_of(&upstreams)))
        .collect()
}

fn balance_of(upstreams: &IndexMap<&UpstreamId, BusyTime>) -> Balance {
    let per_slot = |b: &BusyTime| b.us as f64 / f64::from(b.slots.max(1));
    let count = upstreams.len().max(1) as f64;
    let mean = upstreams.values().map(per_slot).sum::<f64>() / count;
    let max = upstreams.values().map(per_slot).fold(0.0, f64::max);
    let squares = upstreams.values().map(|b| (per_slot(b) - mean).powi(2));
    let deviation = (squares.sum::<f64>() / count).sqrt();
    let over_mean = |x: f64| if mean > 0.0 { x / mean } else { 0.0 };
    Balance {
        requests: upstreams
            .iter()
            .map(|(name, busy)| ((*name).clone(), busy.requests))
            .collect(),
        max_over_mean: over_mean(max),
        deviation: over_mean(deviation),
    }
}
