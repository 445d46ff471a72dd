//! Choice of an upstream for entries that are not divided by key.

use std::time::Duration;

use ids::{Reason, Timestamp};

use crate::key::{EntryKey, UpstreamKey};
use crate::router::Router;

/// Settings of a [`Picker`].
#[derive(Debug, Clone, PartialEq)]
pub struct PickerSettings {
    /// Seed of the random draws.
    pub seed: u64,
    /// Time after which half of a reported load is forgotten.
    pub load_half_life: Duration,
    /// Time for which an upstream is passed over after a failure; doubles with each further one.
    pub cool_off: Duration,
    /// The longest time for which an upstream is passed over.
    pub cool_off_max: Duration,
    /// Time over which a new or recovered upstream's share rises to the full one.
    pub ramp: Duration,
    /// Share of a full one that a new or recovered upstream starts with.
    pub ramp_start: f64,
}

impl Default for PickerSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            load_half_life: Duration::from_millis(100),
            cool_off: Duration::from_millis(100),
            cool_off_max: Duration::from_secs(2),
            ramp: Duration::from_secs(5),
            ramp_start: 0.1,
        }
    }
}

/// Chooses the less loaded of two upstreams drawn at random.
///
/// One thread of an entry host owns one; it counts what that thread has under way and what the
/// replies said of the rest.
#[derive(Debug)]
pub struct Picker {
    settings: PickerSettings,
}

impl Picker {
    /// Creates a picker that knows nothing yet.
    #[must_use]
    pub fn new(settings: PickerSettings) -> Self {
        Self { settings }
    }

    /// Chooses an upstream of `entry` and counts a request under way there; `avoid` holds
    /// upstreams already tried, taken only if there is no other.
    ///
    /// The caller reports the end of the try by [`Self::replied`] or [`Self::failed`].
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::NoUpstream`] if the entry has no coordinated upstream that takes
    /// requests.
    pub fn pick(
        &mut self,
        now: Timestamp,
        router: &Router,
        entry: EntryKey,
        avoid: &[UpstreamKey],
    ) -> Result<UpstreamKey, Reason> {
        todo!()
    }

    /// Takes note of a reply (an answer or a refusal that tells no fault of the upstream) and of
    /// the load that it carried.
    pub fn replied(&mut self, now: Timestamp, upstream: UpstreamKey, load: u32) {
        todo!()
    }

    /// Takes note of a try that failed because of the upstream or its coordinating host.
    pub fn failed(&mut self, now: Timestamp, upstream: UpstreamKey) {
        todo!()
    }
}
