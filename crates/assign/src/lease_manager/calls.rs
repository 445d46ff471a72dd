//! Sends grants, renewals and releases, and handles their outcomes.

use std::time::Duration;

use ids::{Timestamp, UpstreamId};

use super::waits::MAX_UNANSWERED;
use super::{Health, InFlight, PartitionLeaseManager};
use crate::grant_call::{Action, CallKind, GrantCall, GrantCallOutcome};
use crate::grant_state::{GrantState, LastGrant, PreviousOwner};
use crate::range::KeyRange;

/// Time between two releases of the same keys while none is answered.
const RELEASE_EVERY: Duration = Duration::from_millis(500);
/// Least delay of a range's first renewal, as a fraction of the time between renewals.
const MIN_RENEWAL_FRACTION: f64 = 0.25;

impl PartitionLeaseManager {
    /// Handles the outcome of a grant call.
    pub fn call_ended(&mut self, now: Timestamp, id: u64, outcome: &GrantCallOutcome) {
        let Some(in_flight) = self.calls.in_flight.remove(&id) else {
            return;
        };
        let call = &in_flight.call;
        self.record_health(now, call, outcome);
        let is_grant = matches!(call.kind, CallKind::Grant { .. });
        if matches!(outcome, GrantCallOutcome::Gone) {
            self.retired.insert(call.upstream.clone());
        }
        if self.unconfirmed_ended(now, call, outcome) {
            return;
        }
        if is_grant {
            self.grant_ended(now, &in_flight, outcome);
        } else {
            self.release_ended(now, call, outcome);
        }
    }

    fn record_health(&mut self, now: Timestamp, call: &GrantCall, outcome: &GrantCallOutcome) {
        if is_withheld(outcome) {
            return;
        }
        if !matches!(outcome, GrantCallOutcome::NoAnswer { .. }) {
            self.health.remove(&call.upstream);
            return;
        }
        // A release is answered only after all requests on its keys have ended, so a missing answer
        // is no failure.
        if call.kind == CallKind::Release {
            return;
        }
        let health = self.health.entry(call.upstream.clone()).or_insert(Health {
            failures: 0,
            failing_since: now,
        });
        health.failures += 1;
    }

    fn grant_ended(&mut self, now: Timestamp, in_flight: &InFlight, outcome: &GrantCallOutcome) {
        let every = self.cfg.renew_every;
        let not_sent = GrantCallOutcome::NoAnswer { maybe_sent: false };
        if *outcome == not_sent || is_withheld(outcome) {
            self.undo_sent(in_flight);
        }
        let Some(state) = self.state_of(&in_flight.call) else {
            return;
        };
        state.granting = false;
        match outcome {
            GrantCallOutcome::Done { .. } => {
                state.handover = None;
                state.needs_token_since = None;
                state.granted = true;
                // Spreads the renewals of ranges that were granted together, as after a takeover;
                // otherwise they would always be renewed together.
                let fraction = if state.is_spread {
                    1.0
                } else {
                    state.is_spread = true;
                    MIN_RENEWAL_FRACTION
                        + (1.0 - MIN_RENEWAL_FRACTION) * in_flight.call.range.relative_start()
                };
                state.next_grant_at = in_flight.call.decided_at + every.mul_f64(fraction);
            }
            GrantCallOutcome::NotSent | GrantCallOutcome::NoAnswer { .. } => {
                state.next_grant_at = now + every / 4;
            }
            GrantCallOutcome::NeedsHigherToken => {
                state.needs_token_since.get_or_insert(now);
                state.next_grant_at = now + every / 4;
            }
            GrantCallOutcome::Fenced | GrantCallOutcome::Gone => state.next_grant_at = now + every,
        }
    }

    /// Restores the grant before a call that did not leave this host as the last one sent.
    fn undo_sent(&mut self, in_flight: &InFlight) {
        let Some(known) = &mut self.known else {
            return;
        };
        let (call, before) = (in_flight.call.id, in_flight.previous);
        for state in &mut known.states {
            state.last_grant.undo(call, before);
            for previous in &mut state.previous_owners {
                previous.last_grant.undo(call, before);
            }
        }
    }

    fn release_ended(&mut self, now: Timestamp, call: &GrantCall, outcome: &GrantCallOutcome) {
        let Some(known) = &mut self.known else {
            return;
        };
        let ranges = known.row.ranges.iter().zip(&mut known.states);
        for (owned, state) in ranges {
            if owned.token != call.token || owned.range != call.range {
                continue;
            }
            let Some(previous) = state
                .previous_owners
                .iter_mut()
                .find(|o| o.upstream == call.upstream)
            else {
                continue;
            };
            previous.releasing = false;
            match outcome {
                GrantCallOutcome::Done { handover } => {
                    previous.released = true;
                    if handover.is_some() {
                        state.handover.clone_from(handover);
                    }
                }
                GrantCallOutcome::NoAnswer { maybe_sent } => {
                    // One that can't be reached will not answer the next release either.
                    previous.unanswered += if *maybe_sent { 1 } else { MAX_UNANSWERED };
                    previous.next_release_at = now + RELEASE_EVERY;
                }
                GrantCallOutcome::Gone
                | GrantCallOutcome::Fenced
                | GrantCallOutcome::NotSent
                | GrantCallOutcome::NeedsHigherToken => {
                    previous.next_release_at = now + RELEASE_EVERY;
                }
            }
        }
    }

    fn state_of(&mut self, call: &GrantCall) -> Option<&mut GrantState> {
        let known = self.known.as_mut()?;
        let ranges = known.row.ranges.iter().zip(&mut known.states);
        ranges
            .filter(|(p, _)| p.token == call.token && p.range == call.range)
            .find(|(p, _)| p.owner == call.upstream)
            .map(|(_, state)| state)
    }

    /// Appends the calls that are due to `actions`.
    pub fn poll(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.recover(now, actions);
        if !self.may_grant(now) {
            return;
        }
        self.free_previous_owners(now);
        self.call_upstreams(now, actions);
        self.send_unconfirmed(now, actions);
    }

    /// Marks previous owners that can no longer hold keys.
    fn free_previous_owners(&mut self, now: Timestamp) {
        let Some(known) = &mut self.known else {
            return;
        };
        let max_age = self.cfg.max_grant_age();
        let (retired, previous_grants_until) = (&self.retired, self.previous_grants_until);
        let mut unconfirmed = Vec::new();
        for (owned, state) in known.row.ranges.iter().zip(&mut known.states) {
            for previous in state.previous_owners.iter_mut().filter(|o| !o.free) {
                let expired =
                    now >= (previous.last_grant.sent + max_age).max(previous_grants_until);
                // A release under the range's fencing token makes the upstream refuse all grants
                // sent before it, whichever host sent them and however late they arrive.
                let has_seen_token = previous.released || retired.contains(&previous.upstream);
                previous.free = expired || has_seen_token;
                if expired && !has_seen_token {
                    unconfirmed.push((previous.upstream.clone(), owned.range, owned.token));
                }
            }
        }
        for (upstream, range, token) in unconfirmed {
            self.add_unconfirmed(now, upstream, range, token);
        }
    }

    fn call_upstreams(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(known) = &mut self.known else {
            return;
        };
        let granting = self.calls.grants_in_flight();
        let is_granting = |upstream: &UpstreamId, range: KeyRange| {
            let mut same = granting.iter().filter(|(up, _)| up == upstream);
            same.any(|(_, granted)| granted.overlaps(range))
        };
        let (retired, calls) = (&self.retired, &mut self.calls);
        let mut call = |upstream: &UpstreamId, kind, range, token, previous| {
            let call = GrantCall {
                id: 0,
                upstream: upstream.clone(),
                kind,
                range,
                token,
                decided_at: now,
            };
            calls.start(call, previous, actions)
        };
        for (owned, state) in known.row.ranges.iter().zip(&mut known.states) {
            // A grant that is sent after the answer to the release could reach a later process, which has
            // not seen the release.
            for previous in state
                .previous_owners
                .iter_mut()
                .filter(|o| is_release_due(o, now) && !is_granting(&o.upstream, owned.range))
            {
                previous.releasing = true;
                previous.release_sent_at = now;
                let (range, token) = (owned.range, owned.token);
                let none = LastGrant::default();
                call(&previous.upstream, CallKind::Release, range, token, none);
            }
            let due = state.is_free() && !state.granting && now >= state.next_grant_at;
            if !due || retired.contains(&owned.owner) {
                continue;
            }
            state.granting = true;
            let kind = CallKind::Grant {
                hold: self.cfg.grant_ttl,
                handover: state.handover.clone(),
                is_inherited: owned.token < self.own_tokens_from,
            };
            let id = call(
                &owned.owner,
                kind,
                owned.range,
                owned.token,
                state.last_grant,
            );
            state.last_grant = LastGrant {
                sent: now,
                call: Some(id),
            };
        }
    }
}

/// Returns whether this host did not send the call, for a reason of its own.
const fn is_withheld(outcome: &GrantCallOutcome) -> bool {
    matches!(
        outcome,
        GrantCallOutcome::NotSent | GrantCallOutcome::NeedsHigherToken
    )
}

fn is_release_due(previous: &PreviousOwner, now: Timestamp) -> bool {
    !previous.free && !previous.released && !previous.releasing && now >= previous.next_release_at
}
