//! First-come-first-served queue without knowledge of service times: the baseline.
//!
//! A request waits for the slot that is free first among those that may run it. It leaves the queue
//! when its deadline passes, but once it runs it is never stopped, so that work for callers that no
//! longer wait takes capacity too.

use std::collections::BTreeSet;

use super::Share;
use super::model::{Component, Model};

/// Returns the share of each request of `component`, in the component's order.
#[must_use]
pub fn first_come_shares(model: &Model, component: &Component) -> Vec<Share> {
    let mut slots = Slots::new(model, component);
    let mut shares = Vec::with_capacity(component.requests.len());
    for n in &component.requests {
        let req = &model.requests[*n];
        let route = model.route_of(req);
        let slot = slots.first_free(req.upstream);
        let start_us = slots.free_at_us[slot].max(req.arrival_us);
        if start_us >= req.arrival_us + route.deadline_us() {
            shares.push(Share::default());
            continue;
        }
        let upstream = &model.upstreams[slots.upstream_of[slot]];
        let end_us = start_us + upstream.duration_us(req.work_us);
        slots.occupy(slot, end_us);
        shares.push(Share::of_answer(route, end_us - req.arrival_us));
    }
    shares
}

struct Slots {
    upstream_of: Vec<usize>,
    free_at_us: Vec<u64>,
    /// Slots by the time at which they are free: of all upstreams, and of each upstream.
    of_all: BTreeSet<(u64, usize)>,
    of_upstream: Vec<BTreeSet<(u64, usize)>>,
}

impl Slots {
    fn new(model: &Model, component: &Component) -> Self {
        let mut slots = Self {
            upstream_of: Vec::new(),
            free_at_us: Vec::new(),
            of_all: BTreeSet::new(),
            of_upstream: vec![BTreeSet::new(); model.upstreams.len()],
        };
        for upstream in &component.upstreams {
            for _ in 0..model.upstreams[*upstream].slots {
                let slot = slots.upstream_of.len();
                slots.upstream_of.push(*upstream);
                slots.free_at_us.push(0);
                slots.of_all.insert((0, slot));
                slots.of_upstream[*upstream].insert((0, slot));
            }
        }
        slots
    }

    fn first_free(&self, upstream: Option<usize>) -> usize {
        let slots = upstream.map_or(&self.of_all, |upstream| &self.of_upstream[upstream]);
        slots.first().expect("each upstream has a slot").1
    }

    fn occupy(&mut self, slot: usize, end_us: u64) {
        let before = (self.free_at_us[slot], slot);
        let after = (end_us, slot);
        let of_upstream = &mut self.of_upstream[self.upstream_of[slot]];
        for slots in [&mut self.of_all, of_upstream] {
            slots.remove(&before);
            slots.insert(after);
        }
        self.free_at_us[slot] = end_us;
    }
}
