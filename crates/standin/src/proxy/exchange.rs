//! Applies faults to the bytes of one connection, without I/O or clock access.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::plan::{Delay, Fault, NumberedPlan};

/// Direction of a chunk of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Request,
    /// From the server to the client.
    Answer,
}

/// Action on a chunk of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkAction {
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
    last: Option<Direction>,
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
    pub fn decide(&mut self, direction: Direction, len: usize, plan: &NumberedPlan) -> ChunkAction {
        let is_next =
            direction == Direction::Request && self.last != Some(Direction::Request) && len > 0;
        if is_next {
            self.started += 1;
            self.request_bytes = 0;
            self.answer_bytes = 0;
        }
        if is_next || self.plan != plan.number {
            self.select_fault(plan);
        }
        self.last = Some(direction);
        let action = self.action(direction, len as u64);
        if action != ChunkAction::Hold {
            self.count(direction, len as u64);
        }
        action
    }

    fn select_fault(&mut self, plan: &NumberedPlan) {
        self.plan = plan.number;
        self.fault = plan.plan.fault_at(self.rng.random());
    }

    fn count(&mut self, direction: Direction, len: u64) {
        match direction {
            Direction::Request => self.request_bytes += len,
            Direction::Answer => self.answer_bytes += len,
        }
    }

    fn action(&self, direction: Direction, len: u64) -> ChunkAction {
        match (self.fault, direction) {
            (Fault::CutBeforeRequest, Direction::Request)
            | (Fault::CutBeforeAnswer, Direction::Answer) => ChunkAction::Cut(0),
            (Fault::CutRequestAfter(limit), Direction::Request) => {
                cut_after(limit, self.request_bytes, len)
            }
            (Fault::CutAnswerAfter(limit), Direction::Answer) => {
                cut_after(limit, self.answer_bytes, len)
            }
            // The end of a direction is forwarded: the side that closes has abandoned the exchange.
            (Fault::Blackhole, _) | (Fault::DropAnswer, Direction::Answer) if len > 0 => {
                ChunkAction::Discard
            }
            (Fault::Stall, _)
            | (Fault::StallRequest, Direction::Request)
            | (Fault::StallAnswer, Direction::Answer) => ChunkAction::Hold,
            _ => ChunkAction::Forward,
        }
    }

    /// Samples the delay of forwarded bytes.
    pub fn delay(&mut self, direction: Direction, delay: Delay) -> Duration {
        let fixed = match direction {
            Direction::Request => delay.request_ms,
            Direction::Answer => delay.answer_ms,
        };
        let ms = fixed + delay.jitter_ms * self.rng.random::<f64>();
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }
}

fn cut_after(limit: u64, before: u64, len: u64) -> ChunkAction {
    if before + len < limit {
        return ChunkAction::Forward;
    }
    ChunkAction::Cut(limit.saturating_sub(before) as usize)
}
