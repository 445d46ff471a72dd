//! Permits at upstreams, requested and granted in datagrams.
//!
//! One host of each upstream's failure domain grants its permits. The hosts that are known
//! determine which one, so that it need not be configured. If there are two of them for a while, or
//! none, requests only wait longer: a host that gets no reply decides by its own estimate. Only to
//! a cold upstream it sends nothing then, and it asks no other host, so that one host counts all
//! requests to that upstream. For an upstream with a rate limit, the next host in rank grants a
//! small fraction of it.
//!
//! A host grants no permits at an upstream that it knows to be out of service, also to hosts that have not
//! learnt that.
//!
//! - `client`: requests for permits, and the permits they return.
//! - [`messages`]: the datagrams.

mod client;
pub mod messages;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use direct::{PermitReply, PermitSettings, Permits, RateLimit};
use gate::Metrics;
use gate::counters::Count;
use ids::{BootClock, Clock, Timestamp, UpstreamId};
use prost::Message;
use rand::Rng;
use slog::{Logger, debug};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

pub use self::client::{Admission, Permit};

use self::client::Backoff;
use self::messages::{Acquire, Datagram, Payload, Release, from_ms};
use crate::rate_limit_message::RateLimitMessage;
use crate::view::SharedView;

/// Interval between checks for requests whose deadline has passed.
const TICK: Duration = Duration::from_millis(20);
/// Maximum size of a datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 512;

/// Identifies a request at the permit host.
type RequestKey = (SocketAddr, u64);

/// Requests permits and grants them.
#[derive(Debug)]
pub struct PermitService {
    socket: UdpSocket,
    view: SharedView,
    cfg: PermitSettings,
    upstreams: RefCell<HashMap<UpstreamId, Permits<RequestKey>>>,
    /// Requests of this host that wait for a reply or have a permit.
    requests: RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    backoffs: RefCell<HashMap<SocketAddr, Backoff>>,
    /// Identifier of the next request.
    next_request: Cell<u64>,
    metrics: Arc<Metrics>,
    log: Logger,
}

/// Reply to a request for a permit.
#[derive(Debug)]
struct Reply {
    reply: PermitReply,
    /// The upstream's rate limit as known to the permit host.
    limit: Option<RateLimit>,
}

impl PermitService {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        view: SharedView,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            socket: UdpSocket::bind(address).await?,
            view,
            cfg: PermitSettings::default(),
            upstreams: RefCell::default(),
            requests: RefCell::default(),
            backoffs: RefCell::default(),
            // A reply to a previous incarnation of this host must not match a request of this one.
            next_request: Cell::new(rand::rng().random::<u32>().into()),
            metrics,
            log,
        }))
    }

    /// Receives datagrams.
    pub async fn receive(self: Rc<Self>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (len, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    // An ICMP error may report that the destination of an earlier datagram is
                    // unreachable.
                    debug!(self.log, "receive for permits"; "error" => %e);
                    continue;
                }
            };
            match Datagram::decode(&buf[..len]) {
                Ok(datagram) => self.handle(from, datagram),
                Err(e) => debug!(self.log, "decode for permits"; "peer" => %from, "error" => %e),
            }
        }
    }

    /// Grants permits that expired to other requests, and refuses requests whose deadline has
    /// passed.
    pub async fn tick(self: Rc<Self>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let now = BootClock.now();
            for (upstream, permits) in self.upstreams.borrow_mut().iter_mut() {
                let replies = self.poll(now, upstream, permits);
                self.reply(&replies, &permits.limit());
            }
        }
    }

    /// Grants free permits and refuses requests that can't be answered; all of them if the upstream may
    /// get no requests any more.
    fn poll(
        &self,
        now: Timestamp,
        upstream: &UpstreamId,
        permits: &mut Permits<RequestKey>,
    ) -> Vec<(RequestKey, PermitReply)> {
        if !permits.has_waiting() || self.view.load().may_get_requests(upstream) {
            return permits.poll(now);
        }
        let withdrawn = permits.refuse_waiting();
        for _ in &withdrawn {
            self.metrics.count(Count::PermitsWithdrawn);
        }
        withdrawn
    }

    /// Drops the state of upstreams for which `is_known` is false and at which nobody has a permit.
    pub fn retain(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams
            .borrow_mut()
            .retain(|id, permits| is_known(id) || !permits.is_idle());
    }

    fn handle(&self, from: SocketAddr, datagram: Datagram) {
        let request = datagram.request;
        let now = BootClock.now();
        let limit = datagram.limit.map(|message| message.to_limit(now));
        let reply = match datagram.payload {
            Some(Payload::Acquire(acquire)) => {
                return self.handle_acquire(from, request, &acquire, limit);
            }
            Some(Payload::Release(release)) => {
                return self.handle_release(from, request, &release, limit);
            }
            Some(Payload::Granted(_)) => PermitReply::Granted,
            Some(Payload::Queued(ms)) => PermitReply::Queued {
                expected_time: from_ms(ms),
            },
            Some(Payload::Full(ms)) => PermitReply::Full {
                retry_after: from_ms(ms),
            },
            Some(Payload::RateLimited(ms)) => PermitReply::RateLimited {
                retry_after: from_ms(ms),
            },
            None => return,
        };
        if let Some(tx) = self.requests.borrow().get(&request) {
            // The request may have stopped waiting meanwhile.
            let _ = tx.send(Reply { reply, limit });
        }
    }

    fn handle_acquire(
        &self,
        from: SocketAddr,
        request: u64,
        acquire: &Acquire,
        limit: Option<RateLimit>,
    ) {
        let Ok(upstream) = UpstreamId::new(acquire.upstream.as_str()) else {
            return;
        };
        if !self.view.load().may_get_requests(&upstream) {
            self.metrics.count(Count::PermitsWithdrawn);
            let reply = PermitReply::OUT_OF_SERVICE;
            return self.reply(&[((from, request), reply)], &RateLimit::default());
        }
        let mut all = self.upstreams.borrow_mut();
        let permits = all
            .entry(upstream)
            .or_insert_with(|| Permits::new(acquire.slots, self.cfg));
        let permit_request = acquire.permit_request(limit.unwrap_or_default());
        let key = (from, request);
        let reply = permits.acquire(BootClock.now(), key, &permit_request);
        let mut replies = vec![(key, reply)];
        let displaced = permits.take_displaced();
        for _ in &displaced {
            self.metrics.count(Count::PermitsDisplaced);
        }
        replies.extend(displaced);
        let limit = permits.limit();
        drop(all);
        self.reply(&replies, &limit);
    }

    fn handle_release(
        &self,
        from: SocketAddr,
        request: u64,
        release: &Release,
        limit: Option<RateLimit>,
    ) {
        let Ok(upstream) = UpstreamId::new(release.upstream.as_str()) else {
            return;
        };
        let mut all = self.upstreams.borrow_mut();
        let Some(permits) = all.get_mut(&upstream) else {
            return;
        };
        let now = BootClock.now();
        permits.release(now, (from, request), release.end(), release.report());
        permits.merge_limit(limit.unwrap_or_default());
        let replies = self.poll(now, &upstream, permits);
        let limit = permits.limit();
        drop(all);
        self.reply(&replies, &limit);
    }

    fn reply(&self, replies: &[(RequestKey, PermitReply)], limit: &RateLimit) {
        for &((to, request), reply) in replies {
            self.send(to, request, reply.into(), limit);
        }
    }

    fn send(&self, to: SocketAddr, request: u64, payload: Payload, limit: &RateLimit) {
        let datagram = Datagram {
            request,
            payload: Some(payload),
            limit: RateLimitMessage::new(BootClock.now(), limit),
        };
        let bytes = datagram.encode_to_vec();
        // A datagram that the socket does not accept counts as lost on the way.
        if let Err(e) = self.socket.try_send_to(&bytes, to) {
            debug!(self.log, "send for permits"; "peer" => %to, "error" => %e);
        }
    }
}
