//! Grants, renewals and releases, and what their ends say.

use std::time::Duration;

use ids::{Timestamp, UpstreamId};

use super::{Health, Keeper, Underway};
use crate::live::{Former, LastGrant, Live};
use crate::order::{Action, CallEnd, CallKind, OrderCall};

/// Time between two releases of the same keys, while none is answered.
const RELEASE_EVERY: Duration = Duration::from_millis(500);
/// Part of the time between renewals after which a piece is first renewed at the soonest.
const SOONEST: f64 = 0.25;

impl Keeper {
    /// Notes how a call ended.
    pub fn call_ended(&mut self, now: Timestamp, id: u64, end: &CallEnd) {
        let Some(underway) = self.calls.underway.remove(&id) else {
            return;
        };
        let call = &underway.call;
        self.note_health(now, call, end);
        let is_grant = matches!(call.kind, CallKind::Grant { .. });
        if matches!(end, CallEnd::Gone) {
            self.gone.insert(call.upstream.clone());
        }
        if self.stray_told(now, call, end) {
            return;
        }
        if is_grant {
            self.grant_ended(now, &underway, end);
        } else {
            self.release_ended(now, call, end);
        }
    }

    fn note_health(&mut self, now: Timestamp, call: &OrderCall, end: &CallEnd) {
        if matches!(end, CallEnd::NotSent) {
            return;
        }
        if !matches!(end, CallEnd::NoAnswer { .. }) {
            self.health.remove(&call.upstream);
            return;
        }
        // A release is answered only when the work on its keys has ended.
        if call.kind == CallKind::Release {
            return;
        }
        let health = self.health.entry(call.upstream.clone()).or_insert(Health {
            failures: 0,
            failing_since: now,
        });
        health.failures += 1;
    }

    fn grant_ended(&mut self, now: Timestamp, underway: &Underway, end: &CallEnd) {
        let every = self.cfg.renew_every;
        let surely_unsent = CallEnd::NoAnswer { maybe_sent: false };
        if *end == surely_unsent || *end == CallEnd::NotSent {
            self.forget_sent(underway);
        }
        let Some(live) = self.live_of(&underway.call) else {
            return;
        };
        live.granting = false;
        match end {
            CallEnd::Done { .. } => {
                live.handover = None;
                live.granted = true;
                // Pieces that are granted together, as after a take-over, would always be.
                let part = if live.is_apart {
                    1.0
                } else {
                    live.is_apart = true;
                    SOONEST + (1.0 - SOONEST) * underway.call.range.place()
                };
                live.next_at = underway.call.decided + every.mul_f64(part);
            }
            CallEnd::NotSent | CallEnd::NoAnswer { .. } => live.next_at = now + every / 4,
            CallEnd::Fenced | CallEnd::Gone => live.next_at = now + every,
        }
    }

    /// Takes back that a grant was sent which surely did not leave: the one before it is the last.
    fn forget_sent(&mut self, underway: &Underway) {
        let Some(known) = &mut self.known else {
            return;
        };
        let (call, earlier) = (underway.call.id, underway.earlier);
        for live in &mut known.live {
            live.last_grant.take_back(call, earlier);
            for former in &mut live.former {
                former.last_grant.take_back(call, earlier);
            }
        }
    }

    fn release_ended(&mut self, now: Timestamp, call: &OrderCall, end: &CallEnd) {
        let Some(known) = &mut self.known else {
            return;
        };
        let pieces = known.row.pieces.iter().zip(&mut known.live);
        for (piece, live) in pieces {
            if piece.fence != call.fence || piece.range != call.range {
                continue;
            }
            let Some(former) = live.former.iter_mut().find(|f| f.upstream == call.upstream) else {
                continue;
            };
            former.releasing = false;
            match end {
                CallEnd::Done { handover } => {
                    former.released = true;
                    if handover.is_some() {
                        live.handover.clone_from(handover);
                    }
                }
                CallEnd::NoAnswer { .. } => {
                    former.unanswered += 1;
                    former.release_at = now + RELEASE_EVERY;
                }
                CallEnd::Gone | CallEnd::Fenced | CallEnd::NotSent => {
                    former.release_at = now + RELEASE_EVERY;
                }
            }
        }
    }

    fn live_of(&mut self, call: &OrderCall) -> Option<&mut Live> {
        let known = self.known.as_mut()?;
        let pieces = known.row.pieces.iter().zip(&mut known.live);
        pieces
            .filter(|(p, _)| p.fence == call.fence && p.range == call.range)
            .find(|(p, _)| p.owner == call.upstream)
            .map(|(_, live)| live)
    }

    /// Makes the calls that are due.
    pub fn poll(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.is_granting(now) {
            return;
        }
        self.free_former(now);
        self.call_upstreams(now, actions);
        self.tell_strays(now, actions);
    }

    /// Finds former owners that surely hold nothing any more.
    fn free_former(&mut self, now: Timestamp) {
        let Some(known) = &mut self.known else {
            return;
        };
        let outlast = self.cfg.outlast();
        let (gone, others_until) = (&self.gone, self.others_until);
        let mut strays = Vec::new();
        for (piece, live) in known.row.pieces.iter().zip(&mut known.live) {
            for former in live.former.iter_mut().filter(|f| !f.free) {
                let over = now >= (former.last_grant.sent + outlast).max(others_until);
                // A release under the piece's fence makes the upstream refuse all grants that were
                // sent before, whoever sent them and however late they come.
                let is_told = former.released || gone.contains(&former.upstream);
                former.free = over || is_told;
                if over && !is_told {
                    strays.push((former.upstream.clone(), piece.range, piece.fence));
                }
            }
        }
        for (upstream, range, fence) in strays {
            self.note_stray(now, upstream, range, fence);
        }
    }

    fn call_upstreams(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(known) = &mut self.known else {
            return;
        };
        let (gone, calls) = (&self.gone, &mut self.calls);
        let mut call = |upstream: &UpstreamId, kind, range, fence, earlier| {
            let call = OrderCall {
                id: 0,
                upstream: upstream.clone(),
                kind,
                range,
                fence,
                decided: now,
            };
            calls.begin(call, earlier, actions)
        };
        for (piece, live) in known.row.pieces.iter().zip(&mut known.live) {
            for former in live.former.iter_mut().filter(|f| is_release_due(f, now)) {
                former.releasing = true;
                former.release_sent = now;
                let (range, fence) = (piece.range, piece.fence);
                let none = LastGrant::default();
                call(&former.upstream, CallKind::Release, range, fence, none);
            }
            let due = live.is_free() && !live.granting && now >= live.next_at;
            if !due || gone.contains(&piece.owner) {
                continue;
            }
            live.granting = true;
            let kind = CallKind::Grant {
                hold: self.cfg.hold,
                handover: live.handover.clone(),
            };
            let id = call(
                &piece.owner,
                kind,
                piece.range,
                piece.fence,
                live.last_grant,
            );
            live.last_grant = LastGrant {
                sent: now,
                call: Some(id),
            };
        }
    }
}

fn is_release_due(former: &Former, now: Timestamp) -> bool {
    !former.free && !former.released && !former.releasing && now >= former.release_at
}
