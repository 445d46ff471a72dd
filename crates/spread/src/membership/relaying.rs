//! Changes and evidence for the hosts that this one feeds.

use std::time::Duration;

use ids::{HostId, Revision, Timestamp};
use prost::Message;
use wire::control::{self, Delta, Feed, Push};

use super::event::{Action, Evidence};
use super::peer::{Peer, at};
use super::{Config, Member, push};
use crate::{Prefix, Replica, Watermarks};

/// Time between messages that only say that nothing changed in the catalogue.
const QUIET_CATALOGUE: Duration = Duration::from_secs(1);

/// To what the replica was complete a while ago.
#[derive(Debug, Default)]
pub(super) struct OldMarks {
    turned: Timestamp,
    older: Watermarks,
    newer: Watermarks,
}

impl OldMarks {
    /// Notes that the replica is complete to `marks`; what is told as old is so for at least
    /// `span`.
    pub(super) fn turn(&mut self, now: Timestamp, marks: Watermarks, span: Duration) {
        if now.since(self.turned) < span {
            return;
        }
        self.turned = now;
        self.older = std::mem::replace(&mut self.newer, marks);
    }

    pub(super) const fn get(&self) -> Watermarks {
        self.older
    }
}

/// What a host draws on to feed another.
struct Source<'a> {
    cfg: &'a Config,
    replica: &'a Replica,
    evidence: Option<Evidence>,
    budget_at: &'a mut Timestamp,
    transfers: &'a mut u64,
}

impl Member {
    /// Sends each host what it lacks.
    pub(super) fn feed(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut source = Source {
            cfg: &self.cfg,
            replica: &self.replica,
            evidence: self.knowledge.evidence(),
            budget_at: &mut self.budget_at,
            transfers: &mut self.transfers,
        };
        for (host, peer) in &mut self.peers {
            if !peer.connected || peer.fed.feed == Feed::None {
                continue;
            }
            let message = source.message(now, peer);
            if message.deltas.is_empty() && message.evidence.is_none() {
                continue;
            }
            actions.push(push(host, message));
        }
    }

    /// Takes what another host passes on.
    pub(super) fn take_push(
        &mut self,
        now: Timestamp,
        from: &HostId,
        message: &Push,
        actions: &mut Vec<Action>,
    ) {
        for delta in &message.deltas {
            self.take_delta(now, from, delta);
        }
        if let Some(evidence) = message.evidence {
            self.take_evidence(now, from, evidence);
        }
        for record in &message.hosts {
            self.take_record(now, from, record, actions);
        }
        if message.all_hosts {
            self.synced(now, from, &message.hosts);
        }
        for hint in &message.hints {
            if let Some(prefix) = Prefix::from_wire(hint.prefix) {
                self.keep_apart(now, from, prefix);
                self.hint(now, prefix, Revision(hint.revision), actions);
            }
        }
    }

    fn take_delta(&mut self, now: Timestamp, from: &HostId, delta: &Delta) {
        let Some(prefix) = Prefix::from_wire(delta.prefix) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        let taken = self
            .replica
            .take_delta(&mut peer.intakes[at(prefix)], delta);
        if delta.more {
            self.paging = Some((from.clone(), now));
        } else if delta.page > 0 {
            self.paging = None;
        }
        if taken.misfit {
            self.misfit = true;
            peer.beat_due = now;
            self.todo.beats = true;
        }
    }

    fn take_evidence(&mut self, now: Timestamp, from: &HostId, evidence: control::Evidence) {
        let as_of = Timestamp::from_micros(evidence.as_of_us);
        // A reading that lies ahead was not taken from this clock as it runs now.
        if as_of > now {
            return;
        }
        self.knowledge.offer(Evidence {
            as_of,
            revision: Revision(evidence.revision),
        });
        let feeders = self.feeders(now);
        if feeders.first().is_some_and(|(host, _)| host == from) {
            self.fed_at = now;
            self.hasten_beats(now, &feeders);
        }
    }
}

impl Source<'_> {
    fn message(&mut self, now: Timestamp, peer: &mut Peer) -> Push {
        let evidence = self.evidence_for(peer);
        let mut message = Push {
            evidence,
            ..Push::default()
        };
        for prefix in Prefix::ALL {
            let delta = self.delta(now, peer, prefix, evidence.is_some());
            message.deltas.extend(delta);
        }
        message
    }

    /// Evidence for a host is the freshest own one, seen from the host's last heartbeat that came
    /// before it.
    fn evidence_for(&self, peer: &mut Peer) -> Option<control::Evidence> {
        let evidence = self.evidence?;
        if !peer.fed.asks {
            return None;
        }
        let as_of_us = peer.fed.covered(evidence.as_of)?;
        peer.fed.given = as_of_us;
        peer.fed.asks = false;
        Some(control::Evidence {
            as_of_us,
            revision: evidence.revision.0,
        })
    }

    fn delta(
        &mut self,
        now: Timestamp,
        peer: &mut Peer,
        prefix: Prefix,
        with_evidence: bool,
    ) -> Option<Delta> {
        if peer.fed.pagers[at(prefix)].is_none() {
            self.begin(now, peer, prefix, with_evidence)?;
        }
        let slot = &mut peer.fed.pagers[at(prefix)];
        let pager = slot.as_mut()?;
        if now < *self.budget_at {
            return None;
        }
        let delta = self.replica.page(pager, self.cfg.page_bytes);
        peer.fed.sent_at[at(prefix)] = now;
        if delta.more || delta.page > 0 {
            let rate = self.cfg.transfer_bytes_per_s.max(1);
            let cost = Duration::from_secs(1) * delta.encoded_len() as u32 / rate;
            *self.budget_at = now + cost;
        }
        if !delta.more {
            *slot = None;
            peer.fed.whole = false;
        }
        Some(delta)
    }

    /// Begins a transfer if the host lacks something and it is time to send it.
    fn begin(
        &mut self,
        now: Timestamp,
        peer: &mut Peer,
        prefix: Prefix,
        with_evidence: bool,
    ) -> Option<()> {
        let fed = &mut peer.fed;
        let held = self.replica.complete_up_to().get(prefix);
        let since = fed.sent.get(prefix);
        let waits = fed.feed == Feed::Standby && !fed.lags[at(prefix)];
        if held <= since || waits {
            fed.behind[at(prefix)] = None;
            return None;
        }
        let behind = *fed.behind[at(prefix)].get_or_insert(now);
        let waited = now.since(behind);
        let quiet = !self.replica.has_rows_past(prefix, since);
        let patience = match prefix {
            Prefix::Catalogue if quiet => QUIET_CATALOGUE,
            Prefix::Own if quiet && !with_evidence => self.cfg.heartbeat,
            _ => Duration::ZERO,
        };
        if waited < patience {
            return None;
        }
        *self.transfers += 1;
        let pager = self
            .replica
            .pager(*self.transfers, prefix, since, fed.whole);
        fed.sent.raise(prefix, pager.up_to());
        fed.behind[at(prefix)] = None;
        fed.lags[at(prefix)] = false;
        fed.pagers[at(prefix)] = Some(pager);
        Some(())
    }
}
