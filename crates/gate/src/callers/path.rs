//! Admits a request and tries it until it is answered or given up.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use ids::{ArenaKey, Reason, RequestId, Timestamp};
use route::{
    Admission, AdmissionPermit, AttemptEnd, BudgetSettings, EntryKey, Picker, PickerSettings,
    RetryBudget, RetryDecision, RetrySettings, RetryState, Router, Target, UpstreamKey,
};

use crate::call::{Answer, Call, Refusal, Reply};
use crate::callers::intake::Intake;
use crate::context::GateContext;
use crate::counters::Metrics;
use crate::dispatch::DispatchTx;
use crate::peer::Peers;
use crate::settings::{GateSettings, millis};

/// Settings of the decisions on the entry side.
#[derive(Debug, Clone, Default)]
pub struct PathSettings {
    /// Retries of one request.
    pub attempt: RetrySettings,
    /// Choice of an upstream for entries that are not divided by key.
    pub picker: PickerSettings,
    /// Retry budgets, but for their percentage, which entries declare.
    pub budget: BudgetSettings,
}

/// A request that is not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) reason: Reason,
    pub(crate) retry_after: Option<Duration>,
}

impl From<Reason> for Refused {
    fn from(reason: Reason) -> Self {
        let retry_after = match reason {
            Reason::NoCatalogue => Some(STARTING),
            Reason::Overload => Some(CROWDED),
            _ => None,
        };
        Self {
            reason,
            retry_after,
        }
    }
}

/// When to come back to a host that has no catalogue yet.
const STARTING: Duration = Duration::from_secs(1);
/// When to come back to a host that holds too many bodies.
const CROWDED: Duration = Duration::from_millis(100);

/// The entry side's state; all of it lives on the callers' thread.
#[derive(Debug)]
pub(crate) struct Path {
    cx: Arc<GateContext>,
    settings: PathSettings,
    reserve: Duration,
    dispatch: DispatchTx,
    peers: Peers,
    admission: RefCell<Admission>,
    picker: RefCell<Picker>,
    budgets: RefCell<Vec<Option<RetryBudget>>>,
    router: RefCell<Arc<Router>>,
    live_hosts: Cell<u32>,
}

impl Path {
    pub(crate) fn new(
        cx: Arc<GateContext>,
        settings: PathSettings,
        gate: &GateSettings,
        dispatch: DispatchTx,
    ) -> Self {
        Self {
            peers: Peers::new(Arc::clone(&cx), gate.peer.clone()),
            picker: RefCell::new(Picker::new(settings.picker.clone())),
            cx,
            settings,
            reserve: millis(gate.reply_reserve_ms),
            dispatch,
            admission: RefCell::default(),
            budgets: RefCell::default(),
            router: RefCell::default(),
            live_hosts: Cell::new(0),
        }
    }

    /// Returns the snapshot in force; limits follow it.
    pub(crate) fn router(&self) -> Arc<Router> {
        let current = self.cx.router.load();
        let live_hosts = self.cx.live_hosts();
        let is_known = Arc::ptr_eq(&current, &self.router.borrow());
        if !is_known || live_hosts != self.live_hosts.get() {
            self.adopt(Arc::clone(&current), live_hosts);
        }
        Arc::clone(&current)
    }

    fn adopt(&self, router: Arc<Router>, live_hosts: u32) {
        let now = self.cx.now();
        self.admission
            .borrow_mut()
            .configure(now, &router, live_hosts);
        self.picker.borrow_mut().adopt(now, &router);
        for (key, entry) in router.entries() {
            self.set_budget(key, entry.limits.retry_percent);
        }
        self.live_hosts.set(live_hosts);
        *self.router.borrow_mut() = router;
    }

    fn set_budget(&self, key: EntryKey, percent: u32) {
        let settings = BudgetSettings {
            percent,
            ..self.settings.budget
        };
        let mut budgets = self.budgets.borrow_mut();
        if budgets.len() <= key.index() {
            budgets.resize_with(key.index() + 1, || None);
        }
        match &mut budgets[key.index()] {
            Some(budget) => budget.configure(settings),
            none => *none = Some(RetryBudget::new(settings)),
        }
    }

    /// Admits a request and tries it until it is answered or given up.
    pub(crate) async fn run(&self, intake: &Intake, id: &RequestId) -> Result<Answer, Refused> {
        let _place = self.admit(intake.entry)?;
        self.with_budget(intake.entry, |now, budget| budget.record_request(now));
        let is_idempotent = intake.route.class == catalogue::Class::Idempotent;
        let is_divided = intake.key.is_some();
        let mut attempt = RetryState::new(
            self.settings.attempt,
            is_idempotent,
            is_divided,
            intake.deadline,
        );
        let mut avoid = Vec::new();
        loop {
            let under_way = attempt.start();
            let (upstream, result) = self.try_once(intake, id, &avoid).await;
            let how = match &result {
                Ok(_) => AttemptEnd::Answered,
                Err(refusal) => AttemptEnd::Failed {
                    reason: refusal.reason,
                    retry_after: refusal.retry_after,
                },
            };
            let next = self.with_budget(intake.entry, |now, budget| {
                under_way.ended(now, how, budget)
            });
            let (again, pause, reason) = match next {
                RetryDecision::Done(verdict) => {
                    return result.map_err(|refusal| Refused {
                        reason: verdict.reason.unwrap_or(refusal.reason),
                        retry_after: verdict.retry_after,
                    });
                }
                RetryDecision::Retry {
                    state,
                    delay,
                    reason,
                } => (state, delay, reason),
                RetryDecision::RetryElsewhere {
                    state,
                    delay,
                    reason,
                } => {
                    avoid.extend(upstream);
                    (state, delay, reason)
                }
            };
            self.cx.metrics.retried(reason);
            attempt = again;
            tokio::time::sleep(pause).await;
        }
    }

    fn admit(&self, entry: EntryKey) -> Result<Place<'_>, Refused> {
        let admitted = self.admission.borrow_mut().admit(self.cx.now(), entry);
        match admitted {
            Ok(admitted) => Ok(Place {
                path: self,
                admitted: Some(admitted),
            }),
            Err(rejected) => Err(Refused {
                reason: rejected.reason,
                retry_after: Some(rejected.retry_after),
            }),
        }
    }

    fn with_budget<T>(
        &self,
        entry: EntryKey,
        f: impl FnOnce(Timestamp, &mut RetryBudget) -> T,
    ) -> T {
        let now = self.cx.now();
        let mut budgets = self.budgets.borrow_mut();
        let slot = budgets
            .get_mut(entry.index())
            .expect("a located entry has a budget");
        let budget = slot.get_or_insert_with(|| RetryBudget::new(self.settings.budget));
        f(now, budget)
    }

    /// Routes and tries a request once; returns also the upstream that was chosen.
    async fn try_once(
        &self,
        intake: &Intake,
        id: &RequestId,
        avoid: &[UpstreamKey],
    ) -> (Option<UpstreamKey>, Result<Answer, Refusal>) {
        let router = self.router();
        let (target, picked) = match self.target(&router, intake, avoid) {
            Ok(found) => found,
            Err(reason) => return (None, Err(Refusal::of(reason))),
        };
        let reply = match self.call(&router, target, intake, id) {
            Some(call) => self.hand_over(&router, target, call).await,
            None => Reply::refused(Reason::NoUpstream),
        };
        if let Err(refusal) = &reply.result {
            self.cx.record_seen_revision(refusal.revision);
        }
        if let Some(picked) = picked {
            picked.replied(&reply);
        }
        (Some(target.upstream), reply.result)
    }

    /// Chooses where a request goes.
    fn target(
        &self,
        router: &Router,
        intake: &Intake,
        avoid: &[UpstreamKey],
    ) -> Result<(Target, Option<Picked<'_>>), Reason> {
        if let Some(key) = intake.key {
            return Ok((router.owner(intake.entry, key)?, None));
        }
        let now = self.cx.now();
        let upstream = self
            .picker
            .borrow_mut()
            .pick(now, router, intake.entry, avoid)?;
        let picked = Picked {
            path: self,
            upstream,
            done: false,
        };
        Ok((router.target(upstream)?, Some(picked)))
    }

    fn call(
        &self,
        router: &Router,
        target: Target,
        intake: &Intake,
        id: &RequestId,
    ) -> Option<Call> {
        let left = intake.deadline.since(self.cx.now());
        Some(Call {
            entry: intake.route.id.clone(),
            upstream: router.upstream(target.upstream)?.id.clone(),
            slice: target.slice,
            key: intake.key,
            deadline: intake.deadline - self.reserve.min(left / RESERVE_SHARE),
            idempotent: intake.route.class == catalogue::Class::Idempotent,
            request_id: id.clone(),
            revision: router.revision(),
            parts: Arc::clone(&intake.parts),
        })
    }

    /// Hands a call to its coordinating host and waits for the reply.
    async fn hand_over(&self, router: &Router, target: Target, call: Call) -> Reply {
        let Some(host) = router.host(target.host) else {
            return Reply::refused(Reason::HostUnreachable);
        };
        let limit = call.deadline.since(self.cx.now()) + self.reserve;
        if *host == self.cx.host {
            return self.hand_over_here(call, limit).await;
        }
        match self.peers.call(host, call) {
            Ok(call) => call.reply(limit).await,
            Err(reason) => Reply::refused(reason),
        }
    }

    async fn hand_over_here(&self, call: Call, limit: Duration) -> Reply {
        let ticket = match self.dispatch.call(call) {
            Ok(ticket) => ticket,
            Err(reason) => return Reply::refused(reason),
        };
        tokio::time::timeout(limit, ticket.reply())
            .await
            .unwrap_or_else(|_elapsed| Reply::refused(Reason::AnswerTimeout))
    }
}

/// The reserve is at most this part of the time left.
const RESERVE_SHARE: u32 = 20;

/// A place under an entry's limits, given back when it goes.
struct Place<'a> {
    path: &'a Path,
    admitted: Option<AdmissionPermit>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(admitted) = self.admitted.take() {
            self.path.admission.borrow_mut().release(admitted);
        }
    }
}

/// A try at an upstream that the picker chose; the picker hears of its end.
struct Picked<'a> {
    path: &'a Path,
    upstream: UpstreamKey,
    done: bool,
}

impl Picked<'_> {
    fn replied(mut self, reply: &Reply) {
        self.done = true;
        let now = self.path.cx.now();
        let mut picker = self.path.picker.borrow_mut();
        match &reply.result {
            Err(refusal) if tells_fault(refusal.reason) => picker.failed(now, self.upstream),
            _ => picker.replied(now, self.upstream, reply.load),
        }
    }
}

impl Drop for Picked<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.path.picker.borrow_mut().abandoned(self.upstream);
        }
    }
}

/// Tells whether a refusal is the fault of the upstream or its coordinating host.
const fn tells_fault(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::ConnectFailed
            | Reason::UpstreamReset
            | Reason::AnswerCut
            | Reason::AnswerTooLarge
            | Reason::AnswerMismatch
            | Reason::AnswerTimeout
            | Reason::HostUnreachable
            | Reason::HostLost
            | Reason::NoLease
            | Reason::NoOwner
            | Reason::GrantRefused
            | Reason::StaleRoute
            | Reason::Leaving
    )
}

/// Counts a request whose caller left before its end.
pub(crate) struct CallerWatch<'a> {
    metrics: &'a Metrics,
    ended: bool,
}

impl<'a> CallerWatch<'a> {
    pub(crate) const fn new(metrics: &'a Metrics) -> Self {
        Self {
            metrics,
            ended: false,
        }
    }

    /// Takes note that the request is answered or refused.
    pub(crate) fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for CallerWatch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.metrics.refused(Reason::CallerGone);
        }
    }
}
