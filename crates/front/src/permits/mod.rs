//! Permits at upstreams, asked for and handed out in datagrams.
//!
//! Of each upstream one host of its failure domain hands out the permits; who that is follows from the
//! hosts that are known, so that none has to be named. Two of them for a while, or none, cost waiting
//! and nothing else: a host that gets no reply sends by what it knows itself.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use direct::{LoadReport, PermitRequest, PermitSettings, Permits, Rank, Registered, Reply};
use gate::Metrics;
use gate::counters::Count;
use ids::{BootClock, Clock, Timestamp, UpstreamId};
use prost::Message;
use rand::Rng;
use slog::{Logger, debug};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

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
/// Beyond the expected time, the part of it for which a request waits for its turn: a reply may be
/// lost.
const PATIENCE: f64 = 1.5;

/// One datagram.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Datagram {
    /// Names the request at the host that asks.
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(oneof = "Word", tags = "2, 3, 4, 5, 6")]
    word: Option<Word>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
enum Word {
    /// Wants a permit.
    #[prost(message, tag = "2")]
    Ask(Ask),
    /// Needs it no more.
    #[prost(message, tag = "3")]
    End(End),
    /// Has a permit.
    #[prost(bool, tag = "4")]
    Go(bool),
    /// Waits; milliseconds until the answer is expected.
    #[prost(uint32, tag = "5")]
    Queued(u32),
    /// Is refused; milliseconds until there is room.
    #[prost(uint32, tag = "6")]
    Full(u32),
}

#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
struct Ask {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint32, tag = "2")]
    slots: u32,
    #[prost(bool, tag = "3")]
    is_urgent: bool,
    /// Milliseconds until the objective.
    #[prost(uint32, tag = "4")]
    in_time_ms: u32,
    /// Milliseconds for which the caller waits.
    #[prost(uint32, tag = "5")]
    left_ms: u32,
    /// Service time to assume, in milliseconds.
    #[prost(uint32, tag = "6")]
    usual_ms: u32,
    /// Whether the request waits for its turn.
    #[prost(bool, tag = "7")]
    may_wait: bool,
}

#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
struct End {
    #[prost(string, tag = "1")]
    upstream: String,
    /// Whether the upstream answered.
    #[prost(bool, tag = "2")]
    answered: bool,
    /// Requests at the upstream, running and waiting, if it said so, and its slots.
    #[prost(uint32, optional, tag = "3")]
    at_upstream: Option<u32>,
    #[prost(uint32, tag = "4")]
    slots: u32,
}

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
    asked: RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    silent: RefCell<HashMap<SocketAddr, Silent>>,
    /// Names the next request.
    next: Cell<u64>,
    metrics: Arc<Metrics>,
    log: Logger,
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
            let mut replies = Vec::new();
            for permits in self.upstreams.borrow_mut().values_mut() {
                replies.extend(permits.poll(now));
            }
            self.reply(&replies);
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
        let reply = match datagram.word {
            Some(Word::Ask(ask)) => return self.asked(from, request, &ask),
            Some(Word::End(end)) => return self.given_back(from, request, &end),
            Some(Word::Go(_)) => Reply::Go,
            Some(Word::Queued(ms)) => Reply::Queued {
                expected: Duration::from_millis(ms.into()),
            },
            Some(Word::Full(ms)) => Reply::Full {
                room_in: Duration::from_millis(ms.into()),
            },
            None => return,
        };
        if let Some(tx) = self.asked.borrow().get(&request) {
            // The request may have given up waiting just now.
            let _ = tx.send(reply);
        }
    }

    fn asked(&self, from: SocketAddr, request: u64, ask: &Ask) {
        let Ok(upstream) = UpstreamId::new(ask.upstream.as_str()) else {
            return;
        };
        let ms = |ms: u32| Duration::from_millis(ms.into());
        let wanted = PermitRequest {
            rank: if ask.is_urgent {
                Rank::Urgent
            } else {
                Rank::Alone
            },
            in_time: ms(ask.in_time_ms),
            left: ms(ask.left_ms),
            usual: ms(ask.usual_ms),
            may_wait: ask.may_wait,
        };
        let mut all = self.upstreams.borrow_mut();
        let permits = all
            .entry(upstream)
            .or_insert_with(|| Permits::new(ask.slots, self.cfg));
        let reply = permits.ask(BootClock.now(), (from, request), &wanted);
        drop(all);
        self.reply(&[((from, request), reply)]);
    }

    fn given_back(&self, from: SocketAddr, request: u64, end: &End) {
        let Ok(upstream) = UpstreamId::new(end.upstream.as_str()) else {
            return;
        };
        let mut all = self.upstreams.borrow_mut();
        let Some(permits) = all.get_mut(&upstream) else {
            return;
        };
        let report = end.at_upstream.map(|running| LoadReport {
            running,
            waiting: 0,
            slots: end.slots,
        });
        let now = BootClock.now();
        permits.ended(now, (from, request), end.answered, report);
        let replies = permits.poll(now);
        drop(all);
        self.reply(&replies);
    }

    fn reply(&self, replies: &[(Asker, Reply)]) {
        for &((to, request), reply) in replies {
            let word = match reply {
                Reply::Go => Word::Go(true),
                Reply::Queued { expected } => Word::Queued(expected.as_millis() as u32),
                Reply::Full { room_in } => Word::Full(room_in.as_millis() as u32),
            };
            self.send(to, request, word);
        }
    }

    fn send(&self, to: SocketAddr, request: u64, word: Word) {
        let datagram = Datagram {
            request,
            word: Some(word),
        };
        let bytes = datagram.encode_to_vec();
        // What the socket does not take is as good as lost on the way.
        if let Err(e) = self.socket.try_send_to(&bytes, to) {
            debug!(self.log, "send for permits"; "peer" => %to, "error" => %e);
        }
    }

    /// Returns the host that hands out the permits at `target`, of those that are not silent.
    fn host_of(&self, view: &View, target: &Registered, now: Timestamp) -> Option<SocketAddr> {
        let silent = self.silent.borrow();
        let is_silent = |a: SocketAddr| silent.get(&a).is_some_and(|s| now < s.until);
        let hosts = view.permit_hosts.get(&target.domain)?;
        hosts.host_of(&target.id, is_silent)
    }

    /// Asks for a permit at `target`.
    pub async fn admit(
        self: &Rc<Self>,
        view: &View,
        target: &Registered,
        wanted: &PermitRequest,
    ) -> Admission {
        let now = BootClock.now();
        let Some(host) = self.host_of(view, target, now) else {
            return Admission::Unknown;
        };
        let request = self.next.get();
        self.next.set(request + 1);
        let (tx, mut replies) = mpsc::unbounded_channel();
        self.asked.borrow_mut().insert(request, tx);
        let mut permit = Permit {
            service: Rc::clone(self),
            host,
            upstream: target.id.clone(),
            request,
            answered: false,
            report: None,
        };
        let ms = |d: Duration| d.as_millis() as u32;
        let ask = Ask {
            upstream: target.id.to_string(),
            slots: target.slots,
            is_urgent: wanted.rank == Rank::Urgent,
            in_time_ms: ms(wanted.in_time),
            left_ms: ms(wanted.left),
            usual_ms: ms(wanted.usual),
            may_wait: wanted.may_wait,
        };
        self.send(host, request, Word::Ask(ask));
        let mut within = REPLY_WITHIN;
        let mut has_replied = false;
        loop {
            match tokio::time::timeout(within, replies.recv()).await {
                Ok(Some(Reply::Go)) => {
                    self.silent.borrow_mut().remove(&host);
                    return Admission::Go(permit);
                }
                Ok(Some(Reply::Full { room_in })) => {
                    self.silent.borrow_mut().remove(&host);
                    permit.forget();
                    return Admission::Full { room_in };
                }
                Ok(Some(Reply::Queued { expected })) => {
                    has_replied = true;
                    within = expected.mul_f64(PATIENCE) + REPLY_WITHIN;
                }
                // The reply that it may go was lost.
                Err(_elapsed) if has_replied => return Admission::Go(permit),
                Ok(None) | Err(_) => {
                    self.note_silent(host, BootClock.now());
                    return Admission::Unknown;
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
    answered: bool,
    report: Option<LoadReport>,
}

impl Permit {
    /// Notes whether the upstream answered, and what it said of its load.
    pub fn ended(&mut self, answered: bool, report: Option<LoadReport>) {
        self.answered = answered;
        self.report = report;
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
        let end = End {
            upstream: self.upstream.to_string(),
            answered: self.answered,
            at_upstream: self.report.map(|r| r.running + r.waiting),
            slots: self.report.map_or(0, |r| r.slots),
        };
        self.service.send(self.host, self.request, Word::End(end));
    }
}
