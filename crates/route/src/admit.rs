//! Rate and concurrency limits of entries at one entry host.
//!
//! An entry's rate holds over all entry hosts. Each host takes an equal share of it, by the
//! number of live hosts that it is told; `docs/LIMITS.md` says what that gives up.

use std::time::Duration;

use catalogue::Limits;
use ids::{ArenaKey, Reason, Timestamp};

use crate::key::EntryKey;
use crate::router::Router;

/// Settings of [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Time for which a host may save up unused rate.
    pub burst: Duration,
    /// Requests that a host may save up at least, however small its share of a rate is.
    pub burst_min: f64,
    /// When a caller that met the concurrency limit may come back.
    pub concurrency_retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            burst: Duration::from_millis(200),
            burst_min: 4.0,
            concurrency_retry_after: Duration::from_millis(100),
        }
    }
}

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
#[must_use = "the permit must be released when the request ends"]
pub struct Admitted(EntryKey);

impl Admitted {
    /// Returns the entry.
    #[must_use]
    pub const fn entry(&self) -> EntryKey {
        self.0
    }
}

/// Limits of one entry at one host.
#[derive(Debug, Clone, Default)]
struct EntryState {
    bucket: Option<TokenBucket>,
    concurrency: u32,
    in_flight: u32,
}

/// Limits of all entries at one entry host.
#[derive(Debug, Default)]
pub struct Admission {
    settings: AdmissionSettings,
    entries: Vec<EntryState>,
}

impl Admission {
    /// Creates admission without limits.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
        }
    }

    /// Takes the limits from a new snapshot and the number of live entry hosts that share the
    /// entries' rates; requests under way keep their places.
    pub fn configure(&mut self, now: Timestamp, router: &Router, live_hosts: u32) {
        let settings = self.settings;
        for (key, entry) in router.entries() {
            let state = self.entry_state(key);
            state.configure(now, settings, &entry.limits, live_hosts);
        }
    }

    /// Lets a request in, or says why not.
    ///
    /// # Errors
    ///
    /// Fails if the entry's rate or concurrency limit is reached.
    pub fn admit(&mut self, now: Timestamp, entry: EntryKey) -> Result<Admitted, Rejected> {
        let concurrency_retry_after = self.settings.concurrency_retry_after;
        let state = self.entry_state(entry);
        if state.concurrency > 0 && state.in_flight >= state.concurrency {
            return Err(Rejected {
                reason: Reason::ConcurrencyLimit,
                retry_after: concurrency_retry_after,
            });
        }
        if let Some(bucket) = &mut state.bucket {
            bucket.take(now).map_err(|retry_after| Rejected {
                reason: Reason::RateLimit,
                retry_after,
            })?;
        }
        state.in_flight += 1;
        Ok(Admitted(entry))
    }

    /// Gives a place back.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is given back once")]
    pub fn release(&mut self, permit: Admitted) {
        let state = self.entry_state(permit.0);
        debug_assert!(state.in_flight > 0, "more permits released than issued");
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Returns how many requests of the entry are under way at this host.
    #[must_use]
    pub fn in_flight(&self, entry: EntryKey) -> u32 {
        self.entries.get(entry.index()).map_or(0, |g| g.in_flight)
    }

    fn entry_state(&mut self, entry: EntryKey) -> &mut EntryState {
        let index = entry.index();
        if index >= self.entries.len() {
            self.entries.resize_with(index + 1, EntryState::default);
        }
        &mut self.entries[index]
    }
}

impl EntryState {
    fn configure(
        &mut self,
        now: Timestamp,
        settings: AdmissionSettings,
        limits: &Limits,
        live_hosts: u32,
    ) {
        self.concurrency = limits.concurrency;
        if limits.rate_per_s == 0 {
            self.bucket = None;
            return;
        }
        let rate = f64::from(limits.rate_per_s) / f64::from(live_hosts.max(1));
        let capacity = (rate * settings.burst.as_secs_f64()).max(settings.burst_min.max(1.0));
        match &mut self.bucket {
            Some(bucket) => bucket.set(now, rate, capacity),
            None => self.bucket = Some(TokenBucket::full(now, rate, capacity)),
        }
    }
}

/// A token bucket.
#[derive(Debug, Clone)]
struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    fn full(now: Timestamp, rate: f64, capacity: f64) -> Self {
        Self {
            rate,
            capacity,
            tokens: capacity,
            filled_at: now,
        }
    }

    fn set(&mut self, now: Timestamp, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes a token, or returns when there will be one.
    fn take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
