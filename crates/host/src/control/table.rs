//! Calls to the platform. Each call runs in its own task.

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

/// Shortest time between two reads of the list of hosts.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads by a table reader, for each live host.
const LIST_INTERVAL_PER_HOST: Duration = Duration::from_millis(25);
/// Factor by which that time is longer for hosts that do not read the table.
const NON_READER_LIST_FACTOR: u32 = 10;

/// Returns the time between two reads of the list of hosts.
///
/// Hosts that are connected report new hosts to each other. The list is needed by hosts that know no
/// other host, and by table readers in case some hosts found only each other. The list grows with
/// the number of hosts; an interval that grows with it bounds the bytes that each reader receives
/// and the number of reads by all of them.
pub(crate) fn list_interval(live_hosts: u32, is_table_reader: bool) -> Duration {
    if live_hosts <= 1 {
        return LIST_INTERVAL;
    }
    let interval = LIST_INTERVAL.max(LIST_INTERVAL_PER_HOST * live_hosts);
    if is_table_reader {
        interval
    } else {
        interval * NON_READER_LIST_FACTOR
    }
}

/// Client of the platform for the control thread.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    platform: HttpPlatform,
    clock: Arc<dyn Clock>,
    input: InputTx,
    list_interval: Rc<Cell<Duration>>,
}

impl PlatformCalls {
    /// Creates the client.
    pub(crate) fn new(platform: HttpPlatform, clock: Arc<dyn Clock>, input: InputTx) -> Self {
        Self {
            platform,
            clock,
            input,
            list_interval: Rc::new(Cell::new(LIST_INTERVAL)),
        }
    }

    /// Sets the time between two reads of the list of hosts.
    pub(crate) fn set_list_interval(&self, interval: Duration) {
        self.list_interval.set(interval);
    }

    /// Starts the task that reads the list of hosts periodically.
    pub(crate) fn list_hosts(&self) {
        let platform = self.platform.clone();
        let input = self.input.clone();
        let interval = Rc::clone(&self.list_interval);
        tokio::task::spawn_local(async move {
            loop {
                let began = Instant::now();
                if let Ok(hosts) = platform.list().await {
                    input.send(Input::HostsListed(hosts)).await;
                }
                sleep(LIST_INTERVAL).await;
                // The interval may have become shorter in the meantime.
                while began.elapsed() < interval.get() {
                    sleep(LIST_INTERVAL).await;
                }
            }
        });
    }

    /// Reads the rows below a prefix that changed after `since`.
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
            input.send(Input::CommitEnded { txn, outcome, rows }).await;
        });
    }
}
