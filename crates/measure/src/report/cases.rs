//! Groups the lines of all sets by kind, metric and case.

use indexmap::IndexMap;
use serde_json::Value;
use smol_str::SmolStr;

/// Numeric fields that identify a case instead of being results.
const CASE_NUMBERS: [&str; 5] = ["hosts", "domains", "upstreams", "slices", "keys"];

/// Fields that are neither results nor identify a case.
const IGNORED: [&str; 2] = ["kind", "seed"];

/// The lines of one file.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultSet {
    /// Name on the page.
    pub name: SmolStr,
    /// Parsed lines.
    pub lines: Vec<Value>,
}

/// The values of one metric for one case: one for each set, in the order of the sets.
pub type CaseValues = Vec<Option<f64>>;

/// Results of one kind: for each metric, the cases with their values.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResultGroup {
    /// Metrics by name.
    pub metrics: IndexMap<String, IndexMap<String, CaseValues>>,
}

/// Groups all lines by kind, metric and case.
///
/// If a set has several lines for one case, the value is their mean.
#[must_use]
pub fn group_lines(sets: &[ResultSet]) -> IndexMap<String, ResultGroup> {
    let mut groups: IndexMap<String, ResultGroup> = IndexMap::new();
    let mut counts: IndexMap<(String, String, usize), f64> = IndexMap::new();
    for (n, set) in sets.iter().enumerate() {
        for line in &set.lines {
            let kind = string_field(line, "kind").unwrap_or("other").to_owned();
            let case = case_name(line);
            let count = counts.entry((kind.clone(), case.clone(), n)).or_default();
            *count += 1.0;
            let group = groups.entry(kind).or_default();
            flatten("", line, &mut |metric, value| {
                let cases = group.metrics.entry(metric.to_owned()).or_default();
                let values = cases
                    .entry(case.clone())
                    .or_insert_with(|| vec![None; sets.len()]);
                let mean = values[n].unwrap_or(0.0);
                values[n] = Some(mean + (value - mean) / *count);
            });
        }
    }
    groups
}

fn string_field<'a>(line: &'a Value, field: &str) -> Option<&'a str> {
    line.get(field).and_then(Value::as_str)
}

/// Returns the name of a line's case: the fields that identify it, joined.
fn case_name(line: &Value) -> String {
    let Some(fields) = line.as_object() else {
        return String::new();
    };
    let mut parts = Vec::new();
    for (name, value) in fields {
        if IGNORED.contains(&name.as_str()) {
            continue;
        }
        match value {
            Value::String(value) => parts.push(value.clone()),
            Value::Number(value) if CASE_NUMBERS.contains(&name.as_str()) => {
                parts.push(format!("{value} {name}"));
            }
            _ => {}
        }
    }
    parts.join(", ")
}

/// Calls `visit` with the dotted name and value of each number below `value`.
fn flatten(path: &str, value: &Value, visit: &mut impl FnMut(&str, f64)) {
    match value {
        Value::Number(number) => {
            if let Some(number) = number.as_f64() {
                visit(path, number);
            }
        }
        Value::Object(fields) => {
            for (name, value) in fields {
                let is_no_metric =
                    IGNORED.contains(&name.as_str()) || CASE_NUMBERS.contains(&name.as_str());
                if path.is_empty() && is_no_metric {
                    continue;
                }
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten(&path, value, visit);
            }
        }
        _ => {}
    }
}
