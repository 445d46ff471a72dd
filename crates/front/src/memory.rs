//! How much memory the bodies of requests and answers may take at a host.
//!
//! Requests with large bodies may take a part of it only, so that others always find room. Answers that
//! are ready are never refused: they count, and leave less room for new requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Part of the host's memory that bodies may take: the rest is for what the host knows, for buffers of
/// connections, and for what the allocator can't give back.
const BODIES_PART: f64 = 0.35;
/// Part of that which large bodies may take together.
const LARGE_PART: f64 = 0.6;

/// Whether a request may have to wait for room so that others find some.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodySize {
    /// One of the many that are small.
    Small,
    /// A large one.
    Large,
}

/// The bytes that bodies take at a host, and how many they may.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    all: Arc<Account>,
    large: Arc<Account>,
}

#[derive(Debug)]
struct Account {
    held: AtomicUsize,
    most: usize,
}

impl Account {
    fn new(most: f64) -> Arc<Self> {
        Arc::new(Self {
            held: AtomicUsize::new(0),
            most: most as usize,
        })
    }

    /// Adds `bytes` if they fit; tells whether they did.
    fn take(&self, bytes: usize) -> bool {
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.most);
        let order = Ordering::Relaxed;
        self.held.fetch_update(order, order, add).is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl MemoryBudget {
    /// Builds the budget of a host that may use `host_bytes` of memory.
    #[must_use]
    pub fn new(host_bytes: usize) -> Self {
        let all = host_bytes as f64 * BODIES_PART;
        Self {
            all: Account::new(all),
            large: Account::new(all * LARGE_PART),
        }
    }

    /// Returns how many bytes are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.all.held.load(Ordering::Relaxed)
    }

    /// Returns how many bytes may be held before requests are refused.
    #[must_use]
    pub fn most(&self) -> usize {
        self.all.most
    }

    /// Begins to hold a request's body, of which nothing is there yet.
    #[must_use]
    pub fn request(&self, size: BodySize) -> Reservation {
        Reservation {
            budget: self.clone(),
            size,
            bytes: 0,
        }
    }

    /// Holds an answer until its last byte has left, whether or not there is room.
    #[must_use]
    pub fn hold_answer(&self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        self.all.held.fetch_add(body.len(), Ordering::Relaxed);
        let reservation = Reservation {
            budget: self.clone(),
            size: BodySize::Small,
            bytes: body.len(),
        };
        reservation.hold(body)
    }
}

/// Bytes that are held, or are about to be.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    size: BodySize,
    bytes: usize,
}

impl Reservation {
    /// Makes sure that the reservation covers `bytes`; tells whether there is room for them.
    pub fn cover(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let is_large = self.size == BodySize::Large;
        if is_large && !self.budget.large.take(more) {
            return false;
        }
        if !self.budget.all.take(more) {
            if is_large {
                self.budget.large.give_back(more);
            }
            return false;
        }
        self.bytes += more;
        true
    }

    /// Returns `body` as bytes that give the reservation back when the last copy of them is gone.
    #[must_use]
    pub fn hold(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(Held {
            body,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.all.give_back(self.bytes);
        if self.size == BodySize::Large {
            self.budget.large.give_back(self.bytes);
        }
    }
}

/// A body and what it takes of the budget.
struct Held {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
