//! Faults that the judge detects.

use ids::{EntryId, Epoch, SliceNo, UpstreamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::execution::ExecutionRef;

/// A slice or key of an entry, as named in upstreams' journals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SliceOrKey {
    /// A slice.
    Slice(SliceNo),
    /// A key.
    Key(SmolStr),
}

/// A violated rule and the executions or requests that violate it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// A journal has two starts or no start for one execution, or an end before its start.
    BadJournal {
        /// Execution.
        place: ExecutionRef,
    },
    /// A request that may run only once ran more than once.
    RanTwice {
        /// Id of the request.
        id: SmolStr,
        /// Executions.
        places: Vec<ExecutionRef>,
    },
    /// A request ran although its caller was told that it did not.
    NotRunRan {
        /// Id of the request.
        id: SmolStr,
        /// Reason given to the caller.
        reason: Option<SmolStr>,
        /// Executions.
        places: Vec<ExecutionRef>,
    },
    /// A request was answered without a prior completed execution.
    AnsweredUnrun {
        /// Id of the request.
        id: SmolStr,
        /// Arrival of the answer, in microseconds.
        done_us: u64,
        /// Upstream that the answer names.
        upstream: Option<SmolStr>,
        /// Executions.
        places: Vec<ExecutionRef>,
    },
    /// A caller got a complete answer that does not belong to its request.
    WrongAnswer {
        /// Id of the request.
        id: SmolStr,
        /// Reason why the answer is wrong.
        reason: Option<SmolStr>,
        /// Arrival of the answer, in microseconds.
        done_us: u64,
    },
    /// Two upstreams owned a slice or key at the same time.
    TwoOwners {
        /// Entry.
        entry: EntryId,
        /// The slice or key.
        part: SliceOrKey,
        /// Execution that started first.
        first: ExecutionRef,
        /// End of that upstream's ownership according to this execution, in microseconds.
        first_until_us: u64,
        /// Execution on the other upstream.
        second: ExecutionRef,
    },
    /// An upstream ran a request of a lower epoch after one of a higher epoch.
    EpochFell {
        /// Execution under the lower epoch.
        place: ExecutionRef,
        /// Its epoch.
        epoch: Epoch,
        /// Highest epoch before.
        highest: Epoch,
    },
    /// A draining upstream got new work after the grace period.
    WorkWhileLeaving {
        /// Execution.
        place: ExecutionRef,
        /// Time at which the upstream announced that it is draining, in microseconds.
        said_us: u64,
    },
    /// An upstream ran more requests concurrently than it has slots.
    TooManyRunning {
        /// Upstream.
        upstream: UpstreamId,
        /// Execution that exceeded the number of slots.
        place: ExecutionRef,
        /// Number of concurrent requests.
        running: u32,
    },
}
