//! Passes what was read of the store on to other hosts of the same failure domain.
//!
//! The hosts of a domain form a tree by the order of their names, so that one of them reads the
//! store for all, however many there are. A host whose parent falls silent, or is turned away by
//! the store, reads the store itself until it is fed again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use ids::{BootClock, Clock, Revision};
use platform::{Changes, Delta, Row, RowKey};
use prost::Message;
use slog::{debug, info};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;
use wire::FrameCodec;

use crate::control::state::{Control, Ctl};
use crate::control::take::{Table, take};
use crate::ports::Platform;
use crate::view::Phase;

/// Hosts that one host feeds in the tree: three levels hold a domain of 500.
const FANOUT: usize = 16;
/// Most hosts that one host feeds when others take the place of lost parents.
const FED_MAX: usize = 2 * FANOUT;
/// Longest time between two messages to a fed host.
const FEED_EVERY: Duration = Duration::from_millis(400);
/// Silence after which a fed host reads the store itself: two messages and their way. What the
/// store took must be known within two seconds.
const SILENCE: Duration = Duration::from_secs(1);
/// Time for a connection to a host of the same domain to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before looking for a parent again.
const PAUSE: Duration = Duration::from_millis(700);

/// What a host passes on.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Feed {
    /// Changes of each table, in the order of [`Table::ALL`].
    #[prost(message, repeated, tag = "1")]
    pub tables: Vec<TableFeed>,
    /// Milliseconds for which the sender's knowledge of the store stays fresh.
    #[prost(uint32, tag = "2")]
    pub fresh_ms: u32,
}

/// Changes of one table.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct TableFeed {
    /// Revision up to which the receiver is complete with these rows.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Rows that changed.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<FeedRow>,
}

/// A row.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct FeedRow {
    /// Key with its table.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value, or nothing if the row is gone.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

type Link = Framed<TcpStream, FrameCodec<Feed>>;

/// Feeds hosts that connect to `listener`.
pub async fn feed(ctl: Ctl, listener: TcpListener) {
    let fed = tokio_util::task::TaskTracker::new();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) if fed.len() < FED_MAX => {
                let ctl = ctl.clone();
                fed.spawn_local(async move {
                    if let Err(e) = feed_one(&ctl, stream).await {
                        ctl.with(
                            |c| debug!(c.log, "fed host left"; "peer" => %peer, "error" => %e),
                        );
                    }
                });
            }
            Ok(_) => {}
            Err(e) => {
                ctl.with(|c| debug!(c.log, "accept of a host"; "error" => %e));
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn feed_one(ctl: &Ctl, stream: TcpStream) -> Result<(), wire::FrameError> {
    stream.set_nodelay(true)?;
    let mut link: Link = Framed::new(stream, FrameCodec::default());
    let mut generations = [0; Table::ALL.len()];
    let mut changes = ctl.changes();
    loop {
        let feed = ctl.with(|c| next_feed(c, &mut generations));
        // A fed host that takes nothing must not hold its place for ever.
        let sent = tokio::time::timeout(SILENCE, link.send(feed));
        sent.await.map_err(std::io::Error::from)??;
        tokio::select! {
            // Whichever comes first.
            _ = tokio::time::timeout(FEED_EVERY, changes.changed()) => {}
            _ = link.next() => return Ok(()),
        }
    }
}

/// Builds the next message to a host that has everything up to `generations`.
fn next_feed(c: &Control, generations: &mut [u64; Table::ALL.len()]) -> Feed {
    let mut feed = Feed {
        tables: Vec::new(),
        fresh_ms: c.freshness.left(BootClock.now()).as_millis() as u32,
    };
    for (copy, generation) in c.copies.iter().zip(generations) {
        let rows = copy.since(*generation).map(|row| FeedRow {
            key: row.key.0.to_string(),
            revision: row.revision.0,
            value: row.value.clone(),
        });
        feed.tables.push(TableFeed {
            revision: copy.revision().0,
            rows: rows.collect(),
        });
        *generation = copy.generation();
    }
    feed
}

/// Lets other hosts feed this one, as far as there are any before it in its domain.
pub async fn be_fed(ctl: Ctl, platform: impl Platform) {
    loop {
        for parent in ctl.with(|c| parents(c)) {
            let ended = fed_by(&ctl, &platform, parent).await;
            ctl.with(|c| c.freshness.left_alone());
            if let Err(e) = ended {
                ctl.with(|c| debug!(c.log, "feed ended"; "peer" => %parent, "error" => %e));
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Returns the hosts that may feed this one, the best first: its ancestors in the tree, then all
/// others before it.
fn parents(c: &Control) -> Vec<SocketAddr> {
    let mates = c.mates();
    let Some(mut at) = mates.iter().position(|(host, _)| **host == c.me.host) else {
        return Vec::new();
    };
    let before = &mates[..at];
    let mut order = Vec::new();
    while at > 0 {
        at = (at - 1) / FANOUT;
        order.push(before[at].1);
    }
    let others = before.iter().map(|&(_, peer)| peer);
    let others: Vec<_> = others.filter(|peer| !order.contains(peer)).collect();
    order.extend(others);
    order
}

/// Takes what the host at `parent` feeds, until it falls silent or is not fresh itself.
async fn fed_by(
    ctl: &Ctl,
    platform: &impl Platform,
    parent: SocketAddr,
) -> Result<(), wire::FrameError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(parent));
    let stream = connect.await.map_err(std::io::Error::from)??;
    stream.set_nodelay(true)?;
    let mut link: Link = Framed::new(stream, FrameCodec::default());
    let mut is_first = true;
    loop {
        let next = tokio::time::timeout(SILENCE, link.next());
        let Some(feed) = next.await.map_err(std::io::Error::from)? else {
            return Ok(());
        };
        let feed = feed?;
        if ctl.with(|c| c.phase == Phase::Leaving) || feed.fresh_ms == 0 {
            return Ok(());
        }
        if is_first {
            ctl.with(|c| info!(c.log, "fed by"; "peer" => %parent));
        }
        if ctl.with(|c| take_feed(c, platform, feed, is_first)) {
            ctl.changed();
        }
        is_first = false;
    }
}

/// Takes a message; tells whether anything changed.
fn take_feed(c: &mut Control, platform: &impl Platform, feed: Feed, is_first: bool) -> bool {
    let now = BootClock.now();
    let left = Duration::from_millis(u64::from(feed.fresh_ms));
    c.freshness.fed(now, left);
    c.store_answered(now);
    let mut changed = false;
    for (table, part) in Table::ALL.into_iter().zip(feed.tables) {
        changed |= take(c, platform, table, part.into_delta(is_first), now);
    }
    changed
}

impl TableFeed {
    /// Returns what to do with the rows.
    ///
    /// The first message of a connection brings all that the sender has. It may know nothing of
    /// rows that were removed before it began, so what it lacks is gone.
    #[must_use]
    pub fn into_delta(self, is_first: bool) -> Delta {
        let rows = self.rows.into_iter().map(|row| Row {
            key: RowKey(SmolStr::from(row.key)),
            revision: Revision(row.revision),
            value: row.value,
        });
        let changes = Changes {
            revision: Revision(self.revision),
            rows: rows.collect(),
        };
        if is_first {
            Delta::Snapshot(changes)
        } else {
            Delta::Changes(changes)
        }
    }
}
