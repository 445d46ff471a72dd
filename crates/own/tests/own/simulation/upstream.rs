//! Simulated upstream, which implements the grant protocol of `wire::grant` and runs requests.

use std::collections::BTreeMap;

use ids::{Epoch, HostId, SliceNo, UpstreamId};
use wire::grant::{GrantRefusal, GrantReply, GrantRequest, GrantScope, SliceRunning};

/// An accepted grant.
#[derive(Debug, Clone)]
struct Grant {
    epoch: Epoch,
    /// Sequence number of the grant that set the scope.
    scope_seq: u64,
    slices: Vec<SliceNo>,
    until_us: u64,
}

/// A simulated upstream.
#[derive(Debug)]
pub struct Upstream {
    pub name: UpstreamId,
    pub domain: usize,
    pub checks_grants: bool,
    pub incarnation: u64,
    pub epoch: Epoch,
    seq: u64,
    coordinator: Option<HostId>,
    grant: Option<Grant>,
    /// Slices and start times of the running requests.
    pub running: BTreeMap<u64, (SliceNo, u64)>,
    pub stopped: bool,
    pub paused_until: u64,
    pub clock: super::LocalClock,
}

impl Upstream {
    pub fn new(name: &str, domain: usize, checks_grants: bool, clock: super::LocalClock) -> Self {
        Self {
            name: UpstreamId::new(name).unwrap(),
            domain,
            checks_grants,
            incarnation: 1,
            epoch: Epoch(0),
            seq: 0,
            coordinator: None,
            grant: None,
            running: BTreeMap::new(),
            stopped: false,
            paused_until: 0,
            clock,
        }
    }

    /// Starts a new process, without the state of the previous one.
    pub fn restart(&mut self) {
        let clock = self.clock;
        let incarnation = self.incarnation + 1;
        *self = Self::new(self.name.as_str(), self.domain, self.checks_grants, clock);
        self.incarnation = incarnation;
    }

    /// Returns the epoch and the slices of the grant that is valid at this clock reading.
    pub fn granted(&self, now_us: u64) -> Option<(Epoch, &[SliceNo])> {
        let valid = |g: &&Grant| g.epoch == self.epoch && now_us < g.until_us;
        let g = self.grant.as_ref().filter(valid)?;
        Some((g.epoch, &g.slices))
    }

    /// Returns whether a request of `slice` runs that no pause has delayed.
    pub fn runs(&self, slice: SliceNo) -> bool {
        let running = |r: &(SliceNo, u64)| r.0 == slice && r.1 >= self.paused_until;
        !self.stopped && self.running.values().any(running)
    }

    /// Returns whether a request may start at this clock reading.
    pub fn allows(&self, now_us: u64, epoch: Epoch, slice: SliceNo) -> bool {
        if !self.checks_grants {
            return true;
        }
        self.granted(now_us)
            .is_some_and(|(e, slices)| e == epoch && slices.contains(&slice))
    }

    /// Handles a grant request at this clock reading.
    pub fn apply(&mut self, now_us: u64, req: &GrantRequest, any_epoch: bool) -> GrantReply {
        let refusal = self.refusal(now_us, req, any_epoch);
        if refusal.is_none() {
            self.accept(req);
        }
        let granted_slices = self.grant.iter().flat_map(|g| &g.slices).copied();
        let granted_slices = granted_slices.collect::<Vec<_>>();
        let mut running = BTreeMap::<SliceNo, u32>::new();
        for (s, _) in self
            .running
            .values()
            .filter(|(s, _)| !granted_slices.contains(s))
        {
            *running.entry(*s).or_default() += 1;
        }
        let running = running.into_iter();
        GrantReply {
            accepted: refusal.is_none(),
            refusal,
            boot: self.incarnation,
            epoch: self.epoch,
            seq: self.seq,
            reading_us: now_us,
            until_us: self.grant.as_ref().map_or(0, |g| g.until_us),
            scope: None,
            running: running
                .map(|(slice, running)| SliceRunning { slice, running })
                .collect(),
        }
    }

    /// Returns why a grant request has no effect. `any_epoch` disables the check for a lower epoch.
    fn refusal(&self, now_us: u64, req: &GrantRequest, any_epoch: bool) -> Option<GrantRefusal> {
        if req.epoch < self.epoch && !any_epoch {
            return Some(GrantRefusal::LowerEpoch);
        }
        let same_epoch = req.epoch == self.epoch;
        if same_epoch
            && self
                .coordinator
                .as_ref()
                .is_some_and(|c| *c != req.coordinator)
        {
            return Some(GrantRefusal::OtherCoordinator);
        }
        if same_epoch && req.seq < self.seq {
            return Some(GrantRefusal::Reordered);
        }
        let reading = req.reading_us?;
        if req.boot != Some(self.incarnation) {
            return Some(GrantRefusal::OtherBoot);
        }
        if reading + u64::from(req.ttl_ms) * 1_000 <= now_us {
            return Some(GrantRefusal::Expired);
        }
        let GrantScope::Unchanged(seq) = req.scope else {
            return None;
        };
        let grant = self.grant.as_ref();
        let scope_matches = grant.is_some_and(|g| g.epoch == req.epoch && g.scope_seq == seq);
        (!scope_matches).then_some(GrantRefusal::OtherScope)
    }

    fn accept(&mut self, req: &GrantRequest) {
        self.epoch = req.epoch;
        self.seq = req.seq;
        self.coordinator = Some(req.coordinator.clone());
        let Some(reading) = req.reading_us else {
            return;
        };
        let previous = self.grant.take();
        let (slices, scope_seq) = match &req.scope {
            GrantScope::Undivided => (Vec::new(), req.seq),
            GrantScope::Slices(s) => (s.slices.clone(), req.seq),
            GrantScope::Unchanged(seq) => (previous.map(|g| g.slices).unwrap_or_default(), *seq),
        };
        self.grant = Some(Grant {
            epoch: req.epoch,
            scope_seq,
            slices,
            until_us: reading + u64::from(req.ttl_ms) * 1_000,
        });
    }
}
