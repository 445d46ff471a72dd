//! Receives rows that other hosts relay.

use std::net::SocketAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use ids::{BootClock, Clock, Revision, Timestamp};
use slog::{debug, info};
use tokio::net::TcpStream;

use super::messages::{RelayedRows, ReplicaVersion};
use super::{PAUSE, RELAY_TIMEOUT, SEND_TIMEOUT};
use crate::control::apply::apply;
use crate::control::clock_offset::ClockOffset;
use crate::control::freshness::RelayedKnowledge;
use crate::control::shared::SharedControl;
use crate::control::state::ControlState;
use crate::control::tables::Table;
use crate::framed_conn::FramedConn;
use crate::ports::Platform;
use crate::view::Phase;

/// Timeout for connecting to another host: twenty times the latency between hosts. Hosts that have
/// ended for good are still listed, and each attempt to reach one delays the search for a parent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before the next search for a parent while this host has not yet read all tables: hosts that
/// started with it are about to have read them.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Interval at which this host sends a reading of its clock.
const CLOCK_INTERVAL: Duration = Duration::from_secs(5);

/// Receives rows that other hosts relay, as long as there are such hosts.
pub async fn receive(ctl: SharedControl, platform: impl Platform) {
    loop {
        for parent in ctl.with(|c| parents(c)) {
            let result = receive_from(&ctl, &platform, parent).await;
            ctl.with(|c| c.freshness.relay_lost(BootClock.now()));
            if let Err(e) = result {
                ctl.with(|c| debug!(c.log, "relay ended"; "peer" => %parent, "error" => %e));
            }
        }
        let pause = if ctl.with(|c| c.freshness.has_known_all()) {
            PAUSE
        } else {
            FIRST_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

/// Returns the hosts that may relay to this one, the best first.
fn parents(c: &ControlState) -> Vec<SocketAddr> {
    let relay_tree = c.relay_tree();
    let mut parents = relay_tree.parents(&c.cfg.domain, &c.this_host.host);
    // While the hosts that start together have read nothing, no two of them can relay to each
    // other.
    if c.freshness.is_failing() || !c.freshness.has_known_all() {
        parents.extend(relay_tree.later_hosts(&c.cfg.domain, &c.this_host.host));
    }
    parents
}

/// Receives the rows that the host at `parent` relays, until the parent is unresponsive or no
/// longer fresh.
async fn receive_from(
    ctl: &SharedControl,
    platform: &impl Platform,
    parent: SocketAddr,
) -> Result<(), wire::FrameError> {
    let mut link = ParentLink::open(ctl, parent).await?;
    let mut is_first = true;
    while let Some(message) = link.next().await? {
        if ctl.with(|c| !is_usable(c, &message)) {
            return Ok(());
        }
        let now = BootClock.now();
        let Some(knowledge) = knowledge(&message, &link.clock, now) else {
            return Ok(());
        };
        if is_first {
            ctl.with(|c| info!(c.log, "fed by"; "peer" => %parent));
        }
        let changed = ctl.with(|c| apply_message(c, platform, message, knowledge, now));
        if changed {
            ctl.notify_changed();
        } else {
            ctl.notify_confirmed();
        }
        // Messages are held up on the way: another host may be nearer.
        if !is_first && ctl.with(|c| !c.freshness.has_relay(now)) {
            return Ok(());
        }
        is_first = false;
    }
    Ok(())
}

/// A connection to a host that relays to this one.
struct ParentLink {
    conn: FramedConn<RelayedRows, ReplicaVersion>,
    /// What is known of the parent's clock.
    clock: ClockOffset,
    /// When a reading of this host's clock was last sent.
    clock_sent_at: Timestamp,
    /// Timeout of the next message.
    timeout: Duration,
}

impl ParentLink {
    /// Connects to the host at `parent` and says which rows this host has.
    async fn open(ctl: &SharedControl, parent: SocketAddr) -> Result<Self, wire::FrameError> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(parent));
        let stream = connect.await.map_err(std::io::Error::from)??;
        // A host without any rows receives all rows in the first messages.
        let (revisions, has_known_all) = ctl.with(|c| {
            let revisions = c.replicas.iter().map(|replica| replica.revision().0);
            (revisions.collect(), c.freshness.has_known_all())
        });
        let mut link = Self {
            conn: FramedConn::new(stream)?,
            clock: ClockOffset::default(),
            clock_sent_at: Timestamp::ZERO,
            timeout: if has_known_all {
                RELAY_TIMEOUT
            } else {
                SEND_TIMEOUT
            },
        };
        link.send(revisions).await?;
        Ok(link)
    }

    /// Sends the revisions of the tables, or none, and a reading of this host's clock.
    async fn send(&mut self, revisions: Vec<u64>) -> Result<(), wire::FrameError> {
        self.clock_sent_at = BootClock.now();
        let version = ReplicaVersion {
            revisions,
            sent_at_us: self.clock_sent_at.as_micros(),
        };
        let sent = tokio::time::timeout(RELAY_TIMEOUT, self.conn.outgoing.send(version));
        sent.await.map_err(std::io::Error::from)?
    }

    /// Receives the next message, with those that it continues; returns none if the parent closed the
    /// connection.
    async fn next(&mut self) -> Result<Option<RelayedRows>, wire::FrameError> {
        let mut preceding = None;
        loop {
            let next = tokio::time::timeout(self.timeout, self.conn.incoming.next());
            let Some(message) = next.await.map_err(std::io::Error::from)? else {
                return Ok(None);
            };
            let mut message = message?;
            if let Some(preceding) = preceding.take() {
                message.prepend(preceding);
            }
            if message.is_continued {
                preceding = Some(message);
                continue;
            }
            self.timeout = RELAY_TIMEOUT;
            let now = BootClock.now();
            if let Some(echo) = message.echo {
                self.clock.record(now, echo);
            }
            if now.since(self.clock_sent_at) >= CLOCK_INTERVAL {
                self.send(Vec::new()).await?;
            }
            return Ok(Some(message));
        }
    }
}

/// Returns whether this host may apply a message.
fn is_usable(c: &ControlState, message: &RelayedRows) -> bool {
    // What came through this host says nothing that it does not know.
    let is_loop = message
        .path
        .iter()
        .any(|host| *host == c.this_host.host.as_str());
    let is_leaving = c.phase == Phase::Leaving;
    message.is_fresh && !is_loop && !is_leaving && !is_of_past_era(c, message)
}

/// Returns what a message says that this host knows from now on; none if it can't be dated.
fn knowledge(
    message: &RelayedRows,
    clock: &ClockOffset,
    now: Timestamp,
) -> Option<RelayedKnowledge> {
    let mut as_of = [Timestamp::ZERO; Table::ALL.len()];
    for (as_of, relayed) in as_of.iter_mut().zip(&message.tables) {
        *as_of = clock.to_own(now, Timestamp::from_micros(relayed.as_of_us))?;
    }
    Some(RelayedKnowledge {
        as_of,
        hops: message.path.len(),
    })
}

/// Returns whether a message has rows of an earlier era than this host has: its sender has not learned
/// yet that the store returned from a copy.
fn is_of_past_era(c: &ControlState, message: &RelayedRows) -> bool {
    let mut tables = c.replicas.iter().zip(&message.tables);
    tables.any(|(known, relayed)| Revision(relayed.revision).era() < known.revision().era())
}

/// Applies a message; returns whether anything changed.
fn apply_message(
    c: &mut ControlState,
    platform: &impl Platform,
    message: RelayedRows,
    knowledge: RelayedKnowledge,
    now: Timestamp,
) -> bool {
    let eras = message.tables.iter().map(|t| Revision(t.revision).era());
    if let Some(era) = eras.max() {
        c.observe_era(now, era);
    }
    c.record_confirmed(now, knowledge.as_of[Table::Configuration.index()]);
    c.record_known_before_read();
    c.freshness.relayed(now, knowledge);
    c.path = message.path;
    c.record_store_answer(now);
    let mut changed = false;
    for (table, relayed) in Table::ALL.into_iter().zip(message.tables) {
        changed |= apply(c, platform, table, relayed.into_delta(), now);
    }
    changed
}
