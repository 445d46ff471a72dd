//! One attempt of a request: sends it to an upstream and classifies the response.

use bytes::Bytes;
use direct::{AttemptEnd, Registration, SentRequest, UpstreamState, UpstreamStatus};
use gate::counters::{Count, Latency};
use gate::upstream::AnswerHead;
use http::Response;
use http_body_util::Full;
use ids::{BootClock, Clock, Reason, Timestamp};

use super::eligibility::PermitStatus;
use super::{CallerRequest, Forwarder, reply};
use crate::observation::UpstreamObservation;
use crate::ports::{ClassifiedResponse, ResponseClass};
use crate::upstream_client::UpstreamResponse;

/// Weight of one answer in an entry's mean service time.
const SERVICE_WEIGHT: f64 = 0.05;

impl Forwarder {
    /// Sends the request to `target` and classifies the response.
    pub(super) async fn attempt(
        &self,
        request: &CallerRequest,
        target: &Registration,
        permit_status: PermitStatus,
    ) -> Result<Response<Full<Bytes>>, AttemptEnd> {
        let now = BootClock.now();
        self.metrics.count(Count::Sent);
        let sent = self.with_load(target, |load| load.sent(now, &self.load_cfg));
        let mut in_flight = InFlight {
            forwarder: self,
            target,
            sent,
            has_ended: false,
        };
        let result = self.exchange(request, target, permit_status).await;
        in_flight.end();
        drop(in_flight);
        result
            .inspect(|_| self.record_answer(request, target, sent))
            .inspect_err(|&end| self.record_failure(target, end))
    }

    async fn exchange(
        &self,
        request: &CallerRequest,
        target: &Registration,
        permit_status: PermitStatus,
    ) -> Result<Response<Full<Bytes>>, AttemptEnd> {
        let sent = BootClock.now();
        let exchanged = self
            .exchange_with_target(request, target, permit_status)
            .await;
        let response = exchanged.map_err(|failed| {
            if let Some(head) = &failed.head {
                let classified = self.classify(head, request, target);
                self.report_status(&classified.upstream_status, target, sent);
            }
            failed.end
        })?;
        let classified = self.classify(&response.head, request, target);
        if let Some(report) = classified.load {
            let now = BootClock.now();
            self.with_load(target, |load| load.reported(now, report));
            request.report.set(Some(report));
        }
        self.report_status(&classified.upstream_status, target, sent);
        let UpstreamResponse { head, body } = response;
        match classified.class {
            ResponseClass::Answer
                if head.status.is_server_error() && request.resolved.route.idempotent =>
            {
                // Another upstream, or the same one later, may succeed; this one is alive.
                self.crash_detector.record_answer(request.fingerprint);
                let failure = reply::response(head.status, head.headers, body);
                request.failure.set(Some(failure));
                Err(AttemptEnd::MayHaveRun(Reason::UpstreamReset))
            }
            ResponseClass::Answer => Ok(reply::response(head.status, head.headers, body)),
            ResponseClass::NotRun => Err(AttemptEnd::NotRun(Reason::UpstreamShed)),
            ResponseClass::Misdirected => Err(AttemptEnd::Misdirected),
            ResponseClass::Replaced => Err(AttemptEnd::Replaced),
            ResponseClass::Mismatch => Err(AttemptEnd::MayHaveRun(Reason::AnswerMismatch)),
        }
    }

    fn classify(
        &self,
        head: &AnswerHead,
        request: &CallerRequest,
        target: &Registration,
    ) -> ClassifiedResponse {
        let id = &request.caller_headers.id;
        self.header_format.classify(head, id, &target.server)
    }

    /// Records and reports the status that an upstream sent in the response, of any class, to a
    /// request that was sent at `sent`.
    fn report_status(&self, status: &UpstreamStatus, target: &Registration, sent: Timestamp) {
        let now = BootClock.now();
        let has_new_limit = self.with_load(target, |load| load.record_status(now, sent, status));
        if has_new_limit || status.pause.is_some() {
            self.upstream_changes.send_replace(());
        }
        let view = self.view.load();
        let known = view.registry.get(&target.id);
        let is_newly_leaving =
            status.is_leaving && known.is_some_and(|u| u.state == UpstreamState::Ready);
        if has_new_limit || is_newly_leaving {
            self.observations.send(UpstreamObservation::Status {
                upstream: target.id.clone(),
                sent_at: sent,
                status: *status,
            });
        }
    }

    pub(super) fn record_answer(
        &self,
        request: &CallerRequest,
        target: &Registration,
        sent: SentRequest,
    ) {
        let now = BootClock.now();
        self.metrics.record(Latency::Upstream, now.since(sent.at()));
        let service_time = self.with_load(target, |load| {
            load.answered(now, sent, &self.load_cfg);
            load.service_time()
        });
        let Some(service_time) = service_time else {
            return;
        };
        if let Some(entry) = self.entries.borrow_mut().get_mut(&request.resolved.entry) {
            entry.service_time += SERVICE_WEIGHT * (service_time - entry.service_time);
        }
    }

    pub(super) fn record_failure(&self, target: &Registration, end: AttemptEnd) {
        let now = BootClock.now();
        let cfg = &self.load_cfg;
        let suspects_link = self.suspects_link(target);
        self.with_load(target, |load| match end {
            AttemptEnd::Unsent(Reason::ConnectFailed) => load.connect_failed(now, cfg),
            AttemptEnd::Replaced => load.replaced(now, cfg),
            AttemptEnd::Unsent(_) | AttemptEnd::Misdirected => {}
            AttemptEnd::NotRun(_) => load.shed(now, cfg),
            AttemptEnd::MayHaveRun(_) if suspects_link => {}
            AttemptEnd::MayHaveRun(_) => load.failed(now, cfg),
        });
        if end == AttemptEnd::Replaced {
            self.upstream_changes.send_replace(());
        }
    }
}

/// An attempt in flight; dropping it before its end means that the caller has gone.
struct InFlight<'a> {
    forwarder: &'a Forwarder,
    target: &'a Registration,
    sent: SentRequest,
    has_ended: bool,
}

impl InFlight<'_> {
    fn end(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let waited = BootClock.now().since(self.sent.at());
        let cfg = &self.forwarder.load_cfg;
        self.forwarder.with_load(self.target, |load| {
            load.ended();
            if !self.has_ended {
                load.timed_out(waited, cfg);
            }
        });
        if !self.has_ended {
            self.forwarder.metrics.count(Count::Aborted);
        }
    }
}
