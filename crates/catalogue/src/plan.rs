//! The changes that applying declarations would make, and what prevents them.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use ids::{ChangeId, EntryId, OperatorId, Version};
use serde::Serialize;
use thiserror::Error;

use crate::base::{Base, BaseItem};
use crate::declare::Catalogue;
use crate::fault::Fault;
use crate::in_force::{EffectiveCatalogue, ItemState, KnownRow};
use crate::item::{ContentHash, Item, ItemKey};
use crate::rows::ItemChange;
use crate::verify::{Sources, location, verify_with_sources};

mod immutable;
mod moves;

pub use moves::MoveEstimate;

use immutable::immutable_field_changes;
use moves::estimate_moves;

/// The declarations that an operator wants to be in force, as input of [`plan`].
#[derive(Debug, Clone)]
pub struct PlanInput {
    /// All items that are to be declared.
    pub catalogue: Catalogue,
    /// Files of the items, for fault messages.
    pub sources: Sources,
    /// Base that `catalogue` was edited from.
    pub base: Base,
    /// Version that the change was planned against; changes to items whose rows are newer are
    /// conflicts.
    pub expect: Option<Version>,
    /// Operator who submits the declarations.
    pub operator: OperatorId,
    /// Whether to skip the check of owners and to leave access control to the platform.
    pub admin: bool,
}

/// The changes that applying declarations would make, and what prevents them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Changes of items to be written, sorted by key.
    pub changes: Vec<ItemChange>,
    /// All items that differ from the base, including items that are already in force.
    pub intended: Vec<IntendedChange>,
    /// Items that only other operators changed since the base; their changes are kept.
    pub kept: Vec<ConcurrentChange>,
    /// Items that both the operator and others changed since the base.
    pub conflicts: Vec<ConcurrentChange>,
    /// Items that the operator may not change.
    pub denials: Vec<Denial>,
    /// Faults that the resulting catalogue would have and the one in force does not have.
    pub faults: Vec<Fault>,
    /// Estimates of the slices that would move to another upstream.
    pub moves: Vec<MoveEstimate>,
}

/// An item that differs from the base.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntendedChange {
    /// Item.
    pub item: ItemKey,
    /// Version of the item's row in the base.
    pub base_version: Option<Version>,
    /// Hash of the item's new content; `None` if the item is to be removed.
    pub hash: Option<ContentHash>,
}

/// An item that another operator changed since the base.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Error)]
#[error("{item}: {}", describe_change(.by.as_ref()))]
pub struct ConcurrentChange {
    /// Item.
    pub item: ItemKey,
    /// The other operator's change; `None` if it removed the item and the row has been deleted
    /// since.
    pub by: Option<LastChange>,
}

/// The last change that wrote an item.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LastChange {
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
#[error("{item}: {operator} is not among the owners of entry {entry}: {}", owner_names(.owners))]
pub struct Denial {
    /// Item.
    pub item: ItemKey,
    /// Entry whose owners may change it.
    pub entry: EntryId,
    /// Owners of the entry.
    pub owners: Vec<OperatorId>,
    /// Operator who is not an owner.
    pub operator: OperatorId,
}

impl Plan {
    /// Returns whether nothing would change and nothing conflicts.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.conflicts.is_empty()
    }

    /// Derives the id of the change from the operator, the intended changes and the base.
    ///
    /// The same changes to the same base have the same id, so that an apply that is run again
    /// after a lost confirmation finds the result of its earlier run.
    ///
    /// # Panics
    ///
    /// Never: the text is a valid name.
    #[must_use]
    pub fn change_id(&self, operator: &OperatorId) -> ChangeId {
        let mut text = format!("{operator}\n");
        for intended in &self.intended {
            let base_version = intended.base_version.map_or(0, |v| v.0);
            let hash = intended
                .hash
                .map_or_else(|| "-".to_owned(), |h| h.to_string());
            writeln!(text, "{} {base_version} {hash}", intended.item)
                .expect("writing to a string never fails");
        }
        let hash = ContentHash::of(text.as_bytes());
        ChangeId::new(format!("c-{hash}")).expect("hex digits are a valid name")
    }

    /// Returns the base of the operator's directory after the plan was applied as `version`.
    #[must_use]
    pub fn base_after(
        &self,
        input: &PlanInput,
        in_force: &EffectiveCatalogue,
        version: Version,
    ) -> Base {
        let mut base = input.base.clone();
        for key in input.catalogue.keys() {
            let Some(item) = input.catalogue.item(&key) else {
                continue;
            };
            let hash = Some(item.hash());
            let already_in_force = in_force.catalogue().item(&key) == Some(item);
            if let (true, Some(known)) = (already_in_force, in_force.item(&key)) {
                let version = known.version;
                base.items.insert(key, BaseItem { version, hash });
            }
        }
        for intended in &self.intended {
            let written = self.changes.iter().any(|c| c.item == intended.item);
            if intended.hash.is_none() {
                base.items.shift_remove(&intended.item);
            } else if written || !self.conflicts.is_empty() {
                let hash = intended.hash;
                base.items
                    .insert(intended.item.clone(), BaseItem { version, hash });
            }
        }
        base
    }
}

/// Plans the changes that bring the declarations of `input` into force, given `in_force`.
#[must_use]
pub fn plan(input: &PlanInput, in_force: &EffectiveCatalogue) -> Plan {
    let mut plan = Plan::default();
    for key in all_keys(input, in_force) {
        plan_item(&mut plan, input, in_force, key);
    }
    let merged = merge(in_force.catalogue(), &plan.changes, input);
    plan.faults = new_faults(input, in_force.catalogue(), &merged, &plan.changes);
    plan.moves = estimate_moves(in_force.catalogue(), &merged);
    plan
}

/// Returns `catalogue` with the changes of a plan applied.
fn merge(catalogue: &Catalogue, changes: &[ItemChange], input: &PlanInput) -> Catalogue {
    let mut merged = catalogue.clone();
    for change in changes {
        merged.set(&change.item, input.catalogue.item(&change.item));
    }
    merged
}

/// Returns the keys of all items that are wanted, in the base or in force.
fn all_keys(input: &PlanInput, in_force: &EffectiveCatalogue) -> BTreeSet<ItemKey> {
    let wanted_keys = input.catalogue.keys().into_iter();
    let base_keys = input.base.items.keys().cloned();
    let known_keys = in_force.items().map(|(key, _)| key.clone());
    wanted_keys.chain(base_keys).chain(known_keys).collect()
}

/// Compares one item's wanted, base and current state, and adds the result to `plan`.
fn plan_item(plan: &mut Plan, input: &PlanInput, in_force: &EffectiveCatalogue, key: ItemKey) {
    let item = input.catalogue.item(&key);
    let hash = item.as_ref().map(Item::hash);
    let base = input.base.items.get(&key);
    let known = in_force.item(&key);
    let current = in_force.catalogue().item(&key);
    let changed_since_expected = known.is_some_and(|h| input.expect.is_some_and(|v| h.version > v));
    let changed_by_others = changed_since_expected || changed_since_base(base, known);
    if hash == base.and_then(|b| b.hash) {
        // The operator did not change the item, so changes by others are kept.
        if changed_by_others && current != item {
            plan.kept.push(concurrent_change(key, known));
        }
        return;
    }
    plan.intended.push(IntendedChange {
        item: key.clone(),
        base_version: base.map(|b| b.version),
        hash,
    });
    if current == item {
        return;
    }
    if changed_by_others {
        plan.conflicts.push(concurrent_change(key, known));
        return;
    }
    if let Some(denial) = find_denial(input, in_force.catalogue(), &key) {
        plan.denials.push(denial);
    }
    plan.changes.push(ItemChange {
        item: key,
        was: known.map(|h| h.version),
        before: current.map(|i| i.to_json()),
        after: item.map(|i| i.to_json()),
    });
}

/// Returns whether another operator changed an item since the base.
fn changed_since_base(base: Option<&BaseItem>, known: Option<&KnownRow>) -> bool {
    match (base, known) {
        (None, None) => false,
        // An item that the base does not have and that was removed counts as never declared.
        (None, Some(known)) => known.state == ItemState::Declared,
        (Some(base), None) => base.hash.is_some(),
        (Some(base), Some(known)) => base.version != known.version,
    }
}

fn concurrent_change(key: ItemKey, known: Option<&KnownRow>) -> ConcurrentChange {
    let by = known.map(|h| LastChange {
        change: h.change.clone(),
        operator: h.operator.clone(),
        version: h.version,
    });
    ConcurrentChange { item: key, by }
}

/// Checks whether the operator may change an item.
///
/// An entry is changed by its owners in force or, if it is new, by its declared owners; an
/// upstream is changed by the owners of its entry. The platform decides who may change domains.
fn find_denial(input: &PlanInput, current: &Catalogue, key: &ItemKey) -> Option<Denial> {
    let entry = match key {
        ItemKey::Domain(_) => return None,
        ItemKey::Entry(id) => id,
        ItemKey::Upstream(id) => {
            let upstream = current.upstreams.get(id);
            &upstream
                .or_else(|| input.catalogue.upstreams.get(id))?
                .entry
        }
    };
    let declared = current.entries.get(entry);
    let owners = &declared
        .or_else(|| input.catalogue.entries.get(entry))?
        .owners;
    if input.admin || owners.contains(&input.operator) {
        return None;
    }
    Some(Denial {
        item: key.clone(),
        entry: entry.clone(),
        owners: owners.clone(),
        operator: input.operator.clone(),
    })
}

/// Lists the faults that the changes would introduce.
///
/// The declarations of each operator have no faults, but those of two operators may contradict
/// each other.
fn new_faults(
    input: &PlanInput,
    current: &Catalogue,
    merged: &Catalogue,
    changes: &[ItemChange],
) -> Vec<Fault> {
    let old: BTreeSet<Fault> = verify_with_sources(current, &input.sources)
        .into_iter()
        .collect();
    let mut faults = verify_with_sources(merged, &input.sources);
    faults.retain(|f| !old.contains(f));
    for change in changes {
        let key = &change.item;
        if let (Some(before), Some(after)) = (current.item(key), merged.item(key)) {
            let (file, pointer) = location(key, Some(&after), &input.sources);
            let immutable = immutable_field_changes(&before, &after).into_iter();
            faults.extend(immutable.map(|f| Fault {
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

fn owner_names(owners: &[OperatorId]) -> String {
    let names: Vec<&str> = owners.iter().map(OperatorId::as_str).collect();
    names.join(", ")
}

/// Describes the change in the message of an item that another operator changed.
fn describe_change(by: Option<&LastChange>) -> String {
    let Some(by) = by else {
        return "removed by an earlier change; its row has been deleted since".to_owned();
    };
    format!(
        "changed by {} in change {}, version {}",
        by.operator, by.change, by.version
    )
}
