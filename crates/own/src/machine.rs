//! One host's part in ownership.

use ids::Timestamp;

use crate::{Action, Event, HostRef, OwnSettings};

/// One host's part in ownership: takes `(now, event)` and pushes actions.
#[derive(Debug)]
pub struct Machine {
    settings: OwnSettings,
    me: HostRef,
}

impl Machine {
    /// Creates the machine of one run of a host.
    #[must_use]
    pub fn new(settings: OwnSettings, me: HostRef) -> Self {
        debug_assert_eq!(settings.check(), Ok(()));
        Self { settings, me }
    }

    /// Returns the host's own reference.
    #[must_use]
    pub const fn me(&self) -> &HostRef {
        &self.me
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &OwnSettings {
        &self.settings
    }

    /// Takes an event that came at `now` and pushes what to do onto `actions`.
    ///
    /// `now` must not be lower than at the step before.
    pub fn step(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        _ = (now, event, actions);
    }
}
