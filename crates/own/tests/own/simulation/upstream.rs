//! A small upstream: the grant protocol of `wire::grant`, and requests that start and end.

use std::collections::BTreeMap;

use ids::{Epoch, HostId, SliceNo, UpstreamId};
use wire::grant::{GrantRefusal, GrantReply, GrantRequest, GrantScope, SliceRunning};

/// A grant that was accepted.
#[derive(Debug, Clone)]
struct Grant {
    epoch: Epoch,
    set_by: u64,
    slices: Vec<SliceNo>,
    until_us: u64,
}

/// A small upstream.
#[derive(Debug)]
pub struct Upstream {
    pub name: UpstreamId,
    pub domain: usize,
    pub checks: bool,
    pub boot: u64,
    pub epoch: Epoch,
    seq: u64,
    coordinator: Option<HostId>,
    grant: Option<Grant>,
    /// Requests that run: their slices, and when they started.
    pub running: BTreeMap<u64, (SliceNo, u64)>,
    pub gone: bool,
    pub paused_until: u64,
    pub clock: super::NodeClock,
}

impl Upstream {
    pub fn new(name: &str, domain: usize, checks: bool, clock: super::NodeClock) -> Self {
        Self {
            name: UpstreamId::new(name).unwrap(),
            domain,
            checks,
            boot: 1,
            epoch: Epoch(0),
            seq: 0,
            coordinator: None,
            grant: None,
            running: BTreeMap::new(),
            gone: false,
            paused_until: 0,
            clock,
        }
    }

    /// Starts the process again: it knows nothing of before.
    pub fn restart(&mut self) {
        let clock = self.clock;
        let boot = self.boot + 1;
        *self = Self::new(self.name.as_str(), self.domain, self.checks, clock);
        self.boot = boot;
    }

    /// Returns the epoch and slices of the grant that lasts at this reading.
    pub fn granted(&self, now_us: u64) -> Option<(Epoch, &[SliceNo])> {
        let lasts = |g: &&Grant| g.epoch == self.epoch && now_us < g.until_us;
        let g = self.grant.as_ref().filter(lasts)?;
        Some((g.epoch, &g.slices))
    }

    /// Tells whether a request of `slice` runs that was never held up by a pause.
    pub fn runs(&self, slice: SliceNo) -> bool {
        let running = |r: &(SliceNo, u64)| r.0 == slice && r.1 >= self.paused_until;
        !self.gone && self.running.values().any(running)
    }

    /// Tells whether a request may start at this reading.
    pub fn allows(&self, now_us: u64, epoch: Epoch, slice: SliceNo) -> bool {
        if !self.checks {
            return true;
        }
        self.granted(now_us)
            .is_some_and(|(e, slices)| e == epoch && slices.contains(&slice))
    }

    pub fn apply(&mut self, now_us: u64, req: &GrantRequest, weak: bool) -> GrantReply {
        let refusal = self.refusal(now_us, req, weak);
        if refusal.is_none() {
            self.accept(req);
        }
        let kept = self.grant.iter().flat_map(|g| &g.slices).copied();
        let kept = kept.collect::<Vec<_>>();
        let mut running = BTreeMap::<SliceNo, u32>::new();
        for (s, _) in self.running.values().filter(|(s, _)| !kept.contains(s)) {
            *running.entry(*s).or_default() += 1;
        }
        let running = running.into_iter();
        GrantReply {
            accepted: refusal.is_none(),
            refusal,
            boot: self.boot,
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

    /// Returns why a message has no effect; a weak upstream forgets to look at the epoch.
    fn refusal(&self, now_us: u64, req: &GrantRequest, weak: bool) -> Option<GrantRefusal> {
        if req.epoch < self.epoch && !weak {
            return Some(GrantRefusal::LowerEpoch);
        }
        let same = req.epoch == self.epoch;
        if same
            && self
                .coordinator
                .as_ref()
                .is_some_and(|c| *c != req.coordinator)
        {
            return Some(GrantRefusal::OtherCoordinator);
        }
        if same && req.seq < self.seq {
            return Some(GrantRefusal::Reordered);
        }
        let reading = req.reading_us?;
        if req.boot != Some(self.boot) {
            return Some(GrantRefusal::OtherBoot);
        }
        if reading + u64::from(req.ttl_ms) * 1_000 <= now_us {
            return Some(GrantRefusal::Expired);
        }
        let GrantScope::Unchanged(seq) = req.scope else {
            return None;
        };
        let set = self.grant.as_ref();
        let set = set.is_some_and(|g| g.epoch == req.epoch && g.set_by == seq);
        (!set).then_some(GrantRefusal::OtherScope)
    }

    fn accept(&mut self, req: &GrantRequest) {
        self.epoch = req.epoch;
        self.seq = req.seq;
        self.coordinator = Some(req.coordinator.clone());
        let Some(reading) = req.reading_us else {
            return;
        };
        let before = self.grant.take();
        let (slices, set_by) = match &req.scope {
            GrantScope::Undivided => (Vec::new(), req.seq),
            GrantScope::Slices(s) => (s.slices.clone(), req.seq),
            GrantScope::Unchanged(seq) => (before.map(|g| g.slices).unwrap_or_default(), *seq),
        };
        self.grant = Some(Grant {
            epoch: req.epoch,
            set_by,
            slices,
            until_us: reading + u64::from(req.ttl_ms) * 1_000,
        });
    }
}
