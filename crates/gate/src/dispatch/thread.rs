//! The thread that feeds the dispatcher and carries out its actions.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use ids::{Epoch, Reason, SliceNo, Timestamp, UpstreamId};
use route::{Action, Arrival, CallEnd, CallKey, Dispatcher, DispatcherSettings, Event};
use thiserror::Error;
use tokio::time::{Instant, MissedTickBehavior};
use xxhash_rust::xxh3::Xxh3;

use crate::call::{Call, Parts, Refusal, Reply};
use crate::context::GateContext;
use crate::counters::{Count, Latency};
use crate::dispatch::abort::Abort;
use crate::dispatch::exchange::{Ending, Progress, Sending, given_up};
use crate::dispatch::pool::Pool;
use crate::dispatch::ring::{DispatchRx, Incoming, ReplyTo, rings};
use crate::dispatch::work::{Answers, Calls, Held, UnderWay};
use crate::dispatch::{DispatchChannels, DispatchTx, LoadSample, Notice, ToDispatch};
use crate::peer::server::{PeerServer, PeerServerHandle};
use crate::settings::{DispatchSettings, millis};
use crate::thread::{self, ServiceEnd, ServiceGuard};

/// Time between two looks at idle connections.
const SWEEP: Duration = Duration::from_secs(1);
/// Calls taken from the ring at once.
const BATCH: usize = 64;
/// The longest sleep; the clock may run on while the machine is suspended.
const SLEEP_MAX: Duration = Duration::from_secs(1);

/// A dispatch duty that could not start.
#[derive(Debug, Error)]
#[error("start dispatch duty: {step} at {peer}: {cause}")]
pub struct DutyError {
    /// What was being done.
    pub step: &'static str,
    /// The address.
    pub peer: SocketAddr,
    /// What the system said.
    pub cause: io::Error,
}

/// A running dispatch duty.
#[derive(Debug)]
pub struct DispatchDuty {
    tx: DispatchTx,
    address: SocketAddr,
    end: ServiceEnd,
}

/// A duty that is bound but does not run yet.
pub(crate) struct BoundDispatch {
    settings: DispatchSettings,
    dispatcher: DispatcherSettings,
    cx: Arc<GateContext>,
    channels: DispatchChannels,
    listener: std::net::TcpListener,
    tx: DispatchTx,
    rx: DispatchRx,
    guard: ServiceGuard,
}

impl DispatchDuty {
    /// Starts the duty on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if the address for other hosts can't be bound or the thread can't be started.
    pub fn start(
        settings: DispatchSettings,
        dispatcher: DispatcherSettings,
        cx: Arc<GateContext>,
        channels: DispatchChannels,
    ) -> Result<Self, DutyError> {
        let peer = settings.listen;
        let failed = |step| move |cause| DutyError { step, peer, cause };
        let runtime = thread::runtime().map_err(failed("start runtime"))?;
        let (duty, bound) = Self::prepare(settings, dispatcher, cx, channels)?;
        thread::spawn("dispatch", runtime, || bound.run()).map_err(failed("start thread"))?;
        Ok(duty)
    }

    /// Binds the duty.
    pub(crate) fn prepare(
        settings: DispatchSettings,
        dispatcher: DispatcherSettings,
        cx: Arc<GateContext>,
        channels: DispatchChannels,
    ) -> Result<(Self, BoundDispatch), DutyError> {
        let peer = settings.listen;
        let failed = |step| move |cause| DutyError { step, peer, cause };
        let listener = bind(peer).map_err(failed("bind"))?;
        let address = listener.local_addr().map_err(failed("read address"))?;
        let (tx, rx) = rings(settings.ring as usize);
        let (guard, end) = thread::service_end();
        let bound = BoundDispatch {
            settings,
            dispatcher,
            cx,
            channels,
            listener,
            tx: tx.clone(),
            rx,
            guard,
        };
        Ok((Self { tx, address, end }, bound))
    }

    /// Returns the sending side of the duty's rings.
    #[must_use]
    pub fn tx(&self) -> DispatchTx {
        self.tx.clone()
    }

    /// Returns the address for other hosts.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the duty to end, which [`ToDispatch::Stop`] asks for.
    ///
    /// # Panics
    ///
    /// Panics if the thread did.
    pub fn join(self) {
        self.end.wait();
    }
}

impl BoundDispatch {
    /// Runs until the duty is stopped, on a thread with local tasks.
    pub(crate) async fn run(self) {
        let cx = Arc::clone(&self.cx);
        let server = PeerServer::start(self.listener, &self.settings, cx, self.tx);
        let duty = Duty::new(
            self.settings,
            self.dispatcher,
            self.cx,
            self.channels,
            server,
        );
        let server = duty.run(self.rx).await;
        server.close().await;
        self.guard.end();
    }
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

type Exchanges = FuturesUnordered<LocalBoxFuture<'static, Done>>;

/// An exchange that ended by itself or was given up.
struct Done {
    key: CallKey,
    ending: Option<Ending>,
}

/// The duty's state; all of it lives on one thread.
struct Duty {
    cx: Arc<GateContext>,
    settings: Rc<DispatchSettings>,
    channels: DispatchChannels,
    server: PeerServerHandle,
    dispatcher: Dispatcher,
    pool: Pool,
    calls: Calls,
    answers: Answers,
    exchanges: Exchanges,
    actions: Vec<Action>,
    notices: VecDeque<Notice>,
    stop_at: Option<Timestamp>,
}

impl Duty {
    fn new(
        settings: DispatchSettings,
        dispatcher: DispatcherSettings,
        cx: Arc<GateContext>,
        channels: DispatchChannels,
        server: PeerServerHandle,
    ) -> Self {
        Self {
            cx,
            settings: Rc::new(settings),
            channels,
            server,
            dispatcher: Dispatcher::new(dispatcher),
            pool: Pool::default(),
            calls: Calls::default(),
            answers: Answers::default(),
            exchanges: Exchanges::new(),
            actions: Vec::new(),
            notices: VecDeque::new(),
            stop_at: None,
        }
    }

    /// Runs until it is stopped, and returns the server, which may have replies left to write.
    async fn run(mut self, mut rx: DispatchRx) -> PeerServerHandle {
        let mut sweep = tokio::time::interval(SWEEP);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut wake = std::pin::pin!(tokio::time::sleep(Duration::ZERO));
        let mut batch = Vec::with_capacity(BATCH);
        let mut control_open = true;
        while !self.is_over(&rx) {
            wake.as_mut().reset(self.next_wake());
            tokio::select! {
                biased;
                message = rx.control.recv(), if control_open => match message {
                    Some(message) => self.control(message),
                    None => control_open = false,
                },
                Some(done) = self.exchanges.next() => self.finished(done),
                _ = rx.calls.recv_many(&mut batch, BATCH) => {
                    batch.drain(..).for_each(|incoming| self.incoming(incoming));
                }
                () = &mut wake => {}
                _ = sweep.tick() => self.sweep(),
            }
            self.tick();
            self.send_notices();
        }
        self.server
    }

    fn is_over(&self, rx: &DispatchRx) -> bool {
        let Some(stop_at) = self.stop_at else {
            return false;
        };
        let is_idle = self.calls.is_empty() && rx.calls.is_empty();
        is_idle || self.cx.now() >= stop_at
    }

    fn next_wake(&self) -> Instant {
        let due = self.stop_at.unwrap_or(Timestamp::NEVER);
        let now = self.cx.now();
        let due = due.min(self.dispatcher.next_wake(now));
        Instant::now() + due.since(now).min(SLEEP_MAX)
    }

    /// Tells the dispatcher that time passed, if it wants to know.
    fn tick(&mut self) {
        let now = self.cx.now();
        if self.dispatcher.next_wake(now) <= now {
            self.step(now, Event::Tick);
        }
    }

    fn sweep(&self) {
        let idle = millis(self.settings.upstream.idle_ms);
        self.pool.sweep(self.cx.now(), idle);
    }

    fn control(&mut self, message: ToDispatch) {
        let now = self.cx.now();
        match message {
            ToDispatch::Upstream {
                upstream,
                limits,
                target,
            } => {
                self.pool.set(upstream.clone(), target);
                self.step(now, Event::UpstreamDeclared { upstream, limits });
            }
            ToDispatch::Event(event) if is_of_calls(&event) => {
                debug_assert!(false, "events of calls are the duty's own");
            }
            ToDispatch::Event(event) => {
                self.pool.follow(&event);
                self.step(now, event);
            }
            ToDispatch::Leave => self.server.leave(),
            ToDispatch::Stop => {
                self.server.leave();
                self.stop_at = Some(now + millis(self.settings.stop_ms));
            }
        }
    }

    fn incoming(&mut self, incoming: Incoming) {
        let now = self.cx.now();
        match incoming {
            Incoming::Call(key, call, reply) => self.arrive(now, key, call, reply),
            Incoming::Gone(key) => self.gone(now, key),
        }
    }

    fn arrive(&mut self, now: Timestamp, key: CallKey, call: Call, reply: ReplyTo) {
        self.cx.record_seen_revision(call.revision);
        let arrival = Arrival {
            call: key,
            upstream: call.upstream.clone(),
            slice: call.slice,
            key: call.key,
            deadline: call.deadline,
            idempotent: call.idempotent,
            entry: call.entry.clone(),
            request_id: call.request_id.clone(),
            fingerprint: fingerprint(&call.parts),
        };
        let held = Held {
            upstream: call.upstream.clone(),
            arrived: now,
            deadline: call.deadline,
            call: Some(call),
            reply: Some(reply),
            exchange: None,
        };
        self.calls.insert(key, held);
        self.step(now, Event::Arrive(arrival));
    }

    fn gone(&mut self, now: Timestamp, key: CallKey) {
        let Some(held) = self.calls.get_mut(key) else {
            return;
        };
        held.reply = None;
        self.step(now, Event::CallerGone { call: key });
        self.calls.settle(key);
    }

    fn finished(&mut self, done: Done) {
        let now = self.cx.now();
        let key = done.key;
        let Some(held) = self.calls.get_mut(key) else {
            debug_assert!(false, "a call is held until its exchange has ended");
            return;
        };
        let under_way = held.exchange.take();
        let progress = under_way.map_or(Progress::Sent, |u| u.progress.get());
        let deadline = held.deadline;
        let end = match done.ending {
            None => CallEnd::Failed(given_up(progress, deadline, now)),
            Some(ending) => self.ended(key, ending),
        };
        self.step(now, Event::Finished { call: key, end });
        self.answers.clear_fresh();
        self.calls.settle(key);
    }

    /// Takes the answer of an exchange that ended by itself.
    fn ended(&mut self, key: CallKey, ending: Ending) -> CallEnd {
        match ending.result {
            Ok(answer) => {
                self.cx
                    .metrics
                    .record(Latency::Upstream, ending.sample.work);
                self.sample(ending.sample);
                let bytes = answer.bytes();
                self.answers.set_fresh(key, answer);
                CallEnd::Answered { bytes }
            }
            Err(reason) => {
                let upstream = ending.sample.upstream;
                let fault = Notice::UpstreamFault { upstream, reason };
                // There will be more of them if it matters.
                let _ = self.channels.notices.try_send(fault);
                CallEnd::Failed(reason)
            }
        }
    }

    fn sample(&self, sample: LoadSample) {
        if self.channels.samples.try_send(sample).is_err() {
            self.cx.metrics.count(Count::SamplesDropped);
        }
    }

    fn send_notices(&mut self) {
        while let Some(notice) = self.notices.pop_front() {
            if let Err(e) = self.channels.notices.try_send(notice) {
                self.notices.push_front(e.into_inner());
                return;
            }
        }
    }

    /// Feeds the dispatcher and carries out what follows.
    fn step(&mut self, now: Timestamp, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        debug_assert!(
            actions.is_empty(),
            "all actions are carried out in one step"
        );
        self.dispatcher.step(now, event, &mut actions);
        for i in 0..actions.len() {
            self.act(now, &actions[i], &actions[i + 1..]);
        }
        actions.clear();
        self.actions = actions;
    }

    fn act(&mut self, now: Timestamp, action: &Action, rest: &[Action]) {
        match action {
            Action::Send {
                call,
                upstream,
                epoch,
                slice,
            } => self.send(now, *call, upstream, *epoch, *slice),
            Action::Answer { call, from } => self.answer(*call, *from, rest),
            Action::Refuse {
                call,
                reason,
                retry_after,
            } => self.refuse(*call, *reason, *retry_after),
            Action::Abort { call } => self.abort(*call),
            Action::Keep { call } => self.answers.keep(*call, rest),
            Action::Discard { call } => self.answers.discard(*call),
            Action::Drained { upstream, slice } => self.notices.push_back(Notice::Drained {
                upstream: upstream.clone(),
                slice: *slice,
            }),
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        key: CallKey,
        upstream: &UpstreamId,
        epoch: Epoch,
        slice: Option<SliceNo>,
    ) {
        let Some(held) = self.calls.get_mut(key) else {
            debug_assert!(false, "only calls that arrived are sent");
            return;
        };
        let is_gone = held.is_gone();
        let call = held.call.take();
        let waited = now.since(held.arrived);
        self.cx.metrics.record(Latency::Queue, waited);
        let pooled = self.pool.get(upstream).map(Rc::clone);
        let (Some(pooled), Some(call), false) = (pooled, call, is_gone) else {
            // Nothing is sent: the upstream is gone, or nobody waits for the answer.
            let done = Done { key, ending: None };
            let unsent = Rc::new(Cell::new(Progress::Unsent));
            self.exchanges.push(Box::pin(std::future::ready(done)));
            self.mark(key, Abort::default(), unsent);
            return;
        };
        let progress = Rc::new(Cell::new(Progress::Unsent));
        let sending = Sending {
            cx: Arc::clone(&self.cx),
            settings: Rc::clone(&self.settings),
            upstream: pooled,
            call,
            epoch,
            slice,
            progress: Rc::clone(&progress),
            sent_at: Cell::new(now),
        };
        let abort = Abort::default();
        let guard = abort.clone();
        self.exchanges.push(Box::pin(async move {
            let ending = guard.guard(sending.run()).await;
            Done { key, ending }
        }));
        self.mark(key, abort, progress);
    }

    fn mark(&mut self, key: CallKey, abort: Abort, progress: Rc<Cell<Progress>>) {
        if let Some(held) = self.calls.get_mut(key) {
            debug_assert!(held.exchange.is_none(), "a call has one exchange at a time");
            held.exchange = Some(UnderWay { abort, progress });
        }
    }

    fn answer(&mut self, key: CallKey, from: CallKey, rest: &[Action]) {
        let result = match self.answers.answer(from, rest) {
            Some(answer) => Ok(answer),
            None => Err(Refusal::of(Reason::DuplicateUnknown)),
        };
        self.reply(key, result);
    }

    fn refuse(&mut self, key: CallKey, reason: Reason, retry_after: Duration) {
        let refusal = Refusal {
            reason,
            retry_after: Some(retry_after).filter(|span| !span.is_zero()),
            revision: self.cx.router.load().revision(),
        };
        self.reply(key, Err(refusal));
    }

    /// Sends the final reply of a call.
    fn reply(&mut self, key: CallKey, result: Result<crate::call::Answer, Refusal>) {
        let Some(held) = self.calls.get_mut(key) else {
            debug_assert!(false, "only calls that arrived get a reply");
            return;
        };
        let load = self.dispatcher.load(&held.upstream);
        if let Some(tx) = held.reply.take() {
            tx.send(Reply { result, load });
        }
        self.calls.settle(key);
    }

    fn abort(&mut self, key: CallKey) {
        let Some(held) = self.calls.get_mut(key) else {
            return;
        };
        if let Some(exchange) = &held.exchange {
            exchange.abort.abort();
            self.cx.metrics.count(Count::Aborted);
        }
    }
}

const fn is_of_calls(event: &Event) -> bool {
    matches!(
        event,
        Event::Arrive(_) | Event::Finished { .. } | Event::CallerGone { .. } | Event::Tick
    )
}

/// Tells requests of the same id apart.
fn fingerprint(parts: &Parts) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(parts.method.as_str().as_bytes());
    hash.update(b" ");
    hash.update(parts.path.as_str().as_bytes());
    hash.update(b"\n");
    hash.update(&parts.body);
    hash.digest()
}
