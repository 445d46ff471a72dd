//! Rules for upstreams: exclusive ownership, increasing epochs, draining and slots; and churn.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use ids::{EntryId, Epoch, UpstreamId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::execution::{Execution, Executions};
use super::fault::{Fault, SliceOrKey};

/// Changes of the owners of slices or keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Churn {
    /// Slices or keys with executions.
    pub parts: u64,
    /// Slices or keys that changed their owner.
    pub moved: u64,
    /// Total number of changes.
    pub changes: u64,
    /// Maximum number of changes of one slice or key.
    pub max_changes: u64,
}

type Groups<'a> = IndexMap<(&'a EntryId, SliceOrKey), Vec<&'a Execution>>;

fn group_by(all: &[Execution], part: impl Fn(&Execution) -> Option<SliceOrKey>) -> Groups<'_> {
    let mut parts = Groups::new();
    for execution in all {
        if let Some(part) = part(execution) {
            parts
                .entry((&execution.entry, part))
                .or_default()
                .push(execution);
        }
    }
    parts
}

/// Groups executions by slice.
///
/// Executions without a slice belong to entries that are not divided by key.
fn by_slice(all: &[Execution]) -> Groups<'_> {
    group_by(all, |e| e.slice.map(SliceOrKey::Slice))
}

/// Groups executions by key, which stays the same when the key is carved out as a separate slice.
fn by_key(all: &[Execution]) -> Groups<'_> {
    group_by(all, |e| {
        let key = e.slice.and(e.key.as_ref())?;
        Some(SliceOrKey::Key(key.clone()))
    })
}

/// Checks that no two upstreams own a slice or key at the same time.
pub(super) fn check_owners(all: &[Execution], faults: &mut Vec<Fault>) {
    for parts in [by_slice(all), by_key(all)] {
        for ((entry, part), executions) in &parts {
            check_exclusive(entry, part, executions, faults);
        }
    }
}

/// Checks the executions of one slice or key, ordered by their starts.
fn check_exclusive(
    entry: &EntryId,
    part: &SliceOrKey,
    executions: &[&Execution],
    faults: &mut Vec<Fault>,
) {
    // For each upstream, the execution with the latest end of ownership.
    let mut latest: IndexMap<&UpstreamId, &Execution> = IndexMap::new();
    for &second in executions {
        let others = latest.values().filter(|first| {
            first.place.upstream != second.place.upstream
                && first.held_until_us > second.place.start_us
        });
        faults.extend(others.map(|first| Fault::TwoOwners {
            entry: entry.clone(),
            part: part.clone(),
            first: first.place.clone(),
            first_until_us: first.held_until_us,
            second: second.place.clone(),
        }));
        let own = latest.entry(&second.place.upstream).or_insert(second);
        if second.held_until_us > own.held_until_us {
            *own = second;
        }
    }
}

/// Checks that the epochs of each upstream never decrease.
pub(super) fn check_epochs(all: &[Execution], faults: &mut Vec<Fault>) {
    let mut highest: IndexMap<&UpstreamId, Epoch> = IndexMap::new();
    for execution in all {
        let Some(epoch) = execution.epoch else {
            continue;
        };
        let highest = highest.entry(&execution.place.upstream).or_insert(epoch);
        if epoch < *highest {
            faults.push(Fault::EpochFell {
                place: execution.place.clone(),
                epoch,
                highest: *highest,
            });
        }
        *highest = epoch.max(*highest);
    }
}

/// Checks that draining upstreams get no new work from `grace` after their announcement.
pub(super) fn check_leaving(executions: &Executions, grace: Duration, faults: &mut Vec<Fault>) {
    let grace = grace.as_micros() as u64;
    for execution in &executions.all {
        let place = &execution.place;
        let late = executions.drains.iter().find(|d| {
            let time = d.from_us.saturating_add(grace)..d.until_us;
            d.upstream == place.upstream && d.boot == place.boot && time.contains(&place.start_us)
        });
        if let Some(drain) = late {
            faults.push(Fault::WorkWhileLeaving {
                place: place.clone(),
                said_us: drain.from_us,
            });
        }
    }
}

/// Checks that no upstream runs more requests concurrently than it has slots.
pub(super) fn check_slots(executions: &Executions, faults: &mut Vec<Fault>) {
    for boot in &executions.incarnations {
        let mut ends = BinaryHeap::new();
        let of_boot =
            |e: &&Execution| e.place.upstream == boot.upstream && e.place.boot == boot.boot;
        for execution in executions.all.iter().filter(of_boot) {
            let place = &execution.place;
            while ends
                .peek()
                .is_some_and(|Reverse(end)| *end <= place.start_us)
            {
                ends.pop();
            }
            ends.push(Reverse(place.end_us.unwrap_or(place.start_us)));
            let running = ends.len() as u32;
            if running > boot.slots {
                faults.push(Fault::TooManyRunning {
                    upstream: boot.upstream.clone(),
                    place: place.clone(),
                    running,
                });
            }
        }
    }
}

/// Counts changes of the owners of slices.
pub(super) fn slice_churn(all: &[Execution]) -> Churn {
    churn(&by_slice(all))
}

/// Counts changes of the owners of keys.
pub(super) fn key_churn(all: &[Execution]) -> Churn {
    churn(&by_key(all))
}

fn churn(parts: &Groups<'_>) -> Churn {
    let mut churn = Churn::default();
    for executions in parts.values() {
        let is_change = |w: &&[&Execution]| w[0].place.upstream != w[1].place.upstream;
        let changes = executions.windows(2).filter(is_change).count() as u64;
        churn.parts += 1;
        churn.moved += u64::from(changes > 0);
        churn.changes += changes;
        churn.max_changes = churn.max_changes.max(changes);
    }
    churn
}
