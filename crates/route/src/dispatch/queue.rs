//! Calls that wait for a slot of one upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Timestamp;

use crate::key::CallKey;

/// Order in which waiting calls are sent, and rule by which they are dropped.
///
/// The default follows from the figures in `docs/LIMITS.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// First in, first out.
    Fifo,
    /// Last in, first out.
    Lifo,
    /// Earliest deadline first.
    Deadline,
    /// First in, first out; once the queue has been standing (not empty) for
    /// [`QueueSettings::interval`], calls that waited longer than the target are dropped.
    Controlled,
    /// Like [`Self::Controlled`], but last in, first out while the queue is standing.
    ControlledLifo,
}

impl QueueOrder {
    /// All orders.
    pub const ALL: [Self; 5] = [
        Self::Fifo,
        Self::Lifo,
        Self::Deadline,
        Self::Controlled,
        Self::ControlledLifo,
    ];

    const fn is_controlled(self) -> bool {
        matches!(self, Self::Controlled | Self::ControlledLifo)
    }
}

/// Settings of queues.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueSettings {
    /// Order.
    pub order: QueueOrder,
    /// Time without an empty queue after which it counts as standing.
    pub interval: Duration,
    /// Minimum wait that a standing queue allows.
    pub target: Duration,
    /// Wait that a standing queue allows, in mean service times.
    pub target_services: f64,
    /// Whether calls that would not finish in time by the estimate are refused on arrival.
    pub refuse_early: bool,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            order: QueueOrder::Controlled,
            interval: Duration::from_millis(100),
            target: Duration::from_millis(5),
            target_services: 6.0,
            refuse_early: true,
        }
    }
}

/// Position of a call in a [`WaitQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// The deadline if calls are ordered by it, else the same value for all.
    due: Timestamp,
    /// Order of arrival.
    sequence: u64,
}

/// A waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// The call.
    pub call: CallKey,
    /// When it arrived.
    pub since: Timestamp,
}

/// Calls that wait for a slot of one upstream.
#[derive(Debug)]
pub struct WaitQueue {
    settings: QueueSettings,
    calls: BTreeMap<QueuePosition, Waiting>,
    /// When a call last arrived at an empty queue.
    empty_at: Timestamp,
}

impl WaitQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(now: Timestamp, settings: QueueSettings) -> Self {
        Self {
            settings,
            calls: BTreeMap::new(),
            empty_at: now,
        }
    }

    /// Returns how many calls wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns how many calls would be sent before one that arrives now.
    #[must_use]
    pub fn ahead(&self, deadline: Timestamp) -> usize {
        match self.settings.order {
            QueueOrder::Fifo | QueueOrder::Controlled => self.calls.len(),
            QueueOrder::Lifo | QueueOrder::ControlledLifo => 0,
            QueueOrder::Deadline => {
                let end = QueuePosition {
                    due: deadline,
                    sequence: u64::MAX,
                };
                self.calls.range(..end).count()
            }
        }
    }

    /// Adds a call; `sequence` is its position in the order of arrival among all calls of the host.
    pub fn push(
        &mut self,
        now: Timestamp,
        sequence: u64,
        waiting: Waiting,
        deadline: Timestamp,
    ) -> QueuePosition {
        if self.calls.is_empty() {
            self.empty_at = now;
        }
        let due = if self.settings.order == QueueOrder::Deadline {
            deadline
        } else {
            Timestamp::ZERO
        };
        let position = QueuePosition { due, sequence };
        let before = self.calls.insert(position, waiting);
        debug_assert!(before.is_none(), "two calls at the same position");
        position
    }

    /// Removes a call.
    pub fn remove(&mut self, position: QueuePosition) -> Option<CallKey> {
        self.calls.remove(&position).map(|w| w.call)
    }

    /// Removes the call to send next.
    pub fn pop(&mut self, now: Timestamp) -> Option<CallKey> {
        let newest_first = match self.settings.order {
            QueueOrder::Fifo | QueueOrder::Controlled | QueueOrder::Deadline => false,
            QueueOrder::Lifo => true,
            QueueOrder::ControlledLifo => self.is_standing(now),
        };
        let next = if newest_first {
            self.calls.pop_last()
        } else {
            self.calls.pop_first()
        };
        next.map(|(_, w)| w.call)
    }

    /// Removes the oldest call if it has waited too long; `service` is the mean service time of
    /// calls.
    pub fn pop_overdue(&mut self, now: Timestamp, service: Duration) -> Option<CallKey> {
        if !self.settings.order.is_controlled() || !self.is_standing(now) {
            return None;
        }
        let (&position, oldest) = self.calls.first_key_value()?;
        if now.since(oldest.since) <= self.target(service) {
            return None;
        }
        self.remove(position)
    }

    /// Iterates over all waiting calls.
    pub fn iter(&self) -> impl Iterator<Item = (QueuePosition, Waiting)> {
        self.calls.iter().map(|(&p, &w)| (p, w))
    }

    fn is_standing(&self, now: Timestamp) -> bool {
        now.since(self.empty_at) > self.settings.interval
    }

    fn target(&self, service: Duration) -> Duration {
        service
            .mul_f64(self.settings.target_services)
            .max(self.settings.target)
    }
}
