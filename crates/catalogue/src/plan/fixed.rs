//! Fields that are fixed for an item's life.

use crate::declare::Entry;
use crate::item::Item;

/// A field that never changes but did.
pub(super) struct Fixed {
    pub(super) pointer: &'static str,
    pub(super) before: String,
    pub(super) after: String,
    pub(super) instead: &'static str,
}

const NEW_UPSTREAM: &str = "it is fixed, so declare another upstream and let this one leave";
const NEW_ENTRY: &str = "it is fixed, so declare another entry";

/// Lists the changed fields that are fixed for an item's life.
///
/// Ownership goes by the names of upstreams and the numbers of slices: an upstream that became
/// another server, or a slice that became another range, would have two owners for a while.
pub(super) fn fixed_fields(before: &Item, after: &Item) -> Vec<Fixed> {
    let mut fixed = Vec::new();
    let mut field = |pointer, before: String, after: String, instead| {
        if before != after {
            fixed.push(Fixed {
                pointer,
                before,
                after,
                instead,
            });
        }
    };
    match (before, after) {
        (Item::Entry(b), Item::Entry(a)) => {
            field("/sharding", sharding(b), sharding(a), NEW_ENTRY);
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
    fixed
}

fn sharding(entry: &Entry) -> String {
    serde_json::to_string(&entry.sharding).expect("sharding is plain JSON")
}
