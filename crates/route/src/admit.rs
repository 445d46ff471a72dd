//! Rate and concurrency limits of entries at one entry host.
//!
//! An entry's rate limit covers all entry hosts. Each host takes an equal share of it, given the
//! number of live hosts; `docs/LIMITS.md` describes the trade-offs.

use std::time::Duration;

use catalogue::Limits;
use ids::{ArenaKey, Reason, Timestamp};

use crate::key::EntryKey;
use crate::router::Router;

/// Settings of [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Time over which a host may accumulate unused rate.
    pub burst: Duration,
    /// Minimum burst of a host in requests, however small its share of a rate is.
    pub burst_min: f64,
    /// Retry delay for a caller that exceeded the concurrency limit.
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

/// Refusal of a request by the limits; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// Permit for one request under an entry's limits; given back by [`Admission::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the permit must be released when the request ends"]
pub struct AdmissionPermit(EntryKey);

impl AdmissionPermit {
    /// Returns the entry.
    #[must_use]
    pub const fn entry(&self) -> EntryKey {
        self.0
    }
}

/// Limits and usage of one entry at one host.
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
    /// Creates an admission without limits.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
        }
    }

    /// Takes the limits from a new snapshot and the number of live entry hosts that share the
    /// entries' rates. Requests in flight keep their permits.
    pub fn configure(&mut self, now: Timestamp, router: &Router, live_hosts: u32) {
        let settings = self.settings;
        for (key, entry) in router.entries() {
            let state = self.entry_state(key);
            state.configure(now, settings, &entry.limits, live_hosts);
        }
    }

    /// Admits a request or returns the reason of the refusal.
    ///
    /// # Errors
    ///
    /// Fails if the entry's rate or concurrency limit is reached.
    pub fn admit(&mut self, now: Timestamp, entry: EntryKey) -> Result<AdmissionPermit, Rejection> {
        let concurrency_retry_after = self.settings.concurrency_retry_after;
        let state = self.entry_state(entry);
        if state.concurrency > 0 && state.in_flight >= state.concurrency {
            return Err(Rejection {
                reason: Reason::ConcurrencyLimit,
                retry_after: concurrency_retry_after,
            });
        }
        if let Some(bucket) = &mut state.bucket {
            bucket.take(now).map_err(|retry_after| Rejection {
                reason: Reason::RateLimit,
                retry_after,
            })?;
        }
        state.in_flight += 1;
        Ok(AdmissionPermit(entry))
    }

    /// Releases a permit.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is released once")]
    pub fn release(&mut self, permit: AdmissionPermit) {
        let state = self.entry_state(permit.0);
        debug_assert!(state.in_flight > 0, "more permits released than issued");
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Returns how many requests of the entry are in flight at this host.
    #[must_use]
    pub fn in_flight(&self, entry: EntryKey) -> u32 {
        self.entries.get(entry.index()).map_or(0, |s| s.in_flight)
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
    /// Tokens per second.
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

    /// Takes a token, or returns the time until one is available.
    fn take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
