//! Faults of declarations, with file and JSON pointer.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// One fault of a declaration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Fault {
    /// File, relative to the directory of declarations.
    pub file: SmolStr,
    /// JSON pointer to the faulty value; empty if the fault concerns the whole file.
    pub pointer: String,
    /// Description of the value that was found.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if !self.pointer.is_empty() {
            write!(f, " at {}", self.pointer)?;
        }
        write!(f, ": found {}; allowed: {}", self.found, self.allowed)
    }
}

/// All faults of a directory of declarations, sorted by file and JSON pointer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Error)]
#[error("{}", lines(.0))]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
