//! Calls to the platform, each in a task of its own.

use std::sync::Arc;
use std::time::Duration;

use ids::{Clock, Revision};
use own::CommitOutcome;
use platform::{Commit, Hosts, HttpPlatform, Row, Table, Txn};
use spread::Prefix;
use tokio::time::sleep;

use super::input::{Input, InputTx};

/// Time between reads of the list of hosts.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// The platform, as the control duty calls it.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    platform: HttpPlatform,
    clock: Arc<dyn Clock>,
    input: InputTx,
}

impl PlatformCalls {
    /// Creates the caller.
    pub(crate) fn new(platform: HttpPlatform, clock: Arc<dyn Clock>, input: InputTx) -> Self {
        Self {
            platform,
            clock,
            input,
        }
    }

    /// Reads the list of hosts again and again.
    pub(crate) fn list_hosts(&self) {
        let platform = self.platform.clone();
        let input = self.input.clone();
        tokio::task::spawn_local(async move {
            loop {
                if let Ok(hosts) = platform.list().await {
                    input.send(Input::Listed(hosts)).await;
                }
                sleep(LIST_EVERY).await;
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
