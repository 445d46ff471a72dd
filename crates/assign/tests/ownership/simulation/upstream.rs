//! Simulated upstreams that accept fenced grants.

use assign::{CallKind, FencingToken, GrantCall, GrantCallOutcome};
use ids::{Timestamp, UpstreamId};

use super::PROBES;

/// Fraction by which an upstream's clock is slow.
const SLOW_CLOCK: f64 = 0.02;

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) id: UpstreamId,
    pub(super) is_up: bool,
    pub(super) held_until: [Timestamp; PROBES],
    pub(super) seen: [FencingToken; PROBES],
}

impl Upstream {
    pub(super) fn new(index: usize, life: u32) -> Self {
        Self {
            id: UpstreamId::new(format!("u{index}.{life}")).expect("a valid name"),
            is_up: true,
            held_until: [Timestamp::ZERO; PROBES],
            seen: [FencingToken(0); PROBES],
        }
    }

    pub(super) fn execute(
        &mut self,
        call: &GrantCall,
        arrived: Timestamp,
        now: Timestamp,
    ) -> GrantCallOutcome {
        let probes: Vec<usize> = (0..PROBES)
            .filter(|&i| call.range.contains(key(i)))
            .collect();
        match call.kind {
            CallKind::Grant { hold, .. } => {
                if probes.iter().any(|&i| self.seen[i] > call.token) {
                    return GrantCallOutcome::Fenced;
                }
                let until = arrived + hold.mul_f64(1.0 + SLOW_CLOCK);
                for i in probes {
                    self.seen[i] = call.token;
                    self.held_until[i] = self.held_until[i].max(until);
                }
                GrantCallOutcome::Done { handover: None }
            }
            CallKind::Release => {
                for i in probes {
                    self.seen[i] = self.seen[i].max(call.token);
                    self.held_until[i] = now;
                }
                GrantCallOutcome::Done {
                    handover: Some("warm".into()),
                }
            }
        }
    }
}

/// Returns the key that a probe checks.
pub(super) fn key(probe: usize) -> u16 {
    (probe * (usize::from(u16::MAX) + 1) / PROBES) as u16
}
