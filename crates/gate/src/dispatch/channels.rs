//! The channels to and from the dispatch thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ids::{EntryId, KeyHash, Reason, SliceNo, UpstreamId};
use route::{CallKey, Event, UpstreamLimits};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::call::{Call, Reply};

/// Command of the control thread to the dispatch thread.
#[derive(Debug)]
pub enum DispatchCommand {
    /// Adds an upstream that this host coordinates, or changes its declaration.
    Upstream {
        /// Upstream.
        upstream: UpstreamId,
        /// Limits, for the dispatcher.
        limits: UpstreamLimits,
        /// Address and limits of its answers.
        target: UpstreamTarget,
    },
    /// Passes on any other event of the dispatcher: lease, hold, release, draining, removal,
    /// report.
    ///
    /// Events of calls come from the dispatch thread itself and are ignored here.
    Event(Event),
    /// Refuses calls of other hosts from now on; calls in flight are finished.
    Leave,
    /// Ends the dispatch thread once no call is in flight, or after the timeout in its settings.
    Stop,
}

/// Address of an upstream, and limits and checks of its answers.
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

/// Event that the dispatch thread reports to the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchEvent {
    /// No call of the held slice, or of the draining upstream, is in flight any more. It is sent
    /// later if the channel is full.
    Drained {
        /// Upstream.
        upstream: UpstreamId,
        /// Slice; `None` if the whole upstream is drained.
        slice: Option<SliceNo>,
    },
    /// A call that was sent, or was about to be sent, failed. It is dropped if the channel is full.
    UpstreamFault {
        /// Upstream.
        upstream: UpstreamId,
        /// Reason.
        reason: Reason,
    },
}

/// Cost of one answered call; samples are dropped when their channel is full.
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
    /// Time from the write of the request to the complete answer.
    pub work: Duration,
}

/// Channels to which the dispatch thread sends its events and samples.
#[derive(Debug)]
pub struct DispatchChannels {
    /// Events for the control thread.
    pub events: mpsc::Sender<DispatchEvent>,
    /// Load samples.
    pub samples: mpsc::Sender<LoadSample>,
}

/// A reply and the number of its call on a connection.
#[derive(Debug)]
pub(crate) struct NumberedReply {
    pub(crate) number: u64,
    pub(crate) reply: Reply,
}

/// Receiver of a call's reply.
#[derive(Debug)]
pub(crate) enum ReplyTo {
    /// A caller of this host.
    Caller(oneshot::Sender<Reply>),
    /// Another host.
    Link {
        /// Number of the call on the connection.
        number: u64,
        /// Channel of the connection's replies.
        tx: mpsc::UnboundedSender<NumberedReply>,
    },
}

impl ReplyTo {
    /// Sends the reply; discards it if the receiver was dropped.
    pub(crate) fn send(self, reply: Reply) {
        match self {
            Self::Caller(tx) => drop(tx.send(reply)),
            Self::Link { number, tx } => drop(tx.send(NumberedReply { number, reply })),
        }
    }

    /// Returns whether the receiver of the reply was dropped.
    pub(crate) fn is_closed(&self) -> bool {
        match self {
            Self::Caller(tx) => tx.is_closed(),
            Self::Link { tx, .. } => tx.is_closed(),
        }
    }
}

/// A message of the calls' channel.
#[derive(Debug)]
pub(crate) enum Incoming {
    /// A call, and the receiver of its reply.
    Call(CallKey, Call, ReplyTo),
    /// The caller, or the entry host of the call, disconnected.
    CallerGone(CallKey),
}

/// The dispatch thread has ended; its channel is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("send to the dispatch thread: it has ended")]
pub struct DispatchEnded;

/// The sending side of the dispatch thread's channels.
#[derive(Debug, Clone)]
pub struct DispatchTx {
    calls: mpsc::Sender<Incoming>,
    control: mpsc::Sender<DispatchCommand>,
    next_key: Arc<AtomicU64>,
}

/// The receiving side of the dispatch thread's channels.
#[derive(Debug)]
pub(crate) struct DispatchRx {
    pub(crate) calls: mpsc::Receiver<Incoming>,
    pub(crate) control: mpsc::Receiver<DispatchCommand>,
}

/// Capacity of the channel for commands of the control thread.
const CONTROL_CAPACITY: usize = 4_096;

/// Creates the dispatch thread's channels.
pub(crate) fn dispatch_channels(capacity: usize) -> (DispatchTx, DispatchRx) {
    let (calls_tx, calls_rx) = mpsc::channel(capacity.max(1));
    let (control_tx, control_rx) = mpsc::channel(CONTROL_CAPACITY);
    let tx = DispatchTx {
        calls: calls_tx,
        control: control_tx,
        next_key: Arc::default(),
    };
    let rx = DispatchRx {
        calls: calls_rx,
        control: control_rx,
    };
    (tx, rx)
}

impl DispatchTx {
    /// Sends a call to the dispatch thread.
    ///
    /// Dropping the pending call before the reply cancels the call.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal if the channel is full or the dispatch thread has
    /// ended.
    pub fn call(&self, call: Call) -> Result<PendingCall, Reason> {
        let (tx, rx) = oneshot::channel();
        let key = self.send_call(call, ReplyTo::Caller(tx))?;
        Ok(PendingCall {
            key,
            reply: rx,
            calls: self.clone(),
            done: false,
        })
    }

    /// Sends a call to the dispatch thread and returns its key.
    pub(crate) fn send_call(&self, call: Call, reply: ReplyTo) -> Result<CallKey, Reason> {
        let key = CallKey(self.next_key.fetch_add(1, Ordering::Relaxed));
        self.calls
            .try_send(Incoming::Call(key, call, reply))
            .map_err(|e| match e {
                mpsc::error::TrySendError::Full(_) => Reason::QueueFull,
                mpsc::error::TrySendError::Closed(_) => Reason::Leaving,
            })?;
        Ok(key)
    }

    /// Reports that the receiver of a call's reply was dropped.
    ///
    /// The report is dropped if the channel is full. A queued call is then not sent, because its
    /// reply's channel is closed; the slot of a call in flight is freed at the deadline.
    pub(crate) fn caller_gone(&self, key: CallKey) {
        let _ = self.calls.try_send(Incoming::CallerGone(key));
    }

    /// Sends a command to the dispatch thread; waits while the channel is full.
    ///
    /// # Errors
    ///
    /// Fails if the dispatch thread has ended.
    pub async fn send(&self, message: DispatchCommand) -> Result<(), DispatchEnded> {
        self.control
            .send(message)
            .await
            .map_err(|_message| DispatchEnded)
    }

    /// Sends a command to the dispatch thread; blocks while the channel is full.
    ///
    /// # Errors
    ///
    /// Fails if the dispatch thread has ended.
    ///
    /// # Panics
    ///
    /// Panics if called within an asynchronous task.
    pub fn blocking_send(&self, message: DispatchCommand) -> Result<(), DispatchEnded> {
        self.control
            .blocking_send(message)
            .map_err(|_message| DispatchEnded)
    }
}

/// Awaits the reply to a call.
#[derive(Debug)]
pub struct PendingCall {
    key: CallKey,
    reply: oneshot::Receiver<Reply>,
    calls: DispatchTx,
    done: bool,
}

impl PendingCall {
    /// Waits for the reply.
    pub async fn reply(mut self) -> Reply {
        let reply = (&mut self.reply).await;
        self.done = true;
        // The dispatch thread drops a call without a reply only at the end of its stop timeout.
        reply.unwrap_or_else(|_ended| Reply::refused(Reason::HostLost))
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.done {
            self.calls.caller_gone(self.key);
        }
    }
}
