//! `pull`.

use std::collections::BTreeSet;
use std::path::Path;

use catalogue::load::{DOMAINS_FILE, load_with_sources, store};
use catalogue::{Base, Catalogue, EffectiveCatalogue, Item, ItemKey, Sources};
use platform::Table;
use serde_json::json;

use super::{Outcome, Report, failed};
use crate::exit::Exit;
use crate::read;
use crate::render::count;

/// What to do with items that both sides changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Both {
    /// Leave them, and leave it to a later command to resolve the conflict.
    Leave,
    /// Take what is in force.
    Theirs,
    /// Keep the directory's, so that the next apply replaces what is in force.
    Mine,
}

impl Both {
    /// Takes the two options together.
    #[must_use]
    pub const fn of(theirs: bool, mine: bool) -> Self {
        match (theirs, mine) {
            (true, _) => Self::Theirs,
            (_, true) => Self::Mine,
            _ => Self::Leave,
        }
    }
}

/// A directory that takes in what is in force.
struct Merge<'a> {
    in_force: &'a EffectiveCatalogue,
    newest: Base,
    both: Both,
    catalogue: Catalogue,
    base: Base,
    taken: Vec<ItemKey>,
    mine: Vec<ItemKey>,
    conflicts: Vec<ItemKey>,
}

/// Writes what is in force to the directory `dir`, keeping what its operator changed.
///
/// # Errors
///
/// The report lists the directory's faults, or says what can't be read or written.
pub async fn pull<P: Table>(platform: &P, dir: &Path, both: Both) -> Outcome {
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
        both,
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
            self.item(key);
        }
    }

    fn item(&mut self, key: ItemKey) {
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
            self.take(key);
            return;
        }
        if base.map(|b| b.version) == newest.map(|n| n.version) {
            self.mine.push(key);
            return;
        }
        match self.both {
            Both::Leave => self.conflicts.push(key),
            Both::Theirs => self.take(key),
            Both::Mine => {
                self.rebase(&key);
                self.mine.push(key);
            }
        }
    }

    fn take(&mut self, key: ItemKey) {
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
