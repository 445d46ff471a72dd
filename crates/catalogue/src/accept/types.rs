//! Inputs and outputs of an [`Apply`](super::Apply).

use std::time::Duration;

use bytes::Bytes;
use ids::{ChangeId, OperatorId, Revision, Version};
use platform::{Commit, PlatformError, Row, Txn};
use smol_str::SmolStr;

use crate::base::Base;
use crate::declare::Catalogue;
use crate::fault::Faults;
use crate::in_force::RowFault;
use crate::plan::{ConcurrentChange, Denial};
use crate::verify::Sources;

/// The source of the base that declarations are compared with to find the operator's changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BaseSource {
    /// A known base.
    Given(Base),
    /// The catalogue in force at the first read.
    FirstRead {
        /// Whether the base includes items that other operators wrote last.
        include_others: bool,
    },
}

/// The change that an operator submits.
#[derive(Debug, Clone)]
pub struct ApplyInput {
    /// All items that are to be declared.
    pub catalogue: Catalogue,
    /// Files of the items, for fault messages.
    pub sources: Sources,
    /// Source of the base that `catalogue` was edited from.
    pub base: BaseSource,
    /// Version that the change was planned against; changes to items whose rows are newer are
    /// conflicts.
    pub expect: Option<Version>,
    /// Operator who submits the change.
    pub operator: OperatorId,
    /// Whether to skip the check of owners and to leave access control to the platform.
    pub admin: bool,
    /// Id of the change; if `None`, it is derived from the changed items.
    pub change: Option<ChangeId>,
    /// Message of the operator.
    pub message: SmolStr,
    /// The operator's clock, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Limits of an [`Apply`](super::Apply).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApplyConfig {
    /// Number of consecutive failed calls after which it gives up.
    pub max_failures: u32,
    /// Maximum number of attempts to commit, including those that lose against other operators.
    pub max_attempts: u32,
    /// Delay after the first failure; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Maximum delay after a failure.
    pub max_backoff: Duration,
    /// Number of versions after which the row of a removed item is deleted.
    pub prune_after: u64,
}

impl Default for ApplyConfig {
    fn default() -> Self {
        Self {
            max_failures: 8,
            max_attempts: 64,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            prune_after: 10_000,
        }
    }
}

/// An input of an [`Apply`](super::Apply).
#[derive(Debug)]
pub enum Event {
    /// The change starts.
    Start,
    /// Rows with the prefix `catalogue/` were read.
    Catalogue(Vec<Row>),
    /// Rows whose keys start with the key of the change id's row were read.
    Id(Vec<Row>),
    /// The object was stored.
    Stored,
    /// The transaction was committed, or a check failed.
    Committed(Commit),
    /// The call failed.
    Failed(PlatformError),
    /// The delay has ended.
    Woken,
}

/// An action that an [`Apply`](super::Apply) requests; its result is one [`Event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the rows with the prefix `catalogue/` that changed after this revision.
    ReadCatalogue(Revision),
    /// Read the row of this change id.
    ReadId(ChangeId),
    /// Store an object.
    Store {
        /// Name.
        name: SmolStr,
        /// Content.
        body: Bytes,
    },
    /// Commit a transaction.
    Commit(Txn),
    /// Wait for this delay.
    Sleep(Duration),
    /// Stop; [`Apply::end`](super::Apply::end) returns the result.
    Finish,
}

/// The result of an [`Apply`](super::Apply).
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyEnd {
    /// The change was accepted.
    Accepted {
        /// Version that the change made.
        version: Version,
        /// Change.
        change: ChangeId,
        /// Whether an earlier run of the same change was accepted.
        again: bool,
    },
    /// All declarations were in force already.
    InForce {
        /// Version.
        version: Version,
    },
    /// Other operators changed the same items.
    Conflict(Vec<ConcurrentChange>),
    /// Every attempt failed because another operator committed first.
    Contended {
        /// Number of attempts.
        attempts: u32,
    },
    /// The resulting catalogue would have faults.
    Invalid(Faults),
    /// The operator may not change some items.
    Denied(Vec<Denial>),
    /// The change was withdrawn earlier.
    Withdrawn {
        /// Change.
        change: ChangeId,
        /// Operator who withdrew it.
        operator: OperatorId,
    },
    /// The platform forbids the change; it was certainly not accepted.
    Refused(PlatformError),
    /// The platform can't be reached; the change was certainly not accepted.
    Unreachable(PlatformError),
    /// The platform can't be reached; the change may have been accepted.
    Unknown {
        /// Change.
        change: ChangeId,
        /// The last failure.
        cause: PlatformError,
    },
    /// Rows in the table can't be parsed or contradict earlier rows.
    Unreadable(Vec<RowFault>),
}
