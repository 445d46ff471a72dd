//! Calls to the platform, each in a task of its own.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ids::{Clock, Revision};
use own::CommitOutcome;
use platform::{Commit, Hosts, HttpPlatform, Row, Table, Txn};
use spread::Prefix;
use tokio::time::{Instant, sleep};

use super::input::{Input, InputTx};

#[cfg(test)]
mod tests;

/// Least time between two reads of the list of hosts.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Time between two reads of a relay, for each live host.
const LIST_EVERY_PER_HOST: Duration = Duration::from_millis(25);
/// How much longer that time is for other hosts.
const LIST_FACTOR: u32 = 10;

/// How long a host waits between two reads of the list of hosts.
///
/// Hosts that know each other tell one another of new ones, so that the list matters to hosts that
/// know nobody, and to relays in case some hosts found only each other. The list grows with the
/// hosts: a time that grows with them keeps the bytes for each reader, and the reads of all of
/// them, within bounds.
pub(crate) fn list_pause(live_hosts: u32, is_relay: bool) -> Duration {
    if live_hosts <= 1 {
        return LIST_EVERY;
    }
    let pause = LIST_EVERY.max(LIST_EVERY_PER_HOST * live_hosts);
    if is_relay { pause } else { pause * LIST_FACTOR }
}

/// The platform, as the control duty calls it.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    platform: HttpPlatform,
    clock: Arc<dyn Clock>,
    input: InputTx,
    list_pause: Rc<Cell<Duration>>,
}

impl PlatformCalls {
    /// Creates the caller.
    pub(crate) fn new(platform: HttpPlatform, clock: Arc<dyn Clock>, input: InputTx) -> Self {
        Self {
            platform,
            clock,
            input,
            list_pause: Rc::new(Cell::new(LIST_EVERY)),
        }
    }

    /// Sets the time between two reads of the list of hosts.
    pub(crate) fn set_list_pause(&self, pause: Duration) {
        self.list_pause.set(pause);
    }

    /// Reads the list of hosts again and again.
    pub(crate) fn list_hosts(&self) {
        let platform = self.platform.clone();
        let input = self.input.clone();
        let pause = Rc::clone(&self.list_pause);
        tokio::task::spawn_local(async move {
            loop {
                let began = Instant::now();
                if let Ok(hosts) = platform.list().await {
                    input.send(Input::Listed(hosts)).await;
                }
                sleep(LIST_EVERY).await;
                // The pause may have become shorter meanwhile.
                while began.elapsed() < pause.get() {
                    sleep(LIST_EVERY).await;
                }
            }
        });
    }

    /// Reads changes below a prefix.
    pub(crate) fn read(&self, prefix: Prefix, since: Revision) {
        let platform = self.platform.clone();
        let input = self.input.clone();
        let began = self.clock.now();
        tokio::task::spawn_local(async move {
            let changes = platform.changes(prefix.as_str(), since).await.ok();
            let read = Input::TableRead {
                prefix,
                since,
                began,
                changes,
            };
            input.send(read).await;
        });
    }

    /// Commits a transaction.
    pub(crate) fn commit(&self, txn: u64, body: Txn) {
        let platform = self.platform.clone();
        let input = self.input.clone();
        tokio::task::spawn_local(async move {
            let writes = body.writes.clone();
            let (outcome, rows) = match platform.commit(body).await {
                Ok(Commit::Done(revision)) => {
                    let written = writes.into_iter().map(|w| Row {
                        key: w.key,
                        revision,
                        value: w.value,
                    });
                    (CommitOutcome::Done(revision), written.collect())
                }
                Ok(Commit::Conflict(rows)) => (CommitOutcome::Conflict(rows.clone()), rows),
                Err(e) if e.had_no_effect() => (CommitOutcome::Unreachable, Vec::new()),
                Err(_unconfirmed) => (CommitOutcome::Unconfirmed, Vec::new()),
            };
            input.send(Input::Committed { txn, outcome, rows }).await;
        });
    }
}
