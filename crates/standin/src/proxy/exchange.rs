//! Applies faults to the bytes of one connection, without I/O or clock access.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::plan::{Delay, Fault, NumberedPlan};

/// Direction of a chunk of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From the client to the server.
    Request,
    /// From the server to the client.
    Answer,
}

/// Action on a chunk of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward them.
    Forward,
    /// Discard them.
    Discard,
    /// Hold them until the plan changes, then decide again.
    Hold,
    /// Forward this number of them, then close the connection.
    Cut(usize),
}

/// State of the current exchange of a connection.
#[derive(Debug)]
pub struct Exchange {
    rng: StdRng,
    fault: Fault,
    /// Number of the plan from which the fault was selected.
    plan: u64,
    last: Option<Way>,
    request_bytes: u64,
    answer_bytes: u64,
    started: u64,
}

impl Exchange {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            fault: Fault::Pass,
            plan: 0,
            last: None,
            request_bytes: 0,
            answer_bytes: 0,
            started: 0,
        }
    }

    /// Returns how many exchanges have started.
    #[must_use]
    pub const fn started(&self) -> u64 {
        self.started
    }

    /// Returns the action on `len` received bytes; zero stands for the end of that direction.
    ///
    /// The fault of the current exchange is selected again when the plan has changed.
    pub fn judge(&mut self, way: Way, len: usize, plan: &NumberedPlan) -> Verdict {
        let is_next = way == Way::Request && self.last != Some(Way::Request) && len > 0;
        if is_next {
            self.started += 1;
            self.request_bytes = 0;
            self.answer_bytes = 0;
        }
        if is_next || self.plan != plan.number {
            self.select_fault(plan);
        }
        self.last = Some(way);
        let verdict = self.verdict(way, len as u64);
        if verdict != Verdict::Hold {
            self.count(way, len as u64);
        }
        verdict
    }

    fn select_fault(&mut self, plan: &NumberedPlan) {
        self.plan = plan.number;
        self.fault = plan.plan.fault_at(self.rng.random());
    }

    fn count(&mut self, way: Way, len: u64) {
        match way {
            Way::Request => self.request_bytes += len,
            Way::Answer => self.answer_bytes += len,
        }
    }

    fn verdict(&self, way: Way, len: u64) -> Verdict {
        match (self.fault, way) {
            (Fault::CutBeforeRequest, Way::Request) | (Fault::CutBeforeAnswer, Way::Answer) => {
                Verdict::Cut(0)
            }
            (Fault::CutRequestAfter(limit), Way::Request) => {
                cut_after(limit, self.request_bytes, len)
            }
            (Fault::CutAnswerAfter(limit), Way::Answer) => cut_after(limit, self.answer_bytes, len),
            // The end of a direction is forwarded: the side that closes has abandoned the exchange.
            (Fault::Blackhole, _) | (Fault::DropAnswer, Way::Answer) if len > 0 => Verdict::Discard,
            (Fault::Stall, _)
            | (Fault::StallRequest, Way::Request)
            | (Fault::StallAnswer, Way::Answer) => Verdict::Hold,
            _ => Verdict::Forward,
        }
    }

    /// Samples the delay of forwarded bytes.
    pub fn delay(&mut self, way: Way, delay: Delay) -> Duration {
        let fixed = match way {
            Way::Request => delay.request_ms,
            Way::Answer => delay.answer_ms,
        };
        let ms = fixed + delay.jitter_ms * self.rng.random::<f64>();
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }
}

fn cut_after(limit: u64, before: u64, len: u64) -> Verdict {
    if before + len < limit {
        return Verdict::Forward;
    }
    Verdict::Cut(limit.saturating_sub(before) as usize)
}
