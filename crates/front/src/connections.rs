//! Pool of idle connections to upstreams.
//!
//! A request that an upstream rejects and that is sent to it again needs another connection
//! ([`gate::upstream::carried`]). The pool uses as many connections to an upstream in turn as a request
//! has needed there lately, so that all of them stay open; where no request is sent again, that is the
//! one used last, and the others expire.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use direct::Registration;
use gate::upstream::{ConnSettings, ExchangeError, UpstreamConn};
use ids::{Timestamp, UpstreamId};

/// Timeout for opening a connection: many round trips between failure domains, and less than the
/// shortest objective, so that another upstream can still be tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the head of an answer.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Time for which an idle connection is kept if the upstream names no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time for which an idle connection is kept if nothing was sent on it yet: upstreams may close
/// such connections sooner.
const UNUSED_KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Margin by which a connection is dropped before the upstream's keep-alive timeout, so that a
/// request does not race with the upstream's close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// Time after which the reset of a new connection has arrived: a round trip between the failure
/// domains of today's users, and as much for the upstream; a hundredth of the shortest objective.
const RESET_WAIT: Duration = Duration::from_millis(5);
/// Maximum number of idle connections to one upstream; a host seldom has more requests at one.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// Time for which the pool keeps as many connections in use as a request has needed: two of the times
/// for which idle connections are kept by default.
const ROTATION_TIME: Duration = Duration::from_secs(8);

#[derive(Debug)]
struct IdleConnection {
    conn: UpstreamConn,
    expires_at: Timestamp,
}

/// Idle connections to one upstream.
#[derive(Debug, Default)]
struct IdleConnections {
    /// The connections, the one used last at the end.
    idle: Vec<IdleConnection>,
    /// Number of connections that are used in turn, until `rotated_until`.
    rotated: usize,
    rotated_until: Timestamp,
}

impl IdleConnections {
    /// Removes the connection that the request `id` is to be sent on.
    fn take(&mut self, now: Timestamp, id: &str) -> Option<IdleConnection> {
        self.idle.retain(|idle| now < idle.expires_at);
        let may_carry = |idle: &IdleConnection| idle.conn.may_carry(now, id);
        let carried = self.idle.iter().filter(|idle| !may_carry(idle)).count();
        if carried > 0 {
            self.rotate_over(now, carried + 1);
        }
        let rotated = if now < self.rotated_until {
            self.rotated
        } else {
            1
        };
        let first = self.idle.len().saturating_sub(rotated);
        let in_turn = self.idle[first..].iter().position(may_carry);
        let chosen = match in_turn {
            Some(i) => first + i,
            None => self.idle.iter().rposition(may_carry)?,
        };
        Some(self.idle.remove(chosen))
    }

    fn rotate_over(&mut self, now: Timestamp, connections: usize) {
        if now >= self.rotated_until {
            self.rotated = 0;
        }
        self.rotated = self.rotated.max(connections);
        self.rotated_until = now + ROTATION_TIME;
    }
}

/// Idle connections by upstream.
#[derive(Debug)]
pub struct ConnectionPool {
    /// Local address of new connections; chosen by the system if there is none.
    source: Option<IpAddr>,
    idle: RefCell<HashMap<UpstreamId, IdleConnections>>,
}

impl ConnectionPool {
    /// Creates a pool that opens connections from `source`, if given.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        Self {
            source,
            idle: RefCell::default(),
        }
    }

    /// Removes and returns an idle connection that is still usable and may carry the request `id`.
    pub async fn take(
        &self,
        now: Timestamp,
        upstream: &UpstreamId,
        id: &str,
    ) -> Option<UpstreamConn> {
        loop {
            let taken = self.idle.borrow_mut().get_mut(upstream)?.take(now, id);
            let mut idle = taken?;
            if idle.conn.is_usable_now().await {
                return Some(idle.conn);
            }
        }
    }

    /// Returns whether an idle connection is open. Its expiry stays the same.
    pub async fn has_open(&self, now: Timestamp, upstream: &UpstreamId) -> bool {
        loop {
            let Some(mut idle) = self.pop(upstream) else {
                return false;
            };
            if now >= idle.expires_at || !idle.conn.is_usable_now().await {
                continue;
            }
            let mut all = self.idle.borrow_mut();
            all.entry(upstream.clone()).or_default().idle.push(idle);
            return true;
        }
    }

    fn pop(&self, upstream: &UpstreamId) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(upstream)?.idle.pop()
    }

    /// Opens a connection; returns none if the upstream closed it at once.
    ///
    /// An upstream that has too many connections accepts new ones and resets them. A request that
    /// was written before the reset arrived may have run, so nothing is written until the reset
    /// would have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the connection does not open in time.
    pub async fn open(&self, address: SocketAddr) -> Result<Option<UpstreamConn>, ExchangeError> {
        self.connect_usable(address, CONNECT_TIMEOUT).await
    }

    /// Does the same as [`Self::open`], within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the connection does not open in time.
    pub async fn connect_usable(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Option<UpstreamConn>, ExchangeError> {
        let mut conn = self.connect(address, timeout).await?;
        tokio::time::sleep(RESET_WAIT).await;
        let is_usable = conn.is_usable_now().await;
        Ok(is_usable.then_some(conn))
    }

    async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<UpstreamConn, ExchangeError> {
        let cfg = ConnSettings {
            timeout,
            header_bytes: MAX_HEAD_BYTES,
            source: self.source,
            ..ConnSettings::default()
        };
        UpstreamConn::open_with(address, cfg).await
    }

    /// Returns whether there is an idle connection to `upstream` that has not expired.
    #[must_use]
    pub fn has_idle(&self, now: Timestamp, upstream: &UpstreamId) -> bool {
        let idle = self.idle.borrow();
        idle.get(upstream)
            .is_some_and(|kept| kept.idle.iter().any(|r| now < r.expires_at))
    }

    /// Closes the idle connections to `upstream`.
    pub fn drop_idle(&self, upstream: &UpstreamId) {
        self.idle.borrow_mut().remove(upstream);
    }

    /// Keeps a connection for a short time that no request has used yet, so that the upstream has
    /// not named a keep-alive timeout for it.
    pub fn keep_unused(&self, now: Timestamp, upstream: &UpstreamId, conn: UpstreamConn) {
        self.keep(
            now,
            upstream,
            conn,
            Some(KEEP_ALIVE_MARGIN + UNUSED_KEEP_ALIVE),
        );
    }

    /// Keeps a connection for the next request; `keep_alive` is the timeout that the upstream
    /// named.
    pub fn keep(
        &self,
        now: Timestamp,
        upstream: &UpstreamId,
        conn: UpstreamConn,
        keep_alive: Option<Duration>,
    ) {
        let keep = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |k| k.saturating_sub(KEEP_ALIVE_MARGIN));
        if keep.is_zero() {
            return;
        }
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(upstream.clone()).or_default();
        kept.idle.retain(|r| now < r.expires_at);
        if kept.idle.len() < MAX_IDLE_PER_UPSTREAM {
            kept.idle.push(IdleConnection {
                conn,
                expires_at: now + keep,
            });
        }
    }

    /// Closes the connections to upstreams that are not registered or for which `is_known` is
    /// false.
    pub fn retain(
        &self,
        is_known: impl Fn(&Registration) -> bool,
        registry: &direct::UpstreamRegistry,
    ) {
        let known = |id: &UpstreamId| registry.get(id).is_some_and(&is_known);
        self.idle.borrow_mut().retain(|id, _| known(id));
    }
}
