//! One call, from its arrival to the end of all that it holds.

use ids::{SliceNo, Timestamp};

use super::message::Arrival;
use super::queue::QueuePosition;
use super::upstream_queue::UpstreamQueueKey;
use crate::key::CallKey;

/// Where a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallState {
    /// It waits for a slot.
    Waiting(QueuePosition),
    /// It waits for its slice to move.
    Held,
    /// It was sent; its answer is awaited.
    Sent {
        /// When it was sent.
        at: Timestamp,
    },
    /// It was sent and aborted.
    Stopping {
        /// Whether its connection is closed.
        closed: bool,
        /// Whether the upstream has surely stopped, so that the slot is free.
        stopped: bool,
    },
    /// It is a repeat of another one and gets that one's end.
    Joined(CallKey),
}

/// One call.
#[derive(Debug)]
pub struct Call {
    /// What came.
    pub arrival: Arrival,
    /// Lane.
    pub queue: UpstreamQueueKey,
    /// Order of arrival.
    pub sequence: u64,
    /// Where it stands.
    pub state: CallState,
    /// Whether a final action is still due.
    pub reply_due: bool,
    /// Repeats that get this call's end.
    pub joined: Vec<CallKey>,
    /// When the state must be looked at again.
    pub timer: Timestamp,
    /// Whether its key's own slice may have been folded into another one since it came, so that it
    /// counts to whatever slice is held.
    pub counts_to_any_slice: bool,
    /// Whether its id is in the memory of repeats.
    pub registered: bool,
}

impl Call {
    /// Tells whether anybody waits for the call's end.
    pub fn is_wanted(&self) -> bool {
        self.reply_due || !self.joined.is_empty()
    }

    /// Tells whether the call counts to a slice.
    pub fn counts_to(&self, slice: Option<SliceNo>) -> bool {
        self.counts_to_any_slice || self.arrival.slice == slice
    }
}
