//! Requests of the simulation. Each is sent once, under a lease that is checked just before.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use catalogue::Class;
use ids::{Epoch, SliceNo, UpstreamId};
use own::{Action, Event, Lease};
use rand::Rng;

use super::{DEADLINE_MS, MAX_DELAY_US, MS, SLICES, SimEvent, Simulation};

/// An upstream and its slices whose requests are held; all slices if absent.
type HeldRequests = (UpstreamId, Option<Arc<[SliceNo]>>);

/// State of a host's dispatcher.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pub leases: BTreeMap<UpstreamId, Lease>,
    holds: BTreeMap<u64, HeldRequests>,
    /// Requests in transit to an upstream or running there.
    in_flight: BTreeMap<u64, (UpstreamId, SliceNo)>,
    /// Holds that were reported as drained.
    reported_drained: Vec<u64>,
}

/// A request whose lease was checked.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub id: u64,
    pub host: usize,
    pub host_incarnation: u64,
    pub upstream: usize,
    /// Incarnation of the upstream to which the connection leads.
    pub upstream_incarnation: u64,
    pub slice: SliceNo,
    pub epoch: Epoch,
}

/// States and outcomes of requests.
#[derive(Debug, Default)]
pub struct Requests {
    last_id: u64,
    /// Requests that were sent and have neither started nor been refused.
    pub may_start: BTreeMap<u64, Request>,
    /// Requests that arrived at the upstream's address, whether or not its process runs.
    delivered: BTreeSet<u64>,
    /// Requests whose connections were reset.
    aborted: BTreeSet<u64>,
    /// Number of times that each request ran.
    pub ran: BTreeMap<u64, u32>,
    /// Requests that upstreams refused to run.
    pub not_run: Vec<u64>,
    /// Time at which each slice was last served.
    pub last_served: BTreeMap<SliceNo, u64>,
    /// Longest time for which each slice was unserved.
    pub longest_gaps: BTreeMap<SliceNo, u64>,
    /// Number of requests that no host could send.
    pub refused: u64,
    /// Highest epoch under which a request started at each upstream.
    highest_epochs: BTreeMap<usize, Epoch>,
    /// Requests that started under a lower epoch than an earlier one at the same upstream.
    pub epoch_falls: Vec<String>,
}

impl Dispatcher {
    fn is_held(&self, upstream: &UpstreamId, slice: SliceNo) -> bool {
        let holds =
            |h: &HeldRequests| h.0 == *upstream && h.1.as_ref().is_none_or(|s| s.contains(&slice));
        self.holds.values().any(holds)
    }

    /// Returns the holds without requests in flight, each only once.
    fn newly_drained(&mut self) -> Vec<(u64, UpstreamId)> {
        let mut drained = Vec::new();
        for (hold, (upstream, slices)) in &self.holds {
            let within = |s: &SliceNo| slices.as_ref().is_none_or(|all| all.contains(s));
            let busy = self
                .in_flight
                .values()
                .any(|(u, s)| u == upstream && within(s));
            if !busy && !self.reported_drained.contains(hold) {
                drained.push((*hold, upstream.clone()));
            }
        }
        self.reported_drained
            .extend(drained.iter().map(|(hold, _)| *hold));
        drained
    }
}

impl Simulation {
    pub fn apply_dispatch_action(&mut self, h: usize, action: Action) {
        let d = &mut self.hosts[h].dispatcher;
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
        self.report_drained(h);
    }

    fn report_drained(&mut self, h: usize) {
        let incarnation = self.hosts[h].incarnation;
        for (hold, upstream) in self.hosts[h].dispatcher.newly_drained() {
            let event = Event::Drained { upstream, hold };
            self.push(50, SimEvent::Deliver(h, incarnation, event));
        }
    }

    /// Sends a request for each slice from a random host whose lease permits it.
    pub fn generate_load(&mut self) {
        self.push(10 * MS, SimEvent::Load);
        for slice in (0..u64::from(SLICES)).map(SliceNo) {
            let eligible = |h: &usize| self.lease_for(*h, slice).is_some();
            let eligible = (0..self.hosts.len()).filter(eligible).collect::<Vec<_>>();
            if eligible.is_empty() {
                self.requests.refused += 1;
                continue;
            }
            let h = eligible[self.rng.random_range(0..eligible.len())];
            self.check_and_send(h, slice);
        }
    }

    fn lease_for(&self, h: usize, slice: SliceNo) -> Option<&Lease> {
        let host = &self.hosts[h];
        if host.paused_until > self.t || host.machine.is_none() {
            return None;
        }
        let now = host.now(self.t);
        let permits = |l: &&Lease| {
            let held = host.dispatcher.is_held(&l.upstream, slice);
            now < l.valid_until && !held && l.slices.contains(&slice)
        };
        host.dispatcher.leases.values().find(permits)
    }

    fn check_and_send(&mut self, h: usize, slice: SliceNo) {
        let Some(lease) = self.lease_for(h, slice) else {
            return;
        };
        let upstream = self.upstream_index(lease.upstream.as_str());
        let epoch = lease.epoch;
        self.requests.last_id += 1;
        let request = Request {
            id: self.requests.last_id,
            host: h,
            host_incarnation: self.hosts[h].incarnation,
            upstream,
            upstream_incarnation: self.upstreams[upstream].incarnation,
            slice,
            epoch,
        };
        let name = self.upstreams[upstream].name.clone();
        let in_flight = &mut self.hosts[h].dispatcher.in_flight;
        in_flight.insert(request.id, (name, slice));
        // The dispatcher treats the request as ended some time after its deadline, even without an
        // answer.
        self.push(
            DEADLINE_MS * MS + MAX_DELAY_US,
            SimEvent::AbortRequest(request),
        );
        // The host may be paused here, between the check of the lease and the send.
        self.push(20, SimEvent::SendRequest(request));
    }

    pub fn send_request(&mut self, request: Request) {
        if !self.is_current(request.host, request.host_incarnation) {
            return;
        }
        self.requests.may_start.insert(request.id, request);
        self.verify_snapshot();
        let delay = self.delay();
        self.push(delay, SimEvent::StartRequest(request.upstream, request));
    }

    pub fn start_request(&mut self, u: usize, request: Request) {
        if !self.requests.delivered.contains(&request.id) {
            if self.requests.aborted.contains(&request.id) {
                self.requests.may_start.remove(&request.id);
                return;
            }
            if self.upstream_cut(request.host, u) {
                // The transport retransmits until the request arrives or the host aborts it.
                self.push(50 * MS, SimEvent::StartRequest(u, request));
                return;
            }
            self.requests.delivered.insert(request.id);
        }
        let up = &self.upstreams[u];
        if up.stopped || up.incarnation != request.upstream_incarnation {
            self.requests.may_start.remove(&request.id);
            self.end_request(&request);
            return;
        }
        if up.paused_until > self.t {
            let after = up.paused_until - self.t;
            self.push(after, SimEvent::StartRequest(u, request));
            return;
        }
        self.requests.may_start.remove(&request.id);
        if !up.allows(up.clock.reading(self.t), request.epoch, request.slice) {
            self.requests.not_run.push(request.id);
            self.end_request(&request);
            return;
        }
        *self.requests.ran.entry(request.id).or_default() += 1;
        self.record_epoch(u, request);
        self.record_served(request.slice);
        self.check_exclusive(u, request.slice);
        let t = self.t;
        self.upstreams[u]
            .running
            .insert(request.id, (request.slice, t));
        let duration = if self.rng.random_range(0..100) < self.setup.long_request_percent {
            self.rng.random_range(MS..DEADLINE_MS * MS)
        } else {
            self.rng.random_range(MS..15 * MS)
        };
        self.push(duration, SimEvent::FinishRequest(u, request));
    }

    /// Checks that no other upstream runs requests of the slice, unless they are idempotent.
    fn check_exclusive(&mut self, u: usize, slice: SliceNo) {
        if self.setup.class == Class::Idempotent {
            return;
        }
        for (o, other) in self.upstreams.iter().enumerate() {
            if o != u && other.runs(slice) {
                let failure = format!("{slice} runs at u{o} and starts at u{u}");
                self.failures.push((self.t, failure));
            }
        }
    }

    pub fn finish_request(&mut self, u: usize, request: &Request) {
        let up = &mut self.upstreams[u];
        if up.incarnation != request.upstream_incarnation || up.stopped {
            self.end_request(request);
            return;
        }
        if up.paused_until > self.t {
            let after = up.paused_until - self.t;
            self.push(after, SimEvent::FinishRequest(u, *request));
            return;
        }
        up.running.remove(&request.id);
        self.end_request(request);
    }

    /// Aborts a request that was not answered in time: ends it and resets its connection.
    pub fn abort_request(&mut self, request: &Request) {
        self.requests.aborted.insert(request.id);
        if !self.requests.delivered.contains(&request.id) {
            self.requests.may_start.remove(&request.id);
        }
        self.end_request(request);
    }

    /// Removes a request from those that its host has in flight.
    pub fn end_request(&mut self, request: &Request) {
        if !self.is_current(request.host, request.host_incarnation) {
            return;
        }
        self.hosts[request.host]
            .dispatcher
            .in_flight
            .remove(&request.id);
        self.report_drained(request.host);
    }

    fn record_epoch(&mut self, u: usize, request: Request) {
        let (id, epoch) = (request.id, request.epoch);
        let highest = self.requests.highest_epochs.entry(u).or_default();
        if epoch < *highest {
            let fall = format!("request {id} starts at u{u} under {epoch} after {highest}");
            self.requests.epoch_falls.push(fall);
        }
        *highest = epoch.max(*highest);
    }

    fn record_served(&mut self, slice: SliceNo) {
        let t = self.t;
        let last = self.requests.last_served.insert(slice, t);
        let gap = last.map_or(0, |l| t - l);
        let longest = self.requests.longest_gaps.entry(slice).or_default();
        *longest = gap.max(*longest);
    }

    /// Discards the unserved times measured so far.
    pub fn reset_unserved(&mut self) {
        self.requests.longest_gaps.clear();
    }

    /// Returns the time since the slice that has been unserved longest was last served.
    pub fn current_unserved_ms(&self) -> u64 {
        let current = (0..u64::from(SLICES)).map(|s| {
            let last = self.requests.last_served.get(&SliceNo(s)).copied();
            self.t - last.unwrap_or(0)
        });
        current.max().unwrap_or(0) / MS
    }

    /// Returns the longest time for which any slice was unserved, up to now.
    pub fn unserved_ms(&self) -> u64 {
        let past = self.requests.longest_gaps.values().max();
        let past = past.copied().unwrap_or(0) / MS;
        past.max(self.current_unserved_ms())
    }
}
