//! Receives calls of other hosts.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use ids::Reason;
use indexmap::IndexMap;
use prost::Message;
use route::CallKey;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::dispatch::{Cancel, DispatchFrame, DispatchMessage, Reply as ReplyFrame, Request};
use wire::{FrameCodec, FrameError, MAX_FRAME_BYTES};

use crate::call::{Reply, call_from_wire, reply_to_wire};
use crate::context::GateContext;
use crate::counters::Count;
use crate::dispatch::DispatchTx;
use crate::dispatch::channels::{NumberedReply, ReplyTo};
use crate::peer::GO_AWAY;
use crate::settings::DispatchSettings;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time for clients to close their connections when the server closes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of replies written between two flushes.
const BATCH: usize = 64;

type MessageReader = FramedRead<OwnedReadHalf, FrameCodec<DispatchFrame>>;
type ReplyWriter = FramedWrite<OwnedWriteHalf, FrameCodec<ReplyFrame>>;

/// State shared by all connections of the server.
#[derive(Debug)]
struct Shared {
    cx: Arc<GateContext>,
    calls: DispatchTx,
    outstanding: usize,
    leaving: Cell<bool>,
    closed: CancellationToken,
    links: TaskTracker,
}

/// The server for calls of other hosts.
#[derive(Debug)]
pub struct PeerServer;

/// Handle to drain and close a server.
#[derive(Debug)]
pub struct PeerServerHandle(Rc<Shared>);

impl PeerServer {
    /// Starts a server as a local task of the current thread.
    pub(crate) fn start(
        listener: std::net::TcpListener,
        settings: &DispatchSettings,
        cx: Arc<GateContext>,
        calls: DispatchTx,
    ) -> PeerServerHandle {
        let shared = Rc::new(Shared {
            cx,
            calls,
            outstanding: settings.outstanding as usize,
            leaving: Cell::new(false),
            closed: CancellationToken::new(),
            links: TaskTracker::new(),
        });
        tokio::task::spawn_local(accept(listener, Rc::clone(&shared)));
        PeerServerHandle(shared)
    }
}

impl PeerServerHandle {
    /// Refuses new calls from now on; calls in flight continue.
    pub fn refuse_new_calls(&self) {
        self.0.leaving.set(true);
    }

    /// Closes all connections once the clients have all replies, or after a short timeout.
    pub async fn close(self) {
        self.refuse_new_calls();
        self.0.closed.cancel();
        self.0.links.close();
        // After the timeout, the clients of the open connections are unresponsive.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.0.links.wait()).await;
    }
}

async fn accept(listener: std::net::TcpListener, shared: Rc<Shared>) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            slog::error!(shared.cx.log, "dispatch listener failed"; "error" => %e);
            return;
        }
    };
    let closed = shared.closed.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed.cancelled() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let link = serve(stream, peer, Rc::clone(&shared));
                shared.links.spawn_local(link);
            }
            Err(e) => {
                slog::warn!(shared.cx.log, "accept of a host's connection failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends; calls then still in flight count as abandoned.
async fn serve(stream: TcpStream, peer: SocketAddr, shared: Rc<Shared>) {
    if let Err(e) = stream.set_nodelay(true) {
        slog::debug!(shared.cx.log, "setting TCP_NODELAY failed"; "peer" => %peer, "error" => %e);
    }
    let log = shared.cx.log.clone();
    let metrics = Arc::clone(&shared.cx.metrics);
    let ended = Link::run(shared, stream).await;
    if let Err(e) = ended {
        if matches!(e, FrameError::Decode(_)) {
            metrics.count(Count::PeerGarbage);
        }
        slog::info!(log, "connection of a host ended"; "peer" => %peer, "error" => %e);
    }
}

/// One connection.
struct Link {
    shared: Rc<Shared>,
    replies: mpsc::UnboundedSender<NumberedReply>,
    /// Calls without a reply, by call number.
    open: RefCell<IndexMap<u64, CallKey>>,
    /// Lower bound of the unwritten replies to calls that are not open.
    unwritten: Cell<usize>,
}

impl Link {
    /// Serves until either direction ends.
    async fn run(shared: Rc<Shared>, stream: TcpStream) -> Result<(), FrameError> {
        let (read, write) = stream.into_split();
        // Bounded by the limit of calls without a reply.
        let (replies, rx) = mpsc::unbounded_channel();
        let link = Self {
            shared,
            replies,
            open: RefCell::default(),
            unwritten: Cell::new(0),
        };
        let reader = FramedRead::new(read, FrameCodec::default());
        let writer = FramedWrite::new(write, FrameCodec::default());
        let mut read = std::pin::pin!(link.read(reader));
        let mut write = std::pin::pin!(link.write(writer, rx));
        let mut closing = false;
        loop {
            tokio::select! {
                ended = &mut read => return ended,
                ended = &mut write => return ended,
                () = link.shared.closed.cancelled(), if !closing => {
                    closing = true;
                    link.go_away();
                }
            }
        }
    }

    /// Asks the client to close the connection once it has all replies; calls that still arrive
    /// are refused.
    fn go_away(&self) {
        debug_assert!(
            self.shared.leaving.get(),
            "a server refuses new calls before it closes"
        );
        let reply = Reply::refused(Reason::Leaving);
        let number = GO_AWAY;
        // Fails only once the connection has ended.
        let _ = self.replies.send(NumberedReply { number, reply });
    }

    async fn read(&self, mut reader: MessageReader) -> Result<(), FrameError> {
        while let Some(frame) = reader.next().await {
            match frame?.message {
                Some(DispatchMessage::Request(request)) => self.request(request)?,
                Some(DispatchMessage::Cancel(cancel)) => self.cancel(cancel),
                // A message of a later version, which is ignored.
                None => {}
            }
        }
        Ok(())
    }

    async fn write(
        &self,
        mut writer: ReplyWriter,
        mut rx: mpsc::UnboundedReceiver<NumberedReply>,
    ) -> Result<(), FrameError> {
        let mut batch = Vec::with_capacity(BATCH);
        while rx.recv_many(&mut batch, BATCH).await > 0 {
            for NumberedReply { number, reply } in batch.drain(..) {
                self.written(number);
                let mut frame = reply_to_wire(number, reply);
                if frame.encoded_len() > MAX_FRAME_BYTES {
                    frame = reply_to_wire(number, Reply::refused(Reason::AnswerTooLarge));
                }
                writer.feed(frame).await?;
            }
            writer.flush().await?;
        }
        Ok(())
    }

    /// Records that the reply to a call is being written.
    fn written(&self, number: u64) {
        let was_open = self.open.borrow_mut().swap_remove(&number).is_some();
        if !was_open {
            self.unwritten.set(self.unwritten.get().saturating_sub(1));
        }
    }

    fn request(&self, request: Request) -> Result<(), FrameError> {
        let number = request.call;
        let queued = self.enqueue(request);
        if let Err(reason) = queued {
            if self.unwritten.get() > self.shared.outstanding {
                return Err(io::Error::other("replies are not read").into());
            }
            self.unwritten.set(self.unwritten.get() + 1);
            let mut reply = Reply::refused(reason);
            if let Err(refusal) = &mut reply.result {
                refusal.revision = self.shared.cx.router.load().revision();
            }
            // Fails only once the connection has ended.
            let _ = self.replies.send(NumberedReply { number, reply });
        }
        Ok(())
    }

    fn enqueue(&self, request: Request) -> Result<(), Reason> {
        let shared = &self.shared;
        if shared.leaving.get() {
            return Err(Reason::Leaving);
        }
        if self.open.borrow().len() >= shared.outstanding {
            return Err(Reason::QueueFull);
        }
        let number = request.call;
        let now = shared.cx.now();
        let call = call_from_wire(request, now).ok_or(Reason::BadRequest)?;
        let reply = ReplyTo::Link {
            number,
            tx: self.replies.clone(),
        };
        let key = shared.calls.send_call(call, reply)?;
        shared.cx.metrics.count(Count::HandedIn);
        self.open.borrow_mut().insert(number, key);
        Ok(())
    }

    fn cancel(&self, cancel: Cancel) {
        let key = self.open.borrow_mut().swap_remove(&cancel.call);
        if let Some(key) = key {
            self.shared.calls.caller_gone(key);
        }
    }
}

impl Drop for Link {
    /// Marks the calls still in flight as abandoned: their replies can't be sent any more.
    fn drop(&mut self) {
        for key in self.open.borrow().values() {
            self.shared.calls.caller_gone(*key);
        }
    }
}
