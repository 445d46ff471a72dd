//! Requests for permits at other hosts, and the permits they return.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use direct::{
    LoadReport, PermitEnd, PermitHost, PermitReply, PermitRequest, RateLimit, Registration,
};
use gate::counters::Count;
use ids::{BootClock, Clock, Timestamp, UpstreamId};
use tokio::sync::mpsc;

use super::messages::{Acquire, Payload, Release};
use super::{PermitService, Reply};
use crate::view::View;

/// Time for the reply to a request for a permit, which is sent at once: ten one-way trips between
/// the failure domains of today's users, and one turn of a host that has a tenth of a core.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);
/// Time for the reply to a request that was repeated. A large body occupies a slow link of a host
/// for some 50 ms, and datagrams wait behind it.
const REPEATED_REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of requests in a row without a reply from which on a host counts as unresponsive. As long
/// as it replies to others, another host must not grant permits beside it.
const MIN_MISSES: u32 = 2;
/// Time for which a host that did not reply is not asked again; it doubles with each further miss.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum of that time.
const MAX_BACKOFF: Duration = Duration::from_secs(16);
/// When to retry at a cold upstream that has no reachable permit host: a third of the time that
/// today's upstreams need to become warm.
const COLD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Number of hosts that are asked in turn for a permit without which a request is not sent.
const MAX_PERMIT_HOSTS: u32 = 2;
/// Time after which a queued request asks again, as a factor of the expected time: the reply that
/// grants the permit may be lost. Requests that are more urgent may also have overtaken it, so it
/// is not sent without an answer.
const QUEUE_TIMEOUT_FACTOR: f64 = 1.5;

#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    until: Timestamp,
    misses: u32,
}

/// Outcome of a request for a permit.
#[derive(Debug)]
pub enum Admission {
    /// The request may be sent.
    Granted(Permit),
    /// The request can't be answered in time.
    Full {
        /// Time until a slot is free.
        retry_after: Duration,
    },
    /// The request may not be sent: the upstream is cold or has a rate limit, and gets no more for
    /// now.
    RateLimited {
        /// Time until another request may start.
        retry_after: Duration,
        /// The upstream's rate limit as known to the permit host.
        limit: Option<RateLimit>,
    },
    /// The request may no longer go to the upstream; the wait for the permit was ended.
    Withdrawn,
    /// No host replied.
    Unknown,
}

impl PermitService {
    /// Returns the permit host of `target` among those that are responsive, without `excluded`.
    fn permit_host(
        &self,
        view: &View,
        target: &Registration,
        excluded: Option<SocketAddr>,
        now: Timestamp,
    ) -> Option<PermitHost> {
        let hosts = view.permit_hosts.get(&target.domain)?;
        hosts.host_of(&target.id, |address| {
            excluded == Some(address) || self.is_in_backoff(address, now)
        })
    }

    /// Returns the permit host of `target` by the hosts' rows alone, if it is responsive.
    fn preferred_permit_host(
        &self,
        view: &View,
        target: &Registration,
        now: Timestamp,
    ) -> Option<PermitHost> {
        let hosts = view.permit_hosts.get(&target.domain)?;
        let host = hosts.host_of(&target.id, |_| false)?;
        (!self.is_in_backoff(host.address, now)).then_some(host)
    }

    fn is_in_backoff(&self, host: SocketAddr, now: Timestamp) -> bool {
        let backoffs = self.backoffs.borrow();
        backoffs.get(&host).is_some_and(|b| now < b.until)
    }

    /// Requests a permit at `target`. If the upstream is known to be cold, a request without a
    /// permit is refused.
    ///
    /// If the upstream is known to have a rate limit, or `needs_permit` is true, the next host in
    /// rank is asked when the first one does not reply.
    pub async fn admit(
        self: &Rc<Self>,
        view: &View,
        target: &Registration,
        permit_request: &PermitRequest,
        needs_permit: bool,
    ) -> Admission {
        let is_cold = permit_request
            .cold
            .is_some_and(|cold| !cold.remaining.is_zero());
        if is_cold {
            let host = self.preferred_permit_host(view, target, BootClock.now());
            return match self.request_permit(host, target, permit_request).await {
                Admission::Unknown => Admission::RateLimited {
                    retry_after: COLD_RETRY_AFTER,
                    limit: None,
                },
                known => known,
            };
        }
        let has_rate_limit = permit_request.limit.per_s().is_some();
        let max_hosts = if has_rate_limit || needs_permit {
            MAX_PERMIT_HOSTS
        } else {
            1
        };
        let mut without_reply = None;
        for _ in 0..max_hosts {
            let host = self.permit_host(view, target, without_reply, BootClock.now());
            match self.request_permit(host, target, permit_request).await {
                Admission::Unknown => without_reply = host.map(|h| h.address),
                known => return known,
            }
        }
        Admission::Unknown
    }

    async fn request_permit(
        self: &Rc<Self>,
        host: Option<PermitHost>,
        target: &Registration,
        permit_request: &PermitRequest,
    ) -> Admission {
        let Some(PermitHost {
            address: host,
            skipped_hosts,
        }) = host
        else {
            return Admission::Unknown;
        };
        let mut permit_request = PermitRequest {
            skipped_hosts,
            ..permit_request.clone()
        };
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (tx, mut replies) = mpsc::unbounded_channel();
        self.requests.borrow_mut().insert(request, tx);
        let mut permit = Permit {
            service: Rc::clone(self),
            host,
            upstream: target.id.clone(),
            request,
            end: PermitEnd::Unknown,
            report: None,
            limit: permit_request.limit,
        };
        let mut asked = BootClock.now();
        self.ask(host, request, target, &permit_request);
        let mut timeout = REPLY_TIMEOUT;
        let mut may_ask_again = true;
        loop {
            let reply = tokio::time::timeout(timeout, replies.recv()).await;
            if matches!(reply, Ok(Some(_))) {
                self.backoffs.borrow_mut().remove(&host);
            }
            let Ok(Some(Reply { reply, limit })) = reply else {
                if !std::mem::take(&mut may_ask_again) {
                    self.record_no_reply(host, BootClock.now());
                    return Admission::Unknown;
                }
                let now = BootClock.now();
                permit_request = permit_request.after(now.since(asked));
                asked = now;
                self.metrics.count(Count::PermitsAskedAgain);
                self.ask(host, request, target, &permit_request);
                timeout = REPEATED_REPLY_TIMEOUT;
                continue;
            };
            match reply {
                PermitReply::Granted => return Admission::Granted(permit),
                PermitReply::Full { retry_after } => {
                    permit.discard();
                    return Admission::Full { retry_after };
                }
                PermitReply::RateLimited { retry_after } => {
                    permit.discard();
                    return Admission::RateLimited { retry_after, limit };
                }
                PermitReply::Queued { expected_time } => {
                    may_ask_again = true;
                    timeout = expected_time.mul_f64(QUEUE_TIMEOUT_FACTOR) + REPLY_TIMEOUT;
                }
            }
        }
    }

    /// Asks `host` for a permit; a request that it knows already is answered with its state.
    fn ask(
        &self,
        host: SocketAddr,
        request: u64,
        target: &Registration,
        permit_request: &PermitRequest,
    ) {
        let acquire = Acquire::new(target.id.to_string(), target.slots, permit_request);
        let payload = Payload::Acquire(acquire);
        self.send(host, request, payload, &permit_request.limit);
    }

    fn record_no_reply(&self, host: SocketAddr, now: Timestamp) {
        self.metrics.count(Count::PermitsSilent);
        let mut all = self.backoffs.borrow_mut();
        let backoff = all.entry(host).or_insert(Backoff {
            until: now,
            misses: 0,
        });
        backoff.misses += 1;
        if let Some(doublings) = backoff.misses.checked_sub(MIN_MISSES) {
            let duration = MIN_BACKOFF * (1 << doublings.min(5));
            backoff.until = now + duration.min(MAX_BACKOFF);
        }
    }
}

/// A permit at an upstream, or a pending request for one; dropping it releases it.
#[derive(Debug)]
pub struct Permit {
    service: Rc<PermitService>,
    host: SocketAddr,
    upstream: UpstreamId,
    request: u64,
    end: PermitEnd,
    report: Option<LoadReport>,
    limit: RateLimit,
}

impl Permit {
    /// Records how the request ended, the load that the upstream reported, and its rate limit as
    /// now known.
    pub fn record_end(&mut self, end: PermitEnd, report: Option<LoadReport>, limit: RateLimit) {
        self.end = end;
        self.report = report;
        self.limit = limit;
    }

    /// Drops a request for a permit that was refused: there is nothing to release.
    fn discard(&mut self) {
        self.service.requests.borrow_mut().remove(&self.request);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self
            .service
            .requests
            .borrow_mut()
            .remove(&self.request)
            .is_none()
        {
            return;
        }
        let release = Release::new(self.upstream.to_string(), self.end, self.report);
        let payload = Payload::Release(release);
        self.service
            .send(self.host, self.request, payload, &self.limit);
    }
}
