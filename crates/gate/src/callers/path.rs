//! Admits a request and attempts it until it is answered or refused.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use ids::{ArenaKey, Reason, RequestId, Timestamp};
use route::{
    Admission, AdmissionPermit, AttemptEnd, BudgetSettings, EntryKey, Picker, PickerSettings,
    RetryBudget, RetryDecision, RetrySettings, RetryState, Router, Target, UpstreamKey,
};

use crate::call::{Answer, Call, Refusal, Reply};
use crate::callers::request_reader::BufferedRequest;
use crate::context::GateContext;
use crate::counters::Metrics;
use crate::dispatch::DispatchTx;
use crate::peer::Peers;
use crate::settings::{GateSettings, millis};

/// Settings of the decisions on the entry host.
#[derive(Debug, Clone, Default)]
pub struct PathSettings {
    /// Retries of one request.
    pub retry: RetrySettings,
    /// Choice of an upstream for entries that are not divided by key.
    pub picker: PickerSettings,
    /// Retry budgets, except their percentage, which entries declare.
    pub budget: BudgetSettings,
}

/// The refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) reason: Reason,
    pub(crate) retry_after: Option<Duration>,
}

impl From<Reason> for Refused {
    fn from(reason: Reason) -> Self {
        let retry_after = match reason {
            Reason::NoCatalogue => Some(STARTING_RETRY_AFTER),
            Reason::Overload => Some(OVERLOAD_RETRY_AFTER),
            _ => None,
        };
        Self {
            reason,
            retry_after,
        }
    }
}

/// Retry delay sent by a host that has no catalogue yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay sent by a host that holds too many bytes of bodies.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(100);

/// State of routing on the entry host, owned by the callers' thread.
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

    /// Returns the current routing snapshot, after applying its limits.
    pub(crate) fn router(&self) -> Arc<Router> {
        let current = self.cx.router.load();
        let live_hosts = self.cx.live_hosts();
        let is_current = Arc::ptr_eq(&current, &self.router.borrow());
        if !is_current || live_hosts != self.live_hosts.get() {
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
            slot => *slot = Some(RetryBudget::new(settings)),
        }
    }

    /// Admits a request and attempts it until it is answered or refused.
    pub(crate) async fn run(
        &self,
        request: &BufferedRequest,
        id: &RequestId,
    ) -> Result<Answer, Refused> {
        let _admission = self.admit(request.entry)?;
        self.with_budget(request.entry, |now, budget| budget.record_request(now));
        let is_idempotent = request.route.class == catalogue::Class::Idempotent;
        let is_divided = request.key.is_some();
        let mut retry_state = RetryState::new(
            self.settings.retry,
            is_idempotent,
            is_divided,
            request.deadline,
        );
        let mut excluded = Vec::new();
        loop {
            let in_flight = retry_state.start();
            let (upstream, result) = self.attempt_once(request, id, &excluded).await;
            let end = match &result {
                Ok(_) => AttemptEnd::Answered,
                Err(refusal) => AttemptEnd::Failed {
                    reason: refusal.reason,
                    retry_after: refusal.retry_after,
                },
            };
            let next = self.with_budget(request.entry, |now, budget| {
                in_flight.ended(now, end, budget)
            });
            let (next_state, retry_delay, reason) = match next {
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
                    excluded.extend(upstream);
                    (state, delay, reason)
                }
            };
            self.cx.metrics.retried(reason);
            retry_state = next_state;
            tokio::time::sleep(retry_delay).await;
        }
    }

    fn admit(&self, entry: EntryKey) -> Result<AdmissionGuard<'_>, Refused> {
        let permit = self.admission.borrow_mut().admit(self.cx.now(), entry);
        match permit {
            Ok(permit) => Ok(AdmissionGuard {
                path: self,
                permit: Some(permit),
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

    /// Routes a request and attempts it once; also returns the chosen upstream.
    async fn attempt_once(
        &self,
        request: &BufferedRequest,
        id: &RequestId,
        excluded: &[UpstreamKey],
    ) -> (Option<UpstreamKey>, Result<Answer, Refusal>) {
        let router = self.router();
        let (target, picked) = match self.target(&router, request, excluded) {
            Ok(found) => found,
            Err(reason) => return (None, Err(Refusal::of(reason))),
        };
        let reply = match self.call(&router, target, request, id) {
            Some(call) => self.send(&router, target, call).await,
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

    /// Chooses the upstream and host for a request.
    fn target(
        &self,
        router: &Router,
        request: &BufferedRequest,
        excluded: &[UpstreamKey],
    ) -> Result<(Target, Option<PickedAttempt<'_>>), Reason> {
        if let Some(key) = request.key {
            return Ok((router.owner(request.entry, key)?, None));
        }
        let now = self.cx.now();
        let upstream = self
            .picker
            .borrow_mut()
            .pick(now, router, request.entry, excluded)?;
        let picked = PickedAttempt {
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
        request: &BufferedRequest,
        id: &RequestId,
    ) -> Option<Call> {
        let left = request.deadline.since(self.cx.now());
        Some(Call {
            entry: request.route.id.clone(),
            upstream: router.upstream(target.upstream)?.id.clone(),
            slice: target.slice,
            key: request.key,
            deadline: request.deadline - self.reserve.min(left / RESERVE_DIVISOR),
            total_time: request.total_time,
            idempotent: request.route.class == catalogue::Class::Idempotent,
            request_id: id.clone(),
            revision: router.revision(),
            parts: Arc::clone(&request.parts),
        })
    }

    /// Sends a call to its coordinating host and waits for the reply.
    async fn send(&self, router: &Router, target: Target, call: Call) -> Reply {
        let Some(host) = router.host(target.host) else {
            return Reply::refused(Reason::HostUnreachable);
        };
        let limit = call.deadline.since(self.cx.now()) + self.reserve;
        if *host == self.cx.host {
            return self.send_locally(call, limit).await;
        }
        match self.peers.call(host, call) {
            Ok(call) => call.reply(limit).await,
            Err(reason) => Reply::refused(reason),
        }
    }

    async fn send_locally(&self, call: Call, limit: Duration) -> Reply {
        let pending = match self.dispatch.call(call) {
            Ok(pending) => pending,
            Err(reason) => return Reply::refused(reason),
        };
        tokio::time::timeout(limit, pending.reply())
            .await
            .unwrap_or_else(|_elapsed| Reply::refused(Reason::AnswerTimeout))
    }
}

/// The reserve is at most the remaining time divided by this.
const RESERVE_DIVISOR: u32 = 20;

/// A permit under an entry's limits, released on drop.
struct AdmissionGuard<'a> {
    path: &'a Path,
    permit: Option<AdmissionPermit>,
}

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.path.admission.borrow_mut().release(permit);
        }
    }
}

/// An attempt at an upstream chosen by the picker; reports its end to the picker.
struct PickedAttempt<'a> {
    path: &'a Path,
    upstream: UpstreamKey,
    done: bool,
}

impl PickedAttempt<'_> {
    fn replied(mut self, reply: &Reply) {
        self.done = true;
        let now = self.path.cx.now();
        let mut picker = self.path.picker.borrow_mut();
        match &reply.result {
            Err(refusal) if is_upstream_fault(refusal.reason) => picker.failed(now, self.upstream),
            _ => picker.replied(now, self.upstream, reply.load),
        }
    }
}

impl Drop for PickedAttempt<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.path.picker.borrow_mut().abandoned(self.upstream);
        }
    }
}

/// Returns whether a refusal is caused by the upstream or its coordinating host.
const fn is_upstream_fault(reason: Reason) -> bool {
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

/// Counts a request as abandoned if it is dropped before its end.
pub(crate) struct CallerGoneCounter<'a> {
    metrics: &'a Metrics,
    ended: bool,
}

impl<'a> CallerGoneCounter<'a> {
    pub(crate) const fn new(metrics: &'a Metrics) -> Self {
        Self {
            metrics,
            ended: false,
        }
    }

    /// Records that the request was answered or refused.
    pub(crate) fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for CallerGoneCounter<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.metrics.refused(Reason::CallerGone);
        }
    }
}
