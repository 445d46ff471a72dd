//! Expected state of calls and upstreams, derived from events and actions alone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ids::{EntryId, Epoch, KeyHash, Outcome, Reason, RequestId, SliceNo, Timestamp, UpstreamId};
use route::{
    Action, Arrival, CallEnd, CallKey, Dispatcher, DispatcherSettings, Event, QueueOrder,
    QueueSettings, UpstreamLimits,
};

use crate::Op;

/// Ways in which a call may end.
const ENDS: [CallEnd; 8] = [
    CallEnd::Answered { bytes: 10 },
    CallEnd::Answered { bytes: 40 },
    CallEnd::Answered { bytes: 10 },
    CallEnd::Failed(Reason::UpstreamShed),
    CallEnd::Failed(Reason::ConnectFailed),
    CallEnd::Failed(Reason::UpstreamReset),
    CallEnd::Failed(Reason::AnswerCut),
    CallEnd::Failed(Reason::GrantRefused),
];

/// A call and what happened to it.
#[derive(Debug)]
struct Call {
    arrival: Arrival,
    /// Whether a final action is due.
    reply_due: bool,
    /// Upstream that it was sent to.
    sent: Option<UpstreamId>,
    aborted: bool,
    ended: Option<CallEnd>,
}

impl Call {
    /// Returns whether it was sent and its connection is in use.
    fn is_open(&self) -> bool {
        self.sent.is_some() && self.ended.is_none()
    }

    /// Returns whether it runs or may have run.
    fn may_have_run(&self) -> bool {
        let not_run =
            matches!(self.ended, Some(CallEnd::Failed(r)) if r.outcome() == Outcome::NotRun);
        self.sent.is_some() && !not_run
    }
}

/// An upstream and its state according to the events so far.
#[derive(Debug, Default)]
struct Upstream {
    limits: Option<UpstreamLimits>,
    epoch: u64,
    valid_until: Timestamp,
    slices: BTreeSet<SliceNo>,
    open: bool,
    /// Held slices, `None` for all of them, and whether each was reported as drained.
    held: BTreeMap<Option<SliceNo>, bool>,
    /// Whether it was reported as drained since it began to drain.
    drained: bool,
}

/// The dispatcher and its model.
pub struct Model {
    dispatcher: Dispatcher,
    margin: Duration,
    now: Timestamp,
    calls: BTreeMap<CallKey, Call>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    kept: BTreeSet<CallKey>,
    actions: Vec<Action>,
}

fn name(upstream: u8) -> UpstreamId {
    UpstreamId::new(format!("u{upstream}")).expect("a valid name")
}

/// The key that is carved out by some operations.
const HOT: KeyHash = KeyHash(6);

/// Returns the slice that an operation refers to; the last one is that of the hot key.
fn slice_of(number: u8) -> SliceNo {
    if number == 3 {
        return HOT.hot_slice();
    }
    SliceNo(u64::from(number))
}

/// Returns what an operation holds: a slice, or all.
fn held(number: u8) -> Option<SliceNo> {
    (number < 4).then(|| slice_of(number))
}

fn millis(n: u16) -> Duration {
    Duration::from_millis(u64::from(n))
}

impl Model {
    /// Creates a dispatcher with two upstreams divided by key and one that is not.
    pub fn new(order: QueueOrder) -> Self {
        let settings = DispatcherSettings {
            repeat_bytes: 35,
            queue: QueueSettings {
                order,
                interval: Duration::from_millis(20),
                ..QueueSettings::default()
            },
            ..DispatcherSettings::default()
        };
        let mut model = Self {
            margin: settings.lease_margin,
            dispatcher: Dispatcher::new(settings),
            now: Timestamp::from_millis(1_000),
            calls: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            kept: BTreeSet::new(),
            actions: Vec::new(),
        };
        for upstream in 0..3 {
            model.apply(&Op::Declare(upstream, 2, 3));
            model.apply(&Op::Lease(upstream, 1, 400, 0b1111));
        }
        model
    }

    /// Turns an operation into an event and checks the resulting actions.
    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Arrive(upstream, slice, id, fingerprint, left) => {
                self.arrive(upstream, slice, id, fingerprint, left);
            }
            Op::Finish(which, end) => self.finish(which, ENDS[end as usize]),
            Op::Disconnect(which) => self.disconnect(which),
            Op::Lease(upstream, step, length, slices) => {
                self.lease(upstream, step, length, slices);
            }
            Op::LeaseEnded(upstream) => {
                let upstream = name(upstream);
                self.upstream(&upstream).valid_until = Timestamp::ZERO;
                self.step(Event::LeaseEnded { upstream });
            }
            Op::Hold(upstream, slice) => self.hold(&name(upstream), held(slice)),
            Op::HotKey(upstream, hot) => self.step(Event::HotSlicesChanged {
                upstream: name(upstream),
                hot: hot.then(|| HOT.hot_slice()).into_iter().collect(),
            }),
            Op::Release(upstream, slice, to) => {
                let to = (to < 2).then(|| name(to));
                self.release(name(upstream), held(slice), to);
            }
            Op::Declare(upstream, slots, connections) => {
                self.declare(upstream, slots, connections);
            }
            Op::Draining(upstream) => self.close(name(upstream), false),
            Op::Removed(upstream) => self.close(name(upstream), true),
            Op::Restarted(upstream) => self.step(Event::Restarted {
                upstream: name(upstream),
            }),
            Op::Unhealthy(upstream) => self.step(Event::Health {
                upstream: name(upstream),
                healthy: false,
            }),
            Op::Pass(span) => self.advance(millis(span)),
        }
    }

    /// Ends all calls in flight, lets time pass, and checks that nothing is left over.
    pub fn end(&mut self) {
        for _ in 0..self.calls.len() {
            self.finish(0, ENDS[0]);
        }
        self.advance(Duration::from_secs(10));
        for _ in 0..self.calls.len() {
            self.finish(0, ENDS[0]);
        }
        self.advance(Duration::from_secs(10));
        for (key, call) in &self.calls {
            assert!(!call.reply_due, "call {key} never got a final action");
        }
        for (id, upstream) in &self.upstreams {
            assert_eq!(self.dispatcher.load(id), 0, "{id} is still loaded");
            let held = upstream.held.values().all(|&drained| drained);
            assert!(held, "a held slice of {id} was never reported as drained");
        }
    }

    fn upstream(&mut self, id: &UpstreamId) -> &mut Upstream {
        self.upstreams.entry(id.clone()).or_default()
    }

    fn arrive(&mut self, upstream: u8, slice: u8, id: u8, fingerprint: u8, left: u16) {
        let call = CallKey(self.calls.len() as u64);
        let undivided = upstream == 2;
        // Ids from 10 on are used once; the others are drawn repeatedly.
        let request_id = if id < 10 { u64::from(id) } else { 100 + call.0 };
        let arrival = Arrival {
            call,
            upstream: name(upstream),
            slice: (!undivided).then(|| slice_of(if slice == 3 { 1 } else { slice })),
            deadline: self.now + millis(left),
            // Some calls have used most of their time before they arrive.
            total_time: millis(left) * (1 + u32::from(id % 4)),
            key: (!undivided && slice == 3).then_some(HOT),
            idempotent: request_id % 2 == 0,
            entry: EntryId::new("e").expect("a valid name"),
            request_id: RequestId::new(format!("r{request_id}")).expect("a valid name"),
            fingerprint: u64::from(fingerprint == 0),
        };
        let record = Call {
            arrival: arrival.clone(),
            reply_due: true,
            sent: None,
            aborted: false,
            ended: None,
        };
        self.calls.insert(call, record);
        self.step(Event::Arrive(arrival));
    }

    fn finish(&mut self, which: u8, end: CallEnd) {
        let open: Vec<CallKey> = self.keys(Call::is_open);
        let Some(&call) = open.get(which as usize % open.len().max(1)) else {
            return;
        };
        self.calls.get_mut(&call).expect("known").ended = Some(end);
        self.step(Event::Finished { call, end });
    }

    fn disconnect(&mut self, which: u8) {
        let waiting = self.keys(|c| c.reply_due);
        let Some(&call) = waiting.get(which as usize % waiting.len().max(1)) else {
            return;
        };
        self.calls.get_mut(&call).expect("known").reply_due = false;
        self.step(Event::CallerGone { call });
    }

    fn keys(&self, filter: impl Fn(&Call) -> bool) -> Vec<CallKey> {
        let chosen = self.calls.iter().filter(|(_, c)| filter(c));
        chosen.map(|(&k, _)| k).collect()
    }

    fn lease(&mut self, upstream: u8, step: u8, length: u16, slices: u8) {
        let id = name(upstream);
        let valid_until = self.now + millis(length);
        let all = (0..4).filter(|s| slices & (1 << s) != 0).map(slice_of);
        let all: BTreeSet<SliceNo> = all.collect();
        let model = self.upstream(&id);
        let epoch = (model.epoch + u64::from(step)).saturating_sub(1);
        if model.limits.is_some() && epoch >= model.epoch {
            let longest = model.valid_until.max(valid_until);
            model.valid_until = if epoch > model.epoch {
                valid_until
            } else {
                longest
            };
            model.epoch = epoch;
            model.slices.clone_from(&all);
        }
        self.step(Event::Lease {
            upstream: id,
            epoch: Epoch(epoch),
            valid_until,
            slices: Some(all.into_iter().collect::<Arc<[SliceNo]>>()),
        });
    }

    fn hold(&mut self, upstream: &UpstreamId, slice: Option<SliceNo>) {
        let model = self.upstream(upstream);
        if model.limits.is_some() {
            model.held.entry(slice).or_insert(false);
        }
        let upstream = upstream.clone();
        self.step(Event::Hold { upstream, slice });
    }

    fn release(&mut self, upstream: UpstreamId, slice: Option<SliceNo>, to: Option<UpstreamId>) {
        self.upstream(&upstream).held.remove(&slice);
        self.step(Event::Release {
            upstream,
            slice,
            to,
        });
    }

    fn declare(&mut self, upstream: u8, slots: u8, connections: u8) {
        let limits = UpstreamLimits {
            slots: u32::from(slots),
            connections: u32::from(connections),
            queue: 3,
            divided: upstream < 2,
        };
        let upstream = name(upstream);
        let model = self.upstream(&upstream);
        model.limits = Some(limits);
        model.open = true;
        model.drained = false;
        self.step(Event::UpstreamDeclared { upstream, limits });
    }

    fn close(&mut self, id: UpstreamId, removed: bool) {
        let model = self.upstream(&id);
        if model.limits.is_none() {
            return;
        }
        model.open = false;
        if !removed {
            self.step(Event::Draining { upstream: id });
            return;
        }
        *model = Upstream::default();
        self.step(Event::Removed { upstream: id });
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wake = self.dispatcher.next_wake(self.now);
            if wake > end {
                break;
            }
            self.now = self.now.max(wake);
            self.step(Event::Tick);
            let next = self.dispatcher.next_wake(self.now);
            assert!(next > self.now, "nothing is due after a tick");
        }
        self.now = end;
    }

    fn step(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.dispatcher.step(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.actions = actions;
        assert_eq!(self.dispatcher.verify(), []);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send {
                call,
                upstream,
                epoch,
                slice,
                send_by,
            } => {
                let deadline = self.calls[call].arrival.deadline;
                assert!(self.now < *send_by && *send_by <= deadline, "{send_by}");
                self.check_send(*call, upstream, *epoch, *slice);
            }
            Action::Answer { call, from } => self.check_answer(*call, *from),
            Action::Refuse { call, reason, .. } => self.check_refusal(*call, *reason),
            Action::Abort { call } => {
                let call = self.calls.get_mut(call).expect("known");
                assert!(call.is_open() && !call.aborted && !call.reply_due);
                call.aborted = true;
            }
            Action::Keep { call } => assert!(self.kept.insert(*call), "kept twice"),
            Action::Discard { call } => assert!(self.kept.remove(call), "not kept"),
            Action::Drained { upstream, slice } => self.check_drained(upstream, *slice),
        }
    }

    fn check_send(
        &mut self,
        key: CallKey,
        upstream: &UpstreamId,
        epoch: Epoch,
        slice: Option<SliceNo>,
    ) {
        let at_upstream = |c: &Call| c.is_open() && c.sent.as_ref() == Some(upstream);
        let connections = self.keys(at_upstream).len() as u32;
        let running = self.keys(|c| at_upstream(c) && !c.aborted).len() as u32;
        let call = &self.calls[&key];
        assert!(call.sent.is_none(), "call {key} sent twice");
        assert!(self.now < call.arrival.deadline, "call {key} sent too late");
        if call.arrival.key.is_none() {
            assert_eq!(slice, call.arrival.slice);
        }

        let model = &self.upstreams[upstream];
        let limits = model.limits.expect("declared");
        assert!(model.open, "{upstream} takes no calls");
        assert!(running < limits.slots, "{upstream} has no free slot");
        assert!(
            connections < limits.connections,
            "{upstream} has no free connection"
        );
        assert_eq!(epoch, Epoch(model.epoch));
        assert!(
            model.valid_until > self.now + self.margin,
            "the lease is about to end"
        );
        if let Some(slice) = slice {
            assert!(
                model.slices.contains(&slice),
                "slice {slice} is not granted"
            );
        }
        for held in [slice, None] {
            assert!(!model.held.contains_key(&held), "{held:?} is held");
        }
        if !call.arrival.idempotent {
            let earlier = self.keys(|c| same_id(c, call) && c.may_have_run());
            assert!(earlier.is_empty(), "{key} may run twice, after {earlier:?}");
        }
        self.calls.get_mut(&key).expect("known").sent = Some(upstream.clone());
    }

    fn check_answer(&mut self, key: CallKey, from: CallKey) {
        let first = &self.calls[&from];
        assert!(
            matches!(first.ended, Some(CallEnd::Answered { .. })),
            "{from} has no answer"
        );
        assert!(!first.aborted, "{from} was aborted");
        let call = &self.calls[&key];
        assert!(
            same_id(call, first),
            "{key} gets the answer of another request"
        );
        assert_eq!(call.arrival.fingerprint, first.arrival.fingerprint);
        self.settle(key);
    }

    fn check_refusal(&mut self, key: CallKey, reason: Reason) {
        let call = &self.calls[&key];
        if reason.outcome() == Outcome::NotRun {
            assert!(!call.may_have_run(), "{key} may have run, not {reason}");
            let copies = self.keys(|c| same_id(c, call) && c.may_have_run());
            let once = !call.arrival.idempotent;
            assert!(
                !once || copies.is_empty(),
                "{copies:?} may have run, not {reason}"
            );
        }
        self.settle(key);
    }

    fn settle(&mut self, key: CallKey) {
        let call = self.calls.get_mut(&key).expect("known");
        assert!(call.reply_due, "call {key} has two final actions");
        call.reply_due = false;
    }

    fn check_drained(&mut self, upstream: &UpstreamId, slice: Option<SliceNo>) {
        let open = self.keys(|c| {
            let at_upstream = c.is_open() && c.sent.as_ref() == Some(upstream);
            at_upstream && (slice.is_none() || c.arrival.key.is_none() && c.arrival.slice == slice)
        });
        assert!(open.is_empty(), "{open:?} of {upstream} are in flight");
        let model = self.upstreams.get_mut(upstream).expect("known");
        let drained = match model.held.get_mut(&slice) {
            Some(drained) if slice.is_some() || !*drained => drained,
            _ => {
                assert!(slice.is_none() && !model.open, "{upstream} is not draining");
                &mut model.drained
            }
        };
        assert!(
            !std::mem::replace(drained, true),
            "reported as drained twice"
        );
    }
}

fn same_id(a: &Call, b: &Call) -> bool {
    a.arrival.request_id == b.arrival.request_id && a.arrival.entry == b.arrival.entry
}
