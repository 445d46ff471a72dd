//! What applying declarations would change, and what stands against it.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use ids::{ChangeId, EntryId, OperatorId, Version};
use serde::Serialize;
use thiserror::Error;

use crate::base::{Base, BaseItem};
use crate::declare::Catalogue;
use crate::fault::Fault;
use crate::in_force::{Held, HeldState, InForce};
use crate::item::{ContentHash, Item, ItemKey};
use crate::rows::ItemChange;
use crate::verify::{Sources, place, verify_from};

mod fixed;
mod moves;

pub use moves::Move;

use fixed::fixed_fields;
use moves::moves;

/// What an operator wants to be in force.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// All items.
    pub catalogue: Catalogue,
    /// Files of the items, for messages.
    pub sources: Sources,
    /// What `catalogue` was made from.
    pub base: Base,
    /// Version that it was planned against: items that moved on since are conflicts.
    pub expect: Option<Version>,
    /// Who wants it.
    pub operator: OperatorId,
    /// Whether to leave it to the platform who may change what.
    pub admin: bool,
}

/// What applying declarations would change, and what stands against it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Items to be written, by key.
    pub changes: Vec<ItemChange>,
    /// All items that differ from the base, whether they are in force already or not.
    pub intended: Vec<Intent>,
    /// Items that others changed since the base and that stay as these made them.
    pub kept: Vec<Other>,
    /// Items that others changed since the base and that the operator changed too.
    pub conflicts: Vec<Other>,
    /// Items that the operator may not change.
    pub denials: Vec<Denial>,
    /// Faults of what would be in force.
    pub faults: Vec<Fault>,
    /// Keys that would change their upstream.
    pub moves: Vec<Move>,
}

/// An item that differs from the base.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Intent {
    /// Item.
    pub item: ItemKey,
    /// Version of its row in the base.
    pub was: Option<Version>,
    /// Hash of its wanted content, or nothing if it is to be removed.
    pub hash: Option<ContentHash>,
}

/// An item that somebody else changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Error)]
#[error("{item}: {}", what(.by.as_ref()))]
pub struct Other {
    /// Item.
    pub item: ItemKey,
    /// The other's change; nothing if it removed the item so long ago that the row is gone.
    pub by: Option<By>,
}

/// The change that wrote an item last.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct By {
    /// Change.
    pub change: ChangeId,
    /// Operator.
    pub operator: OperatorId,
    /// Version that the change made.
    pub version: Version,
}

/// An item that the operator may not change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Error)]
#[error("{item}: {operator} is not among the owners of entry {entry}: {}", names(.owners))]
pub struct Denial {
    /// Item.
    pub item: ItemKey,
    /// Entry whose owners may change it.
    pub entry: EntryId,
    /// Those owners.
    pub owners: Vec<OperatorId>,
    /// The operator.
    pub operator: OperatorId,
}

impl Plan {
    /// Tells whether nothing would change.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.conflicts.is_empty()
    }

    /// Derives the id of the change: the same intent on the same base has the same id.
    ///
    /// An apply that is run again after a lost confirmation thus finds its earlier run.
    ///
    /// # Panics
    ///
    /// Never: the text is a valid name.
    #[must_use]
    pub fn change_id(&self, operator: &OperatorId) -> ChangeId {
        let mut text = format!("{operator}\n");
        for intent in &self.intended {
            let was = intent.was.map_or(0, |v| v.0);
            let hash = intent
                .hash
                .map_or_else(|| "-".to_owned(), |h| h.to_string());
            writeln!(text, "{} {was} {hash}", intent.item).expect("a string takes all text");
        }
        let hash = ContentHash::of(text.as_bytes());
        ChangeId::new(format!("c-{hash}")).expect("hex digits make a name")
    }

    /// Returns the base of the operator's directory once the plan is in force at `version`.
    #[must_use]
    pub fn base_after(&self, wanted: &Wanted, in_force: &InForce, version: Version) -> Base {
        let mut base = wanted.base.clone();
        for key in wanted.catalogue.keys() {
            let Some(item) = wanted.catalogue.item(&key) else {
                continue;
            };
            let hash = Some(item.hash());
            let same = in_force.catalogue().item(&key) == Some(item);
            if let (true, Some(held)) = (same, in_force.item(&key)) {
                let version = held.version;
                base.items.insert(key, BaseItem { version, hash });
            }
        }
        for intent in &self.intended {
            let written = self.changes.iter().any(|c| c.item == intent.item);
            if intent.hash.is_none() {
                base.items.shift_remove(&intent.item);
            } else if written || !self.conflicts.is_empty() {
                let hash = intent.hash;
                base.items
                    .insert(intent.item.clone(), BaseItem { version, hash });
            }
        }
        base
    }
}

/// Works out what applying `wanted` to `in_force` would change.
#[must_use]
pub fn plan(wanted: &Wanted, in_force: &InForce) -> Plan {
    let mut plan = Plan::default();
    for key in keys(wanted, in_force) {
        plan_item(&mut plan, wanted, in_force, key);
    }
    let merged = merge(in_force.catalogue(), &plan.changes, wanted);
    plan.faults = faults(wanted, in_force.catalogue(), &merged, &plan.changes);
    plan.moves = moves(in_force.catalogue(), &merged);
    plan
}

/// Returns `catalogue` with the changes of a plan.
fn merge(catalogue: &Catalogue, changes: &[ItemChange], wanted: &Wanted) -> Catalogue {
    let mut merged = catalogue.clone();
    for change in changes {
        merged.set(&change.item, wanted.catalogue.item(&change.item));
    }
    merged
}

fn keys(wanted: &Wanted, in_force: &InForce) -> BTreeSet<ItemKey> {
    let wanted_keys = wanted.catalogue.keys().into_iter();
    let base_keys = wanted.base.items.keys().cloned();
    let held_keys = in_force.items().map(|(key, _)| key.clone());
    wanted_keys.chain(base_keys).chain(held_keys).collect()
}

fn plan_item(plan: &mut Plan, wanted: &Wanted, in_force: &InForce, key: ItemKey) {
    let item = wanted.catalogue.item(&key);
    let hash = item.as_ref().map(Item::hash);
    let base = wanted.base.items.get(&key);
    let held = in_force.item(&key);
    let current = in_force.catalogue().item(&key);
    let late = held.is_some_and(|h| wanted.expect.is_some_and(|v| h.version > v));
    let moved = late || has_moved(base, held);
    if hash == base.and_then(|b| b.hash) {
        // The operator left the item alone, so whatever others did to it stays.
        if moved && current != item {
            plan.kept.push(other(key, held));
        }
        return;
    }
    plan.intended.push(Intent {
        item: key.clone(),
        was: base.map(|b| b.version),
        hash,
    });
    if current == item {
        return;
    }
    if moved {
        plan.conflicts.push(other(key, held));
        return;
    }
    if let Some(denial) = denial(wanted, in_force.catalogue(), &key) {
        plan.denials.push(denial);
    }
    plan.changes.push(ItemChange {
        item: key,
        was: held.map(|h| h.version),
        before: current.map(|i| i.to_json()),
        after: item.map(|i| i.to_json()),
    });
}

/// Tells whether an item's row moved on since the base.
fn has_moved(base: Option<&BaseItem>, held: Option<&Held>) -> bool {
    match (base, held) {
        (None, None) => false,
        // What the base never had is as good as new unless somebody declares it now.
        (None, Some(held)) => held.state == HeldState::Declared,
        (Some(base), None) => base.hash.is_some(),
        (Some(base), Some(held)) => base.version != held.version,
    }
}

fn other(key: ItemKey, held: Option<&Held>) -> Other {
    let by = held.map(|h| By {
        change: h.change.clone(),
        operator: h.operator.clone(),
        version: h.version,
    });
    Other { item: key, by }
}

/// Finds out whether the operator may change an item.
///
/// Entries have owners, in force or, for a new one, as declared; an upstream is changed by those
/// of its entry. Who may change domains is the platform's to say.
fn denial(wanted: &Wanted, current: &Catalogue, key: &ItemKey) -> Option<Denial> {
    let entry = match key {
        ItemKey::Domain(_) => return None,
        ItemKey::Entry(id) => id,
        ItemKey::Upstream(id) => {
            let upstream = current.upstreams.get(id);
            &upstream
                .or_else(|| wanted.catalogue.upstreams.get(id))?
                .entry
        }
    };
    let declared = current.entries.get(entry);
    let owners = &declared
        .or_else(|| wanted.catalogue.entries.get(entry))?
        .owners;
    if wanted.admin || owners.contains(&wanted.operator) {
        return None;
    }
    Some(Denial {
        item: key.clone(),
        entry: entry.clone(),
        owners: owners.clone(),
        operator: wanted.operator.clone(),
    })
}

/// Lists the faults that the changes would bring.
///
/// Each operator's own declarations are sound, but those of two may not fit together.
fn faults(
    wanted: &Wanted,
    current: &Catalogue,
    merged: &Catalogue,
    changes: &[ItemChange],
) -> Vec<Fault> {
    let old: BTreeSet<Fault> = verify_from(current, &wanted.sources).into_iter().collect();
    let mut faults = verify_from(merged, &wanted.sources);
    faults.retain(|f| !old.contains(f));
    for change in changes {
        let key = &change.item;
        if let (Some(before), Some(after)) = (current.item(key), merged.item(key)) {
            let (file, pointer) = place(key, Some(&after), &wanted.sources);
            let fixed = fixed_fields(&before, &after).into_iter();
            faults.extend(fixed.map(|f| Fault {
                file: file.clone(),
                pointer: format!("{pointer}{}", f.pointer),
                found: f.after,
                allowed: format!("{}; {}", f.before, f.instead),
            }));
        }
    }
    faults.sort();
    faults
}

fn names(owners: &[OperatorId]) -> String {
    let names: Vec<&str> = owners.iter().map(OperatorId::as_str).collect();
    names.join(", ")
}

fn what(by: Option<&By>) -> String {
    let Some(by) = by else {
        return "removed by a change so long ago that its row is gone".to_owned();
    };
    format!(
        "changed by {} in change {}, version {}",
        by.operator, by.change, by.version
    )
}
