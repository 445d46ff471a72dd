//! Evidence that this host has not been replaced.
//!
//! A host acts for an upstream only while it has evidence that is younger than the evidence window.
//! Evidence is dated by the local clock reading as of which it holds. Each of these counts:
//!
//! 1. The other host of the row promised not to act, the table was read and named this host, or a
//!    transaction that checks the row took effect.
//! 2. If the table is unreachable and the other host of the row is unresponsive: any host echoed a
//!    local clock reading. Hosts of one domain are not partitioned from each other, so this host
//!    would have received a message from any host that could replace it there. Entries that fail
//!    over have no such evidence.

use ids::{Timestamp, UpstreamId};

use crate::HostRef;
use crate::held::Held;
use crate::machine::Machine;

impl Machine {
    pub(crate) fn refresh_evidence(&self, upstream: &UpstreamId, held: &mut Held) {
        let table = self.table_evidence(upstream, held);
        let peers = self.peer_evidence(upstream, self.partner(upstream, held));
        held.evidence = held.evidence.max(table).max(peers);
    }

    /// Returns whether this host may act for an upstream.
    pub(crate) fn has_evidence(&self, held: &Held) -> bool {
        held.evidence
            .is_some_and(|e| self.now < e + self.cfg.evidence)
    }

    /// Returns whether this host, as standby of an upstream, may act after a takeover.
    pub(crate) fn may_take_over(&self, upstream: &UpstreamId, coordinator: &HostRef) -> bool {
        let peers = self.peer_evidence(upstream, Some(coordinator));
        let best = self.table_stamp.max(peers);
        best.is_some_and(|e| self.now < e + self.cfg.evidence)
    }

    fn table_evidence(&self, upstream: &UpstreamId, held: &Held) -> Option<Timestamp> {
        let row = &self.replica.get(upstream)?.row;
        let named = if held.recorded {
            &row.coordinator
        } else {
            &row.deputy
        };
        let epoch = if held.recorded {
            row.epoch
        } else {
            row.reserved()
        };
        let mine = named.as_ref().is_some_and(|h| h.is(&self.me));
        let same = mine && epoch == held.epoch;
        self.table_stamp.filter(|_| same)
    }

    /// Returns the other host that the row allows to act for the upstream.
    pub(crate) fn partner(&self, upstream: &UpstreamId, held: &Held) -> Option<&HostRef> {
        if held.was_handed && !held.recorded {
            return None;
        }
        let row = &self.replica.get(upstream)?.row;
        let other = if held.recorded {
            &row.deputy
        } else {
            &row.coordinator
        };
        other.as_ref()
    }

    fn peer_evidence(&self, upstream: &UpstreamId, partner: Option<&HostRef>) -> Option<Timestamp> {
        if self.table_reachable || self.view.fails_over(upstream) || self.is_foreign(upstream) {
            return None;
        }
        let known = self.replica.get(upstream);
        let since = known.map_or(self.roster.awake(), |k| k.awake_since);
        let silent = |p| self.roster.silent(p, since, self.cfg.silence);
        if !partner.is_none_or(silent) {
            return None;
        }
        if !self.roster.knows_any(Some(&self.me.domain)) {
            return Some(self.now);
        }
        self.roster.best_echo(None)
    }

    /// Returns whether an upstream is in another domain than this host.
    pub(crate) fn is_foreign(&self, upstream: &UpstreamId) -> bool {
        let decl = self.view.upstream(upstream);
        decl.is_some_and(|u| u.domain != self.me.domain)
    }
}
