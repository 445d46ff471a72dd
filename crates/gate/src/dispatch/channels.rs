//! What the duty is told, and what it tells.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ids::{EntryId, KeyHash, Reason, SliceNo, UpstreamId};
use route::{CallKey, Event, UpstreamLimits};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::call::{Call, Reply};

/// What the control thread tells the duty.
#[derive(Debug)]
pub enum ToDispatch {
    /// This host coordinates an upstream from now on, or what is declared of it changed.
    Upstream {
        /// Upstream.
        upstream: UpstreamId,
        /// Limits, for the dispatcher.
        limits: UpstreamLimits,
        /// What it takes to talk to it.
        target: UpstreamTarget,
    },
    /// Any other event of the dispatcher: lease, hold, release, draining, removal, report.
    ///
    /// Events of calls are the duty's own and are passed over.
    Event(Event),
    /// Calls of other hosts are refused from now on, and those under way are finished.
    Leave,
    /// The duty ends once no call is under way, or after the time that its settings allow.
    Stop,
}

/// What it takes to talk to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamTarget {
    /// Entry that it serves.
    pub entry: EntryId,
    /// Address.
    pub address: SocketAddr,
    /// Largest answer body, in bytes.
    pub answer_bytes: u32,
    /// Whether an answer must echo the request's id.
    pub verify_echo: bool,
}

/// What the duty tells the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// Nothing of the held slice, or of the draining upstream, is under way any more. It is told
    /// later if the ring is full.
    Drained {
        /// Upstream.
        upstream: UpstreamId,
        /// Slice; none if the whole upstream is drained.
        slice: Option<SliceNo>,
    },
    /// A call that was sent, or was about to be, failed. It is not told if the ring is full.
    UpstreamFault {
        /// Upstream.
        upstream: UpstreamId,
        /// Reason.
        reason: Reason,
    },
}

/// What one answered call cost; samples are dropped when their ring is full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSample {
    /// Entry.
    pub entry: EntryId,
    /// Upstream.
    pub upstream: UpstreamId,
    /// Slice of the key; none if the entry is not divided by key.
    pub slice: Option<SliceNo>,
    /// Hash of the key.
    pub key: Option<KeyHash>,
    /// Time from the sending to the whole answer.
    pub work: Duration,
}

/// Where the duty sends what it tells.
#[derive(Debug)]
pub struct DispatchChannels {
    /// Notices.
    pub notices: mpsc::Sender<Notice>,
    /// Load samples.
    pub samples: mpsc::Sender<LoadSample>,
}

/// A reply and the number of its call on a connection.
#[derive(Debug)]
pub(crate) struct NumberedReply {
    pub(crate) number: u64,
    pub(crate) reply: Reply,
}

/// Where a call's reply goes.
#[derive(Debug)]
pub(crate) enum ReplyTo {
    /// To a caller of this host.
    Caller(oneshot::Sender<Reply>),
    /// To another host.
    Link {
        /// Number of the call on the connection.
        number: u64,
        /// The connection's replies.
        tx: mpsc::UnboundedSender<NumberedReply>,
    },
}

impl ReplyTo {
    /// Sends the reply; nobody waits any more if that fails.
    pub(crate) fn send(self, reply: Reply) {
        match self {
            Self::Caller(tx) => drop(tx.send(reply)),
            Self::Link { number, tx } => drop(tx.send(NumberedReply { number, reply })),
        }
    }

    /// Tells whether nobody waits for the reply any more.
    pub(crate) fn is_closed(&self) -> bool {
        match self {
            Self::Caller(tx) => tx.is_closed(),
            Self::Link { tx, .. } => tx.is_closed(),
        }
    }
}

/// A call that came to the duty.
#[derive(Debug)]
pub(crate) enum Incoming {
    /// A call, and where its reply goes.
    Call(CallKey, Call, ReplyTo),
    /// The caller left, or its entry host did.
    Gone(CallKey),
}

/// The duty's ring is closed: it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("tell the dispatch duty: it has ended")]
pub struct DutyEnded;

/// The sending side of the duty's rings.
#[derive(Debug, Clone)]
pub struct DispatchTx {
    calls: mpsc::Sender<Incoming>,
    control: mpsc::Sender<ToDispatch>,
    next: Arc<AtomicU64>,
}

/// The receiving side of the duty's rings.
#[derive(Debug)]
pub(crate) struct DispatchRx {
    pub(crate) calls: mpsc::Receiver<Incoming>,
    pub(crate) control: mpsc::Receiver<ToDispatch>,
}

/// Messages of the control thread that may wait.
const CONTROL_RING: usize = 4_096;

/// Creates the duty's rings.
pub(crate) fn rings(capacity: usize) -> (DispatchTx, DispatchRx) {
    let (calls_tx, calls_rx) = mpsc::channel(capacity.max(1));
    let (control_tx, control_rx) = mpsc::channel(CONTROL_RING);
    let tx = DispatchTx {
        calls: calls_tx,
        control: control_tx,
        next: Arc::default(),
    };
    let rx = DispatchRx {
        calls: calls_rx,
        control: control_rx,
    };
    (tx, rx)
}

impl DispatchTx {
    /// Hands a call to the duty.
    ///
    /// Dropping the ticket before the reply says that the caller left.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal if the ring is full or the duty has ended.
    pub fn call(&self, call: Call) -> Result<CallTicket, Reason> {
        let (tx, rx) = oneshot::channel();
        let key = self.send(call, ReplyTo::Caller(tx))?;
        Ok(CallTicket {
            key,
            reply: rx,
            calls: self.clone(),
            done: false,
        })
    }

    /// Hands a call to the duty, and returns its key.
    pub(crate) fn send(&self, call: Call, reply: ReplyTo) -> Result<CallKey, Reason> {
        let key = CallKey(self.next.fetch_add(1, Ordering::Relaxed));
        self.calls
            .try_send(Incoming::Call(key, call, reply))
            .map_err(|e| match e {
                mpsc::error::TrySendError::Full(_) => Reason::QueueFull,
                mpsc::error::TrySendError::Closed(_) => Reason::Leaving,
            })?;
        Ok(key)
    }

    /// Tells the duty that nobody waits for a call's reply any more.
    ///
    /// If the ring is full, the duty finds the reply's channel closed before it sends, and the
    /// deadline frees the slot.
    pub(crate) fn gone(&self, key: CallKey) {
        let _ = self.calls.try_send(Incoming::Gone(key));
    }

    /// Tells the duty something, and waits while its ring is full.
    ///
    /// # Errors
    ///
    /// Fails if the duty has ended.
    pub async fn tell(&self, message: ToDispatch) -> Result<(), DutyEnded> {
        self.control
            .send(message)
            .await
            .map_err(|_message| DutyEnded)
    }

    /// Tells the duty something; blocks the thread while the ring is full.
    ///
    /// # Errors
    ///
    /// Fails if the duty has ended.
    ///
    /// # Panics
    ///
    /// Panics if called within an asynchronous task.
    pub fn blocking_tell(&self, message: ToDispatch) -> Result<(), DutyEnded> {
        self.control
            .blocking_send(message)
            .map_err(|_message| DutyEnded)
    }
}

/// Awaits the reply to a call.
#[derive(Debug)]
pub struct CallTicket {
    key: CallKey,
    reply: oneshot::Receiver<Reply>,
    calls: DispatchTx,
    done: bool,
}

impl CallTicket {
    /// Waits for the reply.
    pub async fn reply(mut self) -> Reply {
        let reply = (&mut self.reply).await;
        self.done = true;
        // The duty drops a call without a reply only when it ends by force.
        reply.unwrap_or_else(|_ended| Reply::refused(Reason::HostLost))
    }
}

impl Drop for CallTicket {
    fn drop(&mut self) {
        if !self.done {
            self.calls.gone(self.key);
        }
    }
}
