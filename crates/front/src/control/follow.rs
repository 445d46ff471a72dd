//! Reads the tables of the store as they change, while no other host feeds this one.
//!
//! A host that starts reads the hosts' rows, finds who feeds it, and reads the other tables itself only
//! if nobody does.

use std::time::Duration;

use assign::{PartitionId, PartitionRow};
use ids::{BootClock, Clock, Revision, Timestamp};
use platform::{Check, Delta, RowKey, Txn, Write};

use crate::control::state::{Control, Ctl};
use crate::control::take::{KEYS_PREFIX, Table, is_host_row, take, take_row};
use crate::ports::{Platform, SHARED};

/// Longest wait for a change in one read.
///
/// A connection may fall silent without a sign, and a wait that began before the store was well again may hear
/// nothing; the read after it finds out. What was submitted two seconds ago must be in force three seconds after
/// such an event: this and the time for a call are a little less.
const WAIT: Duration = Duration::from_secs(2);
/// Time between a granting host's reads of its rows: how old it lets its knowledge become.
const CONFIRM_EVERY: Duration = Duration::from_millis(900);
/// Time between reads of the upstreams: a third of the time that a leaving one still serves.
///
/// They say something several times a second, so that waiting for changes would mean more reads.
const UPSTREAMS_EVERY: Duration = Duration::from_millis(650);
/// Pause after a failed read, and between reads that don't wait.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a failed read, in units of [`PAUSE`].
///
/// While the store is away from all, the first host of a domain looks for it every 250 ms and feeds
/// the others as soon as it is back; these look seldom, for the case that it is away from the first
/// ones only. With 84 hosts that is 36 reads a second in place of 220 (derived; six hosts made under
/// 25 in place of 72, end-to-end test).
const LONGEST_PAUSE: u32 = 6;
/// Time that a host which starts waits for each host before it to read the store and to feed it: a few
/// reads and their way.
///
/// The first hosts are fed within a tenth of a second, by the first one of them that is there; the last of
/// hundreds in a domain wait until what is known has come down the tree.
const START_EACH: Duration = Duration::from_millis(20);
/// Further time that hosts which start for the first time leave the first of them: it may have started a little later
/// than they, and learns a little later who else did.
const START_APART: Duration = Duration::from_millis(500);
/// Longest such wait: callers wait for it.
const START_LONGEST: Duration = Duration::from_secs(5);
/// Time after which a host that was not listed when it started reads who else started: they write their rows
/// within a second and a half. Until then it can't know which of them reads for all, and waits to be fed.
const START_UNLISTED: Duration = Duration::from_millis(1_750);
/// Time for which a host doesn't wait for changes in the store after the store was away.
///
/// A read that waits for changes when the store goes away hangs until its own end, which may be
/// long after the store's return.
const SETTLE: Duration = Duration::from_secs(3);
/// Pause after a read that brought news of hosts only, which are in no hurry: hosts that start
/// together each write a row, and each would be a read at each of the others.
const HOSTS_PAUSE: Duration = Duration::from_millis(500);
/// Shortest time between looks whether this host still is fed by another.
const FED_CHECK: Duration = Duration::from_millis(100);

/// Follows `table`.
pub async fn follow(ctl: Ctl, platform: impl Platform, table: Table) {
    loop {
        while ctl.with(|c| !must_read(c, table)) {
            tokio::time::sleep(ctl.with(|c| fed_for(c))).await;
        }
        read(&ctl, &platform, table).await;
        if table == Table::Upstreams {
            tokio::time::sleep(UPSTREAMS_EVERY).await;
        }
    }
}

/// Reads the rows of the parts that this host grants, over and over: they show whether it still does.
///
/// Other granting hosts' rows come by way of the tree: with each reading all rows, what is read of the store would grow
/// with the square of their number.
pub async fn confirm(ctl: Ctl, platform: impl Platform) {
    loop {
        let granted = ctl.with(|c| c.granted());
        if granted.is_empty() {
            tokio::time::sleep(FED_CHECK).await;
            continue;
        }
        for part in granted {
            confirm_part(&ctl, &platform, &part).await;
        }
        tokio::time::sleep(CONFIRM_EVERY).await;
    }
}

async fn confirm_part(ctl: &Ctl, platform: &impl Platform, part: &PartitionId) {
    let began = BootClock.now();
    let row = match platform.read_row(&keys_row(part)).await {
        Ok(row) => row,
        Err(e) => {
            ctl.with(|c| c.store_failed(began, &e));
            ctl.changed();
            return;
        }
    };
    let now = BootClock.now();
    ctl.with(|c| {
        c.store_answered(now);
        if let Some(row) = row {
            take_row(c, part, &row, now);
        }
        c.confirmed(part, began);
    });
}

/// Returns how long this host surely need not read any table.
///
/// Each look costs a hundred hosts a wake-up of theirs.
fn fed_for(c: &Control) -> Duration {
    c.freshness.left(BootClock.now()).max(FED_CHECK)
}

/// Tells whether this host has to read `table` itself.
///
/// While the store does not answer, reads of the upstreams find out when it does again.
fn must_read(c: &Control, table: Table) -> bool {
    let now = BootClock.now();
    if c.freshness.is_fed(now) {
        return false;
    }
    if c.store_since.is_none() {
        return table == Table::Upstreams;
    }
    let is_starting = !c.freshness.has_known_all();
    let looks_for_hosts = table == Table::Shared && may_look_for_hosts(c, now);
    !is_starting || looks_for_hosts || is_first_to_read(c, now)
}

/// Tells whether a read would show which other hosts there are that this one does not know of.
fn may_look_for_hosts(c: &Control, now: Timestamp) -> bool {
    let is_due = c.hosts_known.is_none() || now >= all_listed_at(c);
    is_due && !knows_who_starts(c)
}

/// Tells whether this host has read which others start with it.
fn knows_who_starts(c: &Control) -> bool {
    c.hosts_known.is_some() && c.shared_began >= all_listed_at(c)
}

/// Returns when all hosts that started with this one are listed.
fn all_listed_at(c: &Control) -> Timestamp {
    match c.hosts_known {
        Some(known) if !c.was_listed => c.row_written.max(known + START_UNLISTED),
        Some(_) | None => c.row_written,
    }
}

/// Tells whether this host, which has just started, is the first one that should read the store.
fn is_first_to_read(c: &Control, now: Timestamp) -> bool {
    let Some(known) = c.hosts_known else {
        return false;
    };
    if !knows_who_starts(c) {
        return false;
    }
    // The store does not take its row.
    let Some(position) = c.position() else {
        return now.since(known) >= START_LONGEST;
    };
    // Of domains, two places are enough: the second is for the case that the first is gone.
    let before = u32::try_from(position.place + 2 * position.domain).unwrap_or(u32::MAX);
    let is_behind = before > 0 && !c.was_listed;
    let apart = if is_behind {
        START_APART
    } else {
        Duration::ZERO
    };
    let wait = (apart + START_EACH.saturating_mul(before)).min(START_LONGEST);
    // Each news of hosts may be that of one that comes before this one.
    now.since(known.max(c.hosts_changed)) >= wait
}

/// Returns how long this host waits after a failed read.
fn pause_after_failure(c: &Control) -> Duration {
    // Its grants end if it does not read its row in time.
    if c.grants() {
        return PAUSE;
    }
    let steps = c.position().map_or(0, |p| p.place) + 1;
    PAUSE * u32::try_from(steps).map_or(LONGEST_PAUSE, |steps| steps.min(LONGEST_PAUSE))
}

/// Reads `table` once, waiting for a change where that is worth it.
async fn read(ctl: &Ctl, platform: &impl Platform, table: Table) {
    let began = BootClock.now();
    let (since, settled) = ctl.with(|c| {
        let since = c.copies[table.index()].revision();
        (since, c.store_answers_for(began, SETTLE))
    });
    let wait = match table {
        Table::Configuration | Table::Shared if settled => WAIT,
        _ => Duration::ZERO,
    };
    let delta = match platform.watch(table.name(), since, wait).await {
        Ok(delta) => delta,
        Err(e) => {
            ctl.with(|c| {
                c.freshness.failed(table);
                c.store_failed(began, &e);
            });
            // Hosts that this one feeds must know at once.
            ctl.changed();
            let pause = ctl.with(|c| pause_after_failure(c));
            tokio::time::sleep(pause).await;
            return;
        }
    };
    let only_hosts = brings_only_hosts(&delta);
    let now = BootClock.now();
    let changed = ctl.with(|c| {
        c.freshness.read(table, began);
        c.store_answered(now);
        let changed = take(c, platform, table, delta, now);
        if table == Table::Upstreams {
            c.reader = c.me.host.as_str().into();
        }
        if table == Table::Shared {
            c.shared_read(began);
            if c.hosts_known.is_none() {
                c.hosts_known = Some(now);
                c.was_listed = c.position().is_some();
            }
        }
        changed
    });
    if changed {
        ctl.changed();
    } else if table == Table::Upstreams {
        ctl.refreshed();
    }
    let is_starting = ctl.with(|c| table == Table::Shared && !c.freshness.has_known_all());
    // There is nothing to wait for changes after in a store that has never been written to.
    let is_empty = ctl.with(|c| c.copies[table.index()].revision() == Revision::default());
    if !settled || is_empty {
        tokio::time::sleep(PAUSE).await;
    } else if only_hosts || is_starting {
        tokio::time::sleep(HOSTS_PAUSE).await;
    }
}

/// Tells whether a read brought rows of hosts and nothing else.
fn brings_only_hosts(delta: &Delta) -> bool {
    let (Delta::Changes(changes) | Delta::Snapshot(changes)) = delta;
    let rows = &changes.rows;
    !rows.is_empty() && rows.iter().all(is_host_row)
}

/// Returns the key of the row that holds the owners of `part`.
#[must_use]
pub fn keys_row(part: &PartitionId) -> RowKey {
    RowKey(format!("{SHARED}/{KEYS_PREFIX}{part}").into())
}

/// Builds the transaction that writes the owners of `part`.
#[must_use]
pub fn keys_txn(part: &PartitionId, row: &PartitionRow, expected: Option<Revision>) -> Txn {
    let key = keys_row(part);
    Txn {
        checks: vec![Check {
            key: key.clone(),
            revision: expected,
        }],
        writes: vec![Write {
            key,
            value: Some(row.encode().into()),
        }],
    }
}
