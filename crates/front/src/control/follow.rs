//! Reads the tables of the store as they change.

use std::time::Duration;

use assign::EntryRow;
use ids::{BootClock, Clock, EntryId, Revision, Timestamp, UpstreamId};
use platform::{Changes, Check, Commit, Delta, Row, RowKey, Txn, Write};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::warn;

use crate::control::state::{Ctl, HostRow};
use crate::ports::{CONFIGURATION, Platform, SHARED, UPSTREAMS};

/// Longest wait for a change in one read.
///
/// A connection may fall silent without a sign; the read after this one finds out. A configuration
/// must be in force within two seconds, counted from three seconds after such an event.
const WAIT: Duration = Duration::from_secs(3);
/// The same for the host that grants keys: how old it lets its knowledge become.
const GRANTER_WAIT: Duration = Duration::from_millis(900);
/// Time between reads of the upstreams: a third of the time that a leaving one still serves.
///
/// They say something several times a second, so that waiting for changes would mean more reads.
const UPSTREAMS_EVERY: Duration = Duration::from_millis(650);
/// Pause after a failed read, and between reads that don't wait.
const PAUSE: Duration = Duration::from_millis(250);
/// Time for which a host doesn't wait for changes in the store after the store was away.
///
/// A read that waits for changes when the store goes away hangs until its own end, which may be
/// long after the store's return.
const SETTLE: Duration = Duration::from_secs(3);

/// Keys of rows of [`SHARED`] that hold an entry's owners.
const KEYS_PREFIX: &str = "keys.";
/// Keys of rows of [`SHARED`] that hold a host.
const HOST_PREFIX: &str = "host.";

/// Returns the key of the row that holds the owners of `entry`.
#[must_use]
pub fn keys_row(entry: &EntryId) -> RowKey {
    RowKey(format!("{SHARED}/{KEYS_PREFIX}{entry}").into())
}

/// Follows the configuration.
pub async fn configuration(ctl: Ctl, platform: impl Platform) {
    let mut since = Revision::default();
    loop {
        let Some(delta) = read(&ctl, &platform, CONFIGURATION, since, WAIT).await else {
            continue;
        };
        let (Delta::Changes(changes) | Delta::Snapshot(changes)) = delta;
        since = changes.revision;
        for row in changes.rows {
            let Some(value) = &row.value else {
                continue;
            };
            let decoded = platform.configuration(key_of(&row), value);
            ctl.with(|c| match decoded {
                Ok(Some(cfg)) => c.configure(BootClock.now(), cfg),
                Ok(None) => {}
                Err(e) => warn!(c.log, "configuration refused"; "error" => %e),
            });
        }
        ctl.wake_keys.notify_one();
    }
}

/// Follows the upstreams' registrations.
pub async fn upstreams(ctl: Ctl, platform: impl Platform) {
    let mut since = Revision::default();
    let mut every = tokio::time::interval(UPSTREAMS_EVERY);
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        let Some(delta) = read(&ctl, &platform, UPSTREAMS, since, Duration::ZERO).await else {
            continue;
        };
        let now = BootClock.now();
        ctl.with(|c| {
            let before = c.roster.clone();
            if let Delta::Snapshot(all) = &delta {
                let known: Vec<UpstreamId> = c.roster.iter().map(|u| u.id.clone()).collect();
                let is_there = |id: &UpstreamId| all.rows.iter().any(|r| key_of(r) == id.as_str());
                for id in known.iter().filter(|id| !is_there(id)) {
                    c.unregister(id);
                }
            }
            let (Delta::Changes(changes) | Delta::Snapshot(changes)) = delta;
            since = changes.revision;
            for row in &changes.rows {
                upstream_row(c, &platform, row, now);
            }
            c.roster_read = now;
            c.remove_missing(now);
            if before != c.roster {
                c.publish();
                ctl.wake_keys.notify_one();
            }
        });
    }
}

fn upstream_row(
    c: &mut crate::control::Control,
    platform: &impl Platform,
    row: &Row,
    now: Timestamp,
) {
    let key = key_of(row);
    let Some(value) = &row.value else {
        if let Ok(id) = UpstreamId::new(key) {
            c.unregister(&id);
        }
        return;
    };
    match platform.registered(key, value, now) {
        Ok(upstream) => c.register(upstream),
        Err(e) => warn!(c.log, "registration refused"; "error" => %e),
    }
}

/// Follows what the hosts share: owners of keys, and the hosts themselves.
pub async fn shared(ctl: Ctl, platform: impl Platform) {
    let mut since = Revision::default();
    loop {
        let is_granter = ctl.with(|c| c.divided.values().any(|d| d.keeper.is_granter()));
        let wait = if is_granter { GRANTER_WAIT } else { WAIT };
        let began = BootClock.now();
        let Some(delta) = read(&ctl, &platform, SHARED, since, wait).await else {
            continue;
        };
        let now = BootClock.now();
        let is_first = since == Revision::default();
        let (Delta::Changes(changes) | Delta::Snapshot(changes)) = delta;
        since = changes.revision;
        ctl.with(|c| {
            take_shared(c, &changes, now);
            for divided in c.divided.values_mut() {
                divided.keeper.read(began);
            }
        });
        if is_first {
            announce(&ctl, &platform).await;
        }
        ctl.wake_keys.notify_one();
    }
}

fn take_shared(c: &mut crate::control::Control, changes: &Changes, now: Timestamp) {
    for row in &changes.rows {
        let key = key_of(row);
        let Some(value) = &row.value else {
            if let Some(host) = key.strip_prefix(HOST_PREFIX) {
                c.hosts.retain(|id, _| id.as_str() != host);
            }
            continue;
        };
        if key.starts_with(HOST_PREFIX) {
            if let Some(host) = decode::<HostRow>(c, key, value) {
                c.hosts.insert(host.run.host.clone(), host);
                c.publish();
            }
        } else if let Some(entry) = key.strip_prefix(KEYS_PREFIX) {
            match (EntryId::new(entry), EntryRow::decode(value)) {
                (Ok(entry), Ok(keys)) => c.take_row(now, &entry, keys, row.revision),
                (_, Err(e)) => warn!(c.log, "row refused"; "row" => key, "error" => %e),
                (Err(e), _) => warn!(c.log, "row refused"; "row" => key, "error" => %e),
            }
        }
    }
}

fn decode<T: DeserializeOwned>(c: &crate::control::Control, key: &str, value: &[u8]) -> Option<T> {
    serde_json::from_slice(value)
        .inspect_err(|e| warn!(c.log, "row refused"; "row" => key, "error" => %e))
        .ok()
}

/// Writes this host's row, so that the others know where to send heartbeats.
async fn announce(ctl: &Ctl, platform: &impl Platform) {
    let row = ctl.with(|c| HostRow {
        run: c.me.clone(),
        domain: c.cfg.domain.clone(),
        peers: c.cfg.listen.peers,
    });
    let key = RowKey(format!("{SHARED}/{HOST_PREFIX}{}", row.run.host).into());
    loop {
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write_of(key.clone(), &row)],
        };
        match platform.commit(txn).await {
            Ok(Commit::Done(_) | Commit::Conflict(_)) => return,
            Err(e) => ctl.with(|c| warn!(c.log, "announce host"; "error" => %e)),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn write_of(key: RowKey, value: &impl Serialize) -> Write {
    let json = serde_json::to_vec(value).expect("rows serialize");
    Write {
        key,
        value: Some(json.into()),
    }
}

/// Builds the transaction that writes the owners of `entry`.
#[must_use]
pub fn keys_txn(entry: &EntryId, row: &EntryRow, expected: Option<Revision>) -> Txn {
    let key = keys_row(entry);
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

/// Reads a table; after a failure, it notes it, waits a little and returns nothing.
async fn read(
    ctl: &Ctl,
    platform: &impl Platform,
    table: &'static str,
    since: Revision,
    wait: Duration,
) -> Option<Delta> {
    let is_settled = ctl.with(|c| c.store_answers_for(BootClock.now(), SETTLE));
    let asked = if is_settled { wait } else { Duration::ZERO };
    match platform.watch(table, since, asked).await {
        Ok(delta) => {
            ctl.with(|c| c.store_answered(BootClock.now()));
            if asked < wait {
                tokio::time::sleep(PAUSE).await;
            }
            Some(delta)
        }
        Err(e) => {
            ctl.with(|c| c.store_failed(&e));
            tokio::time::sleep(PAUSE).await;
            None
        }
    }
}

/// Returns the key of a row within its table.
fn key_of(row: &Row) -> &str {
    row.key.0.split_once('/').map_or("", |(_, key)| key)
}
