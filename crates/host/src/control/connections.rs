//! Control connections with other hosts.
//!
//! Both sides may open a connection. Frames are read from all connections and sent on the newest; a
//! host counts as unreachable once the last one is closed. If both sides closed the older of two
//! connections, each could close the one that the other keeps.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use ids::HostId;
use indexmap::IndexMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use wire::control::{Body, Frame};
use wire::{Counted, FrameCodec, Traffic};

use super::input::{Input, InputTx};

/// Capacity of the channel for frames to one connection. Further frames are dropped, which has the
/// effect of a lost heartbeat.
const FRAME_CAPACITY: usize = 256;
/// Timeout for opening a connection, and for the arrival of its first frame.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after the operating system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type FramedStream = Framed<Counted<TcpStream>, FrameCodec<Frame>>;

/// Number of a control connection, unique within this incarnation of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionNo(u64);

/// An established control connection.
#[derive(Debug)]
pub(crate) struct ControlConnection {
    no: ConnectionNo,
    tx: mpsc::Sender<Frame>,
}

/// All control connections of a host.
#[derive(Debug)]
pub(crate) struct ControlConnections {
    input: InputTx,
    hello: Frame,
    traffic: Arc<Traffic>,
    last_no: u64,
    by_host: IndexMap<HostId, Vec<ControlConnection>>,
}

impl ControlConnections {
    /// Creates the empty set. `hello` is the first frame sent on each connection; the bytes of all
    /// connections are added to `traffic`.
    pub(crate) fn new(input: InputTx, hello: Frame, traffic: Arc<Traffic>) -> Self {
        Self {
            input,
            hello,
            traffic,
            last_no: 0,
            by_host: IndexMap::new(),
        }
    }

    /// Accepts connections until the control thread ends.
    pub(crate) fn accept(&mut self, listener: TcpListener) {
        let input = self.input.clone();
        tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _peer)) => input.send(Input::ConnectionAccepted(stream)).await,
                    Err(_transient) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        });
    }

    /// Serves a connection that another host opened.
    pub(crate) fn accepted(&mut self, stream: TcpStream) {
        let no = self.next_no();
        let input = self.input.clone();
        let hello = self.hello.clone();
        let stream = Counted::new(stream, Arc::clone(&self.traffic));
        tokio::task::spawn_local(async move {
            if let Ok((conn, host, first)) = complete_accept(stream, hello).await {
                serve(conn, no, host, first, &input).await;
            }
        });
    }

    /// Opens a connection to a host.
    pub(crate) fn connect(&mut self, host: HostId, addr: SocketAddr) {
        let no = self.next_no();
        let input = self.input.clone();
        let hello = self.hello.clone();
        let traffic = Arc::clone(&self.traffic);
        tokio::task::spawn_local(async move {
            match open(addr, hello, &host, traffic).await {
                Ok((conn, first)) => serve(conn, no, host, first, &input).await,
                Err(e) => {
                    let refused = e.kind() == io::ErrorKind::ConnectionRefused;
                    input.send(Input::ConnectFailed { host, refused }).await;
                }
            }
        });
    }

    /// Adds an established connection.
    pub(crate) fn add(&mut self, host: HostId, connection: ControlConnection) {
        self.by_host.entry(host).or_default().push(connection);
    }

    /// Removes a connection. Returns whether it was the last one with that host.
    pub(crate) fn remove(&mut self, host: &HostId, no: ConnectionNo) -> bool {
        let Some(connections) = self.by_host.get_mut(host) else {
            return false;
        };
        connections.retain(|c| c.no != no);
        if !connections.is_empty() {
            return false;
        }
        self.by_host.shift_remove(host).is_some()
    }

    /// Closes all connections with a host.
    pub(crate) fn disconnect(&mut self, host: &HostId) {
        self.by_host.shift_remove(host);
    }

    /// Sends a frame on the newest connection with a host. Returns whether the frame was queued.
    pub(crate) fn send(&self, to: &HostId, frame: Frame) -> bool {
        let newest = self
            .by_host
            .get(to)
            .and_then(|connections| connections.last());
        newest.is_some_and(|c| c.tx.try_send(frame).is_ok())
    }

    fn next_no(&mut self) -> ConnectionNo {
        self.last_no += 1;
        ConnectionNo(self.last_no)
    }
}

async fn open(
    addr: SocketAddr,
    hello: Frame,
    expected: &HostId,
    traffic: Arc<Traffic>,
) -> io::Result<(FramedStream, Frame)> {
    let stream = timeout(OPEN_TIMEOUT, TcpStream::connect(addr)).await??;
    let mut conn = framed(Counted::new(stream, traffic))?;
    conn.send(hello).await.map_err(io::Error::other)?;
    let first = first_frame(&mut conn).await?;
    if hello_host(&first).as_ref() != Some(expected) {
        return Err(io::Error::other("a different host answered"));
    }
    Ok((conn, first))
}

async fn complete_accept(
    stream: Counted<TcpStream>,
    hello: Frame,
) -> io::Result<(FramedStream, HostId, Frame)> {
    let mut conn = framed(stream)?;
    let first = first_frame(&mut conn).await?;
    let host =
        hello_host(&first).ok_or_else(|| io::Error::other("the first frame is not a hello"))?;
    conn.send(hello).await.map_err(io::Error::other)?;
    Ok((conn, host, first))
}

fn framed(stream: Counted<TcpStream>) -> io::Result<FramedStream> {
    stream.get_ref().set_nodelay(true)?;
    Ok(Framed::new(stream, FrameCodec::default()))
}

async fn first_frame(conn: &mut FramedStream) -> io::Result<Frame> {
    let next = timeout(OPEN_TIMEOUT, conn.next()).await?;
    next.ok_or(io::ErrorKind::UnexpectedEof)?
        .map_err(io::Error::other)
}

fn hello_host(hello: &Frame) -> Option<HostId> {
    let Some(Body::Hello(hello)) = &hello.body else {
        return None;
    };
    HostId::new(hello.host.as_ref()?.host.as_str()).ok()
}

/// Sends and receives frames until the connection ends.
async fn serve(conn: FramedStream, no: ConnectionNo, host: HostId, first: Frame, input: &InputTx) {
    let (mut sink, mut stream) = conn.split();
    let (tx, mut rx) = mpsc::channel::<Frame>(FRAME_CAPACITY);
    let up = Input::ConnectionUp {
        host: host.clone(),
        connection: ControlConnection { no, tx },
        first,
    };
    input.send(up).await;
    loop {
        tokio::select! {
            frame = rx.recv() => {
                let Some(frame) = frame else { break };
                if sink.send(frame).await.is_err() {
                    break;
                }
            }
            frame = stream.next() => {
                let Some(Ok(frame)) = frame else { break };
                let from = host.clone();
                input.send(Input::Frame { from, frame }).await;
            }
        }
    }
    input.send(Input::ConnectionDown { host, no }).await;
}
