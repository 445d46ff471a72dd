//! Writes this host's row in the store, by which the other hosts find it.
//!
//! A restarted host whose address is unchanged writes nothing: hundreds of hosts that do so at once
//! would delay the store's commits of owners.

use std::time::Duration;

use assign::{HostIncarnation, PartitionRow};
use ids::{BootClock, Clock, Revision};
use platform::{Check, Commit, Row, RowKey, Txn, Write};
use rand::Rng;
use slog::warn;

use crate::control::apply::apply_shared_row;
use crate::control::hosts::{HostRow, KnownHost};
use crate::control::shared::SharedControl;
use crate::control::state::ControlState;
use crate::control::tables::HOST_PREFIX;
use crate::ports::{Platform, SHARED};

/// Longest time after its start at which a host writes its row.
///
/// The store takes 200 rows a second; of a few hundred hosts that start together and write at once,
/// most are rejected and write again. A host that is not listed yet receives relayed rows all the
/// same.
const MAX_ANNOUNCE_DELAY: Duration = Duration::from_millis(1_500);
/// Interval of checks whether this host's row has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause before an urgent write, and after the first failed one.
const PAUSE: Duration = Duration::from_millis(250);
/// Most such pauses between two attempts: a thousand hosts that start together need five seconds at
/// 200 rows a second, and each attempt before that is rejected.
const MAX_PAUSES: u32 = 16;

/// Writes this host's row whenever the row in the store is outdated, or other hosts may take an
/// earlier incarnation of this host for a granting host.
pub async fn announce(ctl: SharedControl, platform: impl Platform) {
    let mut row = ctl.with(|c| HostRow {
        incarnation: c.this_host.clone(),
        domain: c.cfg.domain.clone(),
        peers: c.cfg.listen.peers,
        permits: Some(c.cfg.listen.permits),
        exchanges: Some(c.cfg.listen.exchanges()),
        capacity: c.cfg.processor.capacity(),
        era: c.known_era.era,
    });
    let key = RowKey(format!("{SHARED}/{HOST_PREFIX}{}", row.incarnation.host).into());
    let jitter = MAX_ANNOUNCE_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
    let write_by = BootClock.now() + jitter;
    let mut changes = ctl.subscribe();
    let mut pauses = 1;
    loop {
        row.era = ctl.with(|c| c.known_era.era);
        let required = ctl.with(|c| required_write(c, &row));
        let writes_now = match required {
            RowWrite::NotNeeded => false,
            RowWrite::Urgent => true,
            RowWrite::Needed => BootClock.now() >= write_by,
        };
        if writes_now {
            let txn = row_txn(&key, &row, ctl.with(|c| written_revision(c, &row)));
            match platform.commit(txn, row.era).await {
                Ok(Commit::Done(at)) => {
                    pauses = 1;
                    ctl.with(|c| {
                        let now = BootClock.now();
                        c.row_written_at = now;
                        c.listed_since.get_or_insert(now);
                        c.record_host(now, row.clone(), at);
                    });
                }
                // A write of an earlier incarnation was carried out late, or this host has not read
                // its row yet.
                Ok(Commit::Conflict(rows)) => ctl.with(|c| apply_conflict(c, &platform, &rows)),
                Err(e) => {
                    pauses = (pauses * 2).min(MAX_PAUSES);
                    ctl.with(|c| warn!(c.log, "announcing host failed"; "error" => %e));
                }
            }
        }
        if required == RowWrite::NotNeeded {
            // Returns at the first of the two.
            let _ = tokio::time::timeout(CHECK_INTERVAL, changes.changed()).await;
        } else {
            let factor = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep((PAUSE * pauses).mul_f64(factor)).await;
        }
    }
}

/// Whether a host's row has to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RowWrite {
    /// The row is up to date.
    NotNeeded,
    /// The row is missing or outdated.
    Needed,
    /// Other hosts wait to read that an earlier incarnation, which granted keys, has ended.
    Urgent,
}

fn required_write(c: &ControlState, row: &HostRow) -> RowWrite {
    if c.hosts_first_read.is_none() {
        return RowWrite::NotNeeded;
    }
    let written = listed(c, row).map(|h| &h.row);
    let is_announced = written
        .is_some_and(|written| written.incarnation == row.incarnation && written.era == row.era);
    let is_earlier_incarnation = |granter: &HostIncarnation| {
        granter.host == row.incarnation.host && *granter != row.incarnation
    };
    let names_earlier = |keys: &PartitionRow| {
        is_earlier_incarnation(&keys.granter)
            || keys
                .previous_granters
                .iter()
                .any(|e| is_earlier_incarnation(&e.granter))
    };
    let mut rows = c.partitions.values().filter_map(|d| d.lease_manager.row());
    if !is_announced && rows.any(names_earlier) {
        return RowWrite::Urgent;
    }
    let is_same_otherwise = |written: &HostRow| {
        let incarnation = row.incarnation.clone();
        HostRow {
            incarnation,
            era: row.era,
            ..written.clone()
        } == *row
    };
    if written.is_some_and(is_same_otherwise) {
        RowWrite::NotNeeded
    } else {
        RowWrite::Needed
    }
}

/// Returns this host as the store lists it.
fn listed<'a>(c: &'a ControlState, row: &HostRow) -> Option<&'a KnownHost> {
    let known = c.hosts.get(&row.incarnation.host);
    known.filter(|host| host.is_listed)
}

/// Returns the revision at which this host's row was written, if the store has it.
fn written_revision(c: &ControlState, row: &HostRow) -> Option<Revision> {
    listed(c, row).map(|host| host.revision)
}

/// Builds the transaction that writes a host's row.
///
/// It is conditional, so that a write of an earlier incarnation that is carried out late does not
/// replace the row of a later one.
fn row_txn(key: &RowKey, row: &HostRow, expected: Option<Revision>) -> Txn {
    let json = serde_json::to_vec(row).expect("rows serialize");
    Txn {
        checks: vec![Check {
            key: key.clone(),
            revision: expected,
        }],
        writes: vec![Write {
            key: key.clone(),
            value: Some(json.into()),
        }],
    }
}

fn apply_conflict(c: &mut ControlState, platform: &impl Platform, rows: &[Row]) {
    for row in rows {
        apply_shared_row(c, platform, row, BootClock.now());
    }
}
