//! Test support: a table that keeps its history, and ownership rows.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod net;

use std::collections::BTreeMap;

use bytes::Bytes;
use ids::{KeyHash, Revision};
use platform::{Changes, Row, RowKey};
use prost::Message;
use smol_str::{SmolStr, format_smolstr};
use spread::{Prefix, Replica};
use wire::own;

/// A table that keeps every state of every row.
#[derive(Debug, Default)]
pub struct TableHistory {
    pub revision: Revision,
    states: BTreeMap<SmolStr, Vec<(Revision, Option<Bytes>)>>,
    /// Keys written by each transaction.
    writes_by_transaction: Vec<Vec<SmolStr>>,
}

impl TableHistory {
    /// Writes rows in one transaction and returns them.
    pub fn commit(&mut self, writes: Vec<(SmolStr, Option<Bytes>)>) -> Vec<Row> {
        self.revision = self.revision.next();
        let revision = self.revision;
        self.writes_by_transaction
            .push(writes.iter().map(|(key, _)| key.clone()).collect());
        let mut rows = Vec::new();
        for (key, value) in writes {
            let states = self.states.entry(key.clone()).or_default();
            states.push((revision, value.clone()));
            rows.push(Row {
                key: RowKey(key),
                revision,
                value,
            });
        }
        rows
    }

    /// Returns changes as a read of the platform's table does.
    pub fn changes(&self, prefix: Prefix, since: Revision) -> Changes {
        let newer = self.writes_by_transaction.iter().skip(since.0 as usize);
        let last = newer
            .flatten()
            .filter_map(|key| Some((key, self.states[key].last()?)));
        let below = last.filter(|(key, _)| key.starts_with(prefix.as_str()));
        let mut rows: Vec<Row> = below
            .map(|(key, (revision, value))| Row {
                key: RowKey(key.clone()),
                revision: *revision,
                value: value.clone(),
            })
            .collect();
        rows.sort_by(|a, b| (a.revision, &a.key).cmp(&(b.revision, &b.key)));
        rows.dedup();
        Changes {
            revision: self.revision,
            rows,
        }
    }

    /// Returns all rows of a prefix in their state at a revision.
    pub fn rows_at(&self, prefix: Prefix, revision: Revision) -> Vec<Row> {
        let below = |(key, _): &(&SmolStr, _)| key.starts_with(prefix.as_str());
        let state = |(key, states): (&SmolStr, &Vec<(Revision, Option<Bytes>)>)| {
            let (at, value) = states.iter().rev().find(|(at, _)| *at <= revision)?;
            Some(Row {
                key: RowKey(key.clone()),
                revision: *at,
                value: value.clone(),
            })
        };
        self.states.iter().filter(below).filter_map(state).collect()
    }

    fn state_at(&self, key: &str, revision: Revision) -> Option<&Option<Bytes>> {
        let states = self.states.get(key)?;
        let state = states.iter().find(|(at, _)| *at == revision)?;
        Some(&state.1)
    }

    /// Checks a replica against the table's history: it holds everything up to its watermarks, and
    /// no state that never existed.
    pub fn check(&self, replica: &Replica) -> Result<(), String> {
        let faults = replica.verify();
        if !faults.is_empty() {
            return Err(format!("{faults:?}"));
        }
        for prefix in Prefix::ALL {
            let watermark = replica.complete_up_to().get(prefix);
            for row in self.rows_at(prefix, watermark) {
                let key = &row.key.0[prefix.as_str().len()..];
                let held = replica.get(prefix, key).map(|(at, _)| at);
                if held < Some(row.revision) {
                    return Err(format!(
                        "is marked complete to {watermark} but holds {key} at {held:?}, not {}",
                        row.revision
                    ));
                }
            }
            for (key, revision, value) in replica.iter(prefix) {
                let full_key = format_smolstr!("{}{key}", prefix.as_str());
                if self.state_at(&full_key, revision) != Some(&Some(value.clone())) {
                    return Err(format!(
                        "holds {full_key} at {revision} with content that it never had"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Returns whether a replica holds the current state of the whole table.
    pub fn equals(&self, replica: &Replica) -> bool {
        Prefix::ALL.into_iter().all(|prefix| {
            self.rows_at(prefix, self.revision).iter().all(|row| {
                let key = &row.key.0[prefix.as_str().len()..];
                replica.get(prefix, key) == Some((row.revision, row.value.as_ref()))
            })
        })
    }
}

/// Returns a host reference for ownership rows.
pub fn host_ref(n: u64) -> own::HostRef {
    own::HostRef {
        host: format!("host-{n:04}"),
        incarnation: 1_700_000_000_000_000 + n,
        domain: format!("domain-{}", n % 11),
        control: format!("10.1.{}.{}:7101", n / 250, n % 250),
        dispatch: format!("10.1.{}.{}:7102", n / 250, n % 250),
    }
}

/// Returns the key of an upstream's row.
pub fn own_key(upstream: usize) -> SmolStr {
    format_smolstr!("own/windowcast-{upstream:04}")
}

/// Returns a row with the slices `first..first + count`.
pub fn own_row(host: u64, first: u64, count: u64) -> own::OwnershipRow {
    let coordinator = host_ref(host);
    own::OwnershipRow {
        epoch: 3,
        writer: coordinator.host.clone(),
        writer_incarnation: coordinator.incarnation,
        writer_seq: 1,
        coordinator: Some(coordinator),
        deputy: Some(host_ref(host + 11)),
        open: true,
        slices: (first..first + count).collect(),
        generations: vec![1; count as usize],
        ..own::OwnershipRow::default()
    }
}

/// Encodes a row's value.
pub fn encode(row: &own::OwnershipRow) -> Bytes {
    Bytes::from(row.encode_to_vec())
}

/// Returns the hot slice of the `n`th key.
pub fn hot(n: u64) -> u64 {
    KeyHash::of(&n.to_le_bytes()).hot_slice().0
}

/// Moves a slice between two rows as a planned move does.
pub fn move_slice(
    slice: u64,
    generation: u64,
    from: &mut own::OwnershipRow,
    to: &mut own::OwnershipRow,
) {
    if let Ok(at) = from.slices.binary_search(&slice) {
        from.slices.remove(at);
        from.generations.remove(at);
    }
    if let Err(at) = to.slices.binary_search(&slice) {
        to.slices.insert(at, slice);
        to.generations.insert(at, generation);
    }
    from.writer_seq += 1;
    to.writer_seq = from.writer_seq;
    to.writer.clone_from(&from.writer);
    to.writer_incarnation = from.writer_incarnation;
}
