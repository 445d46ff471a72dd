//! Permits at upstreams, asked for and handed out in datagrams.
//!
//! Of each upstream one host of its failure domain hands out the permits; who that is follows from the
//! hosts that are known, so that none has to be named. Two of them for a while, or none, cost waiting
//! and nothing else: a host that gets no reply sends by what it knows itself. Only to a cold upstream it
//! sends nothing then, and it asks no other host, so that what goes there is counted in one place. Of an upstream
//! that limits its requests, the next host in rank hands out a small part.
//!
//! - `ask`: asking for permits, and having one.
//! - `messages`: the datagrams.

mod ask;
mod messages;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use direct::{PermitReply, PermitSettings, Permits, RateLimit};
use gate::Metrics;
use ids::{BootClock, Clock, UpstreamId};
use prost::Message;
use rand::Rng;
use slog::{Logger, debug};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

pub use self::ask::{Admission, Permit};

use self::ask::Silent;
use self::messages::{Ask, Datagram, End, Word, from_ms};
use crate::limit_told::LimitTold;

/// Time between two looks for requests whose time is over.
const TICK: Duration = Duration::from_millis(20);
/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 512;

/// Names a request at the host that hands out permits.
type Asker = (SocketAddr, u64);

/// Asks for permits and hands them out.
#[derive(Debug)]
pub struct PermitService {
    socket: UdpSocket,
    cfg: PermitSettings,
    upstreams: RefCell<HashMap<UpstreamId, Permits<Asker>>>,
    /// Requests of this host that wait for a reply or have a permit.
    asked: RefCell<HashMap<u64, mpsc::UnboundedSender<Replied>>>,
    silent: RefCell<HashMap<SocketAddr, Silent>>,
    /// Names the next request.
    next: Cell<u64>,
    metrics: Arc<Metrics>,
    log: Logger,
}

/// A reply to a question for a permit.
#[derive(Debug)]
struct Replied {
    reply: PermitReply,
    /// What the host that hands out the permits knows of the upstream's limit.
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
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            socket: UdpSocket::bind(address).await?,
            cfg: PermitSettings::default(),
            upstreams: RefCell::default(),
            asked: RefCell::default(),
            silent: RefCell::default(),
            // A reply to the run of this host before must not be taken for one to this run.
            next: Cell::new(rand::rng().random::<u32>().into()),
            metrics,
            log,
        }))
    }

    /// Takes datagrams.
    pub async fn receive(self: Rc<Self>) {
        let mut buf = [0; DATAGRAM_BYTES];
        loop {
            let (len, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    // A host that is gone may be reported to the sender of an earlier datagram.
                    debug!(self.log, "receive for permits"; "error" => %e);
                    continue;
                }
            };
            match Datagram::decode(&buf[..len]) {
                Ok(datagram) => self.take(from, datagram),
                Err(e) => debug!(self.log, "decode for permits"; "peer" => %from, "error" => %e),
            }
        }
    }

    /// Hands out permits that came back by themselves, and refuses requests whose time is over.
    pub async fn tend(self: Rc<Self>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let now = BootClock.now();
            for permits in self.upstreams.borrow_mut().values_mut() {
                let replies = permits.poll(now);
                self.reply(&replies, &permits.limit());
            }
        }
    }

    /// Forgets upstreams that `is_known` refuses and that nobody has a permit at.
    pub fn retain(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams
            .borrow_mut()
            .retain(|id, permits| is_known(id) || !permits.is_idle());
    }

    fn take(&self, from: SocketAddr, datagram: Datagram) {
        let request = datagram.request;
        let now = BootClock.now();
        let limit = datagram.limit.map(|told| told.at(now));
        let reply = match datagram.word {
            Some(Word::Ask(ask)) => return self.asked(from, request, &ask, limit),
            Some(Word::End(end)) => return self.given_back(from, request, &end, limit),
            Some(Word::Go(_)) => PermitReply::Granted,
            Some(Word::Queued(ms)) => PermitReply::Queued {
                expected_time: from_ms(ms),
            },
            Some(Word::Full(ms)) => PermitReply::Full {
                retry_after: from_ms(ms),
            },
            Some(Word::Paced(ms)) => PermitReply::RateLimited {
                retry_after: from_ms(ms),
            },
            None => return,
        };
        if let Some(tx) = self.asked.borrow().get(&request) {
            // The request may have given up waiting just now.
            let _ = tx.send(Replied { reply, limit });
        }
    }

    fn asked(&self, from: SocketAddr, request: u64, ask: &Ask, limit: Option<RateLimit>) {
        let Ok(upstream) = UpstreamId::new(ask.upstream.as_str()) else {
            return;
        };
        let mut all = self.upstreams.borrow_mut();
        let permits = all
            .entry(upstream)
            .or_insert_with(|| Permits::new(ask.slots, self.cfg));
        let wanted = ask.wanted(limit.unwrap_or_default());
        let reply = permits.acquire(BootClock.now(), (from, request), &wanted);
        let limit = permits.limit();
        drop(all);
        self.reply(&[((from, request), reply)], &limit);
    }

    fn given_back(&self, from: SocketAddr, request: u64, end: &End, limit: Option<RateLimit>) {
        let Ok(upstream) = UpstreamId::new(end.upstream.as_str()) else {
            return;
        };
        let mut all = self.upstreams.borrow_mut();
        let Some(permits) = all.get_mut(&upstream) else {
            return;
        };
        let now = BootClock.now();
        permits.release(now, (from, request), end.end(), end.report());
        permits.merge_limit(limit.unwrap_or_default());
        let replies = permits.poll(now);
        let limit = permits.limit();
        drop(all);
        self.reply(&replies, &limit);
    }

    fn reply(&self, replies: &[(Asker, PermitReply)], limit: &RateLimit) {
        for &((to, request), reply) in replies {
            self.send(to, request, reply.into(), limit);
        }
    }

    fn send(&self, to: SocketAddr, request: u64, word: Word, limit: &RateLimit) {
        let datagram = Datagram {
            request,
            word: Some(word),
            limit: LimitTold::new(BootClock.now(), limit),
        };
        let bytes = datagram.encode_to_vec();
        // What the socket does not take is as good as lost on the way.
        if let Err(e) = self.socket.try_send_to(&bytes, to) {
            debug!(self.log, "send for permits"; "peer" => %to, "error" => %e);
        }
    }
}
