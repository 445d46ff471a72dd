//! Fields that can't change while their item exists.

use crate::declare::Entry;
use crate::item::Item;

/// A change of a field that can't change while its item exists.
pub(super) struct ImmutableFieldChange {
    pub(super) pointer: &'static str,
    pub(super) before: String,
    pub(super) after: String,
    pub(super) instead: &'static str,
}

const NEW_UPSTREAM: &str = "it is fixed, so declare another upstream and let this one leave";
const NEW_ENTRY: &str = "it is fixed, so declare another entry";

/// Lists the changed fields that can't change while their item exists.
///
/// Ownership refers to upstreams by name and to slices by number. If an upstream became another
/// server, or a slice another range of keys, the keys would have two owners for a while.
pub(super) fn immutable_field_changes(before: &Item, after: &Item) -> Vec<ImmutableFieldChange> {
    let mut found = Vec::new();
    let mut field = |pointer, before: String, after: String, instead| {
        if before != after {
            found.push(ImmutableFieldChange {
                pointer,
                before,
                after,
                instead,
            });
        }
    };
    match (before, after) {
        (Item::Entry(b), Item::Entry(a)) => {
            field("/sharding", sharding_json(b), sharding_json(a), NEW_ENTRY);
        }
        (Item::Upstream(b), Item::Upstream(a)) => {
            field(
                "/entry",
                b.entry.to_string(),
                a.entry.to_string(),
                NEW_UPSTREAM,
            );
            let (old, new) = (b.address.to_string(), a.address.to_string());
            field("/address", old, new, NEW_UPSTREAM);
            field(
                "/domain",
                b.domain.to_string(),
                a.domain.to_string(),
                NEW_UPSTREAM,
            );
        }
        _ => {}
    }
    found
}

fn sharding_json(entry: &Entry) -> String {
    serde_json::to_string(&entry.sharding).expect("sharding can be serialized as JSON")
}
