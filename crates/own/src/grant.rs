//! The grant of one upstream, as seen by its coordinating host.
//!
//! A grant expires by the upstream's clock, counted from a reading that the upstream supplied. The
//! reading was taken between the sending of an attempt and the receipt of its reply, which bounds
//! the expiry from both sides by the local clock, however late the grant itself arrives.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ids::{Epoch, HostId, SliceNo, Timestamp};
use wire::grant::{GrantRefusal, GrantReply, GrantRequest, GrantScope, SliceRunning};

use crate::OwnershipSettings;

/// Maximum number of attempts that await replies.
const MAX_PENDING_ATTEMPTS: usize = 16;
/// Number of unanswered attempts from which an upstream may be considered unresponsive.
const UNRESPONSIVE_ATTEMPTS: u32 = 3;
/// The same for it to be suspected.
const SUSPECT_ATTEMPTS: u32 = 2;
/// Minimum time between two attempts after a refusal.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A reading of the upstream's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ClockReading {
    incarnation: u64,
    value_us: u64,
    /// Local time at which the attempt that returned the reading was sent.
    sent_at: Timestamp,
    /// Local time at which the reading was received.
    received_at: Timestamp,
}

/// An attempt that awaits its reply.
#[derive(Debug, Clone)]
struct PendingAttempt {
    number: u64,
    sent_at: Timestamp,
    epoch: Epoch,
    seq: u64,
    scope_version: u64,
    scope: Arc<[SliceNo]>,
    /// Sequence number of the grant whose scope this one renews; its own if it carries the scope.
    scope_seq: u64,
    reading: Option<ClockReading>,
}

/// The newest grant that the upstream accepted.
#[derive(Debug, Clone)]
struct AcceptedGrant {
    epoch: Epoch,
    incarnation: u64,
    seq: u64,
    scope_seq: u64,
    scope_version: u64,
    scope: Arc<[SliceNo]>,
    /// Local time until which the grant is guaranteed to last.
    valid_until: Timestamp,
}

/// The grant of one upstream, as seen by its coordinating host.
#[derive(Debug)]
pub(crate) struct UpstreamGrant {
    seq: u64,
    attempts: VecDeque<PendingAttempt>,
    reading: Option<ClockReading>,
    accepted: Option<AcceptedGrant>,
    /// Local time at which every grant sent so far has expired.
    expires_at: Timestamp,
    next_at: Timestamp,
    last_reply: Option<Timestamp>,
    /// Uptime at the last reply, or at creation if there was none.
    last_reply_uptime: Timestamp,
    /// Time since which the upstream has replied without a long gap, if it ever replied.
    responsive_since: Option<Timestamp>,
    /// Number of attempts since the last reply.
    unanswered: u32,
    /// Whether the connection of the last attempt was refused.
    connection_refused: bool,
    /// Highest epoch of another host that the upstream reported, and the time of the first report.
    higher_epoch: Option<(Epoch, Timestamp)>,
    scope: Arc<[SliceNo]>,
    scope_version: u64,
    running: Vec<SliceRunning>,
}

/// A grant that the upstream accepted.
#[derive(Debug)]
pub(crate) struct ConfirmedGrant {
    pub(crate) epoch: Epoch,
    pub(crate) slices: Arc<[SliceNo]>,
    /// Local time until which the grant is guaranteed to last.
    pub(crate) valid_until: Timestamp,
}

/// A call that sends a grant.
#[derive(Debug)]
pub(crate) struct GrantCall {
    pub(crate) attempt: u64,
    pub(crate) request: GrantRequest,
}

impl UpstreamGrant {
    pub(crate) fn new(now: Timestamp, uptime: Timestamp) -> Self {
        Self {
            last_reply_uptime: uptime,
            seq: 0,
            attempts: VecDeque::new(),
            reading: None,
            accepted: None,
            expires_at: Timestamp::ZERO,
            next_at: now,
            last_reply: None,
            responsive_since: None,
            unanswered: 0,
            connection_refused: false,
            higher_epoch: None,
            scope: Arc::from([]),
            scope_version: 0,
            running: Vec::new(),
        }
    }

    /// Sets the slices that the upstream should have.
    pub(crate) fn set_scope(&mut self, now: Timestamp, scope: &[SliceNo]) {
        if self.scope_version > 0 && *self.scope == *scope {
            return;
        }
        self.scope = scope.into();
        self.scope_version += 1;
        self.next_at = now;
    }

    /// Returns whether an attempt is due.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_at
    }

    /// Builds the next attempt.
    pub(crate) fn start_attempt(
        &mut self,
        now: Timestamp,
        cfg: &OwnershipSettings,
        number: u64,
        epoch: Epoch,
        me: &HostId,
        full_scope: GrantScope,
    ) -> GrantCall {
        self.seq += 1;
        self.unanswered += 1;
        self.next_at = now + cfg.renew_every;
        let same = self.accepted.as_ref().filter(|a| {
            let incarnation = self.reading.map(|r| r.incarnation);
            a.epoch == epoch
                && a.scope_version == self.scope_version
                && Some(a.incarnation) == incarnation
        });
        let scope_seq = same.map_or(self.seq, |a| a.scope_seq);
        let scope = same.map_or(full_scope, |a| GrantScope::Unchanged(a.scope_seq));
        if let Some(r) = self.reading {
            self.expires_at = self
                .expires_at
                .max(r.received_at + cfg.lengthened_for_drift(cfg.grant_ttl));
        }
        self.attempts.push_back(PendingAttempt {
            number,
            sent_at: now,
            epoch,
            seq: self.seq,
            scope_version: self.scope_version,
            scope: Arc::clone(&self.scope),
            scope_seq,
            reading: self.reading,
        });
        if self.attempts.len() > MAX_PENDING_ATTEMPTS {
            self.attempts.pop_front();
        }
        let request = GrantRequest {
            epoch,
            seq: self.seq,
            coordinator: me.clone(),
            boot: self.reading.map(|r| r.incarnation),
            scope,
            ttl_ms: cfg.grant_ttl.as_millis() as u32,
            reading_us: self.reading.map(|r| r.value_us),
        };
        GrantCall {
            attempt: number,
            request,
        }
    }

    /// Records a health request to an upstream that does not check grants.
    pub(crate) fn record_probe(&mut self, now: Timestamp, cfg: &OwnershipSettings) {
        self.unanswered += 1;
        self.next_at = now + cfg.renew_every;
    }

    /// Records that the upstream replied.
    pub(crate) fn record_reply(&mut self, now: Timestamp, uptime: Timestamp) {
        if self.unanswered >= UNRESPONSIVE_ATTEMPTS || self.responsive_since.is_none() {
            self.responsive_since = Some(now);
        }
        self.last_reply_uptime = uptime;
        self.last_reply = Some(now);
        self.unanswered = 0;
        self.connection_refused = false;
    }

    /// Records that an attempt got no reply.
    pub(crate) const fn record_no_reply(&mut self, refused: bool) {
        self.connection_refused = refused;
    }

    /// Handles the reply to an attempt.
    pub(crate) fn handle_reply(
        &mut self,
        now: Timestamp,
        uptime: Timestamp,
        cfg: &OwnershipSettings,
        number: u64,
        reply: &GrantReply,
    ) {
        let position = self.attempts.iter().position(|a| a.number == number);
        let Some(attempt) = position.and_then(|p| self.attempts.remove(p)) else {
            return;
        };
        self.record_reply(now, uptime);
        self.update_reading(ClockReading {
            incarnation: reply.boot,
            value_us: reply.reading_us,
            sent_at: attempt.sent_at,
            received_at: now,
        });
        if reply.refusal == Some(GrantRefusal::LowerEpoch) && reply.epoch > attempt.epoch {
            self.record_higher_epoch(now, reply.epoch);
        }
        if !reply.accepted {
            self.seq = self
                .seq
                .max(reply.seq * u64::from(reply.epoch == attempt.epoch));
            self.accepted = self.accepted.take().filter(|a| {
                let stale = reply.refusal == Some(GrantRefusal::OtherScope);
                !stale || a.scope_seq != attempt.scope_seq
            });
            self.next_at = self.next_at.min(now + REFUSAL_RETRY_DELAY);
            return;
        }
        let Some(reading) = attempt.reading else {
            self.next_at = now;
            return;
        };
        self.accept(cfg, &attempt, reading, reply);
        if attempt.scope_version != self.scope_version {
            self.next_at = now;
        }
    }

    /// Records that another host granted under `epoch`. A host that raises it still acts, so the
    /// time starts again.
    fn record_higher_epoch(&mut self, now: Timestamp, epoch: Epoch) {
        if self.higher_epoch.is_none_or(|(known, _)| epoch > known) {
            self.higher_epoch = Some((epoch, now));
        }
    }

    fn update_reading(&mut self, new: ClockReading) {
        let older =
            |r: ClockReading| r.incarnation == new.incarnation && r.value_us >= new.value_us;
        // A reply of an earlier incarnation of the upstream may arrive late; its attempt was sent
        // earlier.
        let before = |r: ClockReading| r.incarnation != new.incarnation && r.sent_at > new.sent_at;
        if self.reading.is_some_and(|r| older(r) || before(r)) {
            return;
        }
        self.reading = Some(new);
    }

    fn accept(
        &mut self,
        cfg: &OwnershipSettings,
        attempt: &PendingAttempt,
        reading: ClockReading,
        reply: &GrantReply,
    ) {
        let newer = self.accepted.as_ref().is_none_or(|a| {
            let order = (a.epoch, a.seq) < (attempt.epoch, attempt.seq);
            order || a.incarnation != reading.incarnation
        });
        if !newer {
            return;
        }
        self.running.clone_from(&reply.running);
        self.accepted = Some(AcceptedGrant {
            epoch: attempt.epoch,
            incarnation: reading.incarnation,
            seq: attempt.seq,
            scope_seq: attempt.scope_seq,
            scope_version: attempt.scope_version,
            scope: Arc::clone(&attempt.scope),
            valid_until: reading.sent_at + cfg.shortened_for_drift(cfg.grant_ttl),
        });
    }

    /// Returns the grant that the upstream accepted, limited to the wanted scope.
    pub(crate) fn accepted_grant(&self) -> Option<ConfirmedGrant> {
        let a = self.accepted.as_ref()?;
        let slices = if a.scope_version == self.scope_version {
            Arc::clone(&a.scope)
        } else {
            // Slices that are not wanted any more must not be sent.
            let wanted = |s: &&SliceNo| self.scope.binary_search(s).is_ok();
            a.scope.iter().filter(wanted).copied().collect()
        };
        Some(ConfirmedGrant {
            epoch: a.epoch,
            slices,
            valid_until: a.valid_until,
        })
    }

    /// Returns whether the upstream accepted the wanted scope under `epoch` and runs no requests of
    /// revoked slices.
    pub(crate) fn is_accepted_and_idle(&self, epoch: Epoch) -> bool {
        self.is_accepted(epoch) && self.running.is_empty()
    }

    /// Returns whether the upstream accepted the wanted scope under `epoch`.
    pub(crate) fn is_accepted(&self, epoch: Epoch) -> bool {
        let a = self.accepted.as_ref();
        a.is_some_and(|a| a.epoch == epoch && a.scope_version == self.scope_version)
    }

    /// Returns the local time at which every grant sent so far has expired.
    pub(crate) const fn expires_at(&self) -> Timestamp {
        self.expires_at
    }

    /// Returns the highest epoch that the upstream reported, if it is above `epoch`, and the time
    /// of its first report.
    pub(crate) fn higher_epoch(&self, epoch: Epoch) -> Option<(Epoch, Timestamp)> {
        self.higher_epoch.filter(|(o, _)| *o > epoch)
    }

    /// Returns whether the upstream has not replied for `bound`.
    pub(crate) fn is_unresponsive(&self, uptime: Timestamp, bound: Duration) -> bool {
        self.unanswered >= UNRESPONSIVE_ATTEMPTS && uptime.since(self.last_reply_uptime) >= bound
    }

    /// Returns whether several attempts got no reply for `span`, so that the upstream, or the link to
    /// it, may have failed.
    pub(crate) fn misses_replies(&self, uptime: Timestamp, span: Duration) -> bool {
        self.unanswered >= SUSPECT_ATTEMPTS && uptime.since(self.last_reply_uptime) >= span
    }

    /// Returns whether the upstream has not replied since `start`.
    pub(crate) fn has_no_reply_since(&self, start: Timestamp) -> bool {
        self.last_reply.is_none_or(|last| last <= start)
    }

    /// Returns the time since which the upstream has replied without a long gap, if it does reply.
    pub(crate) fn responsive_since(&self) -> Option<Timestamp> {
        self.responsive_since
            .filter(|_| self.unanswered < UNRESPONSIVE_ATTEMPTS)
    }

    /// Returns whether the connection of the last attempt was refused.
    pub(crate) const fn is_connection_refused(&self) -> bool {
        self.connection_refused
    }
}
