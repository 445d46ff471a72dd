//! The budget of moves in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Timestamp;

/// Counts moves, and never lets more than the limit fall into one window.
#[derive(Debug)]
pub(crate) struct Budget {
    limit: usize,
    window: Duration,
    spent: VecDeque<Timestamp>,
}

impl Budget {
    pub(crate) fn new(limit: usize, window: Duration) -> Self {
        Self {
            limit,
            window,
            spent: VecDeque::new(),
        }
    }

    /// Spends one move, or tells that none is left.
    pub(crate) fn spend(&mut self, now: Timestamp) -> bool {
        while let Some(first) = self.spent.front() {
            if now.since(*first) < self.window {
                break;
            }
            self.spent.pop_front();
        }
        if self.spent.len() >= self.limit {
            return false;
        }
        self.spent.push_back(now);
        true
    }
}
