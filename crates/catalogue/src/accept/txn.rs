//! Builds the transaction of a change.

use bytes::Bytes;
use platform::{Check, RowKey, Txn, Write};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::in_force::{EffectiveCatalogue, ItemState, KnownRow};
use crate::item::ContentHash;
use crate::rows::{
    ChangeBody, ChangeRow, Head, IdRow, ItemChange, ItemRow, MAX_INLINE_BYTES, OBJECTS_PREFIX,
    change_key, encode, head_key, id_key, item_key,
};

/// Maximum number of rows of removed items that one change deletes.
const MAX_PRUNED_ROWS: usize = 32;

/// An object that holds a large change.
pub(super) struct ChangeObject {
    pub(super) name: SmolStr,
    pub(super) hash: ContentHash,
    pub(super) body: Bytes,
}

/// Returns the object to store before the row of a change, if the change is too large for the
/// row.
pub(super) fn change_object(changes: &[ItemChange]) -> Option<ChangeObject> {
    let body = encode(&changes);
    if body.len() <= MAX_INLINE_BYTES {
        return None;
    }
    let hash = ContentHash::of(&body);
    let name = format_smolstr!("{OBJECTS_PREFIX}{hash}");
    Some(ChangeObject { name, hash, body })
}

/// Builds the transaction of one change.
pub(super) struct TxnBuilder<'a> {
    in_force: &'a EffectiveCatalogue,
    head: Head,
    txn: Txn,
}

impl<'a> TxnBuilder<'a> {
    /// Starts from `in_force`; the digest of `head` must still be that of `in_force`.
    pub(super) fn new(in_force: &'a EffectiveCatalogue, head: Head) -> Self {
        debug_assert_eq!(head.digest, in_force.digest());
        Self {
            in_force,
            head,
            txn: Txn::default(),
        }
    }

    /// Adds all checks and writes, and returns the transaction.
    pub(super) fn build(mut self, changes: &[ItemChange], message: &str, prune_after: u64) -> Txn {
        let head = self.in_force.head();
        self.check(head_key(), head.map(|h| h.revision));
        self.check(id_key(&self.head.change), None);
        for change in changes {
            self.write_item(change);
        }
        self.prune(changes, prune_after);
        self.write_history(changes, message);
        let head = self.head.clone();
        self.write(head_key(), &head);
        self.txn
    }

    fn check(&mut self, key: RowKey, revision: Option<ids::Revision>) {
        self.txn.checks.push(Check { key, revision });
    }

    fn write<T: Serialize>(&mut self, key: RowKey, row: &T) {
        let value = Some(encode(row));
        self.txn.writes.push(Write { key, value });
    }

    fn write_item(&mut self, change: &ItemChange) {
        let key = &change.item;
        let before = self.in_force.item(key);
        self.check(item_key(key), before.map(|h| h.revision));
        if let Some(before) = before {
            self.head.digest.remove(key, before.version);
        }
        self.head.digest.add(key, self.head.version);
        let row = ItemRow {
            version: self.head.version,
            change: self.head.change.clone(),
            operator: self.head.operator.clone(),
            body: change.after.clone(),
        };
        self.write(item_key(key), &row);
    }

    /// Deletes up to `MAX_PRUNED_ROWS` rows of items that were removed more than `prune_after`
    /// versions ago.
    fn prune(&mut self, changes: &[ItemChange], prune_after: u64) {
        let now = self.head.version.0;
        let is_stale = |known: &KnownRow| {
            let age = now.saturating_sub(known.version.0);
            known.state == ItemState::Removed && age > prune_after
        };
        let in_force = self.in_force;
        let removed = in_force.items().filter(|(key, known)| {
            let is_written = || changes.iter().any(|c| c.item == **key);
            is_stale(known) && !is_written()
        });
        for (key, known) in removed.take(MAX_PRUNED_ROWS) {
            self.check(item_key(key), Some(known.revision));
            self.txn.writes.push(Write {
                key: item_key(key),
                value: None,
            });
            self.head.digest.remove(key, known.version);
        }
    }

    fn write_history(&mut self, changes: &[ItemChange], message: &str) {
        let version = self.head.version;
        let body = match change_object(changes) {
            None => ChangeBody::Inline(changes.to_vec()),
            Some(stored) => ChangeBody::Object {
                name: stored.name,
                hash: stored.hash,
                items: changes.len() as u64,
            },
        };
        let row = ChangeRow {
            version,
            change: self.head.change.clone(),
            operator: self.head.operator.clone(),
            at_ms: self.head.at_ms,
            message: message.into(),
            body,
        };
        self.write(change_key(version), &row);
        let id = id_key(&self.head.change);
        self.write(id, &IdRow::Accepted { version });
    }
}
