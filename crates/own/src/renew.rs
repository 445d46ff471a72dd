//! Leases, grants and their renewal.

use std::collections::BTreeMap;
use std::sync::Arc;

use ids::{SliceNo, UpstreamId};
use wire::own::{Body, Claim, Serving, Supersede, Watch};

use crate::held::Held;
use crate::machine::Machine;
use crate::{Action, Carved, HostRef, Lease, Stop};

impl Machine {
    pub(crate) fn checks_grants(&self, upstream: &UpstreamId) -> bool {
        self.view.known(upstream).is_none_or(|u| u.checks_grants)
    }

    /// Sets the slices that the upstream should have. Slices that are not wanted any more expire
    /// with the latest grant or lease issued so far.
    pub(crate) fn want_scope(&self, upstream: &UpstreamId, held: &mut Held) {
        let end = held.link.end().max(held.lease_end);
        let lost = self.is_lost(upstream, held);
        let removal = held.removal.as_mut().filter(|r| r.is_revoking());
        if let Some(r) = removal {
            r.end = r.end.or(Some(end));
        }
        let outgoing = held.outgoing.values_mut();
        for o in outgoing.filter(|o| o.drained || lost || !o.had) {
            o.end = o.end.or(Some(end));
        }
        let wanted = self.wanted(upstream, held);
        held.link.want(self.now, &wanted);
    }

    /// Issues or withdraws the lease if it changed.
    pub(crate) fn tell_lease(&mut self, upstream: &UpstreamId, held: &mut Held) {
        match self.lease(upstream, held) {
            Ok(lease) => {
                if held.lease.as_ref() == Some(&lease) {
                    return;
                }
                held.lease_end = held.lease_end.max(lease.valid_until);
                held.lease = Some(lease.clone());
                self.out.push(Action::Lease(lease));
            }
            Err(why) => {
                if held.lease.take().is_none() {
                    return;
                }
                self.out.push(Action::StopUpstream {
                    upstream: upstream.clone(),
                    why,
                });
            }
        }
    }

    fn lease(&self, upstream: &UpstreamId, held: &Held) -> Result<Lease, Stop> {
        if held.handing.is_some() {
            return Err(Stop::HandedOver);
        }
        if self.has_yielded(upstream, held) {
            return Err(Stop::Replaced);
        }
        let evidence = held.evidence.filter(|_| self.has_evidence(held));
        let until = evidence.ok_or(Stop::NoEvidence)? + self.cfg.evidence;
        let known = self.replica.get(upstream).ok_or(Stop::Replaced)?;
        if !self.checks_grants(upstream) {
            let slices = self.wanted(upstream, held).into();
            return Ok(Lease {
                upstream: upstream.clone(),
                epoch: held.epoch,
                valid_until: until,
                carved: carved(&known.row.carved, &slices),
                slices,
                revision: known.revision,
            });
        }
        let granted = held.link.granted().ok_or(Stop::NoReply)?;
        if granted.until <= self.now {
            return Err(Stop::NoReply);
        }
        Ok(Lease {
            upstream: upstream.clone(),
            epoch: granted.epoch,
            valid_until: until.min(granted.until),
            carved: carved(&known.row.carved, &granted.slices),
            slices: granted.slices,
            revision: known.revision,
        })
    }

    /// Returns whether the standby acts and is responsive.
    pub(crate) fn has_yielded(&self, upstream: &UpstreamId, held: &Held) -> bool {
        held.yielded && !self.deputy_is_silent(upstream)
    }

    /// Returns whether the row names a standby that is unresponsive.
    pub(crate) fn deputy_is_silent(&self, upstream: &UpstreamId) -> bool {
        let Some(known) = self.replica.get(upstream) else {
            return false;
        };
        let bound = self.cfg.silence;
        let deputy = known.row.deputy.as_ref();
        deputy.is_some_and(|d| self.roster.silent(d, known.awake_since, bound))
    }

    /// Sends a grant or a health request if one is due.
    pub(crate) fn renew(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if !held.link.is_due(self.now) || !self.has_evidence(held) {
            return;
        }
        if self.has_yielded(upstream, held) || held.handing.is_some() {
            return;
        }
        let attempt = self.number();
        if !self.checks_grants(upstream) {
            held.link.probe(self.now, &self.cfg);
            self.out.push(Action::Probe {
                upstream: upstream.clone(),
                attempt,
            });
            return;
        }
        let wanted = self.wanted(upstream, held);
        let Some(full) = self.view.scope(upstream, &wanted) else {
            return;
        };
        let epoch = held.epoch;
        let sent = held
            .link
            .attempt(self.now, &self.cfg, attempt, epoch, &self.me.host, full);
        self.out.push(Action::SendGrant {
            upstream: upstream.clone(),
            attempt: sent.attempt,
            request: sent.request,
        });
    }

    /// Sends heartbeats that ask the other hosts of the rows for promises, in one message to each
    /// host.
    pub(crate) fn ask_partners(&mut self) {
        if self.now < self.watch_at {
            return;
        }
        self.watch_at = self.now + self.cfg.watch_every;
        let mut asked = BTreeMap::<HostRef, Vec<Claim>>::new();
        for (u, held) in &self.held {
            let Some(partner) = self.partner(u, held) else {
                continue;
            };
            let claims = asked.entry(partner.clone()).or_default();
            claims.push(Claim {
                upstream: u.as_str().to_owned(),
                epoch: held.epoch.0,
            });
        }
        let stamp_us = self.now.as_micros();
        for (partner, claims) in asked {
            self.send(&partner, Body::Watch(Watch { stamp_us, claims }));
        }
    }

    /// Notifies previous hosts that they were replaced, until they confirm that they stopped.
    pub(crate) fn ask_predecessors(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let long = self.cfg.gone_after;
        let over = |h: &&HostRef| {
            self.roster.is_over(h) || self.roster.forgotten(h, held.awake_since, long)
        };
        let gone = held.inherit.waiting().iter().filter(over).cloned();
        let last = self.now + self.cfg.outlast(self.cfg.grant_ttl);
        let end = last.max(held.older_since + self.cfg.quiet());
        for h in gone.collect::<Vec<_>>() {
            held.inherit.stopped(&h, end);
        }
        if !held.recorded || self.now < held.supersede_at || held.inherit.waiting().is_empty() {
            return;
        }
        held.supersede_at = self.now + self.cfg.watch_every;
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let message = Supersede {
            upstream: upstream.as_str().to_owned(),
            epoch: held.epoch.0,
            revision: known.revision.0,
            row: Some((&*known.row).into()),
        };
        for h in held.inherit.waiting() {
            self.send(h, Body::Supersede(message.clone()));
        }
    }

    /// Returns whether the upstream serves all slices of its row.
    pub(crate) fn is_serving(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let fresh = held.lease.is_some();
        fresh && (!self.checks_grants(upstream) || held.link.serves(held.epoch))
    }

    pub(crate) fn tell_serving(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if held.tells.is_empty() || !self.is_serving(upstream, held) {
            return;
        }
        let Some(revision) = self.replica.get(upstream).map(|k| k.revision) else {
            return;
        };
        let without = self.unreleased(upstream, held);
        let without = without.iter().map(|i| i.slice.0).collect::<Vec<_>>();
        let mut due = Vec::new();
        for t in &mut held.tells {
            if t.revision <= revision && t.without.as_ref() != Some(&without) {
                t.without = Some(without.clone());
                due.push(t.host.clone());
            }
        }
        held.tells
            .retain(|t| !t.without.as_ref().is_some_and(Vec::is_empty));
        for host in due {
            self.send(
                &host,
                Body::Serving(Serving {
                    upstream: upstream.as_str().to_owned(),
                    epoch: held.epoch.0,
                    revision: revision.0,
                    without: without.clone(),
                }),
            );
        }
    }
}

/// Returns the hot keys carved out of `slices`.
fn carved(all: &[Carved], slices: &Arc<[SliceNo]>) -> Arc<[Carved]> {
    let within = |c: &&Carved| slices.binary_search(&c.base).is_ok();
    all.iter().filter(within).copied().collect()
}
