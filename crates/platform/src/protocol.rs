//! The HTTP protocol of the platform: paths, and bodies in JSON.
//!
//! Row values are encoded as base64; objects are sent unencoded. `docs/PLATFORM.md` lists
//! calls and statuses.

use std::net::SocketAddr;

use bytes::Bytes;
use ids::{DomainId, HostId, Revision};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Changes, Check, Commit, HostState, ListedHost, Row, RowKey, Txn, Write};

mod value;

/// Path of transactions (`POST`).
pub const TXN_PATH: &str = "/v1/txn";
/// Path of changes (`GET`), with a query as in [`ChangesQuery`].
pub const CHANGES_PATH: &str = "/v1/changes";
/// Path under which objects are stored (`PUT`, `GET`).
pub const OBJECTS_PATH: &str = "/v1/objects/";
/// Path of the list of hosts (`GET`).
pub const HOSTS_PATH: &str = "/v1/hosts";
/// The scheme that precedes the token in the `authorization` header.
pub const BEARER: &str = "Bearer ";

const ESCAPED_IN_PATH: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'/');

/// Returns the path of the object with this name.
#[must_use]
pub fn object_path(name: &str) -> String {
    format!(
        "{OBJECTS_PATH}{}",
        utf8_percent_encode(name, ESCAPED_IN_PATH)
    )
}

/// The query of a call for changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangesQuery {
    /// Prefix of the keys.
    pub prefix: SmolStr,
    /// Revision after which the rows changed.
    pub since: Revision,
}

impl ChangesQuery {
    /// Returns the path, including the query.
    #[must_use]
    pub fn to_path(&self) -> String {
        let query = form_urlencoded::Serializer::new(String::new())
            .append_pair("prefix", &self.prefix)
            .append_pair("since", &self.since.to_string())
            .finish();
        format!("{CHANGES_PATH}?{query}")
    }

    /// Parses a query; missing parameters get their defaults and unknown ones are ignored.
    #[must_use]
    pub fn parse(query: &str) -> Option<Self> {
        let mut parsed = Self::default();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            match &*name {
                "prefix" => parsed.prefix = SmolStr::from(&*value),
                "since" => parsed.since = Revision(value.parse().ok()?),
                _ => {}
            }
        }
        Some(parsed)
    }
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowBody {
    /// Key.
    pub key: SmolStr,
    /// Revision of the last write.
    pub revision: Revision,
    /// Value; `null` if the row was deleted.
    #[serde(with = "value")]
    pub value: Option<Bytes>,
}

/// A page of changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangesBody {
    /// Revision of the table.
    pub revision: Revision,
    /// Changed rows, sorted by ascending revision.
    pub rows: Vec<RowBody>,
    /// Revision after which the next page starts; `null` on the last page.
    pub next: Option<Revision>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckBody {
    /// Key.
    pub key: SmolStr,
    /// Revision that the row must have; `null` if the row must not exist.
    pub revision: Option<Revision>,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteBody {
    /// Key.
    pub key: SmolStr,
    /// New value; `null` to delete the row.
    #[serde(with = "value")]
    pub value: Option<Bytes>,
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TxnBody {
    /// Conditions.
    pub checks: Vec<CheckBody>,
    /// Writes.
    pub writes: Vec<WriteBody>,
}

/// The answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum CommitBody {
    /// The transaction took effect.
    Done {
        /// Revision at which it took effect.
        revision: Revision,
    },
    /// The transaction had no effect.
    Conflict {
        /// The current rows of all checks.
        rows: Vec<RowBody>,
    },
}

/// A host on the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostBody {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for dispatch connections.
    pub dispatch: SocketAddr,
    /// State.
    pub state: HostState,
}

/// The list of hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostsBody {
    /// Hosts, sorted by name.
    pub hosts: Vec<HostBody>,
}

/// The body of a refusal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalBody {
    /// One-line explanation.
    pub error: String,
}

impl From<Row> for RowBody {
    fn from(row: Row) -> Self {
        Self {
            key: row.key.0,
            revision: row.revision,
            value: row.value,
        }
    }
}

impl From<RowBody> for Row {
    fn from(body: RowBody) -> Self {
        Self {
            key: RowKey(body.key),
            revision: body.revision,
            value: body.value,
        }
    }
}

impl From<Txn> for TxnBody {
    fn from(txn: Txn) -> Self {
        let check = |c: Check| CheckBody {
            key: c.key.0,
            revision: c.revision,
        };
        let write = |w: Write| WriteBody {
            key: w.key.0,
            value: w.value,
        };
        Self {
            checks: txn.checks.into_iter().map(check).collect(),
            writes: txn.writes.into_iter().map(write).collect(),
        }
    }
}

impl From<TxnBody> for Txn {
    fn from(body: TxnBody) -> Self {
        let check = |c: CheckBody| Check {
            key: RowKey(c.key),
            revision: c.revision,
        };
        let write = |w: WriteBody| Write {
            key: RowKey(w.key),
            value: w.value,
        };
        Self {
            checks: body.checks.into_iter().map(check).collect(),
            writes: body.writes.into_iter().map(write).collect(),
        }
    }
}

impl From<Commit> for CommitBody {
    fn from(commit: Commit) -> Self {
        match commit {
            Commit::Done(revision) => Self::Done { revision },
            Commit::Conflict(rows) => Self::Conflict {
                rows: rows.into_iter().map(RowBody::from).collect(),
            },
        }
    }
}

impl From<CommitBody> for Commit {
    fn from(body: CommitBody) -> Self {
        match body {
            CommitBody::Done { revision } => Self::Done(revision),
            CommitBody::Conflict { rows } => {
                Self::Conflict(rows.into_iter().map(Row::from).collect())
            }
        }
    }
}

impl From<ChangesBody> for Changes {
    fn from(body: ChangesBody) -> Self {
        Self {
            revision: body.revision,
            rows: body.rows.into_iter().map(Row::from).collect(),
        }
    }
}

impl From<ListedHost> for HostBody {
    fn from(listed: ListedHost) -> Self {
        Self {
            host: listed.host,
            domain: listed.domain,
            control: listed.control,
            dispatch: listed.dispatch,
            state: listed.state,
        }
    }
}

impl From<HostBody> for ListedHost {
    fn from(body: HostBody) -> Self {
        Self {
            host: body.host,
            domain: body.domain,
            control: body.control,
            dispatch: body.dispatch,
            state: body.state,
        }
    }
}
