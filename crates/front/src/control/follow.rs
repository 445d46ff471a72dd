//! Reads the tables of the store as they change, while no other host relays them to this one.
//!
//! A host that starts reads the hosts' rows, finds a host that relays to it, and reads the other
//! tables itself only if there is none.

use std::time::Duration;

use assign::PartitionRow;
use ids::{BootClock, Clock, Revision, StoreEra, Timestamp};
use platform::{Check, Delta, Txn, Write};

use crate::control::apply::{apply, apply_partition_row, is_host_row};
use crate::control::shared::SharedControl;
use crate::control::state::ControlState;
use crate::control::tables::{PartitionKey, Table};
use crate::ports::Platform;

/// Longest wait for a change in one read.
///
/// A connection may fail without notice, and a wait that began before the store recovered may get
/// no answer; the next read detects both. What was submitted two seconds ago must be in force three
/// seconds after such an event: this time and that for a call are a little less.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of a granting host's reads of its rows, and so the age that its knowledge of them
/// reaches.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(900);
/// Interval of reads that don't wait for changes, of the upstreams and the configuration: two of them
/// and their calls fit in the age up to which a read keeps a host's knowledge fresh.
///
/// Rows of upstreams change several times a second, so that waiting for changes would mean more
/// reads. The configuration rarely changes, and its changes are waited for as well; but a wait that
/// hangs says nothing, and until it ends nothing else would show that the configuration is the newest.
const POLL_INTERVAL: Duration = Duration::from_millis(650);
/// Pause after a failed read, and between reads that don't wait.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a failed read, in units of [`PAUSE`].
///
/// While the store is unreachable for all hosts, the first host of a domain tries it every 250 ms
/// and relays to the others as soon as it is back; the others read seldom, in case only the first
/// ones can't reach it. With 84 hosts that is 36 reads a second in place of 220 (derived; six hosts
/// made under 25 in place of 72, end-to-end test).
const MAX_PAUSE_FACTOR: u32 = 6;
/// Time that a starting host waits, for each host before it, for that one to read the store and
/// relay to it: a few reads and their transmission.
///
/// The first hosts receive rows within a tenth of a second, from the first of them that is up; the
/// last of hundreds in a domain wait until the rows have come down the tree.
const START_DELAY_PER_HOST: Duration = Duration::from_millis(20);
/// Further time that hosts leave the first of them when they start for the first time: it may have
/// started a little later than they, and reads their rows a little later.
const FIRST_START_DELAY: Duration = Duration::from_millis(500);
/// Longest such wait: callers wait for it.
const MAX_START_DELAY: Duration = Duration::from_secs(5);
/// Time after which a host that was not listed when it started reads which other hosts started:
/// they write their rows within a second and a half. Until then it can't know which of them reads
/// the store for all, and waits for relayed rows.
const UNLISTED_START_DELAY: Duration = Duration::from_millis(1_750);
/// Time after an outage of the store for which a host doesn't wait for changes.
///
/// A read that waits for changes when an outage begins hangs until its own timeout, which may be
/// long after the store's return.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Pause after a read that brought only rows of hosts, which are not urgent: hosts that start
/// together each write a row, and each row would cause a read at each of the others.
const HOSTS_PAUSE: Duration = Duration::from_millis(500);
/// Shortest interval of checks whether another host still relays to this one.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Follows `table` by reads that wait for changes.
pub async fn follow(ctl: SharedControl, platform: impl Platform, table: Table) {
    loop {
        wait_until_due(&ctl, |c| must_read(c, table)).await;
        let is_settled = ctl.with(|c| is_settled(c));
        let wait = if is_settled {
            WATCH_TIMEOUT
        } else {
            Duration::ZERO
        };
        let pause = match read(&ctl, &platform, table, wait).await {
            Some(news) => ctl.with(|c| pause_between_waits(c, table, is_settled, news)),
            None => ctl.with(|c| pause_after_failure(c)),
        };
        tokio::time::sleep(pause).await;
    }
}

/// Reads the upstreams and the configuration at an interval, without waiting for changes.
pub async fn poll(ctl: SharedControl, platform: impl Platform) {
    loop {
        wait_until_due(&ctl, |c| must_read(c, Table::Upstreams)).await;
        let has_changed = poll_once(&ctl, &platform).await;
        if has_changed == Some(false) {
            ctl.notify_confirmed();
        }
        let pause = match has_changed {
            Some(_) => POLL_INTERVAL,
            None => POLL_INTERVAL.max(ctl.with(|c| pause_after_failure(c))),
        };
        tokio::time::sleep(pause).await;
    }
}

/// Reads the upstreams, which show whether the store answers, and then the configuration; returns
/// whether anything changed, and none if a read fails.
async fn poll_once(ctl: &SharedControl, platform: &impl Platform) -> Option<bool> {
    let upstreams = read(ctl, platform, Table::Upstreams, Duration::ZERO).await?;
    if !ctl.with(|c| must_poll_configuration(c)) {
        return Some(upstreams.has_changed);
    }
    let configuration = read(ctl, platform, Table::Configuration, Duration::ZERO).await?;
    Some(upstreams.has_changed || configuration.has_changed)
}

async fn wait_until_due(ctl: &SharedControl, is_due: impl Fn(&ControlState) -> bool) {
    while ctl.with(|c| !is_due(c)) {
        tokio::time::sleep(ctl.with(|c| no_read_needed_for(c))).await;
    }
}

/// Reads the rows of the partitions that this host grants in a loop: they show whether it still is
/// the granting host.
///
/// Other granting hosts' rows are relayed: if each read all rows, reads of the store would grow
/// with the square of the number of granting hosts.
pub async fn confirm(ctl: SharedControl, platform: impl Platform) {
    loop {
        let granted_partitions = ctl.with(|c| c.granted_rows());
        if granted_partitions.is_empty() {
            tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        }
        for key in granted_partitions {
            confirm_partition(&ctl, &platform, &key).await;
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
    }
}

async fn confirm_partition(ctl: &SharedControl, platform: &impl Platform, key: &PartitionKey) {
    let began = BootClock.now();
    let row = match platform.read_row(&key.row_key()).await {
        Ok(row) => row,
        Err(e) => {
            ctl.with(|c| c.record_store_failure(began, &e));
            ctl.notify_changed();
            return;
        }
    };
    let now = BootClock.now();
    ctl.with(|c| {
        c.record_store_answer(now);
        // A store that has lost the row does not show whether this host still grants.
        if let Some(row) = row {
            c.observe_era(now, row.revision.era());
            apply_partition_row(c, key, &row, now);
            c.record_row_read(&key.partition, began, row.revision.era());
        }
    });
}

/// Returns how long this host need not read any table.
///
/// A check wakes the thread, which adds up with a hundred hosts.
fn no_read_needed_for(c: &ControlState) -> Duration {
    c.freshness.left(BootClock.now()).max(RELAY_CHECK_INTERVAL)
}

/// Returns whether this host has to read `table` itself.
///
/// During an outage of the store, reads of the upstreams detect its end.
fn must_read(c: &ControlState, table: Table) -> bool {
    let now = BootClock.now();
    if c.freshness.has_relay(now) {
        return false;
    }
    if c.store_available_since.is_none() {
        return table == Table::Upstreams;
    }
    let is_starting = !c.freshness.has_known_all();
    let finds_hosts = table == Table::Shared && may_find_hosts(c, now);
    !is_starting || finds_hosts || is_first_to_read(c, now)
}

/// Returns whether the store has answered for so long that reads may wait for changes.
fn is_settled(c: &ControlState) -> bool {
    c.store_available_for(BootClock.now(), SETTLE_TIME)
}

/// Returns whether the configuration has to be read besides the reads that wait for its changes.
fn must_poll_configuration(c: &ControlState) -> bool {
    let is_known = c.replicas[Table::Configuration.index()].revision() != Revision::default();
    is_known && must_read(c, Table::Configuration)
}

/// Returns whether a read may show hosts that this host does not know of.
fn may_find_hosts(c: &ControlState, now: Timestamp) -> bool {
    let is_due = c.hosts_first_read.is_none() || now >= all_listed_at(c);
    is_due && !knows_starting_hosts(c)
}

/// Returns whether this host has read which others start with it.
fn knows_starting_hosts(c: &ControlState) -> bool {
    c.hosts_first_read.is_some() && c.shared_read_at >= all_listed_at(c)
}

/// Returns when all hosts that started with this one are listed.
fn all_listed_at(c: &ControlState) -> Timestamp {
    match c.hosts_first_read {
        Some(first) if !c.was_listed => c.row_written_at.max(first + UNLISTED_START_DELAY),
        Some(_) | None => c.row_written_at,
    }
}

/// Returns whether this host, which has just started, is the first one that should read the store.
fn is_first_to_read(c: &ControlState, now: Timestamp) -> bool {
    let Some(first) = c.hosts_first_read else {
        return false;
    };
    if !knows_starting_hosts(c) {
        return false;
    }
    // The store does not accept this host's row.
    let Some(position) = c.position() else {
        return now.since(first) >= MAX_START_DELAY;
    };
    // Each domain before this one counts as two places: the second covers the loss of the first.
    let hosts_before = u32::try_from(position.rank + 2 * position.domain).unwrap_or(u32::MAX);
    let starts_after_others = hosts_before > 0 && !c.was_listed;
    let first_start_delay = if starts_after_others {
        FIRST_START_DELAY
    } else {
        Duration::ZERO
    };
    let wait = (first_start_delay + START_DELAY_PER_HOST.saturating_mul(hosts_before))
        .min(MAX_START_DELAY);
    // A changed row of a host may be that of one that comes before this one.
    now.since(first.max(c.hosts_changed_at)) >= wait
}

/// Returns the pause after a failed read.
fn pause_after_failure(c: &ControlState) -> Duration {
    // A granting host's grants end if it does not read its row in time.
    if c.grants() {
        return PAUSE;
    }
    let steps = c.position().map_or(0, |p| p.rank) + 1;
    PAUSE * u32::try_from(steps).map_or(MAX_PAUSE_FACTOR, |steps| steps.min(MAX_PAUSE_FACTOR))
}

/// What a read brought.
#[derive(Debug, Clone, Copy)]
struct News {
    /// Whether it changed anything.
    has_changed: bool,
    /// Whether it brought rows of hosts and no others.
    only_hosts: bool,
}

/// Reads `table` once, waiting up to `wait` for a change; returns none if the read fails.
async fn read(
    ctl: &SharedControl,
    platform: &impl Platform,
    table: Table,
    wait: Duration,
) -> Option<News> {
    let began = BootClock.now();
    let since = ctl.with(|c| c.replicas[table.index()].revision());
    let read = platform.watch(table.name(), since, wait).await;
    let now = BootClock.now();
    let delta = match read {
        Ok(delta) => delta,
        Err(e) => {
            ctl.with(|c| {
                c.freshness.failed(table, began, now);
                c.record_store_failure(began, &e);
            });
            // Relay targets of this host must be notified at once.
            ctl.notify_changed();
            return None;
        }
    };
    let only_hosts = has_only_host_rows(&delta);
    let has_changed = ctl.with(|c| apply_read(c, platform, table, delta, began, now));
    if has_changed {
        ctl.notify_changed();
    }
    Some(News {
        has_changed,
        only_hosts,
    })
}

/// Applies a read of `table` that began at `began`; returns whether anything changed.
fn apply_read(
    c: &mut ControlState,
    platform: &impl Platform,
    table: Table,
    delta: Delta,
    began: Timestamp,
    now: Timestamp,
) -> bool {
    let (Delta::Changes(all) | Delta::Snapshot(all)) = &delta;
    let era = all.revision.era();
    c.observe_era(now, era);
    if table == Table::Configuration {
        c.record_confirmed(now, began);
        c.path.clear();
    }
    c.record_known_before_read();
    c.freshness.read(table, began);
    c.record_store_answer(now);
    let changed = apply(c, platform, table, delta, now);
    if table == Table::Shared {
        c.record_shared_read(began, era);
        if c.hosts_first_read.is_none() {
            c.hosts_first_read = Some(now);
            c.was_listed = c.position().is_some();
            c.listed_since = c.was_listed.then_some(Timestamp::ZERO);
        }
    }
    changed
}

/// Returns the pause after a read that waited for changes and brought `news`.
fn pause_between_waits(c: &ControlState, table: Table, is_settled: bool, news: News) -> Duration {
    // A store that has never been written to has no revision after which to wait for changes.
    let is_empty = c.replicas[table.index()].revision().version() == 0;
    let is_starting = table == Table::Shared && !c.freshness.has_known_all();
    if !is_settled || is_empty {
        PAUSE
    } else if news.only_hosts || is_starting {
        HOSTS_PAUSE
    } else {
        Duration::ZERO
    }
}

/// Returns whether a read brought rows of hosts and nothing else.
fn has_only_host_rows(delta: &Delta) -> bool {
    let (Delta::Changes(changes) | Delta::Snapshot(changes)) = delta;
    let rows = &changes.rows;
    !rows.is_empty() && rows.iter().all(is_host_row)
}

/// Builds the transaction that writes the row of a partition, and removes that of the earlier era
/// `past`.
#[must_use]
pub fn partition_row_txn(
    key: &PartitionKey,
    row: &PartitionRow,
    expected: Option<Revision>,
    past: Option<StoreEra>,
) -> Txn {
    let write = Write {
        key: key.row_key(),
        value: Some(row.encode().into()),
    };
    let remove = past.map(|era| Write {
        key: PartitionKey { era, ..key.clone() }.row_key(),
        value: None,
    });
    Txn {
        checks: vec![Check {
            key: key.row_key(),
            revision: expected,
        }],
        writes: [write].into_iter().chain(remove).collect(),
    }
}
