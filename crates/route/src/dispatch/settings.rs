//! Settings of a dispatcher.

use std::time::Duration;

use super::limit::LimiterSettings;
use super::queue::QueueSettings;

/// Settings of a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherSettings {
    /// Time before the end of a lease during which nothing is sent under it any more.
    pub lease_margin: Duration,
    /// Maximum time that calls wait for a held slice.
    pub hold_max: Duration,
    /// Extra time, beyond the usual service time, that an upstream gets to stop a cancelled call
    /// before its slot is used again.
    pub stop_grace: Duration,
    /// Order and bounds of queues.
    pub queue: QueueSettings,
    /// Settings of the adaptive concurrency limit.
    pub limiter: LimiterSettings,
    /// How long ids of non-idempotent requests are kept after their end.
    pub repeat_window: Duration,
    /// Maximum number of ids that are kept after their end.
    pub repeat_ids: usize,
    /// Maximum total size in bytes of answers that are kept for repeats.
    pub repeat_bytes: usize,
}

impl Default for DispatcherSettings {
    fn default() -> Self {
        Self {
            lease_margin: Duration::from_millis(20),
            hold_max: Duration::from_secs(2),
            stop_grace: Duration::from_millis(20),
            queue: QueueSettings::default(),
            limiter: LimiterSettings::default(),
            repeat_window: Duration::from_mins(1),
            repeat_ids: 65_536,
            repeat_bytes: 16 << 20,
        }
    }
}
