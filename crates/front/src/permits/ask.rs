//! Asking for permits, and having one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use direct::{
    LoadReport, PermitEnd, PermitHost, PermitReply, PermitRequest, RateLimit, Registration,
};
use gate::counters::Count;
use ids::{BootClock, Clock, Timestamp, UpstreamId};
use tokio::sync::mpsc;

use super::messages::{Ask, End, Word};
use super::{PermitService, Replied};
use crate::view::View;

/// Time for the reply to a question, which is given at once: ten ways between the failure domains of
/// today's users, and the turn of a host that has a tenth of a core.
const REPLY_WITHIN: Duration = Duration::from_millis(30);
/// Time for which a host that did not reply is not asked, after the first time; it doubles.
const SILENT_MIN: Duration = Duration::from_millis(500);
/// The longest such time.
const SILENT_MAX: Duration = Duration::from_secs(16);
/// Time after which room is looked for again at a cold upstream whose permits nobody hands out: a third of
/// what today's upstreams need to become warm.
const COLD_COME_BACK: Duration = Duration::from_secs(1);
/// Hosts that are asked one after the other for a permit at an upstream that limits its requests.
const LIMITED_TURNS: u32 = 2;
/// Beyond the expected time, the part of it for which a request waits for its turn: a reply may be
/// lost.
const PATIENCE: f64 = 1.5;

#[derive(Debug, Clone, Copy)]
pub(super) struct Silent {
    until: Timestamp,
    times: u32,
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
        limit: Option<RateLimit>,
    },
    /// Nobody could be asked.
    Unknown,
}

impl PermitService {
    /// Returns the host that hands out the permits at `target`, of those that are not silent.
    fn host_of(&self, view: &View, target: &Registration, now: Timestamp) -> Option<PermitHost> {
        let hosts = view.permit_hosts.get(&target.domain)?;
        hosts.host_of(&target.id, |address| self.is_silent(address, now))
    }

    /// Returns the host that hands out the permits at `target` by the hosts' rows alone, if it is not
    /// silent.
    fn only_host_of(
        &self,
        view: &View,
        target: &Registration,
        now: Timestamp,
    ) -> Option<PermitHost> {
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
        target: &Registration,
        wanted: &PermitRequest,
    ) -> Admission {
        let is_cold = wanted.cold.is_some_and(|cold| !cold.remaining.is_zero());
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
        target: &Registration,
        wanted: &PermitRequest,
    ) -> Admission {
        let Some(PermitHost {
            address: host,
            skipped_hosts,
        }) = host
        else {
            return Admission::Unknown;
        };
        let wanted = PermitRequest {
            skipped_hosts,
            ..*wanted
        };
        let is_cold = wanted.cold.is_some_and(|cold| !cold.remaining.is_zero());
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
                PermitReply::Granted => return Admission::Go(permit),
                PermitReply::Full {
                    retry_after: room_in,
                } => {
                    permit.forget();
                    return Admission::Full { room_in };
                }
                PermitReply::RateLimited {
                    retry_after: room_in,
                } => {
                    permit.forget();
                    return Admission::Paced { room_in, limit };
                }
                PermitReply::Queued { expected_time } => {
                    has_replied = true;
                    is_bounded |= limit.is_some_and(|limit| limit.per_s().is_some());
                    within = expected_time.mul_f64(PATIENCE) + REPLY_WITHIN;
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
    limit: RateLimit,
}

impl Permit {
    /// Notes how the request ended, what the upstream said of its load, and what is known of its limit now.
    pub fn ended(&mut self, end: PermitEnd, report: Option<LoadReport>, limit: RateLimit) {
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
