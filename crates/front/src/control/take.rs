//! Applies reads of the store's tables, made by this host or relayed by another one.

use assign::{PartitionId, PartitionRow};
use ids::{Revision, Timestamp};
use platform::{Delta, Row};
use serde::de::DeserializeOwned;
use slog::{info, warn};

use crate::control::quarantine::{self, QUARANTINE_ROW};
use crate::control::state::{Control, HostRow};
use crate::ports::Platform;

/// The tables that each host follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// The operator's configuration.
    Configuration,
    /// The upstreams' registrations.
    Upstreams,
    /// The rows that the hosts share: owners of keys, and the hosts themselves.
    Shared,
}

impl Table {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Upstreams, Self::Shared];

    /// Returns the table's name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => crate::ports::CONFIGURATION,
            Self::Upstreams => crate::ports::UPSTREAMS,
            Self::Shared => crate::ports::SHARED,
        }
    }

    /// Returns the table's position in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Most rows of one read that are logged one by one; for more rows there is one line for all.
const TOLD_EACH: usize = 64;

/// Prefix of the keys of partitions' rows.
pub(crate) const KEYS_PREFIX: &str = "keys.";
/// Prefix of the keys of hosts' rows.
pub(crate) const HOST_PREFIX: &str = "host.";

/// Applies a read of `table`; returns whether anything changed.
pub fn take(
    c: &mut Control,
    platform: &impl Platform,
    table: Table,
    delta: Delta,
    now: Timestamp,
) -> bool {
    let mut copy = std::mem::take(&mut c.copies[table.index()]);
    let is_first = copy.revision() == Revision::default();
    let (Delta::Changes(all) | Delta::Snapshot(all)) = &delta;
    c.takes_all = matches!(delta, Delta::Snapshot(_)) || all.rows.len() > TOLD_EACH;
    let rows = copy.take(delta, |row| match table {
        Table::Upstreams => take_upstream(c, platform, row, now),
        Table::Configuration | Table::Shared => true,
    });
    c.copies[table.index()] = copy;
    if std::mem::take(&mut c.takes_all) {
        info!(c.log, "table read"; "table" => table.name(), "news" => rows.len());
    }
    for row in &rows {
        match table {
            Table::Upstreams => drop_upstream(c, row),
            Table::Configuration => take_order(c, platform, row, now, is_first),
            Table::Shared => take_shared(c, platform, row, now),
        }
    }
    let removed = c.remove_missing(now);
    if removed || (table == Table::Upstreams && !rows.is_empty()) {
        c.roster_changed = now;
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

/// Applies a registration; returns whether it changes anything.
fn take_upstream(c: &mut Control, platform: &impl Platform, row: &Row, now: Timestamp) -> bool {
    let Some(value) = &row.value else {
        return true;
    };
    match platform.registration(key_of(row), value, now) {
        Ok(upstream) => c.register(now, row.revision, upstream),
        Err(e) => c.refuse(&e),
    }
}

fn drop_upstream(c: &mut Control, row: &Row) {
    if row.value.is_none() {
        c.unregister(key_of(row));
    }
}

/// Applies a row of the operator's; `is_first` is set for the first read since the start.
fn take_order(
    c: &mut Control,
    platform: &impl Platform,
    row: &Row,
    now: Timestamp,
    is_first: bool,
) {
    match platform.drained_domain(key_of(row)) {
        None => take_configuration(c, platform, row, now),
        Some(domain) if row.value.is_some() => c.drain(domain, (!is_first).then_some(now)),
        Some(domain) => c.take_back(now, &domain, row.revision),
    }
}

fn take_configuration(c: &mut Control, platform: &impl Platform, row: &Row, now: Timestamp) {
    let Some(value) = &row.value else {
        return;
    };
    match platform.configuration(key_of(row), value) {
        Ok(Some(cfg)) => c.configure(now, cfg),
        Ok(None) => {}
        Err(e) => warn!(c.log, "configuration refused"; "error" => %e),
    }
}

fn take_shared(c: &mut Control, platform: &impl Platform, row: &Row, now: Timestamp) {
    let key = key_of(row);
    let Some(value) = &row.value else {
        if let Some(host) = key.strip_prefix(HOST_PREFIX) {
            c.hosts.retain(|id, _| id.as_str() != host);
        }
        return;
    };
    if is_host_row(row) {
        if let Some(host) = decode::<HostRow>(c, key, value) {
            c.note_host(now, host, row.revision);
        }
    } else if key == QUARANTINE_ROW {
        if let Some(quarantined) = decode(c, key, value) {
            quarantine::take_row(c, quarantined, row.revision, platform.store_clock(), now);
        }
    } else if let Some(part) = key.strip_prefix(KEYS_PREFIX) {
        match part.parse() {
            Ok(part) => take_row(c, &part, row, now),
            Err(e) => warn!(c.log, "row refused"; "row" => key, "error" => %e),
        }
    }
}

/// Applies the row of a partition.
pub(crate) fn take_row(c: &mut Control, part: &PartitionId, row: &Row, now: Timestamp) {
    let Some(value) = &row.value else {
        return;
    };
    match PartitionRow::decode(value) {
        Ok(keys) if keys.partition.index == part.index => c.take_row(now, part, keys, row.revision),
        Ok(keys) => warn!(c.log, "row refused"; "part" => %part,
            "error" => "it is of another part", "index" => keys.partition.index),
        Err(e) => warn!(c.log, "row refused"; "part" => %part, "error" => %e),
    }
}

fn decode<T: DeserializeOwned>(c: &Control, key: &str, value: &[u8]) -> Option<T> {
    serde_json::from_slice(value)
        .inspect_err(|e| warn!(c.log, "row refused"; "row" => key, "error" => %e))
        .ok()
}
