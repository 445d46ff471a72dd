//! Detection of requests during which upstreams crash, on the request thread.
//!
//! A connection that breaks during a request does not prove a crash: upstreams at capacity break
//! connections too, and some lose single answers. The detector therefore opens another connection
//! to the upstream. If the upstream's system refuses it, and no other host reaches the upstream, the
//! process has ended, and the request is reported to the control thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use direct::{AttemptEnd, LinkLoss, RecentAnswers, Registration, RequestFingerprint};
use gate::Metrics;
use gate::counters::Count;
use ids::{BootClock, Clock, Reason, UpstreamId};
use slog::{Logger, info};
use smol_str::SmolStr;
use tokio::task::JoinHandle;

use crate::connections::ConnectionPool;
use crate::observation::{ObservationTx, UpstreamObservation};
use crate::reach::{ProbeResult, ReachChecker};

/// Delay before a request is retried whose upstream has crashed: two one-way trips between hosts
/// and one turn of the processor at each of two hosts, in which they may find that the request is
/// the cause.
const CRASH_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay before an upstream that still accepted a connection is probed again: a process that ends
/// closes its sockets one after the other, and may close the connections of requests before its
/// listener.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(250);

/// Detects upstreams that crash during a request.
#[derive(Debug)]
pub(crate) struct CrashDetector {
    connections: Rc<ConnectionPool>,
    reach: Rc<ReachChecker>,
    answered: RefCell<RecentAnswers>,
    observations: ObservationTx,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl CrashDetector {
    /// Builds a detector that sends crashes to `observations`.
    #[must_use]
    pub(crate) fn new(
        connections: Rc<ConnectionPool>,
        reach: Rc<ReachChecker>,
        observations: ObservationTx,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        Self {
            connections,
            reach,
            answered: RefCell::default(),
            observations,
            metrics,
            log,
        }
    }

    /// Records that a request was answered, which shows that it did not crash its upstream.
    pub fn record_answer(&self, fingerprint: RequestFingerprint) {
        self.answered
            .borrow_mut()
            .record(BootClock.now(), fingerprint);
    }

    /// Checks whether `target` crashed during a request whose attempt ended with `end`, and
    /// reports a crash. Returns none if the attempt gives no reason to check.
    ///
    /// The task ends when the result is known and, after a crash, other hosts have had time to find
    /// that the request is the cause.
    pub fn check_attempt(
        self: &Rc<Self>,
        target: &Registration,
        fingerprint: RequestFingerprint,
        request: &SmolStr,
        end: AttemptEnd,
    ) -> Option<JoinHandle<()>> {
        let is_break = matches!(
            end,
            AttemptEnd::MayHaveRun(Reason::UpstreamReset | Reason::AnswerCut)
        );
        if !is_break || self.answered.borrow().contains(fingerprint) {
            return None;
        }
        let (detector, target, request) = (Rc::clone(self), target.clone(), request.clone());
        Some(tokio::task::spawn_local(async move {
            if detector.has_ended(&target).await {
                detector.report(&target.id, fingerprint, &request);
                tokio::time::sleep(CRASH_RETRY_DELAY).await;
            } else {
                tokio::task::spawn_local(detector.probe_again(target, fingerprint, request));
            }
        }))
    }

    /// Probes `target` once more after a delay and reports a crash.
    async fn probe_again(
        self: Rc<Self>,
        target: Registration,
        fingerprint: RequestFingerprint,
        request: SmolStr,
    ) {
        tokio::time::sleep(SECOND_PROBE_DELAY).await;
        // An open connection leads to a process that runs.
        let is_alive = self.connections.has_open(BootClock.now(), &target.id).await;
        if !is_alive && self.has_ended(&target).await {
            self.report(&target.id, fingerprint, &request);
        }
    }

    fn report(&self, upstream: &UpstreamId, fingerprint: RequestFingerprint, request: &SmolStr) {
        self.metrics.count(Count::UpstreamsEnded);
        info!(self.log, "upstream ended under request"; "request" => request.as_str(),
            "content" => %fingerprint, "upstream" => upstream.as_str());
        self.observations.send(UpstreamObservation::Crashed {
            fingerprint,
            upstream: upstream.clone(),
        });
    }

    /// Returns whether the process of `target` has ended: its system refuses connections of this host,
    /// and no other host reaches it. This host alone may have lost its link to it.
    async fn has_ended(&self, target: &Registration) -> bool {
        let since = BootClock.now();
        let is_refused = self.reach.probe(target).await == ProbeResult::Failed(LinkLoss::Refused);
        is_refused
            && !self
                .reach
                .confirm_lost(target, LinkLoss::Refused, since)
                .await
    }
}
