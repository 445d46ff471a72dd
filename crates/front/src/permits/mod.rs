//! Permits at upstreams, asked for and handed out in datagrams.
//!
//! Of each upstream one host of its failure domain hands out the permits; who that is follows from the
//! hosts that are known, so that none has to be named. Two of them for a while, or none, cost waiting
//! and nothing else: a host that gets no reply sends by what it knows itself. Only to a cold upstream it
//! sends nothing then, and it asks no other host, so that what goes there is counted in one place. Of an upstream
//! that limits its requests, the next host in rank hands out a small part.

mod messages;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use direct::{
    Limit, LoadReport, PermitEnd, PermitHost, PermitRequest, PermitSettings, Permits, Registered,
    Reply,
};
use gate::Metrics;
use gate::counters::Count;
use ids::{BootClock, Clock, Timestamp, UpstreamId};
use prost::Message;
use rand::Rng;
use slog::{Logger, debug};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use self::messages::{Ask, Datagram, End, Word, from_ms};
use crate::limit_told::LimitTold;
use crate::view::View;

/// Time for the reply to a question, which is given at once: ten ways between the failure domains of
/// today's users, and the turn of a host that has a tenth of a core.
const REPLY_WITHIN: Duration = Duration::from_millis(30);
/// Time for which a host that did not reply is not asked, after the first time; it doubles.
const SILENT_MIN: Duration = Duration::from_millis(500);
/// The longest such time.
const SILENT_MAX: Duration = Duration::from_secs(16);
/// Time between two looks for requests whose time is over.
const TICK: Duration = Duration::from_millis(20);
/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 512;
/// Time after which room is looked for again at a cold upstream whose permits nobody hands out: a third of
/// what today's upstreams need to become warm.
const COLD_COME_BACK: Duration = Duration::from_secs(1);
/// Hosts that are asked one after the other for a permit at an upstream that limits its requests.
const LIMITED_TURNS: u32 = 2;
/// Beyond the expected time, the part of it for which a request waits for its turn: a reply may be
/// lost.
const PATIENCE: f64 = 1.5;

/// Names a request at the host that hands out permits.
type Asker = (SocketAddr, u64);

#[derive(Debug, Clone, Copy)]
struct Silent {
    until: Timestamp,
    times: u32,
}

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
    reply: Reply,
    /// What the host that hands out the permits knows of the upstream's limit.
    limit: Option<Limit>,
}

/// What became of a question for a permit.
#[derive(Debug)]
pub enum Admission {
    /// The request may go.
    Go(Permit),
    /// It can't be answered in time.
    Full {
        /// Time until there is room.
        room_in: Duration,
    },
    /// It may not go, as the upstream is cold or limits its requests, and gets no more for now.
    Paced {
        /// Time until there is room.
        room_in: Duration,
        /// What the host that hands out the permits knows of the upstream's limit.
        limit: Option<Limit>,
    },
    /// Nobody could be asked.
    Unknown,
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
            Some(Word::Go(_)) => Reply::Go,
            Some(Word::Queued(ms)) => Reply::Queued {
                expected: from_ms(ms),
            },
            Some(Word::Full(ms)) => Reply::Full {
                room_in: from_ms(ms),
            },
            Some(Word::Paced(ms)) => Reply::Paced {
                room_in: from_ms(ms),
            },
            None => return,
        };
        if let Some(tx) = self.asked.borrow().get(&request) {
            // The request may have given up waiting just now.
            let _ = tx.send(Replied { reply, limit });
        }
    }

    fn asked(&self, from: SocketAddr, request: u64, ask: &Ask, limit: Option<Limit>) {
        let Ok(upstream) = UpstreamId::new(ask.upstream.as_str()) else {
            return;
        };
        let mut all = self.upstreams.borrow_mut();
        let permits = all
            .entry(upstream)
            .or_insert_with(|| Permits::new(ask.slots, self.cfg));
        let wanted = ask.wanted(limit.unwrap_or_default());
        let reply = permits.ask(BootClock.now(), (from, request), &wanted);
        let limit = permits.limit();
        drop(all);
        self.reply(&[((from, request), reply)], &limit);
    }

    fn given_back(&self, from: SocketAddr, request: u64, end: &End, limit: Option<Limit>) {
        let Ok(upstream) = UpstreamId::new(end.upstream.as_str()) else {
            return;
        };
        let mut all = self.upstreams.borrow_mut();
        let Some(permits) = all.get_mut(&upstream) else {
            return;
        };
        let now = BootClock.now();
        permits.ended(now, (from, request), end.end(), end.report());
        permits.hear_limit(limit.unwrap_or_default());
        let replies = permits.poll(now);
        let limit = permits.limit();
        drop(all);
        self.reply(&replies, &limit);
    }

    fn reply(&self, replies: &[(Asker, Reply)], limit: &Limit) {
        for &((to, request), reply) in replies {
            self.send(to, request, reply.into(), limit);
        }
    }

    fn send(&self, to: SocketAddr, request: u64, word: Word, limit: &Limit) {
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

    /// Returns the host that hands out the permits at `target`, of those that are not silent.
    fn host_of(&self, view: &View, target: &Registered, now: Timestamp) -> Option<PermitHost> {
        let hosts = view.permit_hosts.get(&target.domain)?;
        hosts.host_of(&target.id, |address| self.is_silent(address, now))
    }

    /// Returns the host that hands out the permits at `target` by the hosts' rows alone, if it is not
    /// silent.
    fn only_host_of(&self, view: &View, target: &Registered, now: Timestamp) -> Option<PermitHost> {
        let hosts = view.permit_hosts.get(&target.domain)?;
        let host = hosts.host_of(&target.id, |_| false)?;
        (!self.is_silent(host.address, now)).then_some(host)
    }

    fn is_silent(&self, host: SocketAddr, now: Timestamp) -> bool {
        let silent = self.silent.borrow();
        silent.get(&host).is_some_and(|s| now < s.until)
    }

    /// Asks for a permit at `target`; at one that is known to be cold, what is not allowed is refused.
    ///
    /// Where the upstream is known to limit its requests, another host is asked if the first one is silent.
    pub async fn admit(
        self: &Rc<Self>,
        view: &View,
        target: &Registered,
        wanted: &PermitRequest,
    ) -> Admission {
        let is_cold = wanted.cold.is_some_and(|cold| !cold.left.is_zero());
        if is_cold {
            let host = self.only_host_of(view, target, BootClock.now());
            return match self.ask(host, target, wanted).await {
                Admission::Unknown => Admission::Paced {
                    room_in: COLD_COME_BACK,
                    limit: None,
                },
                known => known,
            };
        }
        let is_limited = wanted.limit.per_s().is_some();
        let turns = if is_limited { LIMITED_TURNS } else { 1 };
        for _ in 0..turns {
            let host = self.host_of(view, target, BootClock.now());
            match self.ask(host, target, wanted).await {
                Admission::Unknown => {}
                known => return known,
            }
        }
        Admission::Unknown
    }

    async fn ask(
        self: &Rc<Self>,
        host: Option<PermitHost>,
        target: &Registered,
        wanted: &PermitRequest,
    ) -> Admission {
        let Some(PermitHost {
            address: host,
            passed_over,
        }) = host
        else {
            return Admission::Unknown;
        };
        let wanted = PermitRequest {
            passed_over,
            ..*wanted
        };
        let is_cold = wanted.cold.is_some_and(|cold| !cold.left.is_zero());
        let mut is_bounded = is_cold || wanted.limit.per_s().is_some();
        let request = self.next.get();
        self.next.set(request + 1);
        let (tx, mut replies) = mpsc::unbounded_channel();
        self.asked.borrow_mut().insert(request, tx);
        let mut permit = Permit {
            service: Rc::clone(self),
            host,
            upstream: target.id.clone(),
            request,
            end: PermitEnd::Unknown,
            report: None,
            limit: wanted.limit,
        };
        let ask = Ask::new(target.id.to_string(), target.slots, &wanted);
        self.send(host, request, Word::Ask(ask), &wanted.limit);
        let mut within = REPLY_WITHIN;
        let mut has_replied = false;
        loop {
            let reply = tokio::time::timeout(within, replies.recv()).await;
            if matches!(reply, Ok(Some(_))) {
                self.silent.borrow_mut().remove(&host);
            }
            let Ok(Some(Replied { reply, limit })) = reply else {
                // The reply that it may go was lost.
                if has_replied && !is_bounded {
                    return Admission::Go(permit);
                }
                self.note_silent(host, BootClock.now());
                return Admission::Unknown;
            };
            match reply {
                Reply::Go => return Admission::Go(permit),
                Reply::Full { room_in } => {
                    permit.forget();
                    return Admission::Full { room_in };
                }
                Reply::Paced { room_in } => {
                    permit.forget();
                    return Admission::Paced { room_in, limit };
                }
                Reply::Queued { expected } => {
                    has_replied = true;
                    is_bounded |= limit.is_some_and(|limit| limit.per_s().is_some());
                    within = expected.mul_f64(PATIENCE) + REPLY_WITHIN;
                }
            }
        }
    }

    fn note_silent(&self, host: SocketAddr, now: Timestamp) {
        self.metrics.count(Count::PermitsSilent);
        let mut all = self.silent.borrow_mut();
        let silent = all.entry(host).or_insert(Silent {
            until: now,
            times: 0,
        });
        let pause = SILENT_MIN * (1 << silent.times.min(5));
        silent.until = now + pause.min(SILENT_MAX);
        silent.times += 1;
    }
}

/// A permit at an upstream, or the question for one; dropping it gives it back.
#[derive(Debug)]
pub struct Permit {
    service: Rc<PermitService>,
    host: SocketAddr,
    upstream: UpstreamId,
    request: u64,
    end: PermitEnd,
    report: Option<LoadReport>,
    limit: Limit,
}

impl Permit {
    /// Notes how the request ended, what the upstream said of its load, and what is known of its limit now.
    pub fn ended(&mut self, end: PermitEnd, report: Option<LoadReport>, limit: Limit) {
        self.end = end;
        self.report = report;
        self.limit = limit;
    }

    /// Drops a question that was refused: there is nothing to give back.
    fn forget(&mut self) {
        self.service.asked.borrow_mut().remove(&self.request);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self
            .service
            .asked
            .borrow_mut()
            .remove(&self.request)
            .is_none()
        {
            return;
        }
        let end = End::new(self.upstream.to_string(), self.end, self.report);
        let word = Word::End(end);
        self.service
            .send(self.host, self.request, word, &self.limit);
    }
}
