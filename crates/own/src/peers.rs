//! Handling of messages from other hosts.

use std::sync::Arc;

use ids::{Epoch, Revision, SliceNo, Timestamp, UpstreamId};
use wire::own::{
    Answer, Body, Handover, PeerMessage, Ping, Pong, Promise, Retire, Retired, Serving, Standing,
    Supersede, Superseded, Told, Watch,
};

use crate::held::Held;
use crate::machine::Machine;
use crate::row::OwnChange;
use crate::{HostRef, OwnRow, Stop};

/// Slices of a row that this host, as standby, promised not to grant.
#[derive(Debug, Clone)]
pub(crate) struct Mark {
    from: HostRef,
    seq: u64,
    pub(crate) revision: Revision,
    pub(crate) slices: Vec<SliceNo>,
}

impl Machine {
    pub(crate) fn on_message(&mut self, message: &PeerMessage) {
        let from = message.from.as_ref().map(HostRef::try_from);
        // A message that can't be decoded is treated as lost.
        let (Some(Ok(from)), Some(body)) = (from, &message.body) else {
            return;
        };
        if from.host == self.me.host || self.roster.is_over(&from) {
            return;
        }
        self.heard(&from, true);
        self.on_body(&from, body);
    }

    /// Handles a message of another host, or one from this host to itself.
    pub(crate) fn on_body(&mut self, from: &HostRef, body: &Body) {
        match body {
            Body::Watch(m) => self.on_watch(from, m),
            Body::Promise(m) => self.on_promise(from, m),
            Body::Retire(m) => self.on_retire(from, m),
            Body::Retired(m) => self.on_retired(from, m),
            Body::Supersede(m) => self.on_supersede(from, m),
            Body::Superseded(m) => self.on_superseded(from, m),
            Body::Told(m) => self.on_told(from, m),
            Body::Handover(m) => self.on_handover(from, m),
            Body::Serving(m) => self.on_serving(from, m),
            Body::AskFree(m) => self.on_ask_free(from, m),
            Body::Freed(m) => self.on_freed(m),
            Body::Ping(Ping { stamp_us }) => {
                let stamp_us = *stamp_us;
                self.send(from, Body::Pong(Pong { stamp_us }));
            }
            Body::Pong(Pong { stamp_us }) => {
                let echo = Timestamp::from_micros(*stamp_us);
                self.roster.echoed(from, echo.min(self.now));
            }
        }
    }

    fn on_watch(&mut self, from: &HostRef, m: &Watch) {
        let answers = m.claims.iter().filter_map(|c| {
            let upstream = UpstreamId::new(c.upstream.as_str()).ok()?;
            let (standing, epoch) = self.standing(from, &upstream, Epoch(c.epoch));
            Some(Answer {
                upstream: c.upstream.clone(),
                epoch: epoch.0,
                standing: standing.into(),
            })
        });
        let answers = answers.collect::<Vec<_>>();
        for a in answers.iter().filter(|a| a.standing() == Standing::Unknown) {
            if let Ok(u) = UpstreamId::new(a.upstream.as_str()) {
                self.tell_newer(from, &u);
            }
        }
        let stamp_us = m.stamp_us;
        self.send(from, Body::Promise(Promise { stamp_us, answers }));
    }

    /// Returns this host's answer to a claim of the other host of the row.
    fn standing(
        &mut self,
        from: &HostRef,
        upstream: &UpstreamId,
        epoch: Epoch,
    ) -> (Standing, Epoch) {
        self.replica.note(upstream, epoch);
        let Some(known) = self.replica.get(upstream) else {
            return (Standing::Unknown, epoch);
        };
        let is =
            |host: &Option<HostRef>, other: &HostRef| host.as_ref().is_some_and(|h| h.is(other));
        let row = Arc::clone(&known.row);
        if is(&row.coordinator, &self.me) && is(&row.deputy, from) && row.reserved() == epoch {
            return (self.yield_to_deputy(upstream), epoch);
        }
        if row.epoch != epoch || !is(&row.coordinator, from) || !is(&row.deputy, &self.me) {
            return (Standing::Unknown, epoch);
        }
        if let Some(held) = self.held.get(upstream) {
            return (Standing::Acting, held.epoch);
        }
        (Standing::Promised, epoch)
    }

    /// Stops acting for an upstream whose standby acts, until the standby becomes unresponsive.
    fn yield_to_deputy(&mut self, upstream: &UpstreamId) -> Standing {
        self.with_held(upstream, |_, h| h.yielded = true);
        match self.held.get(upstream) {
            Some(h) if h.recorded && self.has_yielded(upstream, h) => Standing::Promised,
            // The upstream was handed over, or this host has not started to coordinate it.
            _ => Standing::Unknown,
        }
    }

    /// Sends the known row of an upstream to a host.
    pub(crate) fn tell_newer(&mut self, to: &HostRef, upstream: &UpstreamId) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        let told = Told {
            upstream: upstream.as_str().to_owned(),
            revision: known.revision.0,
            row: Some((&*known.row).into()),
        };
        self.send(to, Body::Told(told));
    }

    fn on_promise(&mut self, from: &HostRef, m: &Promise) {
        let stamp = Timestamp::from_micros(m.stamp_us);
        if stamp > self.now {
            return;
        }
        self.roster.echoed(from, stamp);
        for a in &m.answers {
            let Ok(upstream) = UpstreamId::new(a.upstream.as_str()) else {
                continue;
            };
            self.on_answer(from, &upstream, a, stamp);
        }
    }

    fn on_answer(&mut self, from: &HostRef, upstream: &UpstreamId, a: &Answer, stamp: Timestamp) {
        let held = self.held.get(upstream);
        let partner = held.and_then(|h| self.partner(upstream, h));
        if !partner.is_some_and(|p| p.is(from)) {
            return;
        }
        let epoch = Epoch(a.epoch);
        let mut unknown = false;
        self.with_held(upstream, |m, h| match a.standing() {
            Standing::Promised if h.epoch == epoch => {
                h.evidence = h.evidence.max(Some(stamp));
            }
            Standing::Acting if h.recorded && epoch > h.epoch => {
                h.yielded = true;
                m.replica.note(upstream, epoch);
            }
            Standing::Unknown => unknown = true,
            Standing::Promised | Standing::Acting => {}
        });
        if unknown {
            self.tell_newer(from, upstream);
        }
    }

    fn on_retire(&mut self, from: &HostRef, m: &Retire) {
        self.take_told(&m.upstream, m.revision, m.row.as_ref());
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let (epoch, revision) = (Epoch(m.epoch), Revision(m.revision));
        self.replica.note(&upstream, epoch);
        // A host that already acts, or knows another row, can't promise anything about this one: an
        // older row may lack hot keys that were carved out since.
        let known = self.replica.get(&upstream).map(|k| k.revision);
        if self.held.contains_key(&upstream) || known != Some(revision) {
            return;
        }
        let newer = self
            .marks
            .get(&upstream)
            .is_none_or(|k| k.revision < revision || (k.from.is(from) && k.seq <= m.seq));
        if !newer {
            return;
        }
        let mark = Mark {
            from: from.clone(),
            seq: m.seq,
            revision,
            slices: m.slices.iter().copied().map(SliceNo).collect(),
        };
        self.marks.insert(upstream, mark);
        let retired = Retired {
            upstream: m.upstream.clone(),
            seq: m.seq,
        };
        self.send(from, Body::Retired(retired));
    }

    fn on_retired(&mut self, from: &HostRef, m: &Retired) {
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let known = self.replica.get(&upstream);
        let deputy = known.and_then(|k| k.row.deputy.as_ref());
        if !deputy.is_some_and(|d| d.is(from)) {
            return;
        }
        self.with_held(&upstream, |_, h| {
            let retiring = h.retiring.as_mut();
            if let Some(r) = retiring.filter(|r| r.seq == m.seq) {
                r.promised = true;
            }
        });
    }

    fn take_told(&mut self, upstream: &str, revision: u64, row: Option<&wire::own::Row>) {
        let row = row.map(OwnRow::try_from);
        let (Ok(upstream), Some(Ok(row))) = (UpstreamId::new(upstream), row) else {
            return;
        };
        self.on_row(&upstream, Revision(revision), &Arc::new(row));
    }

    fn on_supersede(&mut self, from: &HostRef, m: &Supersede) {
        self.take_told(&m.upstream, m.revision, m.row.as_ref());
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let epoch = Epoch(m.epoch);
        self.replica.note(&upstream, epoch);
        match self.held.get(&upstream).map(|h| h.epoch) {
            Some(own) if own >= epoch => return,
            Some(_) => self.drop_held(&upstream, Stop::Replaced),
            None => {}
        }
        let end = self.past.get(&upstream).copied().unwrap_or_default();
        let superseded = Superseded {
            upstream: m.upstream.clone(),
            epoch: m.epoch,
            remaining_us: end.since(self.now).as_micros() as u64,
        };
        self.send(from, Body::Superseded(superseded));
    }

    fn on_superseded(&mut self, from: &HostRef, m: &Superseded) {
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        self.with_held(&upstream, |machine, h| {
            if h.epoch.0 != m.epoch {
                return;
            }
            let end = machine.end_of(m.remaining_us);
            h.inherit.stopped(from, end);
        });
    }

    /// Returns the local time by which a duration reported by another host has certainly passed.
    fn end_of(&self, remaining_us: u64) -> Timestamp {
        let remaining = std::time::Duration::from_micros(remaining_us);
        self.now + self.cfg.outlast(remaining)
    }

    fn on_told(&mut self, from: &HostRef, m: &Told) {
        self.take_told(&m.upstream, m.revision, m.row.as_ref());
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let revision = Revision(m.revision);
        self.with_held(&upstream, |_, h| h.tell_once_serving(from, revision));
    }

    fn on_handover(&mut self, from: &HostRef, m: &Handover) {
        self.take_told(&m.upstream, m.revision, m.row.as_ref());
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let end = self.end_of(m.remaining_us);
        self.take_over_by_handover(from, &upstream, Epoch(m.epoch), Revision(m.revision));
        let revision = Revision(m.revision);
        self.with_held(&upstream, |_, h| {
            h.inherit.stopped(from, end);
            h.tell_once_serving(from, revision);
        });
    }

    /// Takes over under the reserved epoch because the coordinating host handed the upstream over
    /// while the table was unreachable.
    fn take_over_by_handover(
        &mut self,
        from: &HostRef,
        upstream: &UpstreamId,
        epoch: Epoch,
        revision: Revision,
    ) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        let row = &known.row;
        let named = row.coordinator.as_ref().is_some_and(|c| c.is(from));
        let reserve = row.deputy.as_ref().is_some_and(|d| d.is(&self.me));
        if !named || !reserve || row.reserved() != epoch || known.revision != revision {
            return;
        }
        if self.held.contains_key(upstream) {
            return;
        }
        // A host that hands over an upstream has no slice moves in progress.
        self.marks.remove(upstream);
        self.take_over(upstream);
        self.with_held(upstream, |_, h| h.was_handed = true);
    }

    fn on_serving(&mut self, from: &HostRef, m: &Serving) {
        let Ok(upstream) = UpstreamId::new(m.upstream.as_str()) else {
            return;
        };
        let done = self.handed.get(&upstream);
        if done.is_some_and(|h| h.to.is(from) && m.epoch >= h.epoch.0) {
            self.release_handed(&upstream);
        }
        let without = m.without.iter().copied().map(SliceNo);
        let without = without.collect::<Vec<_>>();
        self.release_served(&upstream, from, Revision(m.revision), &without);
    }

    /// Sends a newly written row to the hosts that it names.
    pub(crate) fn tell_row(&mut self, row: &platform::Row) {
        let Ok(OwnChange::Upstream(upstream, _, Some(content))) = OwnChange::parse(row) else {
            return;
        };
        let both = [&content.coordinator, &content.deputy];
        for to in both.into_iter().flatten() {
            self.tell_newer(to, &upstream);
        }
    }

    /// Starts to act for an upstream under this host's reserved epoch.
    pub(crate) fn take_over(&mut self, upstream: &UpstreamId) {
        let Some(known) = self.replica.get(upstream) else {
            return;
        };
        let held = Held::new(self.now, self.roster.awake(), known.row.reserved(), false);
        self.held.insert(upstream.clone(), held);
        self.advance(upstream);
    }
}
