//! Passes rows of the store on from host to host.
//!
//! The hosts form a tree with the strongest ones of each domain at its root, and one host of all
//! reads the store. A host that received rows before names the revisions up to which it is complete
//! and receives what is newer. A host whose parent is unresponsive, or can't read the store, looks
//! for another parent and reads the store itself only if it finds none.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use ids::{BootClock, Clock, Revision, Timestamp};
use platform::{Changes, Delta, Row, RowKey};
use prost::Message;
use slog::{debug, info};
use smol_str::SmolStr;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite};
use wire::FrameCodec;

use crate::control::copies::Copy;
use crate::control::state::{Control, Ctl};
use crate::control::take::{Table, take};
use crate::control::tree;
use crate::ports::Platform;
use crate::view::Phase;

/// Most hosts that one host relays to when it stands in for parents that have ended.
const FED_MAX: usize = 2 * tree::FANOUT;
/// Longest time between two messages to a relay target.
const FEED_EVERY: Duration = Duration::from_millis(400);
/// Most rows in one message: a host without any rows receives megabytes, which take seconds over a
/// slow link, and each message has its own send timeout.
const ROWS_EACH: usize = 1_500;
/// Time without a message after which a relay target reads the store itself: two messages and their
/// transmission. What the store has accepted must be known within two seconds.
const SILENCE: Duration = Duration::from_secs(1);
/// Timeout for connecting to another host: twenty times the latency between hosts. Hosts that have
/// ended for good are still listed, and each attempt to reach one delays the search for a parent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for sending one of the first messages: half a megabyte takes that long over a link of 10
/// Mbit/s that several relay targets share.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before the next search for a parent.
const PAUSE: Duration = Duration::from_millis(700);
/// The same while this host has not yet read all tables: hosts that started with it are about to
/// have read them.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// The tables that a relay target already has.
#[derive(Clone, PartialEq, Eq)]
#[derive(Message)]
pub struct Have {
    /// Revision up to which it is complete, for each table in the order of [`Table::ALL`]; zero if
    /// it has no rows of it.
    #[prost(uint64, repeated, tag = "1")]
    pub revisions: Vec<u64>,
}

/// Rows that a host relays.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Feed {
    /// Changes of each table, in the order of [`Table::ALL`].
    #[prost(message, repeated, tag = "1")]
    pub tables: Vec<TableFeed>,
    /// Milliseconds for which the sender's knowledge of the store stays fresh; zero if it is not
    /// fresh and the sender relays nothing.
    #[prost(uint32, tag = "2")]
    pub fresh_ms: u32,
    /// The host that read the store.
    #[prost(string, tag = "3")]
    pub reader: String,
    /// Whether the next message continues this one: the receiver applies both together.
    #[prost(bool, tag = "4")]
    pub goes_on: bool,
}

impl Feed {
    /// Splits the message into messages with at most `rows` rows each.
    #[must_use]
    pub fn split(mut self, rows: usize) -> Vec<Self> {
        let mut messages = Vec::new();
        while self.tables.iter().map(|t| t.rows.len()).sum::<usize>() > rows {
            let mut room = rows;
            let parts = self.tables.iter_mut().map(|table| {
                let taken = table.rows.len().min(room);
                room -= taken;
                TableFeed {
                    rows: table.rows.drain(..taken).collect(),
                    ..TableFeed::default()
                }
            });
            messages.push(Self {
                tables: parts.collect(),
                fresh_ms: self.fresh_ms,
                reader: self.reader.clone(),
                goes_on: true,
            });
        }
        messages.push(self);
        messages
    }

    /// Prepends the rows of the preceding messages, which this one continues.
    pub fn follow(&mut self, before: Self) {
        for (table, mut earlier) in self.tables.iter_mut().zip(before.tables) {
            earlier.rows.append(&mut table.rows);
            table.rows = earlier.rows;
        }
    }
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
    /// Whether these are all rows of the table, and all others are removed.
    #[prost(bool, tag = "3")]
    pub is_whole: bool,
}

/// A row.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct FeedRow {
    /// Key, with its table.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value; none if the row was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

/// The two directions of a connection: messages of type `In` are received, those of type `Out` are
/// sent.
struct Link<In, Out> {
    incoming: FramedRead<OwnedReadHalf, FrameCodec<In>>,
    outgoing: FramedWrite<OwnedWriteHalf, FrameCodec<Out>>,
}

impl<In: Message + Default, Out: Message + Default> Link<In, Out> {
    fn new(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Self {
            incoming: FramedRead::new(read, FrameCodec::default()),
            outgoing: FramedWrite::new(write, FrameCodec::default()),
        })
    }
}

/// Relays to hosts that connect to `listener`.
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
    let mut link: Link<Have, Feed> = Link::new(stream)?;
    let have = tokio::time::timeout(SILENCE, link.incoming.next());
    let Some(have) = have.await.map_err(std::io::Error::from)? else {
        return Ok(());
    };
    let mut changes = ctl.changes();
    let mut generations = [0; Table::ALL.len()];
    let have = have?;
    let mut feed = ctl.with(|c| first_feed(c, &have, &mut generations));
    let mut within = SEND_TIMEOUT;
    loop {
        let is_last = feed.fresh_ms == 0;
        for message in feed.split(ROWS_EACH) {
            // A relay target that reads nothing must not hold its slot for ever.
            let sent = tokio::time::timeout(within, link.outgoing.send(message));
            sent.await.map_err(std::io::Error::from)??;
        }
        within = SILENCE;
        if is_last {
            return Ok(());
        }
        tokio::select! {
            // Returns at the first of the two.
            _ = tokio::time::timeout(FEED_EVERY, changes.changed()) => {}
            _ = link.incoming.next() => return Ok(()),
        }
        feed = ctl.with(|c| next_feed(c, &mut generations));
    }
}

/// Builds the first message to a host that has the revisions in `version`.
fn first_feed(c: &Control, have: &Have, generations: &mut [u64; Table::ALL.len()]) -> Feed {
    let complete = |i: usize| have.revisions.get(i).copied().unwrap_or_default();
    feed_of(c, |i, copy| {
        generations[i] = copy.generation();
        TableFeed::first(copy, Revision(complete(i)))
    })
}

/// Builds the next message to a host that has everything up to `generations`.
fn next_feed(c: &Control, generations: &mut [u64; Table::ALL.len()]) -> Feed {
    feed_of(c, |i, copy| {
        let since = std::mem::replace(&mut generations[i], copy.generation());
        TableFeed {
            revision: copy.revision().0,
            rows: copy.since(since).map(FeedRow::from).collect(),
            is_whole: false,
        }
    })
}

/// Builds a message with what `table` returns for each replica; an empty one if this host's
/// knowledge is not fresh.
fn feed_of(c: &Control, mut table: impl FnMut(usize, &Copy) -> TableFeed) -> Feed {
    let fresh_ms = c.freshness.left(BootClock.now()).as_millis() as u32;
    if fresh_ms == 0 {
        return Feed::default();
    }
    let copies = c.copies.iter().enumerate();
    Feed {
        tables: copies.map(|(i, copy)| table(i, copy)).collect(),
        fresh_ms,
        reader: c.reader.to_string(),
        goes_on: false,
    }
}

impl From<&Row> for FeedRow {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.0.to_string(),
            revision: row.revision.0,
            value: row.value.clone(),
        }
    }
}

/// Receives rows that other hosts relay, as long as there are such hosts.
pub async fn be_fed(ctl: Ctl, platform: impl Platform) {
    loop {
        for parent in ctl.with(|c| parents(c)) {
            let ended = fed_by(&ctl, &platform, parent).await;
            ctl.with(|c| c.freshness.left_alone(BootClock.now()));
            if let Err(e) = ended {
                ctl.with(|c| debug!(c.log, "feed ended"; "peer" => %parent, "error" => %e));
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
fn parents(c: &Control) -> Vec<SocketAddr> {
    let domains = c.domains();
    let mut parents = domains.before(&c.cfg.domain, &c.me.host);
    // While the hosts that start together have read nothing, no two of them can relay to each
    // other.
    if c.freshness.is_failing() || !c.freshness.has_known_all() {
        parents.extend(domains.behind(&c.cfg.domain, &c.me.host));
    }
    parents
}

/// Receives the rows that the host at `parent` relays, until the parent is unresponsive or no
/// longer fresh.
async fn fed_by(
    ctl: &Ctl,
    platform: &impl Platform,
    parent: SocketAddr,
) -> Result<(), wire::FrameError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(parent));
    let stream = connect.await.map_err(std::io::Error::from)??;
    let mut link: Link<Feed, Have> = Link::new(stream)?;
    let revisions = ctl.with(|c| c.copies.iter().map(|copy| copy.revision().0).collect());
    link.outgoing.send(Have { revisions }).await?;
    // A host without any rows receives all rows in the first messages.
    let has_known_all = ctl.with(|c| c.freshness.has_known_all());
    let mut within = if has_known_all { SILENCE } else { SEND_TIMEOUT };
    let asked = BootClock.now();
    let mut is_first = true;
    let mut before = None;
    loop {
        let next = tokio::time::timeout(within, link.incoming.next());
        let Some(feed) = next.await.map_err(std::io::Error::from)? else {
            return Ok(());
        };
        let mut feed = feed?;
        if let Some(before) = before.take() {
            feed.follow(before);
        }
        if feed.goes_on {
            before = Some(feed);
            continue;
        }
        within = SILENCE;
        // Rows that this host read itself must not keep its own knowledge fresh.
        let is_own = ctl.with(|c| feed.reader == c.me.host.as_str());
        if ctl.with(|c| c.phase == Phase::Leaving) || feed.fresh_ms == 0 || is_own {
            return Ok(());
        }
        if is_first {
            ctl.with(|c| info!(c.log, "fed by"; "peer" => %parent));
        }
        // The first message was built after the request for it, and may have taken long to arrive.
        let as_of = if is_first { asked } else { BootClock.now() };
        if ctl.with(|c| take_feed(c, platform, feed, as_of)) {
            ctl.changed();
        } else {
            ctl.refreshed();
        }
        is_first = false;
    }
}

/// Applies a message that was built at `as_of` or later; returns whether anything changed.
fn take_feed(c: &mut Control, platform: &impl Platform, feed: Feed, as_of: Timestamp) -> bool {
    let now = BootClock.now();
    let left = Duration::from_millis(u64::from(feed.fresh_ms));
    c.freshness.fed(now, as_of, left);
    c.reader = feed.reader.into();
    c.store_answered(now);
    let mut changed = false;
    for (table, part) in Table::ALL.into_iter().zip(feed.tables) {
        changed |= take(c, platform, table, part.into_delta(), now);
    }
    changed
}

impl TableFeed {
    /// Builds the first rows for a host that is complete up to a revision: newer rows, or all rows
    /// if this host does not know what was removed since.
    #[must_use]
    pub fn first(copy: &Copy, complete: Revision) -> Self {
        let newer = copy.changed_since(complete);
        let is_whole = newer.is_none();
        let rows = match newer {
            Some(newer) => newer.map(FeedRow::from).collect(),
            None => copy.since(0).map(FeedRow::from).collect(),
        };
        Self {
            revision: copy.revision().0,
            rows,
            is_whole,
        }
    }

    /// Converts the rows to a change of a table.
    #[must_use]
    pub fn into_delta(self) -> Delta {
        let rows = self.rows.into_iter().map(|row| Row {
            key: RowKey(SmolStr::from(row.key)),
            revision: Revision(row.revision),
            value: row.value,
        });
        let changes = Changes {
            revision: Revision(self.revision),
            rows: rows.collect(),
        };
        if self.is_whole {
            Delta::Snapshot(changes)
        } else {
            Delta::Changes(changes)
        }
    }
}
