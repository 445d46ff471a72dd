//! Memory budget for the bodies of requests and answers at a host.
//!
//! Large request bodies may take only a fraction of the budget, so that small requests always find
//! room. Small answers are never refused: they count against the budget and leave less room for new
//! requests. What is beyond a small answer's size has a fraction of the budget of its own, as an
//! upstream in trouble may send bytes without end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use gate::upstream::BodyRoom;

use crate::upstream_client::MAX_ANSWER_BYTES;

/// Fraction of the host's memory that bodies may take. The rest is for the host's state, for
/// buffers of connections, and for what the allocator can't return.
const BODIES_FRACTION: f64 = 0.35;
/// Fraction of the bodies' memory that large bodies may take together.
const LARGE_BODIES_FRACTION: f64 = 0.6;
/// Fraction of the bodies' memory that answers may take together beyond [`SMALL_ANSWER_BYTES`] each.
const LARGE_ANSWERS_FRACTION: f64 = 0.3;
/// Size up to which an answer always finds room.
const SMALL_ANSWER_BYTES: usize = 64 << 10;
/// Fraction of the large answers' memory that one answer may take whose head declares no length, as
/// its bytes may have no end.
const UNDECLARED_ANSWER_FRACTION: f64 = 0.25;

/// Size class of a request body. Large bodies have a lower limit, so that small ones find room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodySize {
    /// A small body, as most are.
    Small,
    /// A large body.
    Large,
}

/// Number of bytes that bodies take at a host, and its limits.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    all: Arc<ByteCounter>,
    large: Arc<ByteCounter>,
    /// What answers take beyond [`SMALL_ANSWER_BYTES`] each.
    large_answers: Arc<ByteCounter>,
}

#[derive(Debug)]
struct ByteCounter {
    held: AtomicUsize,
    max: usize,
}

impl ByteCounter {
    fn new(max: f64) -> Arc<Self> {
        Arc::new(Self {
            held: AtomicUsize::new(0),
            max: max as usize,
        })
    }

    /// Adds `bytes` if they fit; returns whether they did.
    fn try_add(&self, bytes: usize) -> bool {
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.max);
        let order = Ordering::Relaxed;
        self.held.fetch_update(order, order, add).is_ok()
    }

    fn subtract(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl MemoryBudget {
    /// Builds the budget of a host that may use `host_bytes` of memory.
    #[must_use]
    pub fn new(host_bytes: usize) -> Self {
        let all = host_bytes as f64 * BODIES_FRACTION;
        Self {
            all: ByteCounter::new(all),
            large: ByteCounter::new(all * LARGE_BODIES_FRACTION),
            large_answers: ByteCounter::new(all * LARGE_ANSWERS_FRACTION),
        }
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.all.held.load(Ordering::Relaxed)
    }

    /// Returns the limit from which requests are refused.
    #[must_use]
    pub fn max(&self) -> usize {
        self.all.max
    }

    /// Returns an empty reservation for a request's body.
    #[must_use]
    pub fn reservation(&self, size: BodySize) -> Reservation {
        Reservation {
            budget: self.clone(),
            size,
            bytes: 0,
        }
    }

    /// Returns an empty reservation for an answer that is about to be read.
    #[must_use]
    pub fn answer(&self) -> AnswerReservation {
        AnswerReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Counts an answer until its last byte has been sent, even beyond the limit.
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

/// Bytes reserved in a [`MemoryBudget`]; dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    size: BodySize,
    bytes: usize,
}

impl Reservation {
    /// Grows the reservation to `bytes` if needed; returns whether there is room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        if additional == 0 {
            return true;
        }
        let is_large = self.size == BodySize::Large;
        if is_large && !self.budget.large.try_add(additional) {
            return false;
        }
        if !self.budget.all.try_add(additional) {
            if is_large {
                self.budget.large.subtract(additional);
            }
            return false;
        }
        self.bytes += additional;
        true
    }

    /// Returns `body` as bytes that release the reservation when their last copy is dropped.
    #[must_use]
    pub fn hold(self, body: Bytes) -> Bytes {
        hold(body, self)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.all.subtract(self.bytes);
        if self.size == BodySize::Large {
            self.budget.large.subtract(self.bytes);
        }
    }
}

/// Bytes that an answer takes in a [`MemoryBudget`] while it is read and sent; dropping it releases
/// them.
#[derive(Debug)]
pub struct AnswerReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl AnswerReservation {
    /// Returns `body` as bytes that release the reservation when their last copy is dropped.
    #[must_use]
    pub fn hold(self, body: Bytes) -> Bytes {
        hold(body, self)
    }

    /// Makes room for `bytes`, of which one answer may have `max`.
    fn extend(&mut self, bytes: usize, max: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        if additional == 0 {
            return true;
        }
        let additional_large = large_part(bytes) - large_part(self.bytes);
        if bytes > max || !self.budget.large_answers.try_add(additional_large) {
            return false;
        }
        self.budget
            .all
            .held
            .fetch_add(additional, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl BodyRoom for AnswerReservation {
    fn reserve(&mut self, bytes: usize) -> bool {
        self.extend(bytes, MAX_ANSWER_BYTES)
    }

    fn grow_to(&mut self, bytes: usize) -> bool {
        let large = self.budget.large_answers.max as f64;
        let max = (large * UNDECLARED_ANSWER_FRACTION) as usize;
        self.extend(bytes, max.min(MAX_ANSWER_BYTES))
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.budget.all.subtract(self.bytes);
        self.budget.large_answers.subtract(large_part(self.bytes));
    }
}

/// Returns by how much an answer of `bytes` is larger than a small one.
const fn large_part(bytes: usize) -> usize {
    bytes.saturating_sub(SMALL_ANSWER_BYTES)
}

/// Returns `body` as bytes that release `reservation` when their last copy is dropped.
fn hold<R: Send + 'static>(body: Bytes, reservation: R) -> Bytes {
    if body.is_empty() {
        return body;
    }
    Bytes::from_owner(HeldBody {
        body,
        _reservation: reservation,
    })
}

/// A body and its reservation.
struct HeldBody<R> {
    body: Bytes,
    _reservation: R,
}

impl<R> AsRef<[u8]> for HeldBody<R> {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
