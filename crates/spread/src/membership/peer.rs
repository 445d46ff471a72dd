//! What this host keeps of each host that it talks to.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{Incarnation, Timestamp};
use wire::control::Feed;

use super::settings::Config;
use crate::replica::{Intake, Pager};
use crate::{Prefix, Watermarks};

/// Heartbeats of one host that wait for evidence; older ones are dropped.
const KEPT_BEATS: usize = 16;

/// A host that this one talks to.
#[derive(Debug, Default)]
pub(super) struct Peer {
    pub(super) connected: bool,
    /// Run of the process, once its `Hello` came.
    pub(super) incarnation: Incarnation,
    /// When a frame last came.
    pub(super) heard: Option<Timestamp>,
    /// Number of the last heartbeat that came.
    pub(super) beat: u64,
    /// Since when this host expects to hear from it.
    pub(super) expected: Option<Timestamp>,
    /// What it was asked for last.
    pub(super) asked: Feed,
    /// Time between heartbeats to it.
    pub(super) every: Duration,
    /// When the next heartbeat to it is due.
    pub(super) beat_due: Timestamp,
    /// When the last heartbeat to it was sent.
    pub(super) beat_sent: Timestamp,
    /// What the last reply said.
    pub(super) reply: Option<Reply>,
    pub(super) intakes: [Intake; 2],
    pub(super) fed: Fed,
    pub(super) attempts: Attempts,
    /// Since when its records of hosts differ from the own ones.
    pub(super) differs: Option<Timestamp>,
    /// Whether all its records were asked for on this connection.
    pub(super) synced: bool,
}

/// What a reply to a heartbeat said, with ages turned into readings of the own clock.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Reply {
    pub(super) holds: Watermarks,
    pub(super) own_read: Option<Timestamp>,
    /// When a host of its domain last read the table.
    pub(super) reach: Option<Timestamp>,
}

/// How this host feeds another.
#[derive(Debug)]
pub(super) struct Fed {
    pub(super) feed: Feed,
    /// What it said that it holds.
    pub(super) holds: Watermarks,
    /// What it holds once all that was sent has come.
    pub(super) sent: Watermarks,
    /// When something was last sent for each prefix.
    pub(super) sent_at: [Timestamp; 2],
    /// Whether its last heartbeat showed that it lacks what it should have by now, for each
    /// prefix.
    pub(super) lags: [bool; 2],
    /// Since when it has been behind, for each prefix.
    pub(super) behind: [Option<Timestamp>; 2],
    pub(super) pagers: [Option<Pager>; 2],
    pub(super) whole: bool,
    /// Its heartbeats: when they came, and its clock's reading in them.
    beats: VecDeque<(Timestamp, u64)>,
    /// The highest reading for which it was given evidence.
    pub(super) given: u64,
    /// Whether a heartbeat came since it was last given evidence.
    pub(super) asks: bool,
}

impl Default for Fed {
    fn default() -> Self {
        Self {
            feed: Feed::None,
            holds: Watermarks::default(),
            sent: Watermarks::default(),
            sent_at: [Timestamp::ZERO; 2],
            lags: [false; 2],
            behind: [None; 2],
            pagers: [None, None],
            whole: false,
            beats: VecDeque::new(),
            given: 0,
            asks: false,
        }
    }
}

impl Fed {
    /// Keeps a heartbeat that came at `now`.
    pub(super) fn beat(&mut self, now: Timestamp, sent_us: u64) {
        if self.beats.len() >= KEPT_BEATS {
            // The oldest but one goes: the oldest is the next that evidence may cover.
            self.beats.remove(1);
        }
        self.beats.push_back((now, sent_us));
        self.asks = true;
    }

    /// Takes out the highest reading in a heartbeat that came no later than `as_of`.
    pub(super) fn covered(&mut self, as_of: Timestamp) -> Option<u64> {
        let mut covered = None;
        while let Some((came, sent_us)) = self.beats.front().copied() {
            if came > as_of {
                break;
            }
            covered = covered.max(Some(sent_us));
            self.beats.pop_front();
        }
        covered.filter(|sent_us| *sent_us > self.given)
    }
}

/// Attempts to reach a host.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Attempts {
    pub(super) under_way: bool,
    pub(super) due: Timestamp,
    wait: Duration,
}

impl Attempts {
    pub(super) fn failed(&mut self, cfg: &Config, now: Timestamp) {
        self.under_way = false;
        self.wait = (self.wait * 2).clamp(cfg.connect_first, cfg.connect_at_most);
        self.due = now + self.wait;
    }

    pub(super) fn failed_twice(&self, cfg: &Config) -> bool {
        self.wait > cfg.connect_first
    }

    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }
}

impl Peer {
    /// Starts over what belongs to one connection.
    pub(super) fn connect(&mut self, now: Timestamp) {
        self.connected = true;
        self.attempts.succeeded();
        self.intakes = Default::default();
        self.fed = Fed::default();
        self.asked = Feed::None;
        self.reply = None;
        self.differs = None;
        self.synced = false;
        self.beat_due = now;
        self.expected = Some(now);
    }

    pub(super) fn disconnect(&mut self) {
        self.connected = false;
        self.fed = Fed::default();
        self.reply = None;
    }

    /// Tells for how long nothing was heard although it was expected.
    pub(super) fn silence(&self, now: Timestamp) -> Option<Duration> {
        let expected = self.expected?;
        let last = self.heard.map_or(expected, |heard| heard.max(expected));
        Some(now.since(last))
    }
}

/// Returns the place of a prefix in pairs.
pub(super) const fn at(prefix: Prefix) -> usize {
    match prefix {
        Prefix::Catalogue => 0,
        Prefix::Own => 1,
    }
}
