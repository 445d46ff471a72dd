//! Transfer of the slices of a planned move from one upstream to the other, after the table was
//! written.
//!
//! A planned move is recorded first and carried out afterwards, so that a transaction whose result
//! is unknown delays nothing. Until the previous owner's coordinating host confirms the release of
//! a slice, the new owner is not granted it, and the previous owner may keep it.

use std::collections::BTreeMap;

use ids::{SliceNo, Timestamp, UpstreamId};
use wire::own::{AskFree, Body, Freed, Retire, Stay};

use crate::held::{Going, Held, Outgoing, Removal, Retiring};
use crate::machine::Machine;
use crate::{HostRef, Incoming, OwnRow};

/// Returns whether the release of a slice by its previous owner is not confirmed.
pub(crate) fn is_unreleased(row: &OwnRow, held: &Held, slice: SliceNo) -> bool {
    let incoming = row.incoming.binary_search_by_key(&slice, |i| i.slice);
    if incoming.is_err() {
        return false;
    }
    let stay = row.generation(slice).map(|g| (slice, g));
    !stay.is_some_and(|s| held.released.contains(&s))
}

impl Machine {
    /// Returns the slices of an upstream whose release by their previous owners is not confirmed.
    pub(crate) fn unreleased(&self, upstream: &UpstreamId, held: &Held) -> Vec<Incoming> {
        let Some(known) = self.replica.get(upstream) else {
            return Vec::new();
        };
        let row = &known.row;
        let waits = |i: &&Incoming| is_unreleased(row, held, i.slice);
        row.incoming.iter().filter(waits).cloned().collect()
    }

    /// Starts the transfer of the slices that a removal has recorded.
    pub(crate) fn start_outgoing(&mut self, upstream: &UpstreamId, held: &mut Held, r: Removal) {
        for g in r.going {
            let again = |m: &mut Self| m.hold(upstream, g.slice, g.generation, g.to.clone());
            let g = if r.loosed { again(self) } else { g };
            let outgoing = Outgoing {
                to: g.to,
                generation: g.generation,
                hold: Some(g.hold),
                drained: g.drained,
                had: true,
                end: None,
            };
            held.outgoing.insert(g.slice, outgoing);
        }
        self.want_scope(upstream, held);
    }

    /// Discards the state of slices that came back or moved on.
    pub(crate) fn forget_stays(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let row = &known.row;
        held.freed.retain(|s| !row.holds(*s));
        held.released
            .retain(|(s, g)| row.generation(*s) == Some(*g));
        let back = held.outgoing.extract_if(.., |s, _| row.holds(*s));
        for hold in back.filter_map(|(_, o)| o.hold).collect::<Vec<_>>() {
            self.release(upstream, hold, upstream.clone(), self.me.clone());
        }
    }

    /// Asks the standby not to grant slices, until it has promised so for the current row.
    pub(crate) fn ask_to_retire(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if !held.recorded || held.handing.is_some() {
            return;
        }
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let slices = retiring(held);
        if slices.is_empty() && held.retiring.is_none() {
            return;
        }
        let same = |t: &&Retiring| t.revision == known.revision && t.slices == slices;
        let current = held.retiring.as_ref().filter(same);
        let again = self.cfg.watch_every / 2;
        if current.is_some_and(|t| t.promised || self.now.since(t.sent_at) < again) {
            return;
        }
        let fresh = self.now.since(known.taken) < self.cfg.watch_every;
        let tell = fresh || current.is_some();
        let seq = self.number();
        if let Some(deputy) = &known.row.deputy {
            let body = Retire {
                upstream: upstream.as_str().to_owned(),
                epoch: held.epoch.0,
                revision: known.revision.0,
                slices: slices.iter().map(|s| s.0).collect(),
                seq,
                row: tell.then(|| (&*known.row).into()),
            };
            self.send(deputy, Body::Retire(body));
        }
        held.retiring = (!slices.is_empty()).then(|| Retiring {
            seq,
            revision: known.revision,
            slices,
            promised: known.row.deputy.is_none(),
            sent_at: self.now,
        });
    }

    /// Returns whether the standby promised, for the current row, not to grant a slice.
    pub(crate) fn is_retired(&self, upstream: &UpstreamId, held: &Held, slice: SliceNo) -> bool {
        let revision = self.replica.get(upstream).map(|k| k.revision);
        let retiring = held.retiring.as_ref();
        retiring.is_some_and(|t| {
            let within = t.slices.binary_search(&slice).is_ok();
            t.promised && within && Some(t.revision) == revision
        })
    }

    /// Confirms the release of slices that moved away, once they are released.
    pub(crate) fn free_outgoing(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if held.outgoing.is_empty() || !held.recorded || self.has_yielded(upstream, held) {
            return;
        }
        if held.inherit.quiet_at() > self.now {
            return;
        }
        let lost = self.is_lost(upstream, held);
        let free = |(s, o): &(&SliceNo, &Outgoing)| {
            let up = self.is_given_up(upstream, held, lost, o.end, o.drained);
            o.end.is_some() && up && self.is_retired(upstream, held, **s)
        };
        let free = held.outgoing.iter().filter(free).map(|(s, _)| *s);
        let mut told = BTreeMap::<UpstreamId, Vec<Stay>>::new();
        for slice in free.collect::<Vec<_>>() {
            let Some(o) = held.outgoing.remove(&slice) else {
                continue;
            };
            held.freed.insert(slice);
            if let Some(hold) = o.hold {
                let revision = self.replica.get(&o.to).map(|k| k.revision);
                let revision = revision.unwrap_or_default();
                self.settle_hold(upstream, hold, Some(slice), o.to.clone(), revision);
            }
            told.entry(o.to).or_default().push(Stay {
                slice: slice.0,
                generation: o.generation,
            });
        }
        for (to, slices) in told {
            self.send_freed(upstream, &to, slices);
        }
    }

    fn send_freed(&mut self, from: &UpstreamId, to: &UpstreamId, slices: Vec<Stay>) {
        let known = self.replica.get(to);
        let Some(host) = known.and_then(|k| k.row.coordinator.clone()) else {
            return;
        };
        let freed = Freed {
            from: from.as_str().to_owned(),
            to: to.as_str().to_owned(),
            slices,
        };
        self.send(&host, Body::Freed(freed));
    }

    /// Asks the hosts of the previous owners whether they have released incoming slices.
    pub(crate) fn ask_free(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if self.now < held.ask_free_at {
            return;
        }
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let mut asked = BTreeMap::<UpstreamId, Vec<Stay>>::new();
        for i in self.unreleased(upstream, held) {
            let Some(generation) = known.row.generation(i.slice) else {
                continue;
            };
            if self.has_nobody(&i.from, known.taken) {
                self.release_stay(held, i.slice, generation);
                continue;
            }
            let slice = i.slice.0;
            let stays = asked.entry(i.from).or_default();
            stays.push(Stay { slice, generation });
        }
        if !asked.is_empty() {
            held.ask_free_at = self.now + self.cfg.watch_every / 2;
        }
        for (from, slices) in asked {
            let host = self.replica.get(&from);
            let Some(host) = host.and_then(|k| k.row.coordinator.clone()) else {
                continue;
            };
            // That host may not know that its own transaction took effect.
            self.tell_newer(&host, &from);
            let ask = AskFree {
                from: from.as_str().to_owned(),
                to: upstream.as_str().to_owned(),
                slices,
            };
            self.send(&host, Body::AskFree(ask));
        }
    }

    /// Returns whether no host can have granted slices of an upstream since `since`: its domain is
    /// declared lost or it has no coordinating host, and all grants of the last one have expired.
    fn has_nobody(&self, upstream: &UpstreamId, since: Timestamp) -> bool {
        let known = self.replica.get(upstream);
        let vacant = known.is_some_and(|k| k.row.coordinator.is_none());
        let since = known.map_or(since, |k| k.taken.max(since));
        let nobody = vacant || self.view.in_lost_domain(upstream);
        nobody && since + self.cfg.quiet() <= self.now
    }

    pub(crate) fn on_ask_free(&mut self, host: &HostRef, m: &AskFree) {
        let from = UpstreamId::new(m.from.as_str());
        let to = UpstreamId::new(m.to.as_str());
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let Some(known) = self.replica.get(&from).cloned() else {
            return;
        };
        let mut free = Vec::new();
        self.with_held(&from, |_, h| {
            if !h.recorded {
                return;
            }
            let gone = m
                .slices
                .iter()
                .filter(|s| !known.row.holds(SliceNo(s.slice)));
            for stay in gone {
                let slice = SliceNo(stay.slice);
                if h.freed.contains(&slice) {
                    free.push(*stay);
                    continue;
                }
                let o = h.outgoing.entry(slice).or_insert_with(|| Outgoing {
                    to: to.clone(),
                    generation: stay.generation,
                    hold: None,
                    drained: true,
                    had: false,
                    end: None,
                });
                if stay.generation > o.generation {
                    o.generation = stay.generation;
                    o.to = to.clone();
                }
            }
        });
        if free.is_empty() {
            return;
        }
        let freed = Freed {
            from: m.from.clone(),
            to: m.to.clone(),
            slices: free,
        };
        self.send(host, Body::Freed(freed));
    }

    pub(crate) fn on_freed(&mut self, m: &Freed) {
        let from = UpstreamId::new(m.from.as_str());
        let to = UpstreamId::new(m.to.as_str());
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let Some(known) = self.replica.get(&to).cloned() else {
            return;
        };
        self.with_held(&to, |machine, h| {
            for stay in &m.slices {
                let slice = SliceNo(stay.slice);
                let came = Incoming {
                    slice,
                    from: from.clone(),
                };
                let same = known.row.generation(slice) == Some(stay.generation);
                if same && known.row.incoming.contains(&came) {
                    machine.release_stay(h, slice, stay.generation);
                }
            }
        });
    }

    /// Records that the previous owner has released a slice.
    fn release_stay(&self, held: &mut Held, slice: SliceNo, generation: u64) {
        if held.released.insert((slice, generation)) {
            held.clear_at = self.now + self.cfg.clear_after;
        }
    }

    /// Removes released slices from the row's incoming slices.
    pub(crate) fn clear_incoming(&mut self, upstream: &UpstreamId, held: &mut Held) {
        held.clear_at = Timestamp::NEVER;
        let waits = self.unreleased(upstream, held);
        let known = self.replica.get(upstream);
        if known.is_some_and(|k| k.row.incoming != waits) {
            let written = self.rewrite(upstream, |row| row.incoming = waits);
            if !written {
                held.clear_at = self.now + self.cfg.clear_after;
            }
        }
    }
}

/// Returns the slices that the standby must not grant, in ascending order.
fn retiring(held: &Held) -> Vec<SliceNo> {
    let revoking = |r: &&Removal| r.is_revoking();
    let removal = held.removal.iter().filter(revoking);
    let going = removal.flat_map(|r| &r.going).map(|g: &Going| g.slice);
    let outgoing = held.outgoing.iter().filter(|(_, o)| o.end.is_some());
    let mut all = going.chain(outgoing.map(|(s, _)| *s)).collect::<Vec<_>>();
    all.sort();
    all.dedup();
    all
}
