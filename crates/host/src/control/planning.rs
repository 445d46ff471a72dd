//! Plans placement and tells other hosts of the loads here.

use ids::{HostId, KeyHash, Timestamp};
use slog::debug;
use wire::control::{Body, Frame};

use super::duty::Duty;
use super::placement::PLAN_EVERY;

/// Hosts to which loads are sent at a time.
const LOADS_TO: usize = 16;

impl Duty {
    pub(super) fn plan(&mut self, now: Timestamp) {
        let catalogue = self.routes.catalogue();
        let ownership = self.routes.ownership();
        let wishes = self
            .placement
            .plan(now, &catalogue, ownership, &self.coordinated);
        // A move that can't be recorded would hold its slice for nothing.
        let wishes = wishes.into_iter().filter(|_| self.table_reachable);
        let wishes: Vec<own::Event> = wishes.collect();
        for wish in wishes {
            debug!(self.parts.log, "placement"; "wish" => ?wish);
            self.tell_own(wish);
        }
        self.send_loads(now);
    }

    /// Sends the loads of this host's upstreams to some others: to all while they are few, else
    /// to a sample that changes from time to time, as a planner needs no more than some choice.
    pub(super) fn send_loads(&mut self, now: Timestamp) {
        let Some(loads) = self.placement.summary(now) else {
            return;
        };
        let alive: Vec<HostId> = self
            .member
            .hosts()
            .filter(|h| h.alive)
            .map(|h| h.host)
            .collect();
        let round = (now.as_micros() / PLAN_EVERY.as_micros() as u64) as usize;
        // Each host begins elsewhere, so that not all tell the same ones at once.
        let own = KeyHash::of(self.parts.me.host.as_str().as_bytes()).0 as usize;
        let first = (round * LOADS_TO).wrapping_add(own);
        let count = alive.len().min(LOADS_TO);
        for i in 0..count {
            let to = &alive[first.wrapping_add(i) % alive.len()];
            let body = Some(Body::Loads(loads.clone()));
            self.links.send(to, Frame { body });
        }
    }
}
