//! `pull`.

use std::collections::BTreeSet;
use std::path::Path;

use catalogue::load::{DOMAINS_FILE, load_with_sources, store};
use catalogue::{Base, Catalogue, EffectiveCatalogue, Item, ItemKey, Sources};
use platform::Table;
use serde_json::json;

use super::{CommandResult, Report, failed};
use crate::exit::Exit;
use crate::read;
use crate::render::count;

/// What to do with items that changed both locally and in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConflictResolution {
    /// Leave the conflict unresolved.
    Leave,
    /// Take the item in force.
    Theirs,
    /// Keep the local item; the next apply replaces the one in force.
    Mine,
}

impl ConflictResolution {
    /// Returns the resolution that the two command-line flags select.
    #[must_use]
    pub const fn from_flags(theirs: bool, mine: bool) -> Self {
        match (theirs, mine) {
            (true, _) => Self::Theirs,
            (_, true) => Self::Mine,
            _ => Self::Leave,
        }
    }
}

/// A merge of the catalogue in force into a directory.
struct Merge<'a> {
    in_force: &'a EffectiveCatalogue,
    newest: Base,
    resolution: ConflictResolution,
    catalogue: Catalogue,
    base: Base,
    taken: Vec<ItemKey>,
    mine: Vec<ItemKey>,
    conflicts: Vec<ItemKey>,
}

/// Merges the catalogue in force into the directory `dir`, keeping local changes.
///
/// # Errors
///
/// The report lists the faults of the directory or contains the error of a read or write.
pub async fn pull<P: Table>(
    platform: &P,
    dir: &Path,
    resolution: ConflictResolution,
) -> CommandResult {
    let (catalogue, sources) = if dir.join(DOMAINS_FILE).exists() {
        load_with_sources(dir)?
    } else {
        (Catalogue::default(), Sources::default())
    };
    let base = Base::load(dir).map_err(failed)?.unwrap_or_default();
    let in_force = read::in_force(platform).await?;
    let mut merge = Merge {
        newest: Base::of(&in_force),
        in_force: &in_force,
        resolution,
        catalogue,
        base,
        taken: Vec::new(),
        mine: Vec::new(),
        conflicts: Vec::new(),
    };
    merge.run();
    store(dir, &merge.catalogue, &sources).map_err(failed)?;
    merge.base.store(dir).map_err(failed)?;
    Ok(merge.report())
}

impl Merge<'_> {
    fn run(&mut self) {
        let mut keys: BTreeSet<ItemKey> = self.catalogue.keys().into_iter().collect();
        keys.extend(self.base.items.keys().cloned());
        keys.extend(self.newest.items.keys().cloned());
        for key in keys {
            self.merge_item(key);
        }
    }

    fn merge_item(&mut self, key: ItemKey) {
        let mine = self.catalogue.item(&key);
        let theirs = self.in_force.catalogue().item(&key);
        let base = self.base.items.get(&key).copied();
        let newest = self.newest.items.get(&key).copied();
        let edited = mine.as_ref().map(Item::hash) != base.and_then(|b| b.hash);
        if mine == theirs {
            self.rebase(&key);
            return;
        }
        if !edited {
            self.take_theirs(key);
            return;
        }
        if base.map(|b| b.version) == newest.map(|n| n.version) {
            self.mine.push(key);
            return;
        }
        match self.resolution {
            ConflictResolution::Leave => self.conflicts.push(key),
            ConflictResolution::Theirs => self.take_theirs(key),
            ConflictResolution::Mine => {
                self.rebase(&key);
                self.mine.push(key);
            }
        }
    }

    fn take_theirs(&mut self, key: ItemKey) {
        self.catalogue
            .set(&key, self.in_force.catalogue().item(&key));
        self.rebase(&key);
        self.taken.push(key);
    }

    fn rebase(&mut self, key: &ItemKey) {
        match self.newest.items.get(key) {
            Some(item) => {
                self.base.items.insert(key.clone(), *item);
            }
            None => {
                self.base.items.shift_remove(key);
            }
        }
    }

    fn report(&self) -> Report {
        let exit = if self.conflicts.is_empty() {
            Exit::Done
        } else {
            Exit::Conflict
        };
        let mut lines = vec![format!(
            "version {}: {} taken, {} changed here",
            self.in_force.version(),
            count(self.taken.len(), "item"),
            self.mine.len()
        )];
        for key in &self.conflicts {
            lines.push(format!(
                "{key}: changed here and in force; pull with --theirs or --mine to resolve"
            ));
        }
        let json = json!({
            "version": self.in_force.version(),
            "taken": self.taken,
            "mine": self.mine,
            "conflicts": self.conflicts,
        });
        Report::new(exit, lines.join("\n"), json)
    }
}
