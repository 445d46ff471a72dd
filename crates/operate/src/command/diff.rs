//! `diff`.

use std::collections::BTreeSet;

use catalogue::rows::ItemChange;
use catalogue::{Catalogue, PastCatalogue, differences};
use ids::Version;
use platform::{Objects, Table};
use serde_json::{Value, json};

use super::{CommandResult, Report};
use crate::exit::Exit;
use crate::{read, render};

/// Shows the differences between the versions `from` and `to`; `to` defaults to the newest.
///
/// # Errors
///
/// The report contains the error of a read.
pub async fn diff<P: Table + Objects>(
    platform: &P,
    from: Version,
    to: Option<Version>,
) -> CommandResult {
    let in_force = read::in_force(platform).await?;
    let mut past = PastCatalogue::newest(&in_force);
    let to = to.unwrap_or(past.version());
    read::rewind_to(platform, &mut past, from.max(to)).await?;
    let later = past.catalogue().clone();
    read::rewind_to(platform, &mut past, from.min(to)).await?;
    let earlier = past.catalogue();
    let changes = if from <= to {
        between(earlier, &later)
    } else {
        between(&later, earlier)
    };
    let lines: Vec<String> = changes.iter().map(render::item_change).collect();
    let items: Vec<Value> = changes.iter().map(item_json).collect();
    let text = if lines.is_empty() {
        format!("versions {from} and {to} are the same")
    } else {
        lines.join("\n")
    };
    let json = json!({"from": from, "to": to, "items": items});
    Ok(Report::new(Exit::Done, text, json))
}

fn item_json(item: &ItemChange) -> Value {
    let fields = differences(item.before.as_ref(), item.after.as_ref());
    json!({"item": item.item, "differences": fields})
}

/// Lists the items in which two catalogues differ.
#[must_use]
pub fn between(before: &Catalogue, after: &Catalogue) -> Vec<ItemChange> {
    let keys: BTreeSet<_> = before.keys().into_iter().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for key in keys {
        let (old, new) = (before.item(&key), after.item(&key));
        if old == new {
            continue;
        }
        changes.push(ItemChange {
            item: key,
            was: None,
            before: old.map(|i| i.to_json()),
            after: new.map(|i| i.to_json()),
        });
    }
    changes
}
