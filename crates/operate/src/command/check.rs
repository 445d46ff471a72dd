//! `check` and `schema`.

use std::path::Path;

use catalogue::{FileKind, load};
use serde_json::{Map, Value, json};

use super::{CommandResult, Report};
use crate::args::Kind;
use crate::exit::Exit;
use crate::render::count;

/// Lists all faults of the directory `dir`.
///
/// # Errors
///
/// The report lists the faults.
pub fn check(dir: &Path) -> CommandResult {
    let catalogue = load(dir)?;
    let (domains, entries) = (catalogue.domains.len(), catalogue.entries.len());
    let upstreams = catalogue.upstreams.len();
    let counts = [
        count(domains, "domain"),
        if entries == 1 {
            "1 entry".to_owned()
        } else {
            format!("{entries} entries")
        },
        count(upstreams, "upstream"),
    ];
    let text = format!("no faults: {}", counts.join(", "));
    let json = json!({"domains": domains, "entries": entries, "upstreams": upstreams});
    Ok(Report::new(Exit::Done, text, json))
}

/// Returns the schema of one kind of file, or an object with the schemas of all kinds.
#[must_use]
pub fn schema(kind: Option<Kind>) -> Report {
    let schema = kind.map_or_else(all_schemas, |k| file_kind(k).schema().to_value());
    // Text and JSON output both consist of the bare schema, so that tools can read it.
    Report {
        exit: Exit::Done,
        text: format!("{schema:#}"),
        json: schema,
    }
}

fn all_schemas() -> Value {
    let all = FileKind::ALL.iter();
    let all = all.map(|k| (k.as_str().to_owned(), k.schema().to_value()));
    Value::Object(all.collect::<Map<_, _>>())
}

const fn file_kind(kind: Kind) -> FileKind {
    match kind {
        Kind::Domains => FileKind::Domains,
        Kind::Entry => FileKind::Entry,
        Kind::Upstreams => FileKind::Upstreams,
    }
}
