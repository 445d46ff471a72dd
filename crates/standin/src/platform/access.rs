//! Write permissions of hosts and operators.
//!
//! - Hosts write rows below `own/` and no objects.
//! - Operators write rows below `catalogue/` and `history/`, and store objects.
//! - Values of these rows are JSON objects. A value with `operator` must name the operator who
//!   writes it.
//! - The owners of an entry are `body.owners` of the stored row `catalogue/entry/NAME`. Only they
//!   write or delete that row, and the rows `catalogue/upstream/NAME` whose `body.entry` is the
//!   entry, before the write or after it. Any operator may write a row without owners.
//! - A row below `history/` is written once and never deleted.
//! - Admins are operators who are treated as owners of every entry.
//!
//! All roles may read everything.

use ids::OperatorId;
use platform::{MemoryTable, RowKey, Txn, Write};
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use super::settings::PlatformSettings;

/// Prefix of the rows that hosts write.
pub const OWN_PREFIX: &str = "own/";
/// Prefix of the rows that operators write and hosts read.
pub const CATALOGUE_PREFIX: &str = "catalogue/";
/// Prefix of the entries' rows.
pub const ENTRY_PREFIX: &str = "catalogue/entry/";
/// Prefix of the upstreams' rows.
pub const UPSTREAM_PREFIX: &str = "catalogue/upstream/";
/// Prefix of the rows that operators write once.
pub const HISTORY_PREFIX: &str = "history/";

const HOST_PREFIXES: &[&str] = &[OWN_PREFIX];
const OPERATOR_PREFIXES: &[&str] = &[CATALOGUE_PREFIX, HISTORY_PREFIX];

/// The role that a token authenticates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// A host.
    Host,
    /// An operator.
    Operator {
        /// Name.
        id: OperatorId,
        /// Whether the operator is treated as an owner of every entry.
        admin: bool,
    },
}

/// Reason why a call is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AccessDenied {
    /// The row has none of the prefixes that the role may write.
    #[error("row {key}: only rows below {} are allowed", prefixes.join(" and "))]
    OutsidePrefix {
        /// Key of the row.
        key: RowKey,
        /// Prefixes that the role may write.
        prefixes: &'static [&'static str],
    },
    /// The entry has owners and the operator is not among them.
    #[error("row {key}: operator {operator} is not among the owners of entry {entry}")]
    NotOwner {
        /// Key of the row.
        key: RowKey,
        /// The entry that the row belongs to.
        entry: SmolStr,
        /// The operator who writes.
        operator: OperatorId,
    },
    /// The value names a different operator from the one who writes.
    #[error("row {key}: operator {operator} can't write in the name of {named}")]
    OtherOperator {
        /// Key of the row.
        key: RowKey,
        /// The operator in the value.
        named: SmolStr,
        /// The operator who writes.
        operator: OperatorId,
    },
    /// The row is part of the history and already exists.
    #[error("row {key}: history is written once")]
    WrittenOnce {
        /// Key of the row.
        key: RowKey,
    },
    /// Hosts may not store objects.
    #[error("a host stores no objects")]
    HostStoresNoObjects,
}

/// The fields of a row's value that access depends on.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Value {
    operator: Option<SmolStr>,
    body: Option<Body>,
}

/// The fields of an item that access depends on.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Body {
    owners: Option<Vec<SmolStr>>,
    entry: Option<SmolStr>,
}

impl Role {
    /// Returns the role that `token` authenticates.
    #[must_use]
    pub fn of_token(settings: &PlatformSettings, token: &str) -> Option<Self> {
        if token.is_empty() {
            return None;
        }
        if settings.host_tokens.iter().any(|t| t.secret() == token) {
            return Some(Self::Host);
        }
        let mut operators = settings.operators.iter();
        let (id, _) = operators.find(|(_, t)| t.secret() == token)?;
        Some(Self::Operator {
            id: id.clone(),
            admin: settings.admins.contains(id),
        })
    }

    /// Checks whether the role may commit `txn` on `table`.
    ///
    /// # Errors
    ///
    /// Fails on the first write that isn't allowed.
    pub fn check_txn(&self, table: &MemoryTable, txn: &Txn) -> Result<(), AccessDenied> {
        match self {
            Self::Host => txn
                .writes
                .iter()
                .try_for_each(|w| check_prefix(&w.key, HOST_PREFIXES)),
            Self::Operator { id, admin } => {
                let admin = *admin;
                let writer = Writer { table, id, admin };
                txn.writes.iter().try_for_each(|w| writer.check(w))
            }
        }
    }

    /// Checks whether the role may store objects.
    ///
    /// # Errors
    ///
    /// Fails if the role may not store objects.
    pub const fn check_store(&self) -> Result<(), AccessDenied> {
        match self {
            Self::Host => Err(AccessDenied::HostStoresNoObjects),
            Self::Operator { .. } => Ok(()),
        }
    }
}

/// Checks the writes of one operator.
#[derive(Debug, Clone, Copy)]
struct Writer<'a> {
    table: &'a MemoryTable,
    id: &'a OperatorId,
    admin: bool,
}

impl Writer<'_> {
    fn check(self, write: &Write) -> Result<(), AccessDenied> {
        let key = &write.key;
        check_prefix(key, OPERATOR_PREFIXES)?;
        let new = write.value.as_deref().map(parse).unwrap_or_default();
        self.check_name(key, &new)?;
        if key.0.starts_with(HISTORY_PREFIX) && self.table.row(key).is_some() {
            return Err(AccessDenied::WrittenOnce { key: key.clone() });
        }
        if let Some(entry) = key.0.strip_prefix(ENTRY_PREFIX) {
            return self.check_owner(key, entry);
        }
        if key.0.starts_with(UPSTREAM_PREFIX) {
            let old = self.stored(key);
            let entries = [old, new].map(|v| v.body.and_then(|b| b.entry));
            let mut entries = entries.iter().flatten();
            return entries.try_for_each(|e| self.check_owner(key, e));
        }
        Ok(())
    }

    fn check_name(self, key: &RowKey, new: &Value) -> Result<(), AccessDenied> {
        match &new.operator {
            Some(named) if named != self.id.as_str() => Err(AccessDenied::OtherOperator {
                key: key.clone(),
                named: named.clone(),
                operator: self.id.clone(),
            }),
            _ => Ok(()),
        }
    }

    fn check_owner(self, key: &RowKey, entry: &str) -> Result<(), AccessDenied> {
        let row = RowKey(format_smolstr!("{ENTRY_PREFIX}{entry}"));
        let owners = self.stored(&row).body.and_then(|b| b.owners);
        let is_owner = owners.is_none_or(|o| o.iter().any(|o| o == self.id.as_str()));
        if self.admin || is_owner {
            return Ok(());
        }
        Err(AccessDenied::NotOwner {
            key: key.clone(),
            entry: entry.into(),
            operator: self.id.clone(),
        })
    }

    fn stored(self, key: &RowKey) -> Value {
        let row = self.table.row(key);
        let value = row.and_then(|r| r.value.as_deref());
        value.map(parse).unwrap_or_default()
    }
}

fn check_prefix(key: &RowKey, prefixes: &'static [&'static str]) -> Result<(), AccessDenied> {
    if prefixes.iter().any(|p| key.0.starts_with(p)) {
        return Ok(());
    }
    Err(AccessDenied::OutsidePrefix {
        key: key.clone(),
        prefixes,
    })
}

/// Parses a value; a malformed one has no operator, owners or entry.
fn parse(value: &[u8]) -> Value {
    serde_json::from_slice(value).unwrap_or_default()
}
