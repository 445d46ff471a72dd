//! Rate and concurrency limits of entries at one entry host.

use std::time::Duration;

use ids::{ArenaKey, Reason, Timestamp};

use crate::key::EntryKey;
use crate::router::Router;

/// A request that the limits turned away; it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejected {
    /// Reason.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// A place under an entry's limits; goes back by [`Admission::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the place must be released when the request ends"]
pub struct Admitted(EntryKey);

impl Admitted {
    /// Returns the entry.
    #[must_use]
    pub const fn entry(&self) -> EntryKey {
        self.0
    }
}

/// Limits of all entries at one entry host.
#[derive(Debug, Default)]
pub struct Admission {}

impl Admission {
    /// Creates admission without limits.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the limits from a new snapshot and the number of live entry hosts that share the
    /// entries' rates; requests under way keep their places.
    pub fn configure(&mut self, now: Timestamp, router: &Router, live_hosts: u32) {
        todo!()
    }

    /// Lets a request in, or says why not.
    ///
    /// # Errors
    ///
    /// Fails if the entry's rate or concurrency limit is reached.
    pub fn admit(&mut self, now: Timestamp, entry: EntryKey) -> Result<Admitted, Rejected> {
        todo!()
    }

    /// Gives a place back.
    #[expect(clippy::needless_pass_by_value, reason = "a place is given back once")]
    pub fn release(&mut self, place: Admitted) {
        todo!()
    }
}
