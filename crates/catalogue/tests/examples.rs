//! Loads and stores the example catalogues, and checks the schemas of declaration files.

use std::path::Path;

use catalogue::{Catalogue, Class, FileKind, Sharding, load, store};
use ids::{EntryId, UpstreamId};

/// An example, and the number of its items as its users stated them.
struct Example {
    dir: &'static str,
    domains: usize,
    /// Entries, the number of upstreams of each, and whether it is both idempotent and divided by
    /// key, or neither.
    entries: &'static [(&'static str, usize, bool)],
    /// Whether imbalance weighs more than churn.
    imbalance_first: bool,
}

const EXAMPLES: &[Example] = &[
    Example {
        dir: "landavgift",
        domains: 3,
        entries: &[
            ("tariffbok", 20, true),
            ("landningslogg", 10, false),
            ("fakturering", 5, false),
        ],
        imbalance_first: true,
    },
    Example {
        dir: "kotuku",
        domains: 3,
        entries: &[
            ("windowcast", 15, true),
            ("slotbook", 10, false),
            ("dishorder", 5, false),
        ],
        imbalance_first: false,
    },
];

fn read(example: &Example) -> Catalogue {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    load(root.join(example.dir)).unwrap_or_else(|e| panic!("{}:\n{e}", example.dir))
}

fn upstreams<'a>(
    catalogue: &'a Catalogue,
    entry: &EntryId,
) -> impl Iterator<Item = &'a UpstreamId> {
    let serves = move |(_, u): &(&UpstreamId, &catalogue::Upstream)| u.entry == *entry;
    let found: Vec<_> = catalogue.upstreams.iter().filter(serves).collect();
    found.into_iter().map(|(id, _)| id)
}

#[test]
fn examples_have_the_sizes_their_users_named() {
    for example in EXAMPLES {
        let catalogue = read(example);
        assert_eq!(catalogue.domains.len(), example.domains, "{}", example.dir);
        assert_eq!(catalogue.entries.len(), example.entries.len());
        for &(name, count, keyed) in example.entries {
            let id = EntryId::new(name).unwrap();
            let entry = &catalogue.entries[&id];
            assert_eq!(upstreams(&catalogue, &id).count(), count, "{name}");
            assert_eq!(entry.class == Class::Idempotent, keyed, "{name}");
            assert_eq!(entry.sharding != Sharding::None, keyed, "{name}");
            let first = entry.objective.imbalance > entry.objective.churn;
            assert_eq!(first, example.imbalance_first, "{name}");
        }
    }
}

#[test]
fn what_is_stored_loads_again() {
    for example in EXAMPLES {
        let catalogue = read(example);
        let dir = tempfile::tempdir().unwrap();
        store(dir.path(), &catalogue, &catalogue::Sources::default()).unwrap();
        assert_eq!(load(dir.path()).unwrap(), catalogue, "{}", example.dir);
    }
}

#[test]
fn storing_removes_files_of_removed_items() {
    let mut catalogue = read(&EXAMPLES[0]);
    let dir = tempfile::tempdir().unwrap();
    store(dir.path(), &catalogue, &catalogue::Sources::default()).unwrap();
    let removed = EntryId::new("fakturering").unwrap();
    catalogue.entries.shift_remove(&removed);
    catalogue.upstreams.retain(|_, u| u.entry != removed);
    store(dir.path(), &catalogue, &catalogue::Sources::default()).unwrap();
    assert_eq!(load(dir.path()).unwrap(), catalogue);
    assert!(!dir.path().join("entries/fakturering.json").exists());
}

#[test]
fn each_kind_of_file_has_a_schema_that_says_so() {
    for kind in FileKind::ALL {
        let schema = kind.schema().to_value();
        assert_eq!(schema["type"], "object", "{}", kind.as_str());
        assert!(schema["$schema"].is_string(), "{}", kind.as_str());
    }
}
