//! A limit on the number of moves in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Timestamp;

/// Limits the number of moves in any one window.
#[derive(Debug)]
pub(crate) struct MoveBudget {
    limit: usize,
    window: Duration,
    moves: VecDeque<Timestamp>,
}

impl MoveBudget {
    pub(crate) fn new(limit: usize, window: Duration) -> Self {
        Self {
            limit,
            window,
            moves: VecDeque::new(),
        }
    }

    /// Records a move at `now` unless the limit is reached; returns whether the move is allowed.
    pub(crate) fn try_spend(&mut self, now: Timestamp) -> bool {
        while let Some(first) = self.moves.front() {
            if now.since(*first) < self.window {
                break;
            }
            self.moves.pop_front();
        }
        if self.moves.len() >= self.limit {
            return false;
        }
        self.moves.push_back(now);
        true
    }
}
