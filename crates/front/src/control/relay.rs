//! Passes rows of the store on from host to host.
//!
//! The hosts form a tree with the strongest ones of each domain at its root, and one host of all
//! reads the store. A host that received rows before names the revisions up to which it is complete
//! and receives what is newer. A host whose parent is unresponsive, or can't read the store, looks
//! for another parent and reads the store itself only if it finds none.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use ids::{BootClock, Clock, Revision, StoreEra, Timestamp};
use platform::{Changes, Delta, Row, RowKey};
use prost::Message;
use slog::{debug, info};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};

use crate::control::apply::apply;
use crate::control::replica::TableReplica;
use crate::control::state::{ControlState, SharedControl};
use crate::control::tables::Table;
use crate::control::tree;
use crate::framed_conn::FramedConn;
use crate::ports::Platform;
use crate::view::Phase;

/// Most hosts that one host relays to when it stands in for parents that have failed.
const MAX_RELAY_TARGETS: usize = 2 * tree::FANOUT;
/// Longest time between two messages to a relay target.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(400);
/// Most rows in one message: a host without any rows receives megabytes, which take seconds over a
/// slow link, and each message has its own send timeout.
const ROWS_PER_MESSAGE: usize = 1_500;
/// Time without a message after which a relay target reads the store itself: two messages and their
/// transmission. What the store has accepted must be known within two seconds.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for connecting to another host: twenty times the latency between hosts. Hosts that have
/// ended for good are still listed, and each attempt to reach one delays the search for a parent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for sending one of the first messages: half a megabyte takes that long over a link of 10
/// Mbit/s that several relay targets share.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before the next search for a parent.
const PAUSE: Duration = Duration::from_millis(700);
/// The same while this host has not yet read all tables: hosts that started with it are about to
/// have read them.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// The tables that a relay target already has.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ReplicaVersion {
    /// Revision up to which it is complete, for each table in the order of [`Table::ALL`]; zero if
    /// it has no rows of it.
    #[prost(uint64, repeated, tag = "1")]
    pub revisions: Vec<u64>,
}

/// Rows that a host relays.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RelayedRows {
    /// Changes of each table, in the order of [`Table::ALL`].
    #[prost(message, repeated, tag = "1")]
    pub tables: Vec<RelayedTable>,
    /// Milliseconds for which the sender's knowledge of the store stays fresh; zero if it is not
    /// fresh and the sender relays nothing.
    #[prost(uint32, tag = "2")]
    pub fresh_ms: u32,
    /// The host that read the store.
    #[prost(string, tag = "3")]
    pub reader: String,
    /// Whether the next message continues this one: the receiver applies both together.
    #[prost(bool, tag = "4")]
    pub is_continued: bool,
}

impl RelayedRows {
    /// Splits the message into messages with at most `rows` rows each.
    #[must_use]
    pub fn split(mut self, rows: usize) -> Vec<Self> {
        let mut messages = Vec::new();
        while self.tables.iter().map(|t| t.rows.len()).sum::<usize>() > rows {
            let mut room = rows;
            let tables = self.tables.iter_mut().map(|table| {
                let taken = table.rows.len().min(room);
                room -= taken;
                RelayedTable {
                    rows: table.rows.drain(..taken).collect(),
                    ..RelayedTable::default()
                }
            });
            messages.push(Self {
                tables: tables.collect(),
                fresh_ms: self.fresh_ms,
                reader: self.reader.clone(),
                is_continued: true,
            });
        }
        messages.push(self);
        messages
    }

    /// Prepends the rows of the preceding messages, which this one continues.
    pub fn prepend(&mut self, preceding: Self) {
        for (table, mut earlier) in self.tables.iter_mut().zip(preceding.tables) {
            earlier.rows.append(&mut table.rows);
            table.rows = earlier.rows;
        }
    }
}

/// Changes of one table.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RelayedTable {
    /// Revision up to which the receiver is complete with these rows.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Rows that changed.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<RelayedRow>,
    /// Whether these are all rows of the table, and all others are removed.
    #[prost(bool, tag = "3")]
    pub is_snapshot: bool,
}

/// A row.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RelayedRow {
    /// Key, with its table.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value; none if the row was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

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
    let mut rows = ctl.with(|c| first_message(c, &version, &mut sent));
    let mut timeout = SEND_TIMEOUT;
    loop {
        let is_last = rows.fresh_ms == 0;
        for message in rows.split(ROWS_PER_MESSAGE) {
            // A relay target that reads nothing must not hold its slot for ever.
            let sent = tokio::time::timeout(timeout, link.outgoing.send(message));
            sent.await.map_err(std::io::Error::from)??;
        }
        timeout = RELAY_TIMEOUT;
        if is_last {
            return Ok(());
        }
        tokio::select! {
            // Returns at the first of the two.
            _ = tokio::time::timeout(MAX_MESSAGE_INTERVAL, changes.changed()) => {}
            _ = link.incoming.next() => return Ok(()),
        }
        rows = ctl.with(|c| next_message(c, &mut sent));
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
        }
    })
}

/// Builds a message with what `table` returns for each replica; an empty one if this host's
/// knowledge is not fresh.
fn build_message(
    c: &ControlState,
    mut table: impl FnMut(usize, &TableReplica) -> RelayedTable,
) -> RelayedRows {
    let fresh_ms = c.freshness.left(BootClock.now()).as_millis() as u32;
    if fresh_ms == 0 {
        return RelayedRows::default();
    }
    let replicas = c.replicas.iter().enumerate();
    RelayedRows {
        tables: replicas.map(|(i, replica)| table(i, replica)).collect(),
        fresh_ms,
        reader: c.reader.to_string(),
        is_continued: false,
    }
}

impl From<&Row> for RelayedRow {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.0.to_string(),
            revision: row.revision.0,
            value: row.value.clone(),
        }
    }
}

/// Receives rows that other hosts relay, as long as there are such hosts.
pub async fn receive(ctl: SharedControl, platform: impl Platform) {
    loop {
        for parent in ctl.with(|c| parents(c)) {
            let result = receive_from(&ctl, &platform, parent).await;
            ctl.with(|c| c.freshness.relay_lost(BootClock.now()));
            if let Err(e) = result {
                ctl.with(|c| debug!(c.log, "relay ended"; "peer" => %parent, "error" => %e));
            }
        }
        let pause = if ctl.with(|c| c.freshness.has_known_all()) {
            PAUSE
        } else {
            FIRST_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

/// Returns the hosts that may relay to this one, the best first.
fn parents(c: &ControlState) -> Vec<SocketAddr> {
    let relay_tree = c.relay_tree();
    let mut parents = relay_tree.parents(&c.cfg.domain, &c.this_host.host);
    // While the hosts that start together have read nothing, no two of them can relay to each
    // other.
    if c.freshness.is_failing() || !c.freshness.has_known_all() {
        parents.extend(relay_tree.later_hosts(&c.cfg.domain, &c.this_host.host));
    }
    parents
}

/// Receives the rows that the host at `parent` relays, until the parent is unresponsive or no
/// longer fresh.
async fn receive_from(
    ctl: &SharedControl,
    platform: &impl Platform,
    parent: SocketAddr,
) -> Result<(), wire::FrameError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(parent));
    let stream = connect.await.map_err(std::io::Error::from)??;
    let mut link: FramedConn<RelayedRows, ReplicaVersion> = FramedConn::new(stream)?;
    let revisions = ctl.with(|c| {
        c.replicas
            .iter()
            .map(|replica| replica.revision().0)
            .collect()
    });
    link.outgoing.send(ReplicaVersion { revisions }).await?;
    // A host without any rows receives all rows in the first messages.
    let has_known_all = ctl.with(|c| c.freshness.has_known_all());
    let mut timeout = if has_known_all {
        RELAY_TIMEOUT
    } else {
        SEND_TIMEOUT
    };
    let requested_at = BootClock.now();
    let mut is_first = true;
    let mut preceding = None;
    loop {
        let next = tokio::time::timeout(timeout, link.incoming.next());
        let Some(message) = next.await.map_err(std::io::Error::from)? else {
            return Ok(());
        };
        let mut message = message?;
        if let Some(preceding) = preceding.take() {
            message.prepend(preceding);
        }
        if message.is_continued {
            preceding = Some(message);
            continue;
        }
        timeout = RELAY_TIMEOUT;
        // Rows that this host read itself must not keep its own knowledge fresh.
        let is_own_read = ctl.with(|c| message.reader == c.this_host.host.as_str());
        let is_past = ctl.with(|c| is_of_past_era(c, &message));
        let is_leaving = ctl.with(|c| c.phase == Phase::Leaving);
        if is_leaving || message.fresh_ms == 0 || is_own_read || is_past {
            return Ok(());
        }
        if is_first {
            ctl.with(|c| info!(c.log, "fed by"; "peer" => %parent));
        }
        // The first message was built after the request for it, and may have taken long to arrive.
        let as_of = if is_first {
            requested_at
        } else {
            BootClock.now()
        };
        if ctl.with(|c| apply_message(c, platform, message, as_of)) {
            ctl.notify_changed();
        } else {
            ctl.notify_confirmed();
        }
        is_first = false;
    }
}

/// Returns whether a message has rows of an earlier era than this host has: its sender has not learned
/// yet that the store returned from a copy.
fn is_of_past_era(c: &ControlState, message: &RelayedRows) -> bool {
    let mut tables = c.replicas.iter().zip(&message.tables);
    tables.any(|(known, relayed)| Revision(relayed.revision).era() < known.revision().era())
}

/// Applies a message that was built at `as_of` or later; returns whether anything changed.
fn apply_message(
    c: &mut ControlState,
    platform: &impl Platform,
    message: RelayedRows,
    as_of: Timestamp,
) -> bool {
    let now = BootClock.now();
    let left = Duration::from_millis(u64::from(message.fresh_ms));
    let eras = message.tables.iter().map(|t| Revision(t.revision).era());
    if let Some(era) = eras.max() {
        c.observe_era(now, era);
    }
    c.freshness.relayed(now, as_of, left);
    c.reader = message.reader.into();
    c.record_store_answer(now);
    let mut changed = false;
    for (table, relayed) in Table::ALL.into_iter().zip(message.tables) {
        changed |= apply(c, platform, table, relayed.into_delta(), now);
    }
    changed
}

impl RelayedTable {
    /// Builds the first rows for a host that is complete up to a revision: newer rows, or all rows
    /// if this host does not know what was removed since.
    #[must_use]
    pub fn first(replica: &TableReplica, complete_to: Revision) -> Self {
        let newer = replica.changed_since(complete_to);
        let is_snapshot = newer.is_none();
        let rows = match newer {
            Some(newer) => newer.map(RelayedRow::from).collect(),
            None => replica.since_generation(0).map(RelayedRow::from).collect(),
        };
        Self {
            revision: replica.revision().0,
            rows,
            is_snapshot,
        }
    }

    /// Converts the rows to a change of a table.
    #[must_use]
    pub fn into_delta(self) -> Delta {
        let rows = self.rows.into_iter().map(|row| Row {
            key: RowKey(SmolStr::from(row.key)),
            revision: Revision(row.revision),
            value: row.value,
        });
        let changes = Changes {
            revision: Revision(self.revision),
            rows: rows.collect(),
        };
        if self.is_snapshot {
            Delta::Snapshot(changes)
        } else {
            Delta::Changes(changes)
        }
    }
}
