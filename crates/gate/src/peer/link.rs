//! One connection to another host, and the state of its calls.

use std::cell::{Cell, RefCell};
use std::io;

use bytes::BytesMut;
use futures::StreamExt;
use ids::Reason;
use indexmap::IndexMap;
use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, oneshot};
use tokio_util::codec::{Encoder, FramedRead};
use wire::dispatch::{Cancel, DispatchFrame, DispatchMessage, Reply as ReplyFrame};
use wire::{FrameCodec, FrameError, MAX_FRAME_BYTES};

use crate::call::{Call, Reply, call_to_wire, reply_from_wire};
use crate::context::GateContext;
use crate::peer::GO_AWAY;

/// Largest request that fits into a frame, in bytes.
const MAX_REQUEST_BYTES: usize = MAX_FRAME_BYTES - FRAME_OVERHEAD;
/// Upper bound of the bytes of a frame besides the request.
const FRAME_OVERHEAD: usize = 64;
/// Bytes that are encoded before the next write.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// A call without a reply.
#[derive(Debug)]
struct OpenCall {
    reply: oneshot::Sender<Reply>,
    stage: Stage,
    /// Number of replies received before the call was made.
    replies_before: u64,
}

/// Progress of a call.
#[derive(Debug)]
enum Stage {
    /// Waits to be encoded.
    Queued(Box<Call>),
    /// Encoded; holds the offset in the stream at which its frame ends.
    Encoded(u64),
}

/// The calls of one connection, shared by its callers and the connection's task.
///
/// Call numbers are never reused.
#[derive(Debug, Default)]
pub(crate) struct Link {
    open: RefCell<IndexMap<u64, OpenCall>>,
    /// Numbers of the calls to encode; below, those of the calls to cancel.
    to_encode: RefCell<Vec<u64>>,
    to_cancel: RefCell<Vec<u64>>,
    last_number: Cell<u64>,
    written: Cell<u64>,
    /// Number of replies received.
    replies: Cell<u64>,
    /// Whether the server announced that it closes.
    closing: Cell<bool>,
    pending: Notify,
    /// Notified when the server is unresponsive.
    unresponsive: Notify,
}

impl Link {
    /// Returns the number of calls without a reply.
    pub(crate) fn open_calls(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether calls may be made.
    pub(crate) fn is_usable(&self) -> bool {
        !self.closing.get()
    }

    /// Queues a call and returns its number.
    pub(crate) fn push(&self, call: Call, reply: oneshot::Sender<Reply>) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let stage = Stage::Queued(Box::new(call));
        let open = OpenCall {
            reply,
            stage,
            replies_before: self.replies.get(),
        };
        self.open.borrow_mut().insert(number, open);
        self.to_encode.borrow_mut().push(number);
        self.pending.notify_one();
        number
    }

    /// Cancels a call; returns the reason for its refusal.
    pub(crate) fn cancel(&self, number: u64) -> Reason {
        let Some(open) = self.open.borrow_mut().swap_remove(&number) else {
            return Reason::HostLost;
        };
        match open.stage {
            // It was not encoded, and no longer can be.
            Stage::Queued(_) => Reason::HostUnreachable,
            Stage::Encoded(_) => {
                self.to_cancel.borrow_mut().push(number);
                self.pending.notify_one();
                Reason::HostLost
            }
        }
    }

    /// Cancels a call whose deadline has passed; returns the reason for its refusal.
    ///
    /// The server replies to each call before its deadline. If it replied to others since the call
    /// was made, it is there, and only its reply to this one is late. If it sent no reply at all, it
    /// is unresponsive, and the connection is closed before anything more is written. A call that was
    /// only partly written is then never read.
    pub(crate) fn time_out(&self, number: u64) -> Reason {
        let written = self.written.get();
        let state = self.open.borrow().get(&number).map(|open| {
            let is_whole = matches!(open.stage, Stage::Encoded(end) if end <= written);
            (open.replies_before, is_whole)
        });
        let reason = self.cancel(number);
        let Some((replies, is_whole)) = state else {
            return reason;
        };
        if reason != Reason::HostLost {
            return reason;
        }
        if replies != self.replies.get() {
            return Reason::AnswerTimeout;
        }
        self.unresponsive.notify_one();
        if is_whole {
            Reason::HostLost
        } else {
            Reason::HostUnreachable
        }
    }

    /// Ends all calls after the connection broke or could not be opened.
    pub(crate) fn fail(&self) {
        let written = self.written.get();
        for (_, open) in self.open.borrow_mut().drain(..) {
            let reason = match open.stage {
                Stage::Encoded(end) if end <= written => Reason::HostLost,
                // An incomplete frame is never read as a request.
                Stage::Encoded(_) | Stage::Queued(_) => Reason::HostUnreachable,
            };
            // Fails only if the receiver was dropped.
            let _ = open.reply.send(Reply::refused(reason));
        }
        self.to_encode.borrow_mut().clear();
        self.to_cancel.borrow_mut().clear();
        self.written.set(0);
        self.closing.set(false);
    }

    /// Sends calls and receives replies until the connection ends.
    pub(crate) async fn run(&self, cx: &GateContext, stream: TcpStream) -> Result<(), FrameError> {
        let (read, write) = stream.into_split();
        tokio::select! {
            // Polled first, so that nothing is written once calls count as not sent.
            biased;
            () = self.unresponsive.notified() => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
            ended = self.read(read) => ended,
            ended = self.write(cx, write) => ended,
        }
    }

    async fn read(&self, read: OwnedReadHalf) -> Result<(), FrameError> {
        let mut reader = FramedRead::new(read, FrameCodec::<ReplyFrame>::default());
        while let Some(frame) = reader.next().await {
            let frame = frame?;
            self.closing
                .set(self.closing.get() || frame.call == GO_AWAY);
            self.replies.set(self.replies.get() + 1);
            let open = self.open.borrow_mut().swap_remove(&frame.call);
            // A reply to a cancelled call is dropped.
            if let Some(open) = open {
                let _ = open.reply.send(reply_from_wire(frame));
            }
            if self.closing.get() && self.open_calls() == 0 {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn write(&self, cx: &GateContext, mut write: OwnedWriteHalf) -> Result<(), FrameError> {
        let mut buf = BytesMut::with_capacity(WRITE_BUFFER_BYTES);
        let mut codec = FrameCodec::<DispatchFrame>::default();
        let mut encoded = 0;
        loop {
            self.encode(cx, &mut codec, &mut buf, &mut encoded)?;
            if buf.is_empty() {
                self.pending.notified().await;
                continue;
            }
            let count = write.write_buf(&mut buf).await?;
            self.written.set(self.written.get() + count as u64);
        }
    }

    /// Encodes pending messages until the buffer is full.
    fn encode(
        &self,
        cx: &GateContext,
        codec: &mut FrameCodec<DispatchFrame>,
        buf: &mut BytesMut,
        encoded: &mut u64,
    ) -> Result<(), FrameError> {
        for number in self.to_cancel.borrow_mut().drain(..) {
            let cancel = DispatchMessage::Cancel(Cancel { call: number });
            *encoded += encode_message(codec, buf, cancel)?;
        }
        let mut to_encode = self.to_encode.borrow_mut();
        let mut open = self.open.borrow_mut();
        let mut consumed = 0;
        for number in to_encode.iter() {
            if buf.len() >= WRITE_BUFFER_BYTES {
                break;
            }
            consumed += 1;
            // A call that was cancelled in the meantime is never sent.
            let Some(call) = open.get_mut(number) else {
                continue;
            };
            let Stage::Queued(queued) = &call.stage else {
                continue;
            };
            let request = call_to_wire(*number, queued, cx.now());
            if request.encoded_len() > MAX_REQUEST_BYTES {
                refuse(&mut open, *number, Reason::BodyTooLarge);
                continue;
            }
            *encoded += encode_message(codec, buf, DispatchMessage::Request(request))?;
            call.stage = Stage::Encoded(*encoded);
        }
        to_encode.drain(..consumed);
        Ok(())
    }
}

/// Refuses a call that was not sent.
fn refuse(open: &mut IndexMap<u64, OpenCall>, number: u64, reason: Reason) {
    if let Some(call) = open.swap_remove(&number) {
        // Fails only if the receiver was dropped.
        let _ = call.reply.send(Reply::refused(reason));
    }
}

/// Encodes one message and returns its size in bytes.
fn encode_message(
    codec: &mut FrameCodec<DispatchFrame>,
    buf: &mut BytesMut,
    message: DispatchMessage,
) -> Result<u64, FrameError> {
    let before = buf.len();
    codec.encode(
        DispatchFrame {
            message: Some(message),
        },
        buf,
    )?;
    Ok((buf.len() - before) as u64)
}
