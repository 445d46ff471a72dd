//! The loop that passes events to the dispatcher and executes its actions.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use ids::{Epoch, Reason, SliceNo, Timestamp, UpstreamId};
use route::{Action, Arrival, CallEnd, CallKey, Dispatcher, DispatcherSettings, Event};
use tokio::time::{Instant, MissedTickBehavior};
use xxhash_rust::xxh3::Xxh3;

use crate::call::{Call, Refusal, Reply, RequestParts};
use crate::context::GateContext;
use crate::counters::{Count, Latency};
use crate::dispatch::abort::AbortHandle;
use crate::dispatch::calls::{ActiveCall, ActiveExchange, Answers, Calls};
use crate::dispatch::channels::{DispatchRx, Incoming, ReplyTo};
use crate::dispatch::exchange::{ExchangeEnd, ExchangeTask, Progress, abort_reason};
use crate::dispatch::pool::Pool;
use crate::dispatch::{DispatchChannels, DispatchCommand, DispatchEvent, LoadSample};
use crate::peer::server::PeerServerHandle;
use crate::settings::{DispatchSettings, millis};

/// Interval of the checks for expired idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of calls received from the channel at once.
const BATCH: usize = 64;
/// Longest sleep; the clock may continue while the host is suspended.
const MAX_SLEEP: Duration = Duration::from_secs(1);

type Exchanges = FuturesUnordered<LocalBoxFuture<'static, FinishedExchange>>;

/// An exchange that ended; `end_state` is `None` if it was aborted.
struct FinishedExchange {
    key: CallKey,
    end_state: Option<ExchangeEnd>,
}

/// State of dispatch, owned by one thread.
pub(super) struct DispatchLoop {
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
    events: VecDeque<DispatchEvent>,
    stop_at: Option<Timestamp>,
}

impl DispatchLoop {
    pub(super) fn new(
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
            events: VecDeque::new(),
            stop_at: None,
        }
    }

    /// Runs until dispatch is stopped; returns the server, which may have replies left to write.
    pub(super) async fn run(mut self, mut rx: DispatchRx) -> PeerServerHandle {
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut wake = std::pin::pin!(tokio::time::sleep(Duration::ZERO));
        let mut batch = Vec::with_capacity(BATCH);
        let mut control_open = true;
        while !self.is_finished(&rx) {
            wake.as_mut().reset(self.next_wake());
            tokio::select! {
                biased;
                message = rx.control.recv(), if control_open => match message {
                    Some(message) => self.control(message),
                    None => control_open = false,
                },
                Some(finished) = self.exchanges.next() => self.exchange_finished(finished),
                _ = rx.calls.recv_many(&mut batch, BATCH) => {
                    batch.drain(..).for_each(|incoming| self.incoming(incoming));
                }
                () = &mut wake => {}
                _ = sweep.tick() => self.sweep(),
            }
            self.tick();
            self.send_events();
        }
        self.server
    }

    fn is_finished(&self, rx: &DispatchRx) -> bool {
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
        Instant::now() + due.since(now).min(MAX_SLEEP)
    }

    /// Sends the dispatcher a tick if its wake-up time has passed.
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

    fn control(&mut self, message: DispatchCommand) {
        let now = self.cx.now();
        match message {
            DispatchCommand::Upstream {
                upstream,
                limits,
                target,
            } => {
                self.pool.set(upstream.clone(), target);
                self.step(now, Event::UpstreamDeclared { upstream, limits });
            }
            DispatchCommand::Event(event) if is_call_event(&event) => {
                debug_assert!(false, "events of calls come from the dispatch thread only");
            }
            DispatchCommand::Event(event) => {
                self.pool.apply(&event);
                self.step(now, event);
            }
            DispatchCommand::Leave => self.server.refuse_new_calls(),
            DispatchCommand::Stop => {
                self.server.refuse_new_calls();
                self.stop_at = Some(now + millis(self.settings.stop_ms));
            }
        }
    }

    fn incoming(&mut self, incoming: Incoming) {
        let now = self.cx.now();
        match incoming {
            Incoming::Call(key, call, reply) => self.arrive(now, key, call, reply),
            Incoming::CallerGone(key) => self.caller_gone(now, key),
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
            total_time: call.total_time,
            idempotent: call.idempotent,
            entry: call.entry.clone(),
            request_id: call.request_id.clone(),
            fingerprint: fingerprint(&call.parts),
        };
        let active = ActiveCall {
            upstream: call.upstream.clone(),
            arrived: now,
            deadline: call.deadline,
            call: Some(call),
            reply: Some(reply),
            exchange: None,
        };
        self.calls.insert(key, active);
        self.step(now, Event::Arrive(arrival));
    }

    fn caller_gone(&mut self, now: Timestamp, key: CallKey) {
        let Some(active) = self.calls.get_mut(key) else {
            return;
        };
        active.reply = None;
        self.step(now, Event::CallerGone { call: key });
        self.calls.remove_if_finished(key);
    }

    fn exchange_finished(&mut self, finished: FinishedExchange) {
        let now = self.cx.now();
        let key = finished.key;
        let Some(active) = self.calls.get_mut(key) else {
            debug_assert!(false, "a call is held until its exchange has ended");
            return;
        };
        let exchange = active.exchange.take();
        let progress = exchange.map_or(Progress::Sent, |u| u.progress.get());
        let deadline = active.deadline;
        let end = match finished.end_state {
            None => CallEnd::Failed(abort_reason(progress, deadline, now)),
            Some(end_state) => self.call_end(key, end_state),
        };
        self.step(now, Event::Finished { call: key, end });
        self.answers.clear_latest();
        self.calls.remove_if_finished(key);
    }

    /// Stores the answer of an exchange that was not aborted.
    fn call_end(&mut self, key: CallKey, end_state: ExchangeEnd) -> CallEnd {
        match end_state.result {
            Ok(answer) => {
                self.cx
                    .metrics
                    .record(Latency::Upstream, end_state.sample.work);
                self.sample(end_state.sample);
                let bytes = answer.bytes();
                self.answers.set_latest(key, answer);
                CallEnd::Answered { bytes }
            }
            Err(reason) => {
                let upstream = end_state.sample.upstream;
                let event = DispatchEvent::UpstreamFault { upstream, reason };
                // Dropped if the channel is full; later calls report a lasting fault again.
                let _ = self.channels.events.try_send(event);
                CallEnd::Failed(reason)
            }
        }
    }

    fn sample(&self, sample: LoadSample) {
        if self.channels.samples.try_send(sample).is_err() {
            self.cx.metrics.count(Count::SamplesDropped);
        }
    }

    fn send_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            if let Err(e) = self.channels.events.try_send(event) {
                self.events.push_front(e.into_inner());
                return;
            }
        }
    }

    /// Passes an event to the dispatcher and executes the resulting actions.
    fn step(&mut self, now: Timestamp, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        debug_assert!(actions.is_empty(), "all actions are executed in one step");
        self.dispatcher.step(now, event, &mut actions);
        for i in 0..actions.len() {
            self.execute(now, &actions[i], &actions[i + 1..]);
        }
        actions.clear();
        self.actions = actions;
    }

    fn execute(&mut self, now: Timestamp, action: &Action, rest: &[Action]) {
        match action {
            Action::Send {
                call,
                upstream,
                epoch,
                slice,
                send_by,
            } => self.send(now, *call, upstream, *epoch, *slice, *send_by),
            Action::Answer { call, from } => self.answer(*call, *from, rest),
            Action::Refuse {
                call,
                reason,
                retry_after,
            } => self.refuse(*call, *reason, *retry_after),
            Action::Abort { call } => self.abort(*call),
            Action::Keep { call } => self.answers.keep(*call, rest),
            Action::Discard { call } => self.answers.discard(*call),
            Action::Drained { upstream, slice } => self.events.push_back(DispatchEvent::Drained {
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
        send_by: Timestamp,
    ) {
        let Some(active) = self.calls.get_mut(key) else {
            debug_assert!(false, "only calls that arrived are sent");
            return;
        };
        let is_abandoned = active.is_abandoned();
        let call = active.call.take();
        let waited = now.since(active.arrived);
        self.cx.metrics.record(Latency::Queue, waited);
        let pooled = self.pool.get(upstream).map(Rc::clone);
        let (Some(pooled), Some(call), false) = (pooled, call, is_abandoned) else {
            // Nothing is sent: the upstream was removed, or the caller disconnected.
            let finished = FinishedExchange {
                key,
                end_state: None,
            };
            let unsent = Rc::new(Cell::new(Progress::Unsent));
            self.exchanges.push(Box::pin(std::future::ready(finished)));
            self.set_exchange(key, AbortHandle::default(), unsent);
            return;
        };
        let progress = Rc::new(Cell::new(Progress::Unsent));
        let task = ExchangeTask {
            cx: Arc::clone(&self.cx),
            settings: Rc::clone(&self.settings),
            upstream: pooled,
            call,
            epoch,
            slice,
            send_by,
            progress: Rc::clone(&progress),
            sent_at: Cell::new(now),
        };
        let abort = AbortHandle::default();
        let guard = abort.clone();
        self.exchanges.push(Box::pin(async move {
            let end_state = guard.guard(task.run()).await;
            FinishedExchange { key, end_state }
        }));
        self.set_exchange(key, abort, progress);
    }

    fn set_exchange(&mut self, key: CallKey, abort: AbortHandle, progress: Rc<Cell<Progress>>) {
        if let Some(active) = self.calls.get_mut(key) {
            debug_assert!(
                active.exchange.is_none(),
                "a call has one exchange at a time"
            );
            active.exchange = Some(ActiveExchange { abort, progress });
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
        let Some(active) = self.calls.get_mut(key) else {
            debug_assert!(false, "only calls that arrived get a reply");
            return;
        };
        let load = self.dispatcher.load(&active.upstream);
        if let Some(tx) = active.reply.take() {
            tx.send(Reply { result, load });
        }
        self.calls.remove_if_finished(key);
    }

    fn abort(&mut self, key: CallKey) {
        let Some(active) = self.calls.get_mut(key) else {
            return;
        };
        if let Some(exchange) = &active.exchange {
            exchange.abort.abort();
            self.cx.metrics.count(Count::Aborted);
        }
    }
}

const fn is_call_event(event: &Event) -> bool {
    matches!(
        event,
        Event::Arrive(_) | Event::Finished { .. } | Event::CallerGone { .. } | Event::Tick
    )
}

/// Hashes the content of a request, to distinguish requests with the same id.
fn fingerprint(parts: &RequestParts) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(parts.method.as_str().as_bytes());
    hash.update(b" ");
    hash.update(parts.path.as_str().as_bytes());
    hash.update(b"\n");
    hash.update(&parts.body);
    hash.digest()
}
