//! One connection to another host, and which of its calls were written.

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

/// The most bytes of a request that fits into a frame.
const MAX_ASK_BYTES: usize = MAX_FRAME_BYTES - FRAME_SLACK;
/// Bytes of a frame that are not the request's own.
const FRAME_SLACK: usize = 64;
/// Bytes encoded before they are written.
const WRITE_BYTES: usize = 64 << 10;

/// A call that waits for its reply.
#[derive(Debug)]
struct Open {
    reply: oneshot::Sender<Reply>,
    stage: Stage,
    /// How many replies had come when the call was made.
    replies_before: u64,
}

/// How far a call got.
#[derive(Debug)]
enum Stage {
    /// It waits to be encoded.
    Queued(Box<Call>),
    /// Its frame ends at this place of the stream.
    Encoded(u64),
}

/// The calls of one connection, shared by those who make them and the connection's task.
///
/// Numbers of calls are never reused.
#[derive(Debug, Default)]
pub(crate) struct Link {
    open: RefCell<IndexMap<u64, Open>>,
    /// Numbers of calls to encode, and of calls to cancel.
    to_encode: RefCell<Vec<u64>>,
    to_cancel: RefCell<Vec<u64>>,
    next: Cell<u64>,
    written: Cell<u64>,
    /// Replies that came.
    replies: Cell<u64>,
    /// Whether the other side closes.
    going: Cell<bool>,
    work: Notify,
    /// Told when the other side has fallen silent.
    silent: Notify,
}

impl Link {
    /// Returns how many calls have no reply.
    pub(crate) fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// Tells whether calls may be made.
    pub(crate) fn is_usable(&self) -> bool {
        !self.going.get()
    }

    /// Queues a call and returns its number.
    pub(crate) fn push(&self, call: Call, reply: oneshot::Sender<Reply>) -> u64 {
        let number = self.next.get() + 1;
        self.next.set(number);
        let stage = Stage::Queued(Box::new(call));
        let open = Open {
            reply,
            stage,
            replies_before: self.replies.get(),
        };
        self.open.borrow_mut().insert(number, open);
        self.to_encode.borrow_mut().push(number);
        self.work.notify_one();
        number
    }

    /// Gives a call up; returns the reason that it leaves behind.
    pub(crate) fn give_up(&self, number: u64) -> Reason {
        let Some(open) = self.open.borrow_mut().swap_remove(&number) else {
            return Reason::HostLost;
        };
        match open.stage {
            // It can't be encoded any more.
            Stage::Queued(_) => Reason::HostUnreachable,
            Stage::Encoded(_) => {
                self.to_cancel.borrow_mut().push(number);
                self.work.notify_one();
                Reason::HostLost
            }
        }
    }

    /// Gives up a call whose time is over; returns the reason that it leaves behind.
    ///
    /// The other side replies to each call within its time. If it has replied to none since the
    /// call was made, it has fallen silent, and the connection is closed before anything more is
    /// written: a call of which only a part was written is never read then.
    pub(crate) fn time_out(&self, number: u64) -> Reason {
        let written = self.written.get();
        let before = self.open.borrow().get(&number).map(|open| {
            let is_whole = matches!(open.stage, Stage::Encoded(end) if end <= written);
            (open.replies_before, is_whole)
        });
        let reason = self.give_up(number);
        let Some((replies, is_whole)) = before else {
            return reason;
        };
        if replies != self.replies.get() || reason != Reason::HostLost {
            return reason;
        }
        self.silent.notify_one();
        if is_whole {
            Reason::HostLost
        } else {
            Reason::HostUnreachable
        }
    }

    /// Ends all calls after the connection broke, or failed to open.
    pub(crate) fn fail(&self) {
        let written = self.written.get();
        for (_, open) in self.open.borrow_mut().drain(..) {
            let reason = match open.stage {
                Stage::Encoded(end) if end <= written => Reason::HostLost,
                // Less than a whole frame is never read as a request.
                Stage::Encoded(_) | Stage::Queued(_) => Reason::HostUnreachable,
            };
            // Nobody waits any more if this fails.
            let _ = open.reply.send(Reply::refused(reason));
        }
        self.to_encode.borrow_mut().clear();
        self.to_cancel.borrow_mut().clear();
        self.written.set(0);
        self.going.set(false);
    }

    /// Carries calls and replies until the connection ends.
    pub(crate) async fn run(&self, cx: &GateContext, stream: TcpStream) -> Result<(), FrameError> {
        let (read, write) = stream.into_split();
        tokio::select! {
            // First, so that nothing is written once calls count as not sent.
            biased;
            () = self.silent.notified() => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
            ended = self.read(read) => ended,
            ended = self.write(cx, write) => ended,
        }
    }

    async fn read(&self, read: OwnedReadHalf) -> Result<(), FrameError> {
        let mut reader = FramedRead::new(read, FrameCodec::<ReplyFrame>::default());
        while let Some(frame) = reader.next().await {
            let frame = frame?;
            self.going.set(self.going.get() || frame.call == GO_AWAY);
            self.replies.set(self.replies.get() + 1);
            let open = self.open.borrow_mut().swap_remove(&frame.call);
            // A reply to a call that was given up goes to nobody.
            if let Some(open) = open {
                let _ = open.reply.send(reply_from_wire(frame));
            }
            if self.going.get() && self.open() == 0 {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn write(&self, cx: &GateContext, mut write: OwnedWriteHalf) -> Result<(), FrameError> {
        let mut buf = BytesMut::with_capacity(WRITE_BYTES);
        let mut codec = FrameCodec::<DispatchFrame>::default();
        let mut encoded = 0;
        loop {
            self.encode(cx, &mut codec, &mut buf, &mut encoded)?;
            if buf.is_empty() {
                self.work.notified().await;
                continue;
            }
            let count = write.write_buf(&mut buf).await?;
            self.written.set(self.written.get() + count as u64);
        }
    }

    /// Encodes what waits, up to a buffer full.
    fn encode(
        &self,
        cx: &GateContext,
        codec: &mut FrameCodec<DispatchFrame>,
        buf: &mut BytesMut,
        encoded: &mut u64,
    ) -> Result<(), FrameError> {
        for number in self.to_cancel.borrow_mut().drain(..) {
            let cancel = DispatchMessage::Cancel(Cancel { call: number });
            *encoded += put(codec, buf, cancel)?;
        }
        let mut to_encode = self.to_encode.borrow_mut();
        let mut open = self.open.borrow_mut();
        let mut taken = 0;
        for number in to_encode.iter() {
            if buf.len() >= WRITE_BYTES {
                break;
            }
            taken += 1;
            // A call that was given up meanwhile is never sent.
            let Some(call) = open.get_mut(number) else {
                continue;
            };
            let Stage::Queued(queued) = &call.stage else {
                continue;
            };
            let request = call_to_wire(*number, queued, cx.now());
            if request.encoded_len() > MAX_ASK_BYTES {
                refuse(&mut open, *number, Reason::BodyTooLarge);
                continue;
            }
            *encoded += put(codec, buf, DispatchMessage::Request(request))?;
            call.stage = Stage::Encoded(*encoded);
        }
        to_encode.drain(..taken);
        Ok(())
    }
}

/// Ends a call that was not sent.
fn refuse(open: &mut IndexMap<u64, Open>, number: u64, reason: Reason) {
    if let Some(call) = open.swap_remove(&number) {
        // Nobody waits any more if this fails.
        let _ = call.reply.send(Reply::refused(reason));
    }
}

/// Encodes one message and returns the bytes that it takes.
fn put(
    codec: &mut FrameCodec<DispatchFrame>,
    buf: &mut BytesMut,
    ask: DispatchMessage,
) -> Result<u64, FrameError> {
    let before = buf.len();
    codec.encode(DispatchFrame { message: Some(ask) }, buf)?;
    Ok((buf.len() - before) as u64)
}
