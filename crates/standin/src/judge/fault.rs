//! What must not happen.

use ids::{EntryId, Epoch, SliceNo, UpstreamId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::execution::Place;

/// What an entry is divided into, as far as upstreams know.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// A slice.
    Slice(SliceNo),
    /// A key.
    Key(SmolStr),
}

/// Something that must not happen, and where it did.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// A journal has two starts or no start of one execution, or an end before its start.
    BadJournal {
        /// Execution.
        place: Place,
    },
    /// A request that may run once ran more often.
    RanTwice {
        /// Id of the request.
        id: SmolStr,
        /// Executions.
        places: Vec<Place>,
    },
    /// A request ran whose caller was told that it did not.
    NotRunRan {
        /// Id of the request.
        id: SmolStr,
        /// What the caller was told.
        reason: Option<SmolStr>,
        /// Executions.
        places: Vec<Place>,
    },
    /// A request was answered that no upstream finished before.
    AnsweredUnrun {
        /// Id of the request.
        id: SmolStr,
        /// When the answer came, in microseconds.
        done_us: u64,
        /// Upstream that the answer names.
        upstream: Option<SmolStr>,
        /// Executions.
        places: Vec<Place>,
    },
    /// A caller got an answer that looks whole and is not its own.
    WrongAnswer {
        /// Id of the request.
        id: SmolStr,
        /// What was wrong.
        reason: Option<SmolStr>,
        /// When the answer came, in microseconds.
        done_us: u64,
    },
    /// Two upstreams had a part of an entry at the same time.
    TwoOwners {
        /// Entry.
        entry: EntryId,
        /// What both had.
        part: Part,
        /// Execution that started first.
        first: Place,
        /// Until when that upstream had the part by it, in microseconds.
        first_until_us: u64,
        /// Execution on the other upstream.
        second: Place,
    },
    /// An upstream ran a request of a lower epoch after one of a higher.
    EpochFell {
        /// Execution under the lower epoch.
        place: Place,
        /// Its epoch.
        epoch: Epoch,
        /// Highest epoch before.
        highest: Epoch,
    },
    /// An upstream that wants to leave got new work too long after it had said so.
    WorkWhileLeaving {
        /// Execution.
        place: Place,
        /// When the upstream said so, in microseconds.
        said_us: u64,
    },
    /// An upstream ran more requests at the same time than it has slots.
    TooManyRunning {
        /// Upstream.
        upstream: UpstreamId,
        /// Execution that was one too many.
        place: Place,
        /// Requests that ran.
        running: u32,
    },
}
