//! Patches for ownership rows, which carry the slices that differ instead of the whole row.

use bytes::Bytes;
use ids::SliceNo;
use prost::Message;
use wire::control::{HostIncarnation, Patch, RowWriter};
use wire::own::OwnershipRow;

/// Builds the patch that turns the encoded row `from` into the encoded row `to`.
///
/// The caller fills in the revisions and the key. Returns `None` if either row can't be decoded or
/// if applying the patch would not reproduce `to` byte for byte.
pub(super) fn build(from: &[u8], to: &Bytes) -> Option<Patch> {
    let old = OwnershipRow::decode(from).ok()?;
    let new = OwnershipRow::decode(to.as_ref()).ok()?;
    let (ranges, hot, generations) = split_hot(&changed_slices(&old, &new));
    let patch = Patch {
        head: (head(&old) != head(&new)).then(|| head(&new)),
        removed: delta_encode(&removed_slices(&old, &new)),
        ranges: delta_encode(&ranges),
        hot,
        generations,
        carved: missing_from(&new.carved, &old.carved),
        folded: missing_from(&old.carved, &new.carved)
            .iter()
            .map(|c| c.hot)
            .collect(),
        writer: Some(writer(&new)),
        writer_seq: new.writer_seq,
        ..Patch::default()
    };
    (apply(from, &patch)? == *to).then_some(patch)
}

/// Applies a patch to the encoded row `from`.
///
/// Returns `None` if `from` can't be decoded or the patch does not fit it.
pub(super) fn apply(from: &[u8], patch: &Patch) -> Option<Bytes> {
    let old = OwnershipRow::decode(from).ok()?;
    let mut row = patch.head.clone().unwrap_or_else(|| head(&old));
    (row.slices, row.generations) = new_slices(&old, patch)?;
    row.carved = new_carved(&old, patch);
    (row.writer, row.writer_incarnation) = match patch.writer.as_ref()? {
        RowWriter::Incarnation(incarnation) => (incarnation.host.clone(), incarnation.incarnation),
        RowWriter::Coordinator(coordinator) => {
            let writer = if *coordinator {
                row.coordinator.as_ref()?
            } else {
                row.deputy.as_ref()?
            };
            (writer.host.clone(), writer.incarnation)
        }
    };
    row.writer_seq = patch.writer_seq;
    Some(Bytes::from(row.encode_to_vec()))
}

/// The difference between the slices of two states of a row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SliceDiff {
    /// Slices that only the earlier state has, in ascending order.
    pub removed: Vec<SliceNo>,
    /// Slices that only the later state has, in ascending order.
    pub added: Vec<SliceNo>,
}

impl SliceDiff {
    /// Compares two encoded states of a row; a state that is absent or can't be decoded counts as
    /// having no slices.
    #[must_use]
    pub fn between(before: Option<&Bytes>, after: Option<&Bytes>) -> Self {
        let decode = |value: Option<&Bytes>| {
            value
                .and_then(|v| OwnershipRow::decode(v.as_ref()).ok())
                .unwrap_or_default()
        };
        let old = decode(before);
        let new = decode(after);
        let is_added = |s: &&u64| old.slices.binary_search(s).is_err();
        Self {
            removed: removed_slices(&old, &new)
                .into_iter()
                .map(SliceNo)
                .collect(),
            added: new
                .slices
                .iter()
                .filter(is_added)
                .copied()
                .map(SliceNo)
                .collect(),
        }
    }
}

/// Returns the row without the fields that a patch encodes separately. What remains changes only
/// when the hosts, the epoch or `open` change.
fn head(row: &OwnershipRow) -> OwnershipRow {
    OwnershipRow {
        slices: Vec::new(),
        generations: Vec::new(),
        carved: Vec::new(),
        writer: String::new(),
        writer_incarnation: 0,
        writer_seq: 0,
        ..row.clone()
    }
}

fn writer(row: &OwnershipRow) -> RowWriter {
    let wrote = |host: &Option<wire::own::HostRef>| {
        host.as_ref()
            .is_some_and(|h| h.host == row.writer && h.incarnation == row.writer_incarnation)
    };
    if wrote(&row.coordinator) {
        return RowWriter::Coordinator(true);
    }
    if wrote(&row.deputy) {
        return RowWriter::Coordinator(false);
    }
    RowWriter::Incarnation(HostIncarnation {
        host: row.writer.clone(),
        incarnation: row.writer_incarnation,
    })
}

fn removed_slices(old: &OwnershipRow, new: &OwnershipRow) -> Vec<u64> {
    let is_removed = |s: &&u64| new.slices.binary_search(s).is_err();
    old.slices.iter().filter(is_removed).copied().collect()
}

/// Returns the slices that are new or have another generation, with their generations.
fn changed_slices(old: &OwnershipRow, new: &OwnershipRow) -> Vec<(u64, u64)> {
    let generation_of = |slice: u64| {
        let at = old.slices.binary_search(&slice).ok()?;
        old.generations.get(at).copied()
    };
    let pairs = new
        .slices
        .iter()
        .copied()
        .zip(new.generations.iter().copied());
    pairs
        .filter(|(slice, generation)| generation_of(*slice) != Some(*generation))
        .collect()
}

/// Separates range slices from hot slices; hot slices have the highest numbers.
fn split_hot(changed: &[(u64, u64)]) -> (Vec<u64>, Vec<u64>, Vec<u64>) {
    let first_hot = changed.partition_point(|(slice, _)| !SliceNo(*slice).is_hot());
    let number = |(slice, _): &(u64, u64)| *slice;
    let ranges = changed[..first_hot].iter().map(number).collect();
    let hot = changed[first_hot..].iter().map(number).collect();
    let generations = changed.iter().map(|(_, generation)| *generation).collect();
    (ranges, hot, generations)
}

fn missing_from(
    of: &[wire::own::CarvedKey],
    others: &[wire::own::CarvedKey],
) -> Vec<wire::own::CarvedKey> {
    of.iter().filter(|c| !others.contains(c)).copied().collect()
}

fn new_slices(old: &OwnershipRow, patch: &Patch) -> Option<(Vec<u64>, Vec<u64>)> {
    let changed: Vec<u64> = delta_decode(&patch.ranges)
        .into_iter()
        .chain(patch.hot.iter().copied())
        .collect();
    if changed.len() != patch.generations.len() || old.slices.len() != old.generations.len() {
        return None;
    }
    let removed = delta_decode(&patch.removed);
    let replaced = |s: &u64| removed.binary_search(s).is_ok() || changed.binary_search(s).is_ok();
    let kept = old
        .slices
        .iter()
        .copied()
        .zip(old.generations.iter().copied());
    let mut all: Vec<(u64, u64)> = kept
        .filter(|(slice, _)| !replaced(slice))
        .chain(
            changed
                .iter()
                .copied()
                .zip(patch.generations.iter().copied()),
        )
        .collect();
    all.sort_unstable();
    Some(all.into_iter().unzip())
}

fn new_carved(old: &OwnershipRow, patch: &Patch) -> Vec<wire::own::CarvedKey> {
    let mut carved: Vec<_> = old
        .carved
        .iter()
        .filter(|c| !patch.folded.contains(&c.hot))
        .chain(&patch.carved)
        .copied()
        .collect();
    carved.sort_unstable_by_key(|c| c.hot);
    carved
}

/// Encodes ascending numbers as the distance of each from its predecessor.
fn delta_encode(rising: &[u64]) -> Vec<u64> {
    let mut last = 0;
    let step = |&n: &u64| {
        let distance = n.wrapping_sub(last);
        last = n;
        distance
    };
    rising.iter().map(step).collect()
}

fn delta_decode(deltas: &[u64]) -> Vec<u64> {
    let mut last = 0_u64;
    let step = |&distance: &u64| {
        last = last.wrapping_add(distance);
        last
    };
    deltas.iter().map(step).collect()
}
