//! Writes this host's row in the store, by which the other hosts find it.
//!
//! A restarted host whose address is unchanged writes nothing: hundreds of hosts that do so at once
//! would delay the store's commits of owners.

use std::time::Duration;

use assign::{HostIncarnation, PartitionRow};
use ids::{BootClock, Clock};
use platform::{Commit, RowKey, Txn, Write};
use rand::Rng;
use slog::warn;

use crate::control::state::{ControlState, HostRow, SharedControl};
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
    let row = ctl.with(|c| HostRow {
        incarnation: c.this_host.clone(),
        domain: c.cfg.domain.clone(),
        peers: c.cfg.listen.peers,
        permits: Some(c.cfg.listen.permits),
        capacity: c.cfg.processor.capacity(),
    });
    let key = RowKey(format!("{SHARED}/{HOST_PREFIX}{}", row.incarnation.host).into());
    let jitter = MAX_ANNOUNCE_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
    let write_by = BootClock.now() + jitter;
    let mut changes = ctl.subscribe();
    let mut pauses = 1;
    loop {
        let required = ctl.with(|c| required_write(c, &row));
        let writes_now = match required {
            RowWrite::NotNeeded => false,
            RowWrite::Urgent => true,
            RowWrite::Needed => BootClock.now() >= write_by,
        };
        if writes_now {
            let txn = Txn {
                checks: Vec::new(),
                writes: vec![row_write(key.clone(), &row)],
            };
            match platform.commit(txn).await {
                Ok(Commit::Done(at)) => {
                    pauses = 1;
                    ctl.with(|c| {
                        c.row_written_at = BootClock.now();
                        c.record_host(c.row_written_at, row.clone(), at);
                    });
                }
                Ok(Commit::Conflict(_)) => {}
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
    let written = c.hosts.get(&row.incarnation.host).map(|h| &h.row);
    let is_announced = written.is_some_and(|written| written.incarnation == row.incarnation);
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
            ..written.clone()
        } == *row
    };
    if written.is_some_and(is_same_otherwise) {
        RowWrite::NotNeeded
    } else {
        RowWrite::Needed
    }
}

fn row_write(key: RowKey, row: &HostRow) -> Write {
    let json = serde_json::to_vec(row).expect("rows serialize");
    Write {
        key,
        value: Some(json.into()),
    }
}
