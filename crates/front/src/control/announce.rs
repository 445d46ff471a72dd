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

use crate::control::state::{Control, Ctl, HostRow};
use crate::control::take::HOST_PREFIX;
use crate::ports::{Platform, SHARED};

/// Longest time after its start at which a host writes its row.
///
/// The store takes 200 rows a second; of a few hundred hosts that start together and write at once,
/// most are rejected and write again. A host that is not listed yet receives relayed rows all the
/// same.
const ANNOUNCE_WITHIN: Duration = Duration::from_millis(1_500);
/// Interval of checks whether this host's row has to be written.
const ANNOUNCE_CHECK: Duration = Duration::from_millis(500);
/// Pause before an urgent write, and after the first failed one.
const PAUSE: Duration = Duration::from_millis(250);
/// Most such pauses between two attempts: a thousand hosts that start together need five seconds at
/// 200 rows a second, and each attempt before that is rejected.
const MOST_PAUSES: u32 = 16;

/// Writes this host's row whenever the row in the store is outdated, or other hosts may take an
/// earlier incarnation of this host for a granting host.
pub async fn announce(ctl: Ctl, platform: impl Platform) {
    let row = ctl.with(|c| HostRow {
        run: c.me.clone(),
        domain: c.cfg.domain.clone(),
        peers: c.cfg.listen.peers,
        permits: Some(c.cfg.listen.permits),
        capacity: c.cfg.processor.capacity(),
    });
    let key = RowKey(format!("{SHARED}/{HOST_PREFIX}{}", row.run.host).into());
    let jitter = ANNOUNCE_WITHIN.mul_f64(rand::rng().random_range(0.0..1.0));
    let may_wait_until = BootClock.now() + jitter;
    let mut changes = ctl.changes();
    let mut pauses = 1;
    loop {
        let due = ctl.with(|c| announcement(c, &row));
        let is_due = match due {
            Announcement::Needless => false,
            Announcement::Awaited => true,
            Announcement::Missing => BootClock.now() >= may_wait_until,
        };
        if is_due {
            let txn = Txn {
                checks: Vec::new(),
                writes: vec![write_of(key.clone(), &row)],
            };
            match platform.commit(txn).await {
                Ok(Commit::Done(at)) => {
                    pauses = 1;
                    ctl.with(|c| {
                        c.row_written = BootClock.now();
                        c.note_host(c.row_written, row.clone(), at);
                    });
                }
                Ok(Commit::Conflict(_)) => {}
                Err(e) => {
                    pauses = (pauses * 2).min(MOST_PAUSES);
                    ctl.with(|c| warn!(c.log, "announce host"; "error" => %e));
                }
            }
        }
        if due == Announcement::Needless {
            // Returns at the first of the two.
            let _ = tokio::time::timeout(ANNOUNCE_CHECK, changes.changed()).await;
        } else {
            let part = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep((PAUSE * pauses).mul_f64(part)).await;
        }
    }
}

/// Whether a host's row has to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Announcement {
    /// The row is up to date.
    Needless,
    /// The row is missing or outdated.
    Missing,
    /// Other hosts wait to read that an earlier incarnation, which granted keys, has ended.
    Awaited,
}

fn announcement(c: &Control, row: &HostRow) -> Announcement {
    if c.hosts_known.is_none() {
        return Announcement::Needless;
    }
    let known = c.hosts.get(&row.run.host).map(|h| &h.row);
    let is_told = known.is_some_and(|known| known.run == row.run);
    let an_earlier_run = |run: &HostIncarnation| run.host == row.run.host && *run != row.run;
    let names_one = |keys: &PartitionRow| {
        an_earlier_run(&keys.granter)
            || keys
                .previous_granters
                .iter()
                .any(|e| an_earlier_run(&e.granter))
    };
    let mut rows = c.divided.values().filter_map(|d| d.keeper.row());
    if !is_told && rows.any(names_one) {
        return Announcement::Awaited;
    }
    let same_but_run = |known: &HostRow| {
        let run = row.run.clone();
        HostRow {
            run,
            ..known.clone()
        } == *row
    };
    if known.is_some_and(same_but_run) {
        Announcement::Needless
    } else {
        Announcement::Missing
    }
}

fn write_of(key: RowKey, row: &HostRow) -> Write {
    let json = serde_json::to_vec(row).expect("rows serialize");
    Write {
        key,
        value: Some(json.into()),
    }
}
