//! Quarantines requests, and writes them to their row in the store.
//!
//! Hosts that find such a request notify each other directly ([`crashes`](super::crashes)). The row
//! reaches hosts that were cut off or have just started.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use assign::StoreClock;
use direct::{CrashSettings, RequestFingerprint};
use gate::counters::Count;
use ids::{BootClock, Clock, Revision, Timestamp};
use platform::{Check, Commit, RowKey, Txn, Write};
use rand::Rng;
use slog::{info, warn};

use crate::control::quarantined::{QuarantineEntry, QuarantineRow};
use crate::control::shared::SharedControl;
use crate::control::state::ControlState;
use crate::ports::{Platform, SHARED};

/// Key of the row that holds the quarantined requests.
pub(crate) const QUARANTINE_ROW: &str = "quarantine";
/// Longest time before a host that quarantined a request writes it to the store: other hosts that
/// count the same request then find it there and need not write.
const MAX_RECORD_DELAY: Duration = Duration::from_millis(400);
/// Pause after a write that failed.
const PAUSE: Duration = Duration::from_secs(1);

impl ControlState {
    /// Quarantines requests, each for its time.
    pub fn quarantine(
        &mut self,
        now: Timestamp,
        requests: impl IntoIterator<Item = (RequestFingerprint, Duration)>,
    ) {
        let mut has_changed = false;
        for (fingerprint, left) in requests {
            let in_force = Arc::make_mut(&mut self.quarantined.in_force);
            if !in_force.insert(now, fingerprint, now + left) {
                continue;
            }
            has_changed = true;
            self.metrics.count(Count::Quarantined);
            info!(self.log, "request quarantined"; "content" => %fingerprint,
                "left_ms" => left.as_millis() as u64);
        }
        if has_changed {
            self.publish();
        }
    }
}

/// Applies the store's row of quarantined requests; `clock` is the newest reading of its clock.
pub fn apply_row(
    c: &mut ControlState,
    row: QuarantineRow,
    at: Revision,
    clock: Option<StoreClock>,
    now: Timestamp,
) {
    let full_time = CrashSettings::default().quarantine;
    let left = |entry: &QuarantineEntry| {
        let left = match clock {
            Some(clock) => entry.until_s - clock.lower_bound(now, 0.0).as_secs_f64(),
            // Without a reading of the store's clock, the longest possible time is assumed.
            None => full_time.as_secs_f64(),
        };
        let left = Duration::try_from_secs_f64(left).unwrap_or_default();
        (RequestFingerprint(entry.fingerprint), left.min(full_time))
    };
    c.quarantine(now, row.requests.iter().map(left));
    c.quarantined.row = Some((at, row));
}

/// Writes the requests that this host quarantined to the store, unless another host has written
/// them.
pub async fn record(ctl: SharedControl, platform: impl Platform) {
    let wake = ctl.with(|c| Rc::clone(&c.quarantined.wake));
    loop {
        if ctl.with(|c| c.quarantined.unrecorded.is_empty()) {
            wake.notified().await;
        }
        let wait = MAX_RECORD_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(wait).await;
        let due = ctl.with(|c| transaction(c, platform.store_clock()));
        let Some((row, txn)) = due else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let era = ctl.with(|c| c.known_era.era);
        match platform.commit(txn, era).await {
            Ok(Commit::Done(at)) => ctl.with(|c| c.quarantined.row = Some((at, row))),
            // The next read brings the row that is there.
            Ok(Commit::Conflict(_)) => tokio::time::sleep(PAUSE).await,
            Err(e) => {
                ctl.with(|c| warn!(c.log, "recording quarantine failed"; "error" => %e));
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Builds the row and the transaction that writes it; none if there is nothing to write, or the
/// store does not answer.
fn transaction(c: &mut ControlState, clock: Option<StoreClock>) -> Option<(QuarantineRow, Txn)> {
    let state = &mut c.quarantined;
    let unrecorded = state.unrecorded_requests(BootClock.now());
    if unrecorded.is_empty() || c.store_available_since.is_none() {
        return None;
    }
    let known = state.row.as_ref();
    let now = BootClock.now();
    let clock_s = clock?.lower_bound(now, 0.0).as_secs_f64();
    let row = match known {
        Some((_, row)) => row.merged(&unrecorded, clock_s),
        None => QuarantineRow::default().merged(&unrecorded, clock_s),
    };
    let key = RowKey(format!("{SHARED}/{QUARANTINE_ROW}").into());
    let check = Check {
        key: key.clone(),
        revision: known.map(|(at, _)| *at),
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
