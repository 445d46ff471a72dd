//! Control connections with other hosts.
//!
//! Both sides may open one. All of them are read; frames go out on the newest, and a host counts
//! as unreachable once the last is gone. Closing the older of two would let both sides close the
//! connection that the other one keeps.

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

/// Frames that may wait for one connection; more are dropped, as a lost heartbeat would be.
const RING_FRAMES: usize = 256;
/// Longest time for a connection to open and for the first frame to come.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Connection = Framed<Counted<TcpStream>, FrameCodec<Frame>>;

/// Number of a control connection in this run of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkNo(u64);

/// A connection that is up.
#[derive(Debug)]
pub(crate) struct Link {
    no: LinkNo,
    tx: mpsc::Sender<Frame>,
}

/// All control connections of a host.
#[derive(Debug)]
pub(crate) struct Links {
    input: InputTx,
    hello: Frame,
    traffic: Arc<Traffic>,
    next: u64,
    up: IndexMap<HostId, Vec<Link>>,
}

impl Links {
    /// Creates the empty set; `hello` is the first frame on each connection, and their bytes are
    /// added to `traffic`.
    pub(crate) fn new(input: InputTx, hello: Frame, traffic: Arc<Traffic>) -> Self {
        Self {
            input,
            hello,
            traffic,
            next: 0,
            up: IndexMap::new(),
        }
    }

    /// Accepts connections for the rest of the process's life.
    pub(crate) fn accept(&mut self, listener: TcpListener) {
        let input = self.input.clone();
        tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _peer)) => input.send(Input::LinkAccepted(stream)).await,
                    Err(_transient) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        });
    }

    /// Serves a connection that another host opened.
    pub(crate) fn accepted(&mut self, stream: TcpStream) {
        let no = self.number();
        let input = self.input.clone();
        let hello = self.hello.clone();
        let stream = Counted::new(stream, Arc::clone(&self.traffic));
        tokio::task::spawn_local(async move {
            if let Ok((conn, host, first)) = greet_back(stream, hello).await {
                serve(conn, no, host, first, &input).await;
            }
        });
    }

    /// Opens a connection to a host.
    pub(crate) fn connect(&mut self, host: HostId, addr: SocketAddr) {
        let no = self.number();
        let input = self.input.clone();
        let hello = self.hello.clone();
        let traffic = Arc::clone(&self.traffic);
        tokio::task::spawn_local(async move {
            match greet(addr, hello, &host, traffic).await {
                Ok((conn, first)) => serve(conn, no, host, first, &input).await,
                Err(e) => {
                    let refused = e.kind() == io::ErrorKind::ConnectionRefused;
                    input.send(Input::ConnectFailed { host, refused }).await;
                }
            }
        });
    }

    /// Takes in a connection that is up.
    pub(crate) fn add(&mut self, host: HostId, link: Link) {
        self.up.entry(host).or_default().push(link);
    }

    /// Forgets a connection; tells whether it was the last with that host.
    pub(crate) fn remove(&mut self, host: &HostId, no: LinkNo) -> bool {
        let Some(links) = self.up.get_mut(host) else {
            return false;
        };
        links.retain(|l| l.no != no);
        if !links.is_empty() {
            return false;
        }
        self.up.shift_remove(host).is_some()
    }

    /// Closes all connections with a host.
    pub(crate) fn disconnect(&mut self, host: &HostId) {
        self.up.shift_remove(host);
    }

    /// Sends a frame on the newest connection with a host; tells whether there was room.
    pub(crate) fn send(&self, to: &HostId, frame: Frame) -> bool {
        let newest = self.up.get(to).and_then(|links| links.last());
        newest.is_some_and(|l| l.tx.try_send(frame).is_ok())
    }

    fn number(&mut self) -> LinkNo {
        self.next += 1;
        LinkNo(self.next)
    }
}

async fn greet(
    addr: SocketAddr,
    hello: Frame,
    expected: &HostId,
    traffic: Arc<Traffic>,
) -> io::Result<(Connection, Frame)> {
    let stream = timeout(OPEN_TIMEOUT, TcpStream::connect(addr)).await??;
    let mut conn = frame(Counted::new(stream, traffic))?;
    conn.send(hello).await.map_err(io::Error::other)?;
    let first = first_frame(&mut conn).await?;
    if host_of(&first).as_ref() != Some(expected) {
        return Err(io::Error::other("another host answered"));
    }
    Ok((conn, first))
}

async fn greet_back(
    stream: Counted<TcpStream>,
    hello: Frame,
) -> io::Result<(Connection, HostId, Frame)> {
    let mut conn = frame(stream)?;
    let first = first_frame(&mut conn).await?;
    let host = host_of(&first).ok_or_else(|| io::Error::other("no hello"))?;
    conn.send(hello).await.map_err(io::Error::other)?;
    Ok((conn, host, first))
}

fn frame(stream: Counted<TcpStream>) -> io::Result<Connection> {
    stream.get_ref().set_nodelay(true)?;
    Ok(Framed::new(stream, FrameCodec::default()))
}

async fn first_frame(conn: &mut Connection) -> io::Result<Frame> {
    let next = timeout(OPEN_TIMEOUT, conn.next()).await?;
    next.ok_or(io::ErrorKind::UnexpectedEof)?
        .map_err(io::Error::other)
}

fn host_of(hello: &Frame) -> Option<HostId> {
    let Some(Body::Hello(hello)) = &hello.body else {
        return None;
    };
    HostId::new(hello.host.as_ref()?.host.as_str()).ok()
}

/// Carries frames both ways until the connection ends.
async fn serve(conn: Connection, no: LinkNo, host: HostId, first: Frame, input: &InputTx) {
    let (mut sink, mut stream) = conn.split();
    let (tx, mut rx) = mpsc::channel::<Frame>(RING_FRAMES);
    let up = Input::LinkUp {
        host: host.clone(),
        link: Link { no, tx },
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
    input.send(Input::LinkDown { host, no }).await;
}
