//! What the table's ownership rows hold.

use std::sync::Arc;

use ids::{EntryId, Epoch, HostId, Incarnation, InvalidName, Revision, SliceNo, UpstreamId};
use platform::{Row, RowKey};
use prost::Message;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::HostRef;

/// Prefix of all ownership rows.
pub const PREFIX: &str = "own/";
/// Prefix of the rows that say that an entry's slices were handed out.
pub const ENTRY_PREFIX: &str = "own/entry/";

/// An ownership row that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RowError {
    /// The key names no ownership row.
    #[error("{0:?} is no key of an ownership row")]
    Key(SmolStr),
    /// The value does not decode.
    #[error("row {key}: {cause}")]
    Value {
        /// Key of the row.
        key: SmolStr,
        /// What was wrong.
        cause: SmolStr,
    },
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// An address is invalid.
    #[error("{0:?} is no address")]
    Address(SmolStr),
    /// The lists of slices and generations differ in length, or the slices do not rise.
    #[error("the slices do not rise or lack generations")]
    Slices,
}

/// A slice of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assigned {
    /// Slice.
    pub slice: SliceNo,
    /// How often the slice changed its owner; of two claims to a slice, the higher one is newer.
    pub generation: u64,
}

/// A hot key that was carved out of the slice that held it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Carved {
    /// Slice of the hot key alone.
    pub hot: SliceNo,
    /// Slice that held the key before.
    pub base: SliceNo,
}

/// A slice that came by a planned move, and that the upstream before may still have.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incoming {
    /// Slice.
    pub slice: SliceNo,
    /// Upstream that had it.
    pub from: UpstreamId,
}

/// Which write made a row; no two writes have the same one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Writer {
    /// Host.
    pub host: HostId,
    /// Run of the host.
    pub incarnation: Incarnation,
    /// Number of the write in that run.
    pub seq: u64,
}

/// Content of the row `own/<upstream>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnRow {
    /// Fencing token of the coordinating host.
    pub epoch: Epoch,
    /// Coordinating host, if there is one.
    pub coordinator: Option<HostRef>,
    /// Host that may take over on the reserved epoch, if there is one.
    pub deputy: Option<HostRef>,
    /// Whether the upstream takes slices; a lost or leaving one does not.
    pub open: bool,
    /// Slices of the upstream, rising.
    pub slices: Vec<Assigned>,
    /// Hot keys carved out of these slices, wherever they are now; rising.
    pub carved: Vec<Carved>,
    /// Those of the slices that another upstream may still have; rising.
    pub incoming: Vec<Incoming>,
    /// Hosts that may have requests in hand for the upstream from before and never said that they
    /// stopped; only kept if it does not check grants.
    pub unsettled: Vec<HostRef>,
    /// Which write made the row.
    pub writer: Writer,
}

impl OwnRow {
    /// Returns the epoch on which the deputy may take over without the table.
    #[must_use]
    pub const fn reserved(&self) -> Epoch {
        self.epoch.next()
    }

    /// Tells whether `slice` is among the upstream's slices.
    #[must_use]
    pub fn holds(&self, slice: SliceNo) -> bool {
        self.slices
            .binary_search_by_key(&slice, |a| a.slice)
            .is_ok()
    }

    /// Returns how often `slice`, if it is the upstream's, changed its owner.
    #[must_use]
    pub fn generation(&self, slice: SliceNo) -> Option<u64> {
        let found = self.slices.binary_search_by_key(&slice, |a| a.slice).ok()?;
        Some(self.slices[found].generation)
    }

    /// Encodes the row's value.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        wire::own::Row::from(self).encode_to_vec()
    }

    /// Returns the key of `upstream`'s row.
    #[must_use]
    pub fn key(upstream: &UpstreamId) -> RowKey {
        RowKey(format_smolstr!("{PREFIX}{upstream}"))
    }
}

impl From<&OwnRow> for wire::own::Row {
    fn from(row: &OwnRow) -> Self {
        let carved = |c: &Carved| wire::own::Carved {
            hot: c.hot.0,
            base: c.base.0,
        };
        let incoming = |i: &Incoming| wire::own::Incoming {
            slice: i.slice.0,
            from: i.from.as_str().to_owned(),
        };
        Self {
            epoch: row.epoch.0,
            coordinator: row.coordinator.as_ref().map(Into::into),
            deputy: row.deputy.as_ref().map(Into::into),
            open: row.open,
            slices: row.slices.iter().map(|a| a.slice.0).collect(),
            generations: row.slices.iter().map(|a| a.generation).collect(),
            carved: row.carved.iter().map(carved).collect(),
            writer: row.writer.host.as_str().to_owned(),
            writer_incarnation: row.writer.incarnation.0,
            writer_seq: row.writer.seq,
            unsettled: row.unsettled.iter().map(Into::into).collect(),
            incoming: row.incoming.iter().map(incoming).collect(),
        }
    }
}

impl TryFrom<&wire::own::Row> for OwnRow {
    type Error = RowError;

    fn try_from(row: &wire::own::Row) -> Result<Self, RowError> {
        let rising = row.slices.is_sorted_by(|a, b| a < b);
        if !rising || row.slices.len() != row.generations.len() {
            return Err(RowError::Slices);
        }
        let slices = row.slices.iter().zip(&row.generations);
        let carved = |c: &wire::own::Carved| Carved {
            hot: SliceNo(c.hot),
            base: SliceNo(c.base),
        };
        let incoming = |i: &wire::own::Incoming| -> Result<Incoming, RowError> {
            Ok(Incoming {
                slice: SliceNo(i.slice),
                from: UpstreamId::new(i.from.as_str())?,
            })
        };
        Ok(Self {
            epoch: Epoch(row.epoch),
            coordinator: row
                .coordinator
                .as_ref()
                .map(TryInto::try_into)
                .transpose()?,
            deputy: row.deputy.as_ref().map(TryInto::try_into).transpose()?,
            open: row.open,
            slices: slices
                .map(|(&slice, &generation)| Assigned {
                    slice: SliceNo(slice),
                    generation,
                })
                .collect(),
            carved: row.carved.iter().map(carved).collect(),
            incoming: row
                .incoming
                .iter()
                .map(incoming)
                .collect::<Result<_, _>>()?,
            unsettled: row
                .unsettled
                .iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            writer: Writer {
                host: HostId::new(row.writer.as_str())?,
                incarnation: Incarnation(row.writer_incarnation),
                seq: row.writer_seq,
            },
        })
    }
}

/// Content of the row `own/entry/<entry>`: the entry's slices were handed out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRow {
    /// How many slices the entry has.
    pub slices: u32,
    /// Which write made the row.
    pub writer: Writer,
}

impl EntryRow {
    /// Encodes the row's value.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let row = wire::own::EntryRow {
            slices: self.slices,
            writer: self.writer.host.as_str().to_owned(),
            writer_incarnation: self.writer.incarnation.0,
            writer_seq: self.writer.seq,
        };
        row.encode_to_vec()
    }

    /// Returns the key of `entry`'s row.
    #[must_use]
    pub fn key(entry: &EntryId) -> RowKey {
        RowKey(format_smolstr!("{ENTRY_PREFIX}{entry}"))
    }
}

impl TryFrom<&wire::own::EntryRow> for EntryRow {
    type Error = RowError;

    fn try_from(row: &wire::own::EntryRow) -> Result<Self, RowError> {
        Ok(Self {
            slices: row.slices,
            writer: Writer {
                host: HostId::new(row.writer.as_str())?,
                incarnation: Incarnation(row.writer_incarnation),
                seq: row.writer_seq,
            },
        })
    }
}

/// An ownership row as the table or a peer gave it, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnChange {
    /// The row of an upstream; no content if it was deleted.
    Upstream(UpstreamId, Revision, Option<Arc<OwnRow>>),
    /// The row of an entry; no content if it was deleted.
    Entry(EntryId, Revision, Option<EntryRow>),
}

impl OwnChange {
    /// Decodes a row of the table.
    ///
    /// # Errors
    ///
    /// Fails if the key names no ownership row or the value does not decode.
    pub fn parse(row: &Row) -> Result<Self, RowError> {
        let key = row.key.0.as_str();
        let bad = |cause: prost::DecodeError| RowError::Value {
            key: key.into(),
            cause: format_smolstr!("{cause}"),
        };
        if let Some(entry) = key.strip_prefix(ENTRY_PREFIX) {
            let entry = EntryId::new(entry)?;
            let Some(value) = &row.value else {
                return Ok(Self::Entry(entry, row.revision, None));
            };
            let content = wire::own::EntryRow::decode(value.as_ref()).map_err(bad)?;
            return Ok(Self::Entry(
                entry,
                row.revision,
                Some((&content).try_into()?),
            ));
        }
        let Some(upstream) = key.strip_prefix(PREFIX) else {
            return Err(RowError::Key(key.into()));
        };
        let upstream = UpstreamId::new(upstream)?;
        let Some(value) = &row.value else {
            return Ok(Self::Upstream(upstream, row.revision, None));
        };
        let content = wire::own::Row::decode(value.as_ref()).map_err(bad)?;
        let content = Arc::new(OwnRow::try_from(&content)?);
        Ok(Self::Upstream(upstream, row.revision, Some(content)))
    }
}
