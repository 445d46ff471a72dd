//! Plans placement and sends this host's loads to other hosts.

use ids::{HostId, KeyHash, Timestamp};
use slog::debug;
use wire::control::{Body, Frame};

use super::placement::PLAN_INTERVAL;
use super::thread::ControlThread;

/// Maximum number of hosts to which loads are sent after one plan.
const LOAD_RECIPIENTS: usize = 16;

impl ControlThread {
    pub(super) fn plan(&mut self, now: Timestamp) {
        let catalogue = self.routing.catalogue();
        let ownership = self.routing.ownership();
        let proposals = self
            .placement
            .plan(now, &catalogue, ownership, &self.coordinated);
        // While the table is unreachable a move can't be recorded, and would hold the slice's
        // requests to no effect.
        let proposals = proposals.into_iter().filter(|_| self.table_reachable);
        let proposals: Vec<own::Event> = proposals.collect();
        for proposal in proposals {
            debug!(self.deps.log, "placement"; "wish" => ?proposal);
            self.notify_ownership(proposal);
        }
        self.send_loads(now);
    }

    /// Sends the loads of this host's upstreams to other hosts: to all of them if they are few, else
    /// to a subset that changes with each plan, as a planner needs only some upstreams to choose
    /// from.
    pub(super) fn send_loads(&mut self, now: Timestamp) {
        let Some(loads) = self.placement.summary(now) else {
            return;
        };
        let alive: Vec<HostId> = self
            .membership
            .hosts()
            .filter(|h| h.alive)
            .map(|h| h.host)
            .collect();
        let plan_no = (now.as_micros() / PLAN_INTERVAL.as_micros() as u64) as usize;
        // Each host starts at another offset, so that they do not all send to the same hosts at
        // once.
        let offset = KeyHash::of(self.deps.identity.host.as_str().as_bytes()).0 as usize;
        let first = (plan_no * LOAD_RECIPIENTS).wrapping_add(offset);
        let count = alive.len().min(LOAD_RECIPIENTS);
        for i in 0..count {
            let to = &alive[first.wrapping_add(i) % alive.len()];
            let body = Some(Body::Loads(loads.clone()));
            self.connections.send(to, Frame { body });
        }
    }
}
