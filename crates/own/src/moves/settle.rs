//! Steps that follow once a removal is recorded in the row.

use ids::{Revision, SliceNo, UpstreamId};

use super::LONGEST_HOLD;
use crate::HostRef;
use crate::held::{Held, Removal, SHORT_PATIENCE, Settling};
use crate::machine::Machine;

impl Machine {
    /// Completes a removal whose slices are no longer in the row.
    pub(crate) fn after_row(&mut self, upstream: &UpstreamId) {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let Some(mut held) = self.held.remove(upstream) else {
            return;
        };
        self.forget_stays(upstream, &mut held);
        let still = |r: &Removal| r.slices().iter().any(|s| known.row.holds(*s));
        if let Some(r) = held.removal.take_if(|r| !still(r)) {
            held.patience = SHORT_PATIENCE;
            if r.is_revoking() {
                for g in r.going {
                    self.settle_hold(upstream, g.hold, Some(g.slice), g.to, known.revision);
                }
            } else {
                self.start_outgoing(upstream, &mut held, r);
            }
        }
        self.held.insert(upstream.clone(), held);
    }

    /// Keeps requests held until `to` serves the row of this revision.
    pub(crate) fn settle_hold(
        &mut self,
        upstream: &UpstreamId,
        hold: u64,
        slice: Option<SliceNo>,
        to: UpstreamId,
        revision: Revision,
    ) {
        self.settling.push(Settling {
            upstream: upstream.clone(),
            hold,
            to,
            slice,
            revision,
            until: self.now + LONGEST_HOLD,
        });
    }

    /// Releases requests whose upstream is served now according to this host's own state.
    pub(crate) fn release_settled(&mut self) {
        let served = |s: &Settling| {
            let known = self.replica.get(&s.to);
            let newer = known.is_some_and(|k| k.revision >= s.revision);
            let held = self.held.get(&s.to);
            let came = |h: &Held| {
                let waits = self.unreleased(&s.to, h);
                waits.iter().all(|i| s.slice.is_some_and(|s| s != i.slice))
            };
            newer && held.is_some_and(|h| self.is_serving(&s.to, h) && came(h))
        };
        let done = |s: &Settling| self.now >= s.until || served(s);
        let (due, kept) = self.settling.iter().cloned().partition(done);
        self.settling = kept;
        self.release_all(due);
    }

    /// Releases requests that were held for a host that reported serving the upstream.
    pub(crate) fn release_served(
        &mut self,
        to: &UpstreamId,
        by: &HostRef,
        revision: Revision,
        without: &[SliceNo],
    ) {
        let known = self.replica.get(to);
        let named = known.and_then(|k| k.row.coordinator.as_ref());
        if !named.is_some_and(|c| c.is(by)) {
            return;
        }
        let due = |s: &Settling| {
            let came = s.slice.is_none_or(|s| without.binary_search(&s).is_err());
            s.to == *to && s.revision <= revision && came
        };
        let (due, kept) = self.settling.iter().cloned().partition(due);
        self.settling = kept;
        self.release_all(due);
    }

    pub(super) fn release_all(&mut self, due: Vec<Settling>) {
        for s in due {
            let known = self.replica.get(&s.to);
            let host = known.and_then(|k| k.row.coordinator.clone());
            let host = host.unwrap_or_else(|| self.me.clone());
            self.release(&s.upstream, s.hold, s.to, host);
        }
    }
}
