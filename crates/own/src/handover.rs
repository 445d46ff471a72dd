//! Planned handovers of an upstream to another host. Its slices do not move.

use std::time::Duration;

use ids::{Epoch, Timestamp, UpstreamId};
use wire::own::{Body, Handover};

use crate::commits::{Pending, Subject};
use crate::held::{Handed, Held};
use crate::machine::Machine;
use crate::roster::winner;
use crate::{Action, HostRef, Stop};

/// Longest time for which requests are held for a host that has not reported serving the upstream.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

impl Machine {
    /// Starts a handover if this host is leaving, and advances one that was started.
    pub(crate) fn hand_over(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if !held.recorded || self.is_busy(upstream) {
            return;
        }
        if self.leaving && held.handing.is_none() {
            self.cancel_removal(upstream, held);
            if self.awaits_free(held) {
                return;
            }
            match self.pick_heir(upstream) {
                Some(heir) => self.start_handing(upstream, held, heir),
                None => self.vacate(upstream, held),
            }
        }
        let Some(to) = held.handing.as_ref().map(|h| h.to.clone()) else {
            return;
        };
        if self.is_unfit_heir(&to) {
            self.cancel_handing(upstream, held);
            return;
        }
        if self.table_reachable {
            self.record_handover(upstream, held, &to);
        }
    }

    /// Returns whether this host should wait for the release of slices that moved away before it
    /// leaves.
    fn awaits_free(&self, held: &Held) -> bool {
        let since = self.leaving_since.unwrap_or(self.now);
        !held.outgoing.is_empty() && self.now.since(since) < LONGEST_WAIT / 2
    }

    /// Returns the host that should coordinate an upstream after this host leaves.
    ///
    /// The standby is preferred if it is in the upstream's domain, then another host of that
    /// domain. Only the standby can take over without the table.
    fn pick_heir(&self, upstream: &UpstreamId) -> Option<HostRef> {
        let row = &self.replica.get(upstream)?.row;
        let deputy = row.deputy.as_ref().filter(|d| !self.is_unfit_heir(d));
        let domain = self.view.upstream(upstream).map(|d| &d.domain);
        let home = |h: &HostRef| Some(&h.domain) == domain;
        if let Some(d) = deputy.filter(|d| home(d) || !self.table_reachable) {
            return Some(d.clone());
        }
        let near = self.candidates(|h| home(h) && !h.is(&self.me));
        let all = self.candidates(|h| !h.is(&self.me));
        let label = upstream.as_str();
        winner(label, near.iter())
            .or(deputy)
            .or_else(|| winner(label, all.iter()))
            .cloned()
    }

    fn is_unfit_heir(&self, host: &HostRef) -> bool {
        let bound = self.cfg.silence;
        let forgotten = self.roster.forgotten(host, Timestamp::ZERO, bound);
        forgotten || self.roster.is_leaving(host)
    }

    /// Writes a row without a coordinating host, as no other host is available.
    fn vacate(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if held.end() > self.now && held.lease.is_some() {
            return;
        }
        self.write_vacant(upstream, held);
    }

    fn cancel_handing(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if let Some(h) = held.handing.take() {
            self.release(upstream, h.hold, upstream.clone(), self.me.clone());
        }
    }

    fn record_handover(&mut self, upstream: &UpstreamId, held: &Held, to: &HostRef) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        let is_deputy = known.row.deputy.as_ref().is_some_and(|d| d.is(to));
        let deputy = if is_deputy || known.row.deputy.is_none() || self.leaving {
            let me = self.me.clone();
            self.pick_deputy(upstream, to, &[&me])
        } else {
            known.row.deputy.clone()
        };
        let noted = self.replica.noted(upstream);
        let unsettled = self.unsettled(upstream, Some(held), Some(to));
        let to = to.clone();
        self.rewrite(upstream, |row| {
            // The standby's reserved epoch suffices; any other host needs a higher one.
            row.epoch = if is_deputy {
                row.reserved()
            } else {
                row.reserved().next().max(noted.next())
            };
            row.coordinator = Some(to);
            row.deputy = deputy;
            row.unsettled = unsettled;
        });
    }

    /// Hands upstreams over to their standbys, which act under their reserved epochs, if the table
    /// does not answer.
    pub(crate) fn hand_over_without_table(&mut self) {
        let handing = self.held.iter().filter(|(_, h)| h.handing.is_some());
        let upstreams = handing.map(|(u, _)| u.clone()).collect::<Vec<_>>();
        for u in upstreams {
            let subject = Subject::Upstream(u.clone());
            let doubted = self.commits.get(&subject).is_some_and(Pending::is_in_doubt);
            if doubted || !self.table_reachable {
                self.hand_to_deputy(&u);
            }
        }
    }

    fn hand_to_deputy(&mut self, upstream: &UpstreamId) {
        let to = self.held.get(upstream).and_then(|h| h.handing.as_ref());
        let row = self.replica.get(upstream).map(|k| &k.row);
        let (Some(to), Some(row)) = (to, row) else {
            return;
        };
        if row.deputy.as_ref().is_some_and(|d| d.is(&to.to)) {
            let epoch = row.reserved();
            self.handed_over(upstream, epoch);
        }
    }

    /// Stops coordinating an upstream that another host has under `epoch`, and notifies that host.
    pub(crate) fn handed_over(&mut self, upstream: &UpstreamId, epoch: Epoch) {
        let Some(held) = self.held.remove(upstream) else {
            return;
        };
        let end = held.end();
        self.past.insert(upstream.clone(), end);
        let Some(handing) = held.handing else {
            return;
        };
        self.out.push(Action::StopUpstream {
            upstream: upstream.clone(),
            why: Stop::HandedOver,
        });
        let handed = Handed {
            to: handing.to,
            hold: handing.hold,
            epoch,
            since: self.now,
            awake_since: self.roster.awake(),
            send_at: self.now,
            end,
        };
        self.handed.insert(upstream.clone(), handed);
        self.pass_on_handed();
    }

    /// Notifies hosts of the upstreams handed over to them, until they report serving them.
    pub(crate) fn pass_on_handed(&mut self) {
        let mut due = Vec::new();
        let mut over = Vec::new();
        for (u, h) in &mut self.handed {
            let silent = self.roster.silent(&h.to, h.awake_since, self.cfg.silence);
            if silent || self.now.since(h.since) >= LONGEST_WAIT {
                over.push(u.clone());
            } else if self.now >= h.send_at {
                h.send_at = self.now + self.cfg.watch_every;
                due.push((u.clone(), h.to.clone(), h.epoch, h.end));
            }
        }
        for u in &over {
            self.release_handed(u);
        }
        for (u, to, epoch, end) in due {
            let Some(known) = self.replica.get(&u) else {
                continue;
            };
            let body = Handover {
                upstream: u.as_str().to_owned(),
                epoch: epoch.0,
                remaining_us: end.since(self.now).as_micros() as u64,
                revision: known.revision.0,
                row: Some((&*known.row).into()),
            };
            self.send(&to, Body::Handover(body));
        }
    }

    /// Releases the requests held for a host that an upstream was handed over to.
    pub(crate) fn release_handed(&mut self, upstream: &UpstreamId) {
        if let Some(h) = self.handed.remove(upstream) {
            self.release(upstream, h.hold, upstream.clone(), h.to);
        }
    }

    pub(crate) fn release(
        &mut self,
        upstream: &UpstreamId,
        hold: u64,
        to: UpstreamId,
        host: HostRef,
    ) {
        self.out.push(Action::Release {
            upstream: upstream.clone(),
            hold,
            to,
            host,
        });
    }
}
