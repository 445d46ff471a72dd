//! `show`.

use catalogue::{EffectiveCatalogue, ItemKey, PastCatalogue};
use ids::Version;
use platform::{Objects, Table};
use serde_json::{Value, json};

use super::{Outcome, Report};
use crate::exit::Exit;
use crate::read;

/// Shows the items called `items`, or all, as they are in force or were at version `at`.
///
/// # Errors
///
/// The report says what can't be read.
pub async fn show<P: Table + Objects>(
    platform: &P,
    items: &[ItemKey],
    at: Option<Version>,
) -> Outcome {
    let in_force = read::in_force(platform).await?;
    let mut past = PastCatalogue::newest(&in_force);
    if let Some(version) = at {
        read::go_back(platform, &mut past, version).await?;
    }
    let all = past.catalogue().keys();
    let keys = if items.is_empty() { &*all } else { items };
    let found: Vec<Value> = keys
        .iter()
        .filter_map(|k| line(&past, &in_force, k))
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

fn line(past: &PastCatalogue, in_force: &EffectiveCatalogue, key: &ItemKey) -> Option<Value> {
    let body = past.catalogue().item(key)?.to_json();
    let version = past.base().items.get(key).map(|b| b.version);
    // Who wrote an earlier state stands in the history only.
    let held = in_force.item(key).filter(|h| Some(h.version) == version);
    Some(json!({
        "item": key,
        "version": version,
        "change": held.map(|h| &h.change),
        "operator": held.map(|h| &h.operator),
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
