//! Connections to upstreams that are kept between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use direct::Registration;
use gate::upstream::{ExchangeError, UpstreamConn};
use ids::{Timestamp, UpstreamId};

/// Longest time for a connection to open: many round trips between failure domains, and less than
/// the shortest objective, so that another upstream can still be asked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest head of an answer.
pub(crate) const HEAD_BYTES: usize = 32 << 10;
/// Time for which a connection is kept if the upstream doesn't say how long it does.
const KEEP: Duration = Duration::from_secs(4);
/// The same if nothing was sent on it yet: upstreams may close such ones sooner.
const KEEP_UNUSED: Duration = Duration::from_secs(1);
/// How much sooner than the upstream a connection is given up, so that a request doesn't meet the
/// upstream's close.
const KEEP_MARGIN: Duration = Duration::from_millis(1_500);
/// Time after which the reset of a new connection has come: a round trip between the failure
/// domains of today's users, and as much for the upstream; a hundredth of the shortest objective.
const RESET_WAIT: Duration = Duration::from_millis(5);
/// Connections kept to one upstream; a host has seldom more requests at one.
const KEPT: usize = 8;

#[derive(Debug)]
struct Resting {
    conn: UpstreamConn,
    until: Timestamp,
}

/// Connections at rest, by upstream.
#[derive(Debug, Default)]
pub struct Connections {
    resting: RefCell<HashMap<UpstreamId, Vec<Resting>>>,
}

impl Connections {
    /// Returns a connection at rest that can be used, the one used last.
    pub async fn take(&self, now: Timestamp, upstream: &UpstreamId) -> Option<UpstreamConn> {
        loop {
            let mut resting = self.resting.borrow_mut().get_mut(upstream)?.pop()?;
            if now < resting.until && resting.conn.is_usable_now().await {
                return Some(resting.conn);
            }
        }
    }

    /// Tells whether a connection at rest is open; it rests no longer for that.
    pub async fn is_any_open(&self, now: Timestamp, upstream: &UpstreamId) -> bool {
        loop {
            let last = self
                .resting
                .borrow_mut()
                .get_mut(upstream)
                .and_then(Vec::pop);
            let Some(mut resting) = last else {
                return false;
            };
            if now >= resting.until || !resting.conn.is_usable_now().await {
                continue;
            }
            let mut all = self.resting.borrow_mut();
            all.entry(upstream.clone()).or_default().push(resting);
            return true;
        }
    }

    /// Opens a connection; none if the upstream closed it at once.
    ///
    /// An upstream that has too many connections takes new ones and resets them. A request that was
    /// written before the reset came may have run as far as anyone can tell, so nothing is written
    /// until the reset would have come.
    ///
    /// # Errors
    ///
    /// Fails if it does not open in time.
    pub async fn open(&self, address: SocketAddr) -> Result<Option<UpstreamConn>, ExchangeError> {
        let mut conn = UpstreamConn::open(address, CONNECT_TIMEOUT, HEAD_BYTES).await?;
        tokio::time::sleep(RESET_WAIT).await;
        let is_usable = conn.is_usable_now().await;
        Ok(is_usable.then_some(conn))
    }

    /// Tells whether a connection to `upstream` is at rest.
    #[must_use]
    pub fn has(&self, now: Timestamp, upstream: &UpstreamId) -> bool {
        let resting = self.resting.borrow();
        resting
            .get(upstream)
            .is_some_and(|kept| kept.last().is_some_and(|r| now < r.until))
    }

    /// Keeps a connection that no request has used yet, of which the upstream has said nothing, for a moment.
    pub fn keep_unused(&self, now: Timestamp, upstream: &UpstreamId, conn: UpstreamConn) {
        self.keep(now, upstream, conn, Some(KEEP_MARGIN + KEEP_UNUSED));
    }

    /// Keeps a connection for the next request; `keep_alive` is what the upstream said.
    pub fn keep(
        &self,
        now: Timestamp,
        upstream: &UpstreamId,
        conn: UpstreamConn,
        keep_alive: Option<Duration>,
    ) {
        let keep = keep_alive.map_or(KEEP, |k| k.saturating_sub(KEEP_MARGIN));
        if keep.is_zero() {
            return;
        }
        let mut all = self.resting.borrow_mut();
        let kept = all.entry(upstream.clone()).or_default();
        kept.retain(|r| now < r.until);
        if kept.len() < KEPT {
            kept.push(Resting {
                conn,
                until: now + keep,
            });
        }
    }

    /// Closes the connections to upstreams that `is_known` refuses.
    pub fn retain(
        &self,
        is_known: impl Fn(&Registration) -> bool,
        roster: &direct::UpstreamRegistry,
    ) {
        let known = |id: &UpstreamId| roster.get(id).is_some_and(&is_known);
        self.resting.borrow_mut().retain(|id, _| known(id));
    }
}
