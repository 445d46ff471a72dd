//! Differences between two states of an item, field by field.

use serde::Serialize;
use serde_json::{Map, Value};

use crate::json;

/// One field that differs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Difference {
    /// JSON pointer to the field; empty for the whole item.
    pub pointer: String,
    /// Value before, if the field existed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Value after, if the field exists.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// Lists the fields in which `before` and `after` differ.
///
/// Only objects are compared member by member; other values are compared as a whole.
#[must_use]
pub fn differences(before: Option<&Value>, after: Option<&Value>) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("", before, after, &mut found);
    found
}

fn compare(
    pointer: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(b)), Some(Value::Object(a))) = (before, after) {
        compare_members(pointer, b, a, found);
        return;
    }
    found.push(Difference {
        pointer: pointer.to_owned(),
        before: before.cloned(),
        after: after.cloned(),
    });
}

fn compare_members(
    pointer: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    found: &mut Vec<Difference>,
) {
    let added = after.keys().filter(|name| !before.contains_key(*name));
    for name in before.keys().chain(added) {
        let pointer = json::join(pointer, name);
        compare(&pointer, before.get(name), after.get(name), found);
    }
}
