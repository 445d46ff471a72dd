//! Requests: sent once, under a lease that is checked just before.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use catalogue::Class;
use ids::{Epoch, SliceNo, UpstreamId};
use own::{Action, Event, Lease};
use rand::Rng;

use super::{DEADLINE_MS, Happening, LONGEST_DELAY, MS, SLICES, World};

/// An upstream, and the slices of it that are held; all if absent.
type Held = (UpstreamId, Option<Arc<[SliceNo]>>);

/// What a host's dispatching part knows.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pub leases: BTreeMap<UpstreamId, Lease>,
    holds: BTreeMap<u64, Held>,
    /// Requests on their way to or at an upstream.
    under_way: BTreeMap<u64, (UpstreamId, SliceNo)>,
    told: Vec<u64>,
}

/// A request that passed the check of the lease.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub id: u64,
    pub host: usize,
    pub run: u64,
    pub upstream: usize,
    /// Run of the upstream that the connection leads to.
    pub boot: u64,
    pub slice: SliceNo,
    pub epoch: Epoch,
}

/// What became of requests.
#[derive(Debug, Default)]
pub struct Requests {
    last: u64,
    /// Sent, but not started and not refused yet.
    pub may_start: BTreeMap<u64, Sent>,
    /// Came to the upstream's machine, whether its process runs or not.
    delivered: BTreeSet<u64>,
    /// Their connections were reset.
    aborted: BTreeSet<u64>,
    pub ran: BTreeMap<u64, u32>,
    pub not_run: Vec<u64>,
    /// When each slice was last served.
    pub served: BTreeMap<SliceNo, u64>,
    /// Longest time for which each slice was not served.
    pub longest: BTreeMap<SliceNo, u64>,
    pub refused: u64,
}

impl Dispatcher {
    fn is_held(&self, upstream: &UpstreamId, slice: SliceNo) -> bool {
        let holds = |h: &Held| h.0 == *upstream && h.1.as_ref().is_none_or(|s| s.contains(&slice));
        self.holds.values().any(holds)
    }

    /// Returns the holds of which nothing is under way, once each.
    fn newly_drained(&mut self) -> Vec<(u64, UpstreamId)> {
        let mut drained = Vec::new();
        for (hold, (upstream, slices)) in &self.holds {
            let within = |s: &SliceNo| slices.as_ref().is_none_or(|all| all.contains(s));
            let busy = self
                .under_way
                .values()
                .any(|(u, s)| u == upstream && within(s));
            if !busy && !self.told.contains(hold) {
                drained.push((*hold, upstream.clone()));
            }
        }
        self.told.extend(drained.iter().map(|(hold, _)| *hold));
        drained
    }
}

impl World {
    pub fn dispatch(&mut self, h: usize, action: Action) {
        let d = &mut self.hosts[h].dispatch;
        match action {
            Action::Lease(lease) => {
                d.leases.insert(lease.upstream.clone(), lease);
            }
            Action::StopUpstream { upstream, .. } => {
                d.leases.remove(&upstream);
            }
            Action::Hold {
                upstream,
                hold,
                slices,
            } => {
                d.holds.insert(hold, (upstream, slices));
            }
            Action::Release { hold, .. } => {
                d.holds.remove(&hold);
            }
            other => unreachable!("{other:?} is not for the dispatcher"),
        }
        self.tell_drained(h);
    }

    fn tell_drained(&mut self, h: usize) {
        let run = self.hosts[h].run;
        for (hold, upstream) in self.hosts[h].dispatch.newly_drained() {
            let event = Event::Drained { upstream, hold };
            self.push(50, Happening::Tell(h, run, event));
        }
    }

    /// Sends a request for each slice from some host that may.
    pub fn load(&mut self) {
        self.push(10 * MS, Happening::Load);
        for slice in (0..u64::from(SLICES)).map(SliceNo) {
            let able = |h: &usize| self.lease_for(*h, slice).is_some();
            let able = (0..self.hosts.len()).filter(able).collect::<Vec<_>>();
            if able.is_empty() {
                self.requests.refused += 1;
                continue;
            }
            let h = able[self.rng.random_range(0..able.len())];
            self.check_and_send(h, slice);
        }
    }

    fn lease_for(&self, h: usize, slice: SliceNo) -> Option<&Lease> {
        let host = &self.hosts[h];
        if host.paused_until > self.t || host.machine.is_none() {
            return None;
        }
        let now = host.now(self.t);
        let fits = |l: &&Lease| {
            let held = host.dispatch.is_held(&l.upstream, slice);
            now < l.valid_until && !held && l.slices.contains(&slice)
        };
        host.dispatch.leases.values().find(fits)
    }

    fn check_and_send(&mut self, h: usize, slice: SliceNo) {
        let Some(lease) = self.lease_for(h, slice) else {
            return;
        };
        let upstream = self.upstream_index(lease.upstream.as_str());
        let epoch = lease.epoch;
        self.requests.last += 1;
        let sent = Sent {
            id: self.requests.last,
            host: h,
            run: self.hosts[h].run,
            upstream,
            boot: self.upstreams[upstream].boot,
            slice,
            epoch,
        };
        let name = self.upstreams[upstream].name.clone();
        let under_way = &mut self.hosts[h].dispatch.under_way;
        under_way.insert(sent.id, (name, slice));
        // The dispatcher takes it for ended some time after its deadline, whatever became of it.
        self.push(DEADLINE_MS * MS + LONGEST_DELAY, Happening::GiveUp(sent));
        // The host may be paused just here, between the check and the send.
        self.push(20, Happening::Sent(sent));
    }

    pub fn send_request(&mut self, s: Sent) {
        if !self.is_run(s.host, s.run) {
            return;
        }
        self.requests.may_start.insert(s.id, s);
        self.audit();
        let delay = self.delay();
        self.push(delay, Happening::Start(s.upstream, s));
    }

    pub fn start_request(&mut self, u: usize, s: Sent) {
        if !self.requests.delivered.contains(&s.id) {
            if self.requests.aborted.contains(&s.id) {
                self.requests.may_start.remove(&s.id);
                return;
            }
            if self.upstream_cut(s.host, u) {
                // The transport tries again until it gets through, or the host aborts it.
                self.push(50 * MS, Happening::Start(u, s));
                return;
            }
            self.requests.delivered.insert(s.id);
        }
        let up = &self.upstreams[u];
        if up.gone || up.boot != s.boot {
            self.requests.may_start.remove(&s.id);
            self.end_request(&s);
            return;
        }
        if up.paused_until > self.t {
            let after = up.paused_until - self.t;
            self.push(after, Happening::Start(u, s));
            return;
        }
        self.requests.may_start.remove(&s.id);
        if !up.allows(up.clock.at(self.t), s.epoch, s.slice) {
            self.requests.not_run.push(s.id);
            self.end_request(&s);
            return;
        }
        *self.requests.ran.entry(s.id).or_default() += 1;
        self.note_served(s.slice);
        self.check_alone(u, s.slice);
        let t = self.t;
        self.upstreams[u].running.insert(s.id, (s.slice, t));
        let work = if self.rng.random_range(0..100) < self.setup.long {
            self.rng.random_range(MS..DEADLINE_MS * MS)
        } else {
            self.rng.random_range(MS..15 * MS)
        };
        self.push(work, Happening::Finish(u, s));
    }

    /// Checks that no other upstream runs requests of the slice, if that matters.
    fn check_alone(&mut self, u: usize, slice: SliceNo) {
        if self.setup.class == Class::Idempotent {
            return;
        }
        for (o, other) in self.upstreams.iter().enumerate() {
            if o != u && other.runs(slice) {
                let both = format!("{slice} runs at u{o} and starts at u{u}");
                self.broken.push((self.t, both));
            }
        }
    }

    pub fn finish_request(&mut self, u: usize, s: &Sent) {
        let up = &mut self.upstreams[u];
        if up.boot != s.boot || up.gone {
            self.end_request(s);
            return;
        }
        if up.paused_until > self.t {
            let after = up.paused_until - self.t;
            self.push(after, Happening::Finish(u, *s));
            return;
        }
        up.running.remove(&s.id);
        self.end_request(s);
    }

    /// Ends a request that was not answered in time, and resets its connection.
    pub fn give_up(&mut self, s: &Sent) {
        self.requests.aborted.insert(s.id);
        if !self.requests.delivered.contains(&s.id) {
            self.requests.may_start.remove(&s.id);
        }
        self.end_request(s);
    }

    pub fn end_request(&mut self, s: &Sent) {
        if !self.is_run(s.host, s.run) {
            return;
        }
        self.hosts[s.host].dispatch.under_way.remove(&s.id);
        self.tell_drained(s.host);
    }

    fn note_served(&mut self, slice: SliceNo) {
        let t = self.t;
        let last = self.requests.served.insert(slice, t);
        let gap = last.map_or(0, |l| t - l);
        let longest = self.requests.longest.entry(slice).or_default();
        *longest = gap.max(*longest);
    }

    /// Starts to count unserved times anew.
    pub fn reset_unserved(&mut self) {
        self.requests.longest.clear();
    }

    /// Returns how long ago the slice that waits longest was served.
    pub fn last_served_ms(&self) -> u64 {
        let open = (0..u64::from(SLICES)).map(|s| {
            let last = self.requests.served.get(&SliceNo(s)).copied();
            self.t - last.unwrap_or(0)
        });
        open.max().unwrap_or(0) / MS
    }

    /// Returns the longest time for which any slice was not served, up to now.
    pub fn unserved_ms(&self) -> u64 {
        let closed = self.requests.longest.values().max();
        let closed = closed.copied().unwrap_or(0) / MS;
        closed.max(self.last_served_ms())
    }
}
