//! Rows of both sides of a move.

use std::collections::BTreeMap;

use ids::{Revision, SliceNo, UpstreamId};
use platform::Txn;

use crate::commits::{row_check, row_write};
use crate::coordinator::SliceMove;
use crate::replica::KnownRow;
use crate::{AssignedSlice, IncomingSlice, OwnershipRow};

/// Builds the transaction that moves slices away from an upstream.
pub(super) fn move_txn(
    upstream: &UpstreamId,
    revision: Revision,
    mut from: OwnershipRow,
    moves: &[(SliceMove, KnownRow)],
    planned: bool,
) -> Txn {
    let mut checks = vec![row_check(upstream, Some(revision))];
    let mut rows = BTreeMap::<UpstreamId, OwnershipRow>::new();
    for (m, target) in moves {
        let row = rows.entry(m.to.clone()).or_insert_with(|| {
            checks.push(row_check(&m.to, Some(target.revision)));
            OwnershipRow::clone(&target.row)
        });
        row.writer = from.writer.clone();
        transfer_slice(&mut from, row, m.slice);
        mark_incoming(upstream, &mut from, (&m.to, row), m.slice, planned);
    }
    let mut writes = vec![row_write(upstream, &from)];
    writes.extend(rows.iter().map(|(u, row)| row_write(u, row)));
    Txn { checks, writes }
}

/// Moves a slice, and the hot keys carved out of it, from one row to another.
fn transfer_slice(from: &mut OwnershipRow, to: &mut OwnershipRow, slice: SliceNo) {
    let extracted = from.slices.extract_if(.., |a| a.slice == slice);
    to.slices.extend(extracted.map(|a| AssignedSlice {
        slice: a.slice,
        generation: a.generation + 1,
    }));
    to.slices.sort();
    let carved = from.carved.extract_if(.., |c| c.base == slice);
    to.carved.extend(carved);
    to.carved.sort();
}

/// Marks a moved slice as not released: by the upstream that it leaves or, if that one has failed,
/// by the previous owner that had not released it there.
fn mark_incoming(
    upstream: &UpstreamId,
    from: &mut OwnershipRow,
    (target, to): (&UpstreamId, &mut OwnershipRow),
    slice: SliceNo,
    planned: bool,
) {
    let before = from.incoming.extract_if(.., |i| i.slice == slice);
    let before = before.map(|i| i.from).last();
    let owner = if planned {
        Some(upstream.clone())
    } else {
        before
    };
    // A previous owner that never released the slice owns it again.
    let owner = owner.filter(|o| o != target);
    to.incoming.retain(|i| i.slice != slice);
    to.incoming
        .extend(owner.map(|from| IncomingSlice { slice, from }));
    to.incoming.sort();
}
