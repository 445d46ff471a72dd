//! Applies reads of the store's tables, made by this host or relayed by another one.

use assign::PartitionRow;
use ids::{Revision, Timestamp};
use platform::{Delta, Row};
use serde::de::DeserializeOwned;
use slog::{info, warn};

use crate::control::hosts::HostRow;
use crate::control::quarantine::{self, QUARANTINE_ROW};
use crate::control::replica::RowNews;
use crate::control::state::ControlState;
use crate::control::tables::{HOST_PREFIX, PARTITION_PREFIX, PartitionKey, Table};
use crate::ports::Platform;

/// Most rows of one read that are logged one by one; for more rows there is one line for all.
const MAX_LOGGED_ROWS: usize = 64;

/// Applies a read of `table`; returns whether anything changed.
pub fn apply(
    c: &mut ControlState,
    platform: &impl Platform,
    table: Table,
    delta: Delta,
    now: Timestamp,
) -> bool {
    let mut replica = std::mem::take(&mut c.replicas[table.index()]);
    let is_first = replica.revision() == Revision::default();
    let (Delta::Changes(all) | Delta::Snapshot(all)) = &delta;
    let is_new_era = !is_first && replica.revision().era() < all.revision.era();
    c.is_bulk_read = matches!(delta, Delta::Snapshot(_)) || all.rows.len() > MAX_LOGGED_ROWS;
    let rows = replica.apply(delta, |row| match table {
        Table::Upstreams => apply_registration(c, platform, row, now),
        Table::Configuration => RowNews::from(!is_outdated_configuration(c, platform, row)),
        Table::Shared => RowNews::Changed,
    });
    c.replicas[table.index()] = replica;
    if std::mem::take(&mut c.is_bulk_read) {
        info!(c.log, "table read"; "table" => table.name(), "news" => rows.len());
    }
    for row in &rows {
        match table {
            Table::Upstreams => remove_registration(c, row),
            Table::Configuration => {
                let read = OperatorRead {
                    is_first,
                    is_new_era,
                };
                apply_operator_row(c, platform, row, now, read);
            }
            Table::Shared => apply_shared_row(c, platform, row, now),
        }
    }
    let removed = c.remove_missing() | c.apply_postponed_drains(now);
    if removed || (table == Table::Upstreams && !rows.is_empty()) {
        c.registry_changed_at = now;
    }
    let changed = !rows.is_empty() || removed;
    if changed {
        c.publish();
    }
    changed
}

/// Returns the key of a row within its table.
fn key_of(row: &Row) -> &str {
    row.key.0.split_once('/').map_or("", |(_, key)| key)
}

/// Returns whether a row is that of a host.
pub(crate) fn is_host_row(row: &Row) -> bool {
    key_of(row).starts_with(HOST_PREFIX)
}

/// Applies a registration; returns what it says.
fn apply_registration(
    c: &mut ControlState,
    platform: &impl Platform,
    row: &Row,
    now: Timestamp,
) -> RowNews {
    let Some(value) = &row.value else {
        return RowNews::Changed;
    };
    let upstream = match platform.registration(key_of(row), value, now) {
        Ok(upstream) => upstream,
        Err(e) => return c.refuse_registration(&e).into(),
    };
    let (id, write_count) = (upstream.id.clone(), upstream.write_count);
    if c.register(now, row.revision, upstream) {
        return RowNews::Changed;
    }
    let known = c.registry.get(&id);
    if known.is_some_and(|known| known.write_count == write_count) {
        RowNews::Unchanged
    } else {
        RowNews::Outdated
    }
}

fn remove_registration(c: &mut ControlState, row: &Row) {
    if row.value.is_none() {
        c.unregister(key_of(row));
    }
}

/// Returns whether a row holds an older configuration than the one in force: the store has returned
/// from a copy, or an operator's call was carried out late.
fn is_outdated_configuration(c: &ControlState, platform: &impl Platform, row: &Row) -> bool {
    let in_force = c.configuration.as_ref().map(|known| known.cfg.version);
    let decoded = row
        .value
        .as_ref()
        .map(|value| platform.configuration(key_of(row), value));
    match decoded {
        Some(Ok(Some(cfg))) => Some(cfg.version) < in_force,
        _ => false,
    }
}

/// A read of the operator's table.
#[derive(Debug, Clone, Copy)]
struct OperatorRead {
    /// Whether it is the first one since the start.
    is_first: bool,
    /// Whether it is the first one since the store returned from a copy.
    is_new_era: bool,
}

/// Applies a row of the operator's.
fn apply_operator_row(
    c: &mut ControlState,
    platform: &impl Platform,
    row: &Row,
    now: Timestamp,
    read: OperatorRead,
) {
    let Some(domain) = platform.drained_domain(key_of(row)) else {
        apply_configuration(c, platform, row, now);
        return;
    };
    let is_drained = row.value.is_some();
    if read.is_new_era {
        c.postpone_drain(domain, is_drained, row.revision);
        return;
    }
    c.supersede_drain(&domain);
    if is_drained {
        c.drain(domain, (!read.is_first).then_some(now));
    } else {
        c.restore_domain(now, &domain, row.revision);
    }
}

fn apply_configuration(c: &mut ControlState, platform: &impl Platform, row: &Row, now: Timestamp) {
    let Some(value) = &row.value else {
        return;
    };
    match platform.configuration(key_of(row), value) {
        Ok(Some(cfg)) => c.apply_configuration(now, cfg),
        Ok(None) => {}
        Err(e) => warn!(c.log, "configuration refused"; "error" => %e),
    }
}

pub(crate) fn apply_shared_row(
    c: &mut ControlState,
    platform: &impl Platform,
    row: &Row,
    now: Timestamp,
) {
    let key = key_of(row);
    let Some(value) = &row.value else {
        if let Some(host) = key.strip_prefix(HOST_PREFIX) {
            c.record_unlisted_host(host);
        } else if key == QUARANTINE_ROW {
            c.quarantined.row_removed();
        }
        return;
    };
    if is_host_row(row) {
        if let Some(host) = decode::<HostRow>(c, key, value) {
            c.record_host(now, host, row.revision);
        }
    } else if key == QUARANTINE_ROW {
        if let Some(quarantined) = decode(c, key, value) {
            quarantine::apply_row(c, quarantined, row.revision, platform.store_clock(), now);
        }
    } else if key.starts_with(PARTITION_PREFIX) {
        match PartitionKey::parse(key) {
            Ok(key) => apply_partition_row(c, &key, row, now),
            Err(e) => warn!(c.log, "row refused"; "row" => key, "error" => %e),
        }
    }
}

/// Applies the row of a partition.
///
/// The row of an earlier era is used only by a host that knows none of that era or a later one: the
/// store may have lost the latest rows.
pub(crate) fn apply_partition_row(
    c: &mut ControlState,
    key: &PartitionKey,
    row: &Row,
    now: Timestamp,
) {
    let Some(value) = &row.value else {
        return;
    };
    let id = &key.partition;
    let known = c
        .partitions
        .get(id)
        .and_then(|d| d.lease_manager.revision());
    let is_past = key.era < row.revision.era();
    if is_past && known.is_some_and(|known| known.era() >= key.era) {
        return;
    }
    let revision = row.revision.moved_to(key.era);
    match PartitionRow::decode(value) {
        Ok(keys) if keys.partition.index == id.index => c.apply_row(now, id, keys, revision),
        Ok(keys) => warn!(c.log, "row refused"; "part" => %id,
            "error" => "row names another partition", "index" => keys.partition.index),
        Err(e) => warn!(c.log, "row refused"; "part" => %id, "error" => %e),
    }
}

fn decode<T: DeserializeOwned>(c: &ControlState, key: &str, value: &[u8]) -> Option<T> {
    serde_json::from_slice(value)
        .inspect_err(|e| warn!(c.log, "row refused"; "row" => key, "error" => %e))
        .ok()
}
