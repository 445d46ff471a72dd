//! When queued requests can expect their answers.

use crate::start_schedule::StartSchedule;

/// What the expected time of a queued request depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forecast {
    /// Estimated number of requests at the upstream.
    pub(super) at_upstream: f64,
    pub(super) slots: f64,
    /// In seconds.
    pub(super) service_time: f64,
    /// None if only the slots limit starts.
    pub(super) schedule: Option<StartSchedule>,
}

impl Forecast {
    /// Returns the seconds until the answer to a request that is queued after `ahead` others.
    pub(super) fn expected(&self, ahead: usize) -> f64 {
        let occupancy = (self.at_upstream + ahead as f64 + 1.0) / self.slots;
        let queue = self.service_time * occupancy.max(1.0);
        // If starts are limited, the request waits for its start rather than for the work before it.
        let until_answer = self.schedule.map_or(0.0, |schedule| {
            schedule.time_until_start(ahead).as_secs_f64() + self.service_time
        });
        queue.max(until_answer)
    }
}
