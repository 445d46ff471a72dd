//! A call, from its arrival until it holds no resources.

use ids::{SliceNo, Timestamp};

use super::message::Arrival;
use super::queue::QueuePosition;
use super::upstream_queue::UpstreamQueueKey;
use crate::key::CallKey;

/// State of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallState {
    /// It waits for a slot.
    Waiting(QueuePosition),
    /// It waits for the move of its slice to end.
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
        /// Whether the upstream has certainly stopped running it, so that the slot is free.
        stopped: bool,
    },
    /// It is a repeat of another call and ends as that one does.
    Joined(CallKey),
}

/// One call.
#[derive(Debug)]
pub struct Call {
    /// The call as it arrived.
    pub arrival: Arrival,
    /// Queue of the call's upstream.
    pub queue: UpstreamQueueKey,
    /// Position in the order of arrival.
    pub sequence: u64,
    /// State.
    pub state: CallState,
    /// Whether a final action is still due.
    pub reply_due: bool,
    /// Repeats that end as this call does.
    pub joined: Vec<CallKey>,
    /// When the call's timer expires.
    pub timer: Timestamp,
    /// Whether its key's hot slice may have been folded back since it arrived. The call then counts
    /// to every held slice.
    pub counts_to_any_slice: bool,
    /// Whether its id is registered in the repeat tracker.
    pub registered: bool,
}

impl Call {
    /// Returns whether this call or a repeat of it still needs a final action.
    pub fn is_wanted(&self) -> bool {
        self.reply_due || !self.joined.is_empty()
    }

    /// Returns whether the call counts to a slice.
    pub fn counts_to(&self, slice: Option<SliceNo>) -> bool {
        self.counts_to_any_slice || self.arrival.slice == slice
    }
}
