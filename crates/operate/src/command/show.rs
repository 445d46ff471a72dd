//! `show`.

use catalogue::{EffectiveCatalogue, ItemKey, PastCatalogue};
use ids::Version;
use platform::{Objects, Table};
use serde_json::{Value, json};

use super::{CommandResult, Report};
use crate::exit::Exit;
use crate::read;

/// Shows `items`, or all items if it is empty, as they are in force or were at version `at`.
///
/// # Errors
///
/// The report contains the error of a read.
pub async fn show<P: Table + Objects>(
    platform: &P,
    items: &[ItemKey],
    at: Option<Version>,
) -> CommandResult {
    let in_force = read::in_force(platform).await?;
    let mut past = PastCatalogue::newest(&in_force);
    if let Some(version) = at {
        read::rewind_to(platform, &mut past, version).await?;
    }
    let all = past.catalogue().keys();
    let keys = if items.is_empty() { &*all } else { items };
    let found: Vec<Value> = keys
        .iter()
        .filter_map(|k| item_json(&past, &in_force, k))
        .collect();
    let missing = keys.iter().find(|k| !past.catalogue().contains(k));
    if let Some(key) = missing {
        let text = format!("{key} is not declared at version {}", past.version());
        return Ok(Report::error(Exit::Usage, text));
    }
    let text = if items.is_empty() {
        list(&past, &found)
    } else {
        found
            .iter()
            .map(|v| format!("{:#}", v["body"]))
            .collect::<Vec<_>>()
            .join("\n")
    };
    let json = json!({"version": past.version(), "items": found});
    Ok(Report::new(Exit::Done, text, json))
}

fn item_json(past: &PastCatalogue, in_force: &EffectiveCatalogue, key: &ItemKey) -> Option<Value> {
    let body = past.catalogue().item(key)?.to_json();
    let version = past.base().items.get(key).map(|b| b.version);
    // Only the history has the operator and the change of an earlier state.
    let current = in_force.item(key).filter(|c| Some(c.version) == version);
    Some(json!({
        "item": key,
        "version": version,
        "change": current.map(|c| &c.change),
        "operator": current.map(|c| &c.operator),
        "body": body,
    }))
}

fn list(past: &PastCatalogue, found: &[Value]) -> String {
    let mut lines = vec![format!("version {}", past.version())];
    for item in found {
        let text = |name: &str| item[name].as_str().unwrap_or("-").to_owned();
        lines.push(format!(
            "{:<40} version {:>6}  {}  {}",
            text("item"),
            item["version"],
            text("operator"),
            text("change"),
        ));
    }
    lines.join("\n")
}
