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

use crate::OwnSettings;

/// Maximum number of attempts that await replies.
const MAX_ATTEMPTS: usize = 16;
/// Number of unanswered attempts from which an upstream may be considered unresponsive.
const LOST_ATTEMPTS: u32 = 3;
/// Minimum time between two attempts after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// A reading of the upstream's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reading {
    boot: u64,
    value_us: u64,
    /// Local time at which the attempt that returned the reading was sent.
    sent_at: Timestamp,
    /// Local time at which the reading was received.
    received_at: Timestamp,
}

/// An attempt that awaits its reply.
#[derive(Debug, Clone)]
struct Attempt {
    number: u64,
    sent_at: Timestamp,
    epoch: Epoch,
    seq: u64,
    version: u64,
    scope: Arc<[SliceNo]>,
    /// Sequence number of the grant whose scope this one renews; its own if it carries the scope.
    set_by: u64,
    reading: Option<Reading>,
}

/// The newest grant that the upstream accepted.
#[derive(Debug, Clone)]
struct Accepted {
    epoch: Epoch,
    boot: u64,
    seq: u64,
    set_by: u64,
    version: u64,
    scope: Arc<[SliceNo]>,
    /// Local time until which the grant is guaranteed to last.
    until: Timestamp,
}

/// The grant of one upstream, as seen by its coordinating host.
#[derive(Debug)]
pub(crate) struct Link {
    seq: u64,
    attempts: VecDeque<Attempt>,
    reading: Option<Reading>,
    accepted: Option<Accepted>,
    /// Local time at which every grant sent so far has expired.
    end: Timestamp,
    next_at: Timestamp,
    last_reply: Option<Timestamp>,
    /// Uptime at the last reply, or at creation if there was none.
    last_awake: Timestamp,
    /// Time since which the upstream has replied without a long gap, if it ever replied.
    steady_since: Option<Timestamp>,
    /// Number of attempts since the last reply.
    unanswered: u32,
    /// Whether the connection of the last attempt was refused.
    refused: bool,
    outbid: Option<(Epoch, Timestamp)>,
    scope: Arc<[SliceNo]>,
    version: u64,
    running: Vec<SliceRunning>,
}

/// A grant that the upstream accepted.
#[derive(Debug)]
pub(crate) struct Granted {
    pub(crate) epoch: Epoch,
    pub(crate) slices: Arc<[SliceNo]>,
    /// Local time until which the grant is guaranteed to last.
    pub(crate) until: Timestamp,
}

/// A call that sends a grant.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) attempt: u64,
    pub(crate) request: GrantRequest,
}

impl Link {
    pub(crate) fn new(now: Timestamp, awake: Timestamp) -> Self {
        Self {
            last_awake: awake,
            seq: 0,
            attempts: VecDeque::new(),
            reading: None,
            accepted: None,
            end: Timestamp::ZERO,
            next_at: now,
            last_reply: None,
            steady_since: None,
            unanswered: 0,
            refused: false,
            outbid: None,
            scope: Arc::from([]),
            version: 0,
            running: Vec::new(),
        }
    }

    /// Sets the slices that the upstream should have.
    pub(crate) fn want(&mut self, now: Timestamp, scope: &[SliceNo]) {
        if self.version > 0 && *self.scope == *scope {
            return;
        }
        self.scope = scope.into();
        self.version += 1;
        self.next_at = now;
    }

    /// Returns whether an attempt is due.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_at
    }

    /// Builds the next attempt.
    pub(crate) fn attempt(
        &mut self,
        now: Timestamp,
        cfg: &OwnSettings,
        number: u64,
        epoch: Epoch,
        me: &HostId,
        full: GrantScope,
    ) -> Outgoing {
        self.seq += 1;
        self.unanswered += 1;
        self.next_at = now + cfg.renew_every;
        let same = self.accepted.as_ref().filter(|a| {
            let boot = self.reading.map(|r| r.boot);
            a.epoch == epoch && a.version == self.version && Some(a.boot) == boot
        });
        let set_by = same.map_or(self.seq, |a| a.set_by);
        let scope = same.map_or(full, |a| GrantScope::Unchanged(a.set_by));
        if let Some(r) = self.reading {
            self.end = self.end.max(r.received_at + cfg.outlast(cfg.grant_ttl));
        }
        self.attempts.push_back(Attempt {
            number,
            sent_at: now,
            epoch,
            seq: self.seq,
            version: self.version,
            scope: Arc::clone(&self.scope),
            set_by,
            reading: self.reading,
        });
        if self.attempts.len() > MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        let request = GrantRequest {
            epoch,
            seq: self.seq,
            coordinator: me.clone(),
            boot: self.reading.map(|r| r.boot),
            scope,
            ttl_ms: cfg.grant_ttl.as_millis() as u32,
            reading_us: self.reading.map(|r| r.value_us),
        };
        Outgoing {
            attempt: number,
            request,
        }
    }

    /// Records a health request to an upstream that does not check grants.
    pub(crate) fn probe(&mut self, now: Timestamp, cfg: &OwnSettings) {
        self.unanswered += 1;
        self.next_at = now + cfg.renew_every;
    }

    /// Records that the upstream replied.
    pub(crate) fn healthy(&mut self, now: Timestamp, awake: Timestamp) {
        if self.unanswered >= LOST_ATTEMPTS || self.steady_since.is_none() {
            self.steady_since = Some(now);
        }
        self.last_awake = awake;
        self.last_reply = Some(now);
        self.unanswered = 0;
        self.refused = false;
    }

    /// Records that an attempt got no reply.
    pub(crate) const fn no_reply(&mut self, refused: bool) {
        self.refused = refused;
    }

    /// Handles the reply to an attempt.
    pub(crate) fn reply(
        &mut self,
        now: Timestamp,
        awake: Timestamp,
        cfg: &OwnSettings,
        number: u64,
        reply: &GrantReply,
    ) {
        let position = self.attempts.iter().position(|a| a.number == number);
        let Some(attempt) = position.and_then(|p| self.attempts.remove(p)) else {
            return;
        };
        self.healthy(now, awake);
        self.take_reading(Reading {
            boot: reply.boot,
            value_us: reply.reading_us,
            sent_at: attempt.sent_at,
            received_at: now,
        });
        if reply.refusal == Some(GrantRefusal::LowerEpoch) && reply.epoch > attempt.epoch {
            let since = self.outbid.map_or(now, |(_, since)| since);
            self.outbid = Some((reply.epoch, since));
        }
        if !reply.accepted {
            self.seq = self
                .seq
                .max(reply.seq * u64::from(reply.epoch == attempt.epoch));
            self.accepted = self.accepted.take().filter(|a| {
                let stale = reply.refusal == Some(GrantRefusal::OtherScope);
                !stale || a.set_by != attempt.set_by
            });
            self.next_at = self.next_at.min(now + REFUSED_PAUSE);
            return;
        }
        let Some(reading) = attempt.reading else {
            self.next_at = now;
            return;
        };
        self.accept(cfg, &attempt, reading, reply);
        if attempt.version != self.version {
            self.next_at = now;
        }
    }

    fn take_reading(&mut self, new: Reading) {
        let older = |r: Reading| r.boot == new.boot && r.value_us >= new.value_us;
        // A reply of an earlier incarnation of the upstream may arrive late; its attempt was sent
        // earlier.
        let before = |r: Reading| r.boot != new.boot && r.sent_at > new.sent_at;
        if self.reading.is_some_and(|r| older(r) || before(r)) {
            return;
        }
        self.reading = Some(new);
    }

    fn accept(
        &mut self,
        cfg: &OwnSettings,
        attempt: &Attempt,
        reading: Reading,
        reply: &GrantReply,
    ) {
        let newer = self.accepted.as_ref().is_none_or(|a| {
            let order = (a.epoch, a.seq) < (attempt.epoch, attempt.seq);
            order || a.boot != reading.boot
        });
        if !newer {
            return;
        }
        self.running.clone_from(&reply.running);
        self.accepted = Some(Accepted {
            epoch: attempt.epoch,
            boot: reading.boot,
            seq: attempt.seq,
            set_by: attempt.set_by,
            version: attempt.version,
            scope: Arc::clone(&attempt.scope),
            until: reading.sent_at + cfg.within(cfg.grant_ttl),
        });
    }

    /// Returns the grant that the upstream accepted, limited to the wanted scope.
    pub(crate) fn granted(&self) -> Option<Granted> {
        let a = self.accepted.as_ref()?;
        let slices = if a.version == self.version {
            Arc::clone(&a.scope)
        } else {
            // Slices that are not wanted any more must not be sent.
            let wanted = |s: &&SliceNo| self.scope.binary_search(s).is_ok();
            a.scope.iter().filter(wanted).copied().collect()
        };
        Some(Granted {
            epoch: a.epoch,
            slices,
            until: a.until,
        })
    }

    /// Returns whether the upstream accepted the wanted scope under `epoch` and runs no requests of
    /// revoked slices.
    pub(crate) fn is_settled(&self, epoch: Epoch) -> bool {
        self.serves(epoch) && self.running.is_empty()
    }

    /// Returns whether the upstream accepted the wanted scope under `epoch`.
    pub(crate) fn serves(&self, epoch: Epoch) -> bool {
        let a = self.accepted.as_ref();
        a.is_some_and(|a| a.epoch == epoch && a.version == self.version)
    }

    /// Returns the local time at which every grant sent so far has expired.
    pub(crate) const fn end(&self) -> Timestamp {
        self.end
    }

    /// Returns the highest known epoch of the upstream if it exceeds `epoch`, and since when it is
    /// known.
    pub(crate) fn outbid(&self, epoch: Epoch) -> Option<(Epoch, Timestamp)> {
        self.outbid.filter(|(o, _)| *o > epoch)
    }

    /// Returns whether the upstream has not replied for `bound`.
    pub(crate) fn is_silent(&self, awake: Timestamp, bound: Duration) -> bool {
        self.unanswered >= LOST_ATTEMPTS && awake.since(self.last_awake) >= bound
    }

    /// Returns whether the upstream has not replied since `start`.
    pub(crate) fn is_silent_since(&self, start: Timestamp) -> bool {
        self.last_reply.is_none_or(|last| last <= start)
    }

    /// Returns the time since which the upstream has replied without a long gap, if it does reply.
    pub(crate) fn steady_since(&self) -> Option<Timestamp> {
        self.steady_since
            .filter(|_| self.unanswered < LOST_ATTEMPTS)
    }

    /// Returns whether the connection of the last attempt was refused.
    pub(crate) const fn is_refused(&self) -> bool {
        self.refused
    }
}
