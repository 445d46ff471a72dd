//! `history`.

use catalogue::rows::{ChangeRow, ItemChange};
use catalogue::{ItemKey, differences};
use ids::Version;
use platform::{Objects, Table};
use serde_json::{Value, json};

use super::{CommandResult, Report};
use crate::exit::Exit;
use crate::{read, render};

/// Lists the `last` changes, newest first; with `item`, only those that changed it.
///
/// # Errors
///
/// The report contains the error of a read.
pub async fn history<P: Table + Objects>(
    platform: &P,
    last: u64,
    item: Option<&ItemKey>,
) -> CommandResult {
    let newest = read::in_force(platform).await?.version();
    let after = Version(newest.0.saturating_sub(last));
    let mut lines = Vec::new();
    let mut listed = Vec::new();
    for change in read::changes(platform, after, newest).await?.iter().rev() {
        let items = read::items(platform, change).await?;
        if item.is_some_and(|key| items.iter().all(|i| i.item != *key)) {
            continue;
        }
        lines.push(render::change(change, &items));
        listed.push(change_json(change, &items));
    }
    let json = json!({"version": newest, "changes": listed});
    Ok(Report::new(Exit::Done, lines.join("\n"), json))
}

fn change_json(change: &ChangeRow, items: &[ItemChange]) -> Value {
    let items: Vec<Value> = items.iter().map(item_json).collect();
    json!({
        "version": change.version,
        "change": change.change,
        "operator": change.operator,
        "at_ms": change.at_ms,
        "message": change.message,
        "items": items,
    })
}

fn item_json(item: &ItemChange) -> Value {
    let fields = differences(item.before.as_ref(), item.after.as_ref());
    json!({"item": item.item, "was": item.was, "differences": fields})
}
