//! What goes into an [`Apply`](super::Apply) and comes out of it.

use std::time::Duration;

use bytes::Bytes;
use ids::{ChangeId, OperatorId, Revision, Version};
use platform::{Commit, PlatformError, Row, Txn};
use smol_str::SmolStr;

use crate::base::Base;
use crate::declare::Catalogue;
use crate::fault::Faults;
use crate::in_force::RowFault;
use crate::plan::{Denial, Other};
use crate::verify::Sources;

/// What a directory of declarations is compared with, to find what its operator changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BaseFrom {
    /// A known base.
    Given(Base),
    /// What is in force at the first read.
    FirstRead {
        /// Whether that includes items that other operators wrote last.
        others: bool,
    },
}

/// What an operator intends.
#[derive(Debug, Clone)]
pub struct Intention {
    /// All items that shall be declared.
    pub catalogue: Catalogue,
    /// Files of the items, for messages.
    pub sources: Sources,
    /// What `catalogue` was made from.
    pub base: BaseFrom,
    /// Version that it was planned against: items that moved on since are conflicts.
    pub expect: Option<Version>,
    /// Who intends it.
    pub operator: OperatorId,
    /// Whether to leave it to the platform who may change what.
    pub admin: bool,
    /// Id of the change; derived from what changes if none is given.
    pub change: Option<ChangeId>,
    /// What the operator says about it.
    pub message: SmolStr,
    /// The operator's clock, in milliseconds since 1970.
    pub at_ms: u64,
}

/// How long an [`Apply`](super::Apply) goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Failed calls in a row after which it gives up.
    pub failures: u32,
    /// Attempts that may lose against other operators.
    pub attempts: u32,
    /// Wait after the first failure; it doubles with each further one.
    pub first_wait: Duration,
    /// The longest wait.
    pub longest_wait: Duration,
    /// Versions after which the row of a removed item is deleted.
    pub prune_after: u64,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            failures: 8,
            attempts: 64,
            first_wait: Duration::from_millis(50),
            longest_wait: Duration::from_secs(2),
            prune_after: 10_000,
        }
    }
}

/// What happened to an [`Apply`](super::Apply).
#[derive(Debug)]
pub enum Event {
    /// It starts.
    Start,
    /// Rows below `catalogue/` were read.
    Catalogue(Vec<Row>),
    /// Rows below the key of the change id were read.
    Id(Vec<Row>),
    /// The object was stored.
    Stored,
    /// The transaction was decided.
    Committed(Commit),
    /// The call failed.
    Failed(PlatformError),
    /// The wait is over.
    Woken,
}

/// What an [`Apply`](super::Apply) asks for; each is answered by one [`Event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the rows below `catalogue/` that changed after this revision.
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
    /// Wait.
    Sleep(Duration),
    /// Nothing more; [`Apply::verdict`](super::Apply::verdict) has the result.
    Finish,
}

/// How an [`Apply`](super::Apply) ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The change was accepted.
    Accepted {
        /// Version that it made.
        version: Version,
        /// Change.
        change: ChangeId,
        /// Whether an earlier run did it.
        again: bool,
    },
    /// Everything was in force already.
    InForce {
        /// Version.
        version: Version,
    },
    /// Other operators changed the same items.
    Conflict(Vec<Other>),
    /// Other operators' changes came first each time.
    Contended {
        /// Attempts that were made.
        attempts: u32,
    },
    /// What would be in force has faults.
    Invalid(Faults),
    /// The operator may not change some items.
    Denied(Vec<Denial>),
    /// The change was withdrawn earlier.
    Withdrawn {
        /// Change.
        change: ChangeId,
        /// Who withdrew it.
        operator: OperatorId,
    },
    /// The platform refused; the change surely was not accepted.
    Refused(PlatformError),
    /// The platform can't be reached; the change surely was not accepted.
    Unreachable(PlatformError),
    /// The platform can't be reached; the change may have been accepted.
    Unknown {
        /// Change.
        change: ChangeId,
        /// The last failure.
        cause: PlatformError,
    },
    /// Rows in the table make no sense to this program.
    Unreadable(Vec<RowFault>),
}
