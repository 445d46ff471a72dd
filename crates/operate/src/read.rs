//! Reads the catalogue and its history.

use catalogue::history::HistoryError;
use catalogue::in_force::RowFault;
use catalogue::rows::{
    CATALOGUE_PREFIX, CHANGES_PREFIX, ChangeBody, ChangeRow, IdRow, ItemChange, decode, id_key,
};
use catalogue::{ContentHash, EffectiveCatalogue, PastCatalogue};
use ids::{ChangeId, Revision, Version};
use platform::{Objects, PlatformError, Row, RowKey, Table};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

/// Maximum number of consecutive torn reads before the read fails.
const MAX_READS: u32 = 8;

/// The catalogue or its history can't be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The platform can't be reached or refused the call.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// Rows of the catalogue are invalid for this version of the program.
    #[error("{}", lines(.0))]
    Rows(Vec<RowFault>),
    /// The rows were modified concurrently during each read.
    #[error("read catalogue: it was modified during every attempt")]
    Torn,
    /// A row of the history can't be read.
    #[error("row {key}: {cause}")]
    Row {
        /// Row.
        key: RowKey,
        /// What is wrong with the row.
        cause: SmolStr,
    },
    /// The history has no row for a version.
    #[error("version {0} is not in the history")]
    Missing(Version),
    /// A version is higher than the newest one.
    #[error("there is no version {version} yet; the newest is {newest}")]
    TooHigh {
        /// Version.
        version: Version,
        /// The newest one.
        newest: Version,
    },
    /// The object of a large change is missing or invalid.
    #[error("object {name} of version {version}: {cause}")]
    Object {
        /// Version.
        version: Version,
        /// Name of the object.
        name: SmolStr,
        /// What is wrong with the object.
        cause: &'static str,
    },
    /// The history is inconsistent.
    #[error(transparent)]
    History(#[from] HistoryError),
}

fn lines(faults: &[RowFault]) -> String {
    let lines: Vec<String> = faults.iter().map(RowFault::to_string).collect();
    lines.join("\n")
}

/// Reads the catalogue in force.
///
/// # Errors
///
/// Fails if the platform can't be reached or if its rows are invalid.
pub async fn in_force<P: Table>(platform: &P) -> Result<EffectiveCatalogue, ReadError> {
    let mut in_force = EffectiveCatalogue::new();
    let mut since = Revision(0);
    for _ in 0..MAX_READS {
        let changes = platform.changes(CATALOGUE_PREFIX, since).await?;
        let last = changes.rows.iter().map(|r| r.revision).max();
        since = last.unwrap_or(since).max(since);
        let applied = in_force.apply_rows(&changes.rows);
        if !applied.faults.is_empty() {
            return Err(ReadError::Rows(applied.faults));
        }
        if in_force.is_complete() {
            return Ok(in_force);
        }
    }
    Err(ReadError::Torn)
}

/// Reads the row of a change id, which holds whether the change was accepted or withdrawn.
///
/// # Errors
///
/// Fails if the platform can't be reached or if the row is invalid.
pub async fn id_row<P: Table>(platform: &P, change: &ChangeId) -> Result<Option<IdRow>, ReadError> {
    let key = id_key(change);
    let changes = platform.changes(&key.0, Revision(0)).await?;
    let row = changes.rows.iter().rfind(|r| r.key == key);
    row.map(parse).transpose().map(Option::flatten)
}

/// Reads the history rows of the versions above `after` up to `to`, in ascending order.
///
/// # Errors
///
/// Fails if the platform can't be reached, or if a row is missing or invalid.
pub async fn changes<P: Table>(
    platform: &P,
    after: Version,
    to: Version,
) -> Result<Vec<ChangeRow>, ReadError> {
    let mut rows: Vec<ChangeRow> = Vec::new();
    let mut next = after.next();
    while next <= to {
        let page = page(platform, next, to).await?;
        for row in page {
            if row.version != next {
                return Err(ReadError::Missing(next));
            }
            next = next.next();
            rows.push(row);
        }
    }
    Ok(rows)
}

/// Reads history rows from `first` on, up to `to` at most, in one call.
///
/// Keys contain versions with a fixed number of digits, so that a prefix without the last digits
/// selects a block of versions.
async fn page<P: Table>(
    platform: &P,
    first: Version,
    to: Version,
) -> Result<Vec<ChangeRow>, ReadError> {
    let span = to.0 - first.0;
    let digits = match span {
        0 => 0,
        1..100 => 2,
        _ => 3,
    };
    let number = format!("{:020}", first.0);
    let prefix = format!("{CHANGES_PREFIX}{}", &number[..number.len() - digits]);
    let changes = platform.changes(&prefix, Revision(0)).await?;
    let mut rows = Vec::new();
    for row in &changes.rows {
        if let Some(row) = parse::<ChangeRow>(row)? {
            rows.push(row);
        }
    }
    rows.retain(|r| r.version >= first && r.version <= to);
    rows.sort_by_key(|r| r.version);
    if rows.first().is_none_or(|r| r.version != first) {
        return Err(ReadError::Missing(first));
    }
    Ok(rows)
}

fn parse<T: for<'de> serde::Deserialize<'de>>(row: &Row) -> Result<Option<T>, ReadError> {
    let value = row.value.as_ref().map(|value| decode(value));
    value.transpose().map_err(|e| ReadError::Row {
        key: row.key.clone(),
        cause: format_smolstr!("{e}"),
    })
}

/// Reads the items of a change.
///
/// # Errors
///
/// Fails if they are stored in an object that can't be read.
pub async fn items<P: Objects>(
    platform: &P,
    change: &ChangeRow,
) -> Result<Vec<ItemChange>, ReadError> {
    let (name, hash) = match &change.body {
        ChangeBody::Inline(items) => return Ok(items.clone()),
        ChangeBody::Object { name, hash, .. } => (name, *hash),
    };
    let fault = |cause| ReadError::Object {
        version: change.version,
        name: name.clone(),
        cause,
    };
    let body = platform.get(name).await?;
    let body = body.ok_or_else(|| fault("it is missing"))?;
    if ContentHash::of(&body) != hash {
        return Err(fault("its content does not match its hash"));
    }
    decode(&body).map_err(|_bad_json| fault("it can't be parsed"))
}

/// Undoes the changes in `past` that came after `version`.
///
/// # Errors
///
/// Fails if the history can't be read or is inconsistent.
pub async fn rewind_to<P: Table + Objects>(
    platform: &P,
    past: &mut PastCatalogue,
    version: Version,
) -> Result<(), ReadError> {
    let newest = past.version();
    if version > newest {
        return Err(ReadError::TooHigh { version, newest });
    }
    let mut rows = changes(platform, version, newest).await?;
    while let Some(row) = rows.pop() {
        let items = items(platform, &row).await?;
        past.undo(row.version, &items)?;
    }
    Ok(())
}
