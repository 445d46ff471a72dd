//! Reads a request's body within the host's memory and the caller's deadline.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ids::{BootClock, Clock, Reason, Timestamp};

use super::reply::{DEFAULT_RETRY_AFTER, Refusal, refuse_for_about};
use crate::memory::Reservation;

/// Window over which the rate of a transfer is measured: long enough for a lost packet to be sent
/// again.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// When to retry a request whose body found no room in memory: the transfer time of a large body
/// over a slow link.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which the rest of a refused body is read, so that the caller receives the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits for reading a body.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyLimits {
    /// Maximum number of bytes.
    pub(super) max_bytes: usize,
    /// Time by which the body must be complete for its request to be answered in time.
    pub(super) deadline: Timestamp,
}

/// Reads the whole `body` and holds it in `reservation`.
///
/// The announced length is reserved at once, so that a body that finds room at its start can also
/// be read to its end. A caller that sends too slowly to finish before the deadline is refused as
/// soon as the measured rate shows that.
pub(super) async fn read(
    mut body: Incoming,
    limits: BodyLimits,
    mut reservation: Reservation,
) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if announced.is_some_and(|len| len > limits.max_bytes) {
        return Err(discard_and_refuse(body, Reason::BodyTooLarge.into()));
    }
    let announced = announced.unwrap_or_default();
    if !reservation.grow_to(announced) {
        return Err(discard_and_refuse(
            body,
            refuse_for_about(Reason::HostMemory, MEMORY_RETRY_AFTER),
        ));
    }
    let mut read = BytesMut::with_capacity(announced);
    let mut rate = TransferRate::new(BootClock.now());
    loop {
        let frame = tokio::time::timeout(RATE_WINDOW, body.frame()).await;
        match frame {
            Ok(None) => return Ok(reservation.hold(read.freeze())),
            Ok(Some(Err(_broken))) => return Err(Reason::BodyTimeout.into()),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let len = read.len() + data.len();
                if len > limits.max_bytes {
                    return Err(discard_and_refuse(body, Reason::BodyTooLarge.into()));
                }
                if !reservation.grow_to(len) {
                    return Err(discard_and_refuse(
                        body,
                        refuse_for_about(Reason::HostMemory, MEMORY_RETRY_AFTER),
                    ));
                }
                read.extend_from_slice(&data);
            }
            Err(_elapsed) => {}
        }
        let left = announced.saturating_sub(read.len());
        if !rate.can_finish(BootClock.now(), read.len(), left, limits.deadline) {
            return Err(discard_and_refuse(
                body,
                refuse_for_about(Reason::BodyTimeout, DEFAULT_RETRY_AFTER),
            ));
        }
    }
}

/// Refuses a body that was not read to its end; a task reads and drops the rest.
fn discard_and_refuse(mut body: Incoming, refusal: Refusal) -> Refusal {
    tokio::task::spawn_local(async move {
        let rest = async { while let Some(Ok(_dropped)) = body.frame().await {} };
        // The connection of a caller that sends for longer is closed.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
    });
    refusal
}

/// Measures how fast a body arrives.
#[derive(Debug, Clone, Copy)]
pub struct TransferRate {
    since: Timestamp,
    /// Number of bytes read at that time.
    bytes_before: usize,
}

impl TransferRate {
    /// Starts to measure at `now`, with no bytes read.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            bytes_before: 0,
        }
    }

    /// Returns whether the remaining `left` bytes can arrive before `deadline` at the measured
    /// rate; `read` bytes have arrived.
    pub fn can_finish(
        &mut self,
        now: Timestamp,
        read: usize,
        left: usize,
        deadline: Timestamp,
    ) -> bool {
        if now >= deadline {
            return false;
        }
        let span = now.since(self.since);
        if span < RATE_WINDOW {
            return true;
        }
        let rate = (read - self.bytes_before) as f64 / span.as_secs_f64();
        (self.since, self.bytes_before) = (now, read);
        left as f64 <= rate * deadline.since(now).as_secs_f64()
    }
}
