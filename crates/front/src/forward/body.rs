//! Reading a request's body within the host's memory and the caller's time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ids::{BootClock, Clock, Reason, Timestamp};

use super::reply::{COME_BACK, Refused, come_back};
use crate::memory::Reservation;

/// Time over which the rate is measured at which a caller sends: long enough for a lost packet to be sent again.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// When a caller should come back whose body found no room: the time of a large one over a weak link.
const ROOM_COME_BACK: Duration = Duration::from_secs(1);
/// Time within which the rest of a refused body is read, so that the caller gets to see the refusal.
const DISCARD_WITHIN: Duration = Duration::from_secs(2);

/// What a body may take.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyBounds {
    /// Most bytes.
    pub(super) most: usize,
    /// Until when it must be there for its request to be answered in time.
    pub(super) deadline: Timestamp,
}

/// Reads `body` whole, and holds it in what `room` reserves.
///
/// Its announced length is reserved at once, so that a body which finds room at its beginning is also read to its
/// end. A caller that sends so slowly that the rest can't come before the deadline is refused when that shows.
pub(super) async fn read(
    mut body: Incoming,
    bounds: BodyBounds,
    mut room: Reservation,
) -> Result<Bytes, Refused> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if announced.is_some_and(|len| len > bounds.most) {
        return Err(refuse(body, Reason::BodyTooLarge.into()));
    }
    let announced = announced.unwrap_or_default();
    if !room.cover(announced) {
        return Err(refuse(body, come_back(Reason::HostMemory, ROOM_COME_BACK)));
    }
    let mut read = BytesMut::with_capacity(announced);
    let mut pace = Pace::new(BootClock.now());
    loop {
        let frame = tokio::time::timeout(RATE_SPAN, body.frame()).await;
        match frame {
            Ok(None) => return Ok(room.hold(read.freeze())),
            Ok(Some(Err(_broken))) => return Err(Reason::BodyTimeout.into()),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let len = read.len() + data.len();
                if len > bounds.most {
                    return Err(refuse(body, Reason::BodyTooLarge.into()));
                }
                if !room.cover(len) {
                    return Err(refuse(body, come_back(Reason::HostMemory, ROOM_COME_BACK)));
                }
                read.extend_from_slice(&data);
            }
            Err(_elapsed) => {}
        }
        let left = announced.saturating_sub(read.len());
        if !pace.is_enough(BootClock.now(), read.len(), left, bounds.deadline) {
            return Err(refuse(body, come_back(Reason::BodyTimeout, COME_BACK)));
        }
    }
}

/// Refuses a body of which not all was read; the rest is read and dropped meanwhile.
fn refuse(mut body: Incoming, refused: Refused) -> Refused {
    tokio::task::spawn_local(async move {
        let rest = async { while let Some(Ok(_dropped)) = body.frame().await {} };
        // Whoever sends longer is cut off.
        let _ = tokio::time::timeout(DISCARD_WITHIN, rest).await;
    });
    refused
}

/// How fast a body comes.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    since: Timestamp,
    /// Bytes that were there then.
    before: usize,
}

impl Pace {
    /// Begins to measure at `now`, when nothing was there.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            before: 0,
        }
    }

    /// Tells whether the `left` bytes that are missing can come before `deadline`, as fast as those before; `read`
    /// are there.
    pub fn is_enough(
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
        if span < RATE_SPAN {
            return true;
        }
        let rate = (read - self.before) as f64 / span.as_secs_f64();
        (self.since, self.before) = (now, read);
        left as f64 <= rate * deadline.since(now).as_secs_f64()
    }
}
