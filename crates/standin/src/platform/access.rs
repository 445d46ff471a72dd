//! Who may write what.
//!
//! - Hosts write rows below `own/` and no objects.
//! - Operators write rows below `catalogue/` and store objects.
//! - A row below `catalogue/` whose stored value is a JSON object with `owners`, an array of
//!   operators, is written and deleted by these operators only. Rows without owners, and
//!   rows that don't exist yet, are written by any operator.
//! - Admins are operators who pass for an owner of every row.
//!
//! All of them read everything.

use ids::OperatorId;
use platform::{MemoryTable, RowKey, Txn};
use serde::Deserialize;
use thiserror::Error;

use super::settings::PlatformSettings;

/// Prefix of the rows that hosts write.
pub const OWN_PREFIX: &str = "own/";
/// Prefix of the rows that operators write.
pub const CATALOGUE_PREFIX: &str = "catalogue/";

/// Whom a token stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// A host.
    Host,
    /// An operator.
    Operator {
        /// Name.
        id: OperatorId,
        /// Whether the operator passes for an owner of every row.
        admin: bool,
    },
}

/// Why a call is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refused {
    /// The row lies outside the part that the role writes.
    #[error("row {key}: {role} writes only below {prefix}")]
    OutsidePrefix {
        /// Key of the row.
        key: RowKey,
        /// Who writes.
        role: &'static str,
        /// What the role writes.
        prefix: &'static str,
    },
    /// The row has owners and the operator is none of them.
    #[error("row {key}: operator {operator} is not among its owners")]
    NotOwner {
        /// Key of the row.
        key: RowKey,
        /// Who writes.
        operator: OperatorId,
    },
    /// Hosts store no objects.
    #[error("a host stores no objects")]
    HostStoresNoObjects,
}

/// The part of a row's value that access depends on.
#[derive(Debug, Deserialize)]
struct Owned {
    owners: Vec<OperatorId>,
}

impl Role {
    /// Returns whom `token` stands for.
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
    pub fn check_txn(&self, table: &MemoryTable, txn: &Txn) -> Result<(), Refused> {
        txn.writes
            .iter()
            .try_for_each(|w| self.check_write(table, &w.key))
    }

    /// Checks whether the role may store objects.
    ///
    /// # Errors
    ///
    /// Fails if it may not.
    pub const fn check_store(&self) -> Result<(), Refused> {
        match self {
            Self::Host => Err(Refused::HostStoresNoObjects),
            Self::Operator { .. } => Ok(()),
        }
    }

    fn check_write(&self, table: &MemoryTable, key: &RowKey) -> Result<(), Refused> {
        match self {
            Self::Host => check_prefix(key, "a host", OWN_PREFIX),
            Self::Operator { id, admin } => {
                check_prefix(key, "an operator", CATALOGUE_PREFIX)?;
                if *admin || may_write(table, key, id) {
                    return Ok(());
                }
                Err(Refused::NotOwner {
                    key: key.clone(),
                    operator: id.clone(),
                })
            }
        }
    }
}

fn check_prefix(key: &RowKey, role: &'static str, prefix: &'static str) -> Result<(), Refused> {
    if key.0.starts_with(prefix) {
        return Ok(());
    }
    Err(Refused::OutsidePrefix {
        key: key.clone(),
        role,
        prefix,
    })
}

fn may_write(table: &MemoryTable, key: &RowKey, operator: &OperatorId) -> bool {
    let stored = table.row(key).and_then(|r| r.value.as_ref());
    let owned = stored.and_then(|v| serde_json::from_slice::<Owned>(v).ok());
    owned.is_none_or(|o| o.owners.contains(operator))
}
