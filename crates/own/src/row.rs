//! Contents of the table's ownership rows.

use std::sync::Arc;

use ids::{EntryId, Epoch, HostId, Incarnation, InvalidName, Revision, SliceNo, UpstreamId};
use platform::{Row, RowKey};
use prost::Message;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::HostRef;

/// Prefix of all ownership rows.
pub const PREFIX: &str = "own/";
/// Prefix of the rows which record that an entry's slices were assigned.
pub const ENTRY_PREFIX: &str = "own/entry/";

/// Error for an ownership row that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RowError {
    /// The key is not that of an ownership row.
    #[error("{0:?} is not the key of an ownership row")]
    Key(SmolStr),
    /// The value can't be decoded.
    #[error("row {key}: {cause}")]
    Value {
        /// Key of the row.
        key: SmolStr,
        /// Decoding error.
        cause: SmolStr,
    },
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// An address is invalid.
    #[error("{0:?} is not an address")]
    Address(SmolStr),
    /// The lists of slices and generations differ in length, or the slices are not in ascending
    /// order.
    #[error("the slices are not in ascending order or lack generations")]
    Slices,
}

/// A slice that is assigned to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AssignedSlice {
    /// Slice.
    pub slice: SliceNo,
    /// Number of ownership changes of the slice. Of two claims to a slice, the one with the higher
    /// generation is newer.
    pub generation: u64,
}

/// A hot key that was carved out of the slice that contained it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CarvedKey {
    /// Slice for the hot key alone.
    pub hot: SliceNo,
    /// Slice that contained the key before.
    pub base: SliceNo,
}

/// A slice that arrived by a planned move and that the previous owner may still have.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct IncomingSlice {
    /// Slice.
    pub slice: SliceNo,
    /// Previous owner.
    pub from: UpstreamId,
}

/// Identifies the write that produced a row. Each write has its own identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteId {
    /// Host that wrote the row.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Sequence number of the write in that incarnation.
    pub seq: u64,
}

/// Content of the row `own/<upstream>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipRow {
    /// Fencing token of the coordinating host.
    pub epoch: Epoch,
    /// Coordinating host, if any.
    pub coordinator: Option<HostRef>,
    /// Standby: host that may take over under the reserved epoch, if any.
    pub deputy: Option<HostRef>,
    /// Whether the upstream accepts slices. Failed and leaving upstreams do not.
    pub open: bool,
    /// Slices of the upstream, in ascending order.
    pub slices: Vec<AssignedSlice>,
    /// Hot keys carved out of these slices, whichever upstream has them now; in ascending order.
    pub carved: Vec<CarvedKey>,
    /// Slices among `slices` that another upstream may still have; in ascending order.
    pub incoming: Vec<IncomingSlice>,
    /// Earlier hosts that may still hold requests for the upstream and have not confirmed that they
    /// stopped. Maintained only if the upstream does not check grants.
    pub unsettled: Vec<HostRef>,
    /// Write that produced the row.
    pub writer: WriteId,
}

impl OwnershipRow {
    /// Returns the epoch under which the standby may take over without the table.
    #[must_use]
    pub const fn reserved_epoch(&self) -> Epoch {
        self.epoch.next()
    }

    /// Returns whether the row contains `slice`.
    #[must_use]
    pub fn contains(&self, slice: SliceNo) -> bool {
        self.slices
            .binary_search_by_key(&slice, |a| a.slice)
            .is_ok()
    }

    /// Returns the number of ownership changes of `slice` if the row contains it.
    #[must_use]
    pub fn generation(&self, slice: SliceNo) -> Option<u64> {
        let found = self.slices.binary_search_by_key(&slice, |a| a.slice).ok()?;
        Some(self.slices[found].generation)
    }

    /// Encodes the row's value.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        wire::own::OwnershipRow::from(self).encode_to_vec()
    }

    /// Returns the key of `upstream`'s row.
    #[must_use]
    pub fn key(upstream: &UpstreamId) -> RowKey {
        RowKey(format_smolstr!("{PREFIX}{upstream}"))
    }
}

impl From<&OwnershipRow> for wire::own::OwnershipRow {
    fn from(row: &OwnershipRow) -> Self {
        let carved = |c: &CarvedKey| wire::own::CarvedKey {
            hot: c.hot.0,
            base: c.base.0,
        };
        let incoming = |i: &IncomingSlice| wire::own::IncomingSlice {
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

impl TryFrom<&wire::own::OwnershipRow> for OwnershipRow {
    type Error = RowError;

    fn try_from(row: &wire::own::OwnershipRow) -> Result<Self, RowError> {
        let rising = row.slices.is_sorted_by(|a, b| a < b);
        if !rising || row.slices.len() != row.generations.len() {
            return Err(RowError::Slices);
        }
        let slices = row.slices.iter().zip(&row.generations);
        let carved = |c: &wire::own::CarvedKey| CarvedKey {
            hot: SliceNo(c.hot),
            base: SliceNo(c.base),
        };
        let incoming = |i: &wire::own::IncomingSlice| -> Result<IncomingSlice, RowError> {
            Ok(IncomingSlice {
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
                .map(|(&slice, &generation)| AssignedSlice {
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
            writer: WriteId {
                host: HostId::new(row.writer.as_str())?,
                incarnation: Incarnation(row.writer_incarnation),
                seq: row.writer_seq,
            },
        })
    }
}

/// Content of the row `own/entry/<entry>`, which records that the entry's slices were assigned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRow {
    /// Number of slices of the entry.
    pub slices: u32,
    /// Write that produced the row.
    pub writer: WriteId,
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
            writer: WriteId {
                host: HostId::new(row.writer.as_str())?,
                incarnation: Incarnation(row.writer_incarnation),
                seq: row.writer_seq,
            },
        })
    }
}

/// A decoded ownership row, from the table or a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipRowChange {
    /// Row of an upstream; without content if it was deleted.
    Upstream(UpstreamId, Revision, Option<Arc<OwnershipRow>>),
    /// Row of an entry; without content if it was deleted.
    Entry(EntryId, Revision, Option<EntryRow>),
}

impl OwnershipRowChange {
    /// Decodes a row of the table.
    ///
    /// # Errors
    ///
    /// Fails if the key is not that of an ownership row or the value can't be decoded.
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
        let content = wire::own::OwnershipRow::decode(value.as_ref()).map_err(bad)?;
        let content = Arc::new(OwnershipRow::try_from(&content)?);
        Ok(Self::Upstream(upstream, row.revision, Some(content)))
    }
}
