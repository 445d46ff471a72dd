//! State kept for each host that this host communicates with.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{Incarnation, Timestamp};
use wire::control::RelayMode;

use super::settings::MembershipSettings;
use crate::replica::{IncomingTransfer, OutgoingTransfer};
use crate::{Prefix, Watermarks};

/// Maximum number of a host's heartbeats that wait for a read lease.
const MAX_HEARTBEATS: usize = 16;

/// A host that this host communicates with.
#[derive(Debug, Default)]
pub(super) struct Peer {
    pub(super) connected: bool,
    /// Incarnation of the process, once its `Hello` arrived.
    pub(super) incarnation: Incarnation,
    /// When the last frame arrived.
    pub(super) last_received: Option<Timestamp>,
    /// Number of the last heartbeat received.
    pub(super) last_heartbeat: u64,
    /// Since when this host expects frames from it.
    pub(super) expected_since: Option<Timestamp>,
    /// What the last heartbeat to it requested.
    pub(super) requested_mode: RelayMode,
    /// Interval between heartbeats to it.
    pub(super) interval: Duration,
    /// When the next heartbeat to it is due.
    pub(super) heartbeat_due: Timestamp,
    /// When the last heartbeat to it was sent.
    pub(super) heartbeat_sent_at: Timestamp,
    /// Content of the last reply.
    pub(super) reply: Option<LastReply>,
    pub(super) incoming: [IncomingTransfer; 2],
    pub(super) relay_target: RelayTarget,
    pub(super) connect_attempts: ConnectAttempts,
    /// Since when its host records differ from the own ones.
    pub(super) differs_since: Option<Timestamp>,
    /// Whether all its records were requested on this connection.
    pub(super) sync_requested: bool,
}

/// The content of a heartbeat's reply, with ages converted to readings of the own clock.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LastReply {
    pub(super) holds: Watermarks,
    pub(super) own_read_at: Option<Timestamp>,
    /// When a host of its domain last read the table.
    pub(super) table_reached: Option<Timestamp>,
}

/// State of relaying to another host.
#[derive(Debug)]
pub(super) struct RelayTarget {
    pub(super) mode: RelayMode,
    /// What it holds according to its last heartbeat.
    pub(super) holds: Watermarks,
    /// What it holds once everything that was sent has arrived.
    pub(super) sent_up_to: Watermarks,
    /// When something was last sent, for each prefix.
    pub(super) sent_at: [Timestamp; 2],
    /// Whether its last heartbeat showed that it lacks what it should have by now, for each prefix.
    pub(super) lagging: [bool; 2],
    /// Since when it has been behind, for each prefix.
    pub(super) behind_since: [Option<Timestamp>; 2],
    pub(super) outgoing: [Option<OutgoingTransfer>; 2],
    pub(super) whole_rows: bool,
    /// Its heartbeats: when they arrived, and the reading of its clock in them.
    heartbeats: VecDeque<(Timestamp, u64)>,
    /// The highest reading for which it was sent a read lease.
    pub(super) covered_up_to: u64,
    /// Whether a heartbeat arrived since it was last sent a read lease.
    pub(super) awaits_lease: bool,
}

impl Default for RelayTarget {
    fn default() -> Self {
        Self {
            mode: RelayMode::None,
            holds: Watermarks::default(),
            sent_up_to: Watermarks::default(),
            sent_at: [Timestamp::ZERO; 2],
            lagging: [false; 2],
            behind_since: [None; 2],
            outgoing: [None, None],
            whole_rows: false,
            heartbeats: VecDeque::new(),
            covered_up_to: 0,
            awaits_lease: false,
        }
    }
}

impl RelayTarget {
    /// Records a heartbeat that arrived at `now`.
    pub(super) fn record_heartbeat(&mut self, now: Timestamp, sent_us: u64) {
        if self.heartbeats.len() >= MAX_HEARTBEATS {
            // Drops the second oldest: the oldest is the next that a read lease may cover.
            self.heartbeats.remove(1);
        }
        self.heartbeats.push_back((now, sent_us));
        self.awaits_lease = true;
    }

    /// Removes the heartbeats that arrived no later than `as_of`, and returns the highest reading
    /// in them if it is above the last one covered.
    pub(super) fn take_covered(&mut self, as_of: Timestamp) -> Option<u64> {
        let mut covered = None;
        while let Some((received_at, sent_us)) = self.heartbeats.front().copied() {
            if received_at > as_of {
                break;
            }
            covered = covered.max(Some(sent_us));
            self.heartbeats.pop_front();
        }
        covered.filter(|sent_us| *sent_us > self.covered_up_to)
    }
}

/// Attempts to connect to a host.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ConnectAttempts {
    pub(super) in_progress: bool,
    pub(super) due: Timestamp,
    backoff: Duration,
}

impl ConnectAttempts {
    pub(super) fn record_failure(&mut self, settings: &MembershipSettings, now: Timestamp) {
        self.in_progress = false;
        self.backoff =
            (self.backoff * 2).clamp(settings.min_connect_delay, settings.max_connect_delay);
        self.due = now + self.backoff;
    }

    pub(super) fn has_failed_twice(&self, settings: &MembershipSettings) -> bool {
        self.backoff > settings.min_connect_delay
    }

    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

impl Peer {
    /// Resets the state that belongs to one connection.
    pub(super) fn connect(&mut self, now: Timestamp) {
        self.connected = true;
        self.connect_attempts.reset();
        self.incoming = Default::default();
        self.relay_target = RelayTarget::default();
        self.requested_mode = RelayMode::None;
        self.reply = None;
        self.differs_since = None;
        self.sync_requested = false;
        self.heartbeat_due = now;
        self.expected_since = Some(now);
    }

    pub(super) fn disconnect(&mut self) {
        self.connected = false;
        self.relay_target = RelayTarget::default();
        self.reply = None;
    }

    /// Returns for how long no frame has arrived although one was expected.
    pub(super) fn time_without_contact(&self, now: Timestamp) -> Option<Duration> {
        let expected = self.expected_since?;
        let last = self
            .last_received
            .map_or(expected, |received| received.max(expected));
        Some(now.since(last))
    }
}

/// Returns the index of a prefix in arrays with one item per prefix.
pub(super) const fn prefix_index(prefix: Prefix) -> usize {
    match prefix {
        Prefix::Catalogue => 0,
        Prefix::Own => 1,
    }
}
