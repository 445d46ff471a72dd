//! Relays rows to other hosts.

use std::time::Duration;

use futures::{SinkExt, StreamExt};
use ids::{BootClock, Clock, Revision, StoreEra};
use slog::debug;
use tokio::net::{TcpListener, TcpStream};

use super::messages::{ClockEcho, RelayedRow, RelayedRows, RelayedTable, ReplicaVersion};
use super::{PAUSE, RELAY_TIMEOUT, SEND_TIMEOUT};
use crate::control::replica::TableReplica;
use crate::control::shared::SharedControl;
use crate::control::state::ControlState;
use crate::control::tables::Table;
use crate::control::tree;
use crate::framed_conn::FramedConn;

/// Most hosts that one host relays to when it stands in for parents that have failed.
const MAX_RELAY_TARGETS: usize = 2 * tree::FANOUT;
/// Longest time between two messages to a relay target.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(400);
/// Most rows in one message: a host without any rows receives megabytes, which take seconds over a
/// slow link, and each message has its own send timeout.
const ROWS_PER_MESSAGE: usize = 1_500;

/// Relays to hosts that connect to `listener`.
pub async fn serve(ctl: SharedControl, listener: TcpListener) {
    let targets = tokio_util::task::TaskTracker::new();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) if targets.len() < MAX_RELAY_TARGETS => {
                let ctl = ctl.clone();
                targets.spawn_local(async move {
                    if let Err(e) = serve_target(&ctl, stream).await {
                        ctl.with(
                            |c| debug!(c.log, "relay target left"; "peer" => %peer, "error" => %e),
                        );
                    }
                });
            }
            Ok(_) => {}
            Err(e) => {
                ctl.with(|c| debug!(c.log, "accepting relay connection failed"; "error" => %e));
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn serve_target(ctl: &SharedControl, stream: TcpStream) -> Result<(), wire::FrameError> {
    let mut link: FramedConn<ReplicaVersion, RelayedRows> = FramedConn::new(stream)?;
    let version = tokio::time::timeout(RELAY_TIMEOUT, link.incoming.next());
    let Some(version) = version.await.map_err(std::io::Error::from)? else {
        return Ok(());
    };
    let mut changes = ctl.subscribe();
    let mut sent = [SentTable::default(); Table::ALL.len()];
    let version = version?;
    let mut echo = echo_of(&version);
    let mut rows = ctl.with(|c| first_message(c, &version, &mut sent));
    let mut timeout = SEND_TIMEOUT;
    loop {
        rows.echo = Some(echo);
        let is_last = !rows.is_fresh;
        for message in rows.split(ROWS_PER_MESSAGE) {
            // A relay target that reads nothing must not hold its slot for ever.
            let sent = tokio::time::timeout(timeout, link.outgoing.send(message));
            sent.await.map_err(std::io::Error::from)??;
        }
        timeout = RELAY_TIMEOUT;
        if is_last {
            return Ok(());
        }
        let due = tokio::time::timeout(MAX_MESSAGE_INTERVAL, changes.changed());
        tokio::pin!(due);
        loop {
            tokio::select! {
                // Ends at a change, or at the timeout.
                _ = &mut due => break,
                received = link.incoming.next() => match received {
                    Some(version) => echo = echo_of(&version?),
                    None => return Ok(()),
                },
            }
        }
        rows = ctl.with(|c| next_message(c, &mut sent));
    }
}

/// Builds what is sent back of a message that has just been received.
fn echo_of(version: &ReplicaVersion) -> ClockEcho {
    ClockEcho {
        sent_at_us: version.sent_at_us,
        received_at_us: BootClock.now().as_micros(),
    }
}

/// Up to where a relay target has a table.
#[derive(Debug, Clone, Copy, Default)]
struct SentTable {
    /// Generation of the replica.
    generation: u64,
    /// Era of the store.
    era: StoreEra,
}

impl SentTable {
    fn of(replica: &TableReplica) -> Self {
        Self {
            generation: replica.generation(),
            era: replica.revision().era(),
        }
    }
}

/// Builds the first message to a host that has the revisions in `version`.
fn first_message(
    c: &ControlState,
    version: &ReplicaVersion,
    sent: &mut [SentTable; Table::ALL.len()],
) -> RelayedRows {
    let revision_of = |i: usize| version.revisions.get(i).copied().unwrap_or_default();
    build_message(c, |i, replica| {
        sent[i] = SentTable::of(replica);
        RelayedTable::first(replica, Revision(revision_of(i)))
    })
}

/// Builds the next message to a host that has everything up to `sent`.
fn next_message(c: &ControlState, sent: &mut [SentTable; Table::ALL.len()]) -> RelayedRows {
    build_message(c, |i, replica| {
        let SentTable { generation, era } = std::mem::replace(&mut sent[i], SentTable::of(replica));
        if era != replica.revision().era() {
            // The target may have rows that the store has lost and this host never had.
            return RelayedTable::first(replica, Revision::default());
        }
        RelayedTable {
            revision: replica.revision().0,
            rows: replica
                .since_generation(generation)
                .map(RelayedRow::from)
                .collect(),
            is_snapshot: false,
            as_of_us: 0,
        }
    })
}

/// Builds a message with what `table` returns for each replica; an empty one if this host's
/// knowledge is not fresh.
fn build_message(
    c: &ControlState,
    mut table: impl FnMut(usize, &TableReplica) -> RelayedTable,
) -> RelayedRows {
    if !c.freshness.is_fresh(BootClock.now()) {
        return RelayedRows::default();
    }
    let relayed = |known: Table| RelayedTable {
        as_of_us: c.freshness.as_of(known).as_micros(),
        ..table(known.index(), &c.replicas[known.index()])
    };
    let this_host = c.this_host.host.to_string();
    RelayedRows {
        tables: Table::ALL.into_iter().map(relayed).collect(),
        is_fresh: true,
        path: c.path.iter().cloned().chain([this_host]).collect(),
        is_continued: false,
        echo: None,
    }
}
