//! JSON files other than declarations, validated in the same way.

use std::fs;
use std::path::Path;

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr};

use crate::fault::{Fault, Faults};
use crate::{json, schema};

/// Reads and validates a JSON file that holds one `T`.
///
/// # Errors
///
/// Lists everything in the file that does not match the schema of `T`.
pub fn read<T: JsonSchema + DeserializeOwned>(path: &Path) -> Result<T, Faults> {
    let file = path.display().to_smolstr();
    let text = fs::read_to_string(path)
        .map_err(|e| file_fault(&file, e.to_string(), "a file that can be read"))?;
    parse(&file, &text)
}

/// Parses and validates the text of a JSON file that holds one `T`.
///
/// # Errors
///
/// Lists everything in the file that does not match the schema of `T`.
pub fn parse<T: JsonSchema + DeserializeOwned>(file: &SmolStr, text: &str) -> Result<T, Faults> {
    let parsed = json::parse(text).map_err(|e| file_fault(file, e.to_string(), "JSON"))?;
    let mut faults: Vec<Fault> = schema::check_as::<T>(&parsed.value)
        .into_iter()
        .map(|f| Fault {
            file: file.clone(),
            pointer: f.pointer,
            found: f.found,
            allowed: f.allowed,
        })
        .collect();
    faults.extend(parsed.duplicates.into_iter().map(|pointer| Fault {
        file: file.clone(),
        pointer,
        found: "a member that is written twice".to_owned(),
        allowed: "each member once".to_owned(),
    }));
    if !faults.is_empty() {
        faults.sort();
        return Err(Faults(faults));
    }
    serde_json::from_value(parsed.value)
        .map_err(|e| file_fault(file, e.to_string(), "valid values"))
}

/// Returns a fault of a file as a whole.
fn file_fault(file: &SmolStr, found: String, allowed: &str) -> Faults {
    Faults(vec![Fault {
        file: file.clone(),
        pointer: String::new(),
        found,
        allowed: allowed.to_owned(),
    }])
}
