//! Messages between a host and those that it relays to.

use bytes::Bytes;
use ids::Revision;
use platform::{Changes, Delta, Row, RowKey};
use prost::Message;
use smol_str::SmolStr;

use crate::control::replica::TableReplica;

/// What a relay target sends to the host that relays to it: first the tables that it already has,
/// later only further readings of its clock.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct ReplicaVersion {
    /// Revision up to which it is complete, for each table in the order of [`Table::ALL`](crate::control::tables::Table::ALL); zero if
    /// it has no rows of it.
    #[prost(uint64, repeated, tag = "1")]
    pub revisions: Vec<u64>,
    /// Reading of the target's clock when it sent this, in microseconds.
    #[prost(uint64, tag = "2")]
    pub sent_at_us: u64,
}

/// A reading of a relay target's clock that is sent back to it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Message)]
pub struct ClockEcho {
    /// The reading of the target's clock, in microseconds.
    #[prost(uint64, tag = "1")]
    pub sent_at_us: u64,
    /// Reading of the sender's clock after it had received that, in microseconds.
    #[prost(uint64, tag = "2")]
    pub received_at_us: u64,
}

/// Rows that a host relays.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RelayedRows {
    /// Changes of each table, in the order of [`Table::ALL`](crate::control::tables::Table::ALL).
    #[prost(message, repeated, tag = "1")]
    pub tables: Vec<RelayedTable>,
    /// Whether the sender's knowledge of the store is fresh; if not, it relays nothing.
    #[prost(bool, tag = "2")]
    pub is_fresh: bool,
    /// The hosts through which the rows came: first the one that read the store, last the sender.
    #[prost(string, repeated, tag = "3")]
    pub path: Vec<String>,
    /// Whether the next message continues this one: the receiver applies both together.
    #[prost(bool, tag = "4")]
    pub is_continued: bool,
    /// The latest reading of the receiver's clock that the sender has received.
    #[prost(message, optional, tag = "5")]
    pub echo: Option<ClockEcho>,
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
                is_fresh: self.is_fresh,
                path: self.path.clone(),
                is_continued: true,
                echo: self.echo,
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
    /// Reading of the sender's clock as of which it knows the table, in microseconds: the read of the
    /// store that the sender's knowledge stems from began then or later.
    #[prost(uint64, tag = "4")]
    pub as_of_us: u64,
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

impl From<&Row> for RelayedRow {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.0.to_string(),
            revision: row.revision.0,
            value: row.value.clone(),
        }
    }
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
            as_of_us: 0,
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
