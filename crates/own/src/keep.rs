//! Maintenance of the row of a coordinated upstream: coordinating host, standby, epoch and whether
//! it accepts slices.

use std::sync::Arc;

use ids::UpstreamId;

use crate::held::{Handing, Held};
use crate::machine::Machine;
use crate::roster::winner;
use crate::{Action, HostRef, OwnRow};

impl Machine {
    /// Rewrites the row if it is out of date.
    pub(crate) fn keep_row(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if !self.table_reachable || held.handing.is_some() || self.is_busy(upstream) {
            return;
        }
        if !held.recorded {
            self.record(upstream, held);
            return;
        }
        let Some(row) = self.replica.get(upstream).map(|k| Arc::clone(&k.row)) else {
            return;
        };
        if self.has_yielded(upstream, held) || self.leaving {
            return;
        }
        if let Some((epoch, _)) = held.link.outbid(held.epoch) {
            self.replica.note(upstream, epoch);
        }
        if self.is_outbid(upstream, held) || self.is_deputy_unfit(upstream, &row) {
            self.rise(upstream, held, &row);
            return;
        }
        if row.deputy.is_none() {
            self.name_deputy(upstream);
            return;
        }
        let empty = row.slices.is_empty() && held.outgoing.is_empty();
        if empty && self.view.upstream(upstream).is_none() {
            self.write_vacant(upstream, held);
            return;
        }
        if self.now >= held.clear_at {
            self.clear_incoming(upstream, held);
            return;
        }
        self.keep_open(upstream, held, &row);
        self.rebalance(upstream, held);
    }

    /// Records that this host, the standby so far, coordinates the upstream.
    fn record(&mut self, upstream: &UpstreamId, held: &Held) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        debug_assert_eq!(
            known.row.reserved(),
            held.epoch,
            "the reserve is of this row"
        );
        let before = known.row.coordinator.clone();
        let not = before.iter().collect::<Vec<_>>();
        let deputy = self.pick_deputy(upstream, &self.me, &not);
        let me = self.me.clone();
        let unsettled = self.unsettled(upstream, None, Some(&self.me));
        self.rewrite(upstream, |row| {
            row.epoch = row.reserved();
            row.coordinator = Some(me);
            row.deputy = deputy;
            row.unsettled = unsettled;
        });
    }

    /// Returns whether another host granted under a higher epoch and does not act any more.
    fn is_outbid(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let waited = |since| self.now.since(since) >= self.cfg.silence;
        let by_upstream = held.link.outbid(held.epoch);
        let by_upstream = by_upstream.is_some_and(|(_, since)| waited(since));
        // A standby that took over and became unresponsive leaves the upstream at its reserved
        // epoch.
        by_upstream || (held.yielded && self.deputy_is_silent(upstream))
    }

    fn is_deputy_unfit(&self, upstream: &UpstreamId, row: &OwnRow) -> bool {
        let Some(deputy) = &row.deputy else {
            return false;
        };
        self.deputy_is_silent(upstream) || self.roster.is_leaving(deputy)
    }

    /// Raises the epoch above the standby's reserved one and names another standby.
    fn rise(&mut self, upstream: &UpstreamId, held: &Held, row: &OwnRow) {
        let not = row.deputy.iter().collect::<Vec<_>>();
        let deputy = self.pick_deputy(upstream, &self.me, &not);
        let noted = self.replica.noted(upstream);
        let unsettled = self.unsettled(upstream, Some(held), Some(&self.me));
        self.rewrite(upstream, |row| {
            row.epoch = row.reserved().next().max(noted.next());
            row.deputy = deputy;
            row.unsettled = unsettled;
        });
    }

    /// Names a standby where there was none; the epoch reserved by this row was not given out
    /// before.
    fn name_deputy(&mut self, upstream: &UpstreamId) {
        let Some(deputy) = self.pick_deputy(upstream, &self.me, &[]) else {
            return;
        };
        self.rewrite(upstream, |row| row.deputy = Some(deputy));
    }

    /// Rewrites the row without a coordinating host.
    pub(crate) fn write_vacant(&mut self, upstream: &UpstreamId, held: &Held) {
        let unsettled = self.unsettled(upstream, Some(held), None);
        self.rewrite(upstream, |row| {
            row.epoch = row.reserved().next();
            row.coordinator = None;
            row.deputy = None;
            row.unsettled = unsettled;
        });
    }

    fn keep_open(&mut self, upstream: &UpstreamId, held: &Held, row: &OwnRow) {
        let leaving = self.is_emptying(upstream, held);
        let serving = self.is_serving(upstream, held);
        let reopen = !row.open && !leaving && serving && held.removal.is_none();
        let close = row.open && leaving && row.slices.is_empty();
        if reopen || close {
            self.rewrite(upstream, |row| row.open = reopen);
        }
    }

    /// Returns whether an upstream must have no slices.
    pub(crate) fn is_emptying(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let decl = self.view.upstream(upstream);
        held.draining || decl.is_none_or(|d| d.leaving)
    }

    /// Starts a handover of the upstream to the preferred host of its domain.
    fn rebalance(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let span = self.cfg.rebalance_after;
        let still = held.removal.is_none() && held.outgoing.is_empty();
        let quiet = still && held.inherit.quiet_at() <= self.now;
        if !quiet || self.now.since(held.since) < span || self.is_handing() {
            return;
        }
        let Some(domain) = self.view.upstream(upstream).map(|d| d.domain.clone()) else {
            return;
        };
        let home = self.candidates(|h| h.domain == domain);
        let Some(best) = winner(upstream.as_str(), home.iter()) else {
            return;
        };
        if best.is(&self.me) || !self.roster.is_settled(best, span) {
            return;
        }
        self.start_handing(upstream, held, best.clone());
    }

    fn is_handing(&self) -> bool {
        !self.handed.is_empty() || self.held.values().any(|h| h.handing.is_some())
    }

    /// Holds an upstream's requests for its next coordinating host.
    pub(crate) fn start_handing(&mut self, upstream: &UpstreamId, kept: &mut Held, to: HostRef) {
        debug_assert!(kept.removal.is_none(), "slices are on their way");
        let hold = self.number();
        self.out.push(Action::Hold {
            upstream: upstream.clone(),
            hold,
            slices: None,
        });
        kept.handing = Some(Handing { to, hold });
        self.tell_lease(upstream, kept);
    }
}
