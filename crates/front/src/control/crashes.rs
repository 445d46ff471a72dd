//! Finds the requests under which upstreams end, and keeps them from all upstreams.
//!
//! Repeats of such a request come at any host. So each end is told to two hosts of each failure domain, which
//! follow from the request; they count, and tell their domain once a request is quarantined. A domain that is cut
//! off counts what its own hosts see. What lasts is a row in the store: it reaches hosts that were cut off or have
//! just started.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use assign::StoreClock;
use direct::{Content, CrashSettings, Crashes, Quarantine};
use gate::counters::Count;
use ids::{BootClock, Clock, KeyHash, Revision, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use platform::{Check, Commit, RowKey, Txn, Write};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::sync::Notify;

use crate::control::messages::{Beat, EndedUnder, Quarantined};
use crate::control::state::{Control, Ctl, KnownHost};
use crate::ports::{Platform, SHARED};

/// Hosts of each failure domain that count the ends under a request: one of them may be lost.
const COUNTING: usize = 2;
/// Key of the row that holds the quarantined requests.
pub(crate) const QUARANTINE_ROW: &str = "quarantine";
/// Longest time before a host that quarantined a request writes it to the store: those that count the same request
/// find it there then, and need not.
const RECORD_WITHIN: Duration = Duration::from_millis(400);
/// Pause after a write that failed.
const PAUSE: Duration = Duration::from_secs(1);

/// What the control duty knows of requests under which upstreams ended.
#[derive(Debug, Default)]
pub struct CrashState {
    /// Counts ends.
    counted: Crashes,
    /// Requests that are sent to no upstream for now.
    quarantine: Arc<Quarantine>,
    /// Those that this host quarantined and has not seen in the store yet.
    unrecorded: IndexSet<Content>,
    /// The store's row, and the revision at which it was written.
    row: Option<(Revision, QuarantineRow)>,
    /// Wakes the task that writes the row.
    wake: Rc<Notify>,
}

impl CrashState {
    /// Returns the requests that are sent to no upstream for now.
    #[must_use]
    pub fn quarantine(&self) -> Arc<Quarantine> {
        Arc::clone(&self.quarantine)
    }
}

/// The quarantined requests as the store has them.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineRow {
    requests: Vec<QuarantineEntry>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
struct QuarantineEntry {
    content: u64,
    /// Second of the store's clock at which it ends.
    until_s: f64,
}

impl QuarantineRow {
    /// Returns a row with what `quarantined` has beside what still counts of this one, by the store's clock.
    fn with(&self, quarantined: &[(Content, Duration)], clock_s: f64) -> Self {
        let mut all: IndexMap<u64, f64> = IndexMap::new();
        let left = self.requests.iter().filter(|e| e.until_s > clock_s);
        all.extend(left.map(|e| (e.content, e.until_s)));
        for (content, left) in quarantined {
            let until_s = clock_s + left.as_secs_f64();
            all.entry(content.0).or_insert(until_s);
        }
        let entry = |(content, until_s)| QuarantineEntry { content, until_s };
        Self {
            requests: all.into_iter().map(entry).collect(),
        }
    }

    fn contains(&self, content: Content) -> bool {
        self.requests.iter().any(|e| e.content == content.0)
    }
}

/// Counts an end that this host saw, and builds what others are told of it.
pub fn take_end(
    c: &mut Control,
    now: Timestamp,
    content: Content,
    upstream: &UpstreamId,
) -> Vec<(SocketAddr, Beat)> {
    let told = Beat {
        ended: Some(EndedUnder {
            content: content.0,
            upstream: upstream.to_string(),
        }),
        ..Beat::default()
    };
    let others = counting_hosts(c, content).into_iter();
    let mut notices: Vec<(SocketAddr, Beat)> = others.map(|to| (to, told.clone())).collect();
    // Whoever is cut off from all others still finds what its own callers send.
    notices.extend(count(c, now, content, upstream));
    notices
}

/// Returns the other hosts that count the ends under requests of a content.
fn counting_hosts(c: &Control, content: Content) -> Vec<SocketAddr> {
    let mut domains: IndexMap<&str, Vec<(KeyHash, &KnownHost)>> = IndexMap::new();
    for host in c.hosts.values() {
        let rank = KeyHash::of(format!("{content} {}", host.row.run.host).as_bytes());
        let domain = domains.entry(host.row.domain.as_str()).or_default();
        domain.push((rank, host));
    }
    let ranked = domains.into_values().flat_map(|mut hosts| {
        hosts.sort_by_key(|(rank, _)| *rank);
        hosts.into_iter().take(COUNTING)
    });
    let others = ranked.filter(|(_, host)| host.row.run.host != c.me.host);
    others.map(|(_, host)| host.row.peers).collect()
}

/// Takes what another host saw; returns what others are to be told.
pub fn hear_ended(c: &mut Control, told: &EndedUnder, now: Timestamp) -> Vec<(SocketAddr, Beat)> {
    let Ok(upstream) = UpstreamId::new(told.upstream.as_str()) else {
        return Vec::new();
    };
    count(c, now, Content(told.content), &upstream)
}

/// Counts an end; returns what the hosts of this domain are told if the request is now quarantined.
fn count(
    c: &mut Control,
    now: Timestamp,
    content: Content,
    upstream: &UpstreamId,
) -> Vec<(SocketAddr, Beat)> {
    if !c.crashes.counted.ended(now, content, upstream) {
        return Vec::new();
    }
    let left = CrashSettings::default().quarantine;
    quarantine(c, now, content, left);
    c.crashes.unrecorded.insert(content);
    c.crashes.wake.notify_one();
    let beat = Beat {
        quarantined: Some(Quarantined {
            content: content.0,
            left_ms: left.as_millis() as u32,
        }),
        ..Beat::default()
    };
    let near = |h: &&KnownHost| h.row.domain == c.cfg.domain && h.row.run.host != c.me.host;
    let near = c.hosts.values().filter(near);
    near.map(|h| (h.row.peers, beat.clone())).collect()
}

/// Takes the word of a host of this domain that a request is quarantined.
pub fn hear_quarantined(c: &mut Control, told: Quarantined, now: Timestamp) {
    let left = Duration::from_millis(told.left_ms.into());
    quarantine(c, now, Content(told.content), left);
}

/// Sends requests of a content to no upstream for `left`.
fn quarantine(c: &mut Control, now: Timestamp, content: Content, left: Duration) {
    if !Arc::make_mut(&mut c.crashes.quarantine).put(now, content, now + left) {
        return;
    }
    c.metrics.count(Count::Quarantined);
    info!(c.log, "request quarantined"; "content" => %content,
        "left_ms" => left.as_millis() as u64);
    c.publish();
}

/// Takes the store's row of quarantined requests; `clock` is the newest reading of its clock.
pub fn take_row(
    c: &mut Control,
    row: QuarantineRow,
    at: Revision,
    clock: Option<StoreClock>,
    now: Timestamp,
) {
    let whole = CrashSettings::default().quarantine;
    for entry in &row.requests {
        let left = match clock {
            Some(clock) => entry.until_s - clock.least(now, 0.0).as_secs_f64(),
            // Whoever has never heard the store's clock takes the longest time that is possible.
            None => whole.as_secs_f64(),
        };
        let left = Duration::try_from_secs_f64(left).unwrap_or_default();
        quarantine(c, now, Content(entry.content), left.min(whole));
    }
    c.crashes.row = Some((at, row));
}

/// Writes what this host quarantined to the store, unless another host has.
pub async fn record(ctl: Ctl, platform: impl Platform) {
    let wake = ctl.with(|c| Rc::clone(&c.crashes.wake));
    loop {
        if ctl.with(|c| c.crashes.unrecorded.is_empty()) {
            wake.notified().await;
        }
        let wait = RECORD_WITHIN.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(wait).await;
        let due = ctl.with(|c| transaction(c, platform.store_clock()));
        let Some((row, txn)) = due else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        match platform.commit(txn).await {
            Ok(Commit::Done(at)) => ctl.with(|c| c.crashes.row = Some((at, row))),
            // What stands there comes with the next read.
            Ok(Commit::Conflict(_)) => tokio::time::sleep(PAUSE).await,
            Err(e) => {
                ctl.with(|c| warn!(c.log, "record quarantine"; "error" => %e));
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Builds the row with what this host has to record; none if there is nothing, or the store is away.
fn transaction(c: &mut Control, clock: Option<StoreClock>) -> Option<(QuarantineRow, Txn)> {
    let now = BootClock.now();
    let is_away = c.store_since.is_none();
    let CrashState {
        quarantine,
        unrecorded,
        row: known,
        ..
    } = &mut c.crashes;
    unrecorded.retain(|content| {
        let is_recorded = known
            .as_ref()
            .is_some_and(|(_, row)| row.contains(*content));
        !is_recorded && quarantine.left(now, *content).is_some()
    });
    let left = |content: &Content| Some((*content, quarantine.left(now, *content)?));
    let unrecorded: Vec<(Content, Duration)> = unrecorded.iter().filter_map(left).collect();
    if unrecorded.is_empty() || is_away {
        return None;
    }
    let clock_s = clock?.least(now, 0.0).as_secs_f64();
    let row = match known {
        Some((_, row)) => row.with(&unrecorded, clock_s),
        None => QuarantineRow::default().with(&unrecorded, clock_s),
    };
    let key = RowKey(format!("{SHARED}/{QUARANTINE_ROW}").into());
    let check = Check {
        key: key.clone(),
        revision: known.as_ref().map(|(at, _)| *at),
    };
    let value = serde_json::to_vec(&row).expect("rows serialize");
    let write = Write {
        key,
        value: Some(value.into()),
    };
    let txn = Txn {
        checks: vec![check],
        writes: vec![write],
    };
    Some((row, txn))
}
