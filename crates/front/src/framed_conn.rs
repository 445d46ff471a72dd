//! Connections between hosts that carry messages.

use std::io;

use prost::Message;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite};
use wire::{FrameCodec, MAX_FRAME_BYTES};

/// The two directions of a connection: messages of type `In` are received, those of type `Out` are
/// sent.
#[derive(Debug)]
pub(crate) struct FramedConn<In, Out> {
    pub(crate) incoming: FramedRead<OwnedReadHalf, FrameCodec<In>>,
    pub(crate) outgoing: FramedWrite<OwnedWriteHalf, FrameCodec<Out>>,
}

impl<In: Message + Default, Out: Message + Default> FramedConn<In, Out> {
    /// Wraps a connection whose messages have the usual size limit.
    pub(crate) fn new(stream: TcpStream) -> io::Result<Self> {
        Self::with_limit(stream, MAX_FRAME_BYTES)
    }

    /// Wraps a connection whose messages have at most `bytes`.
    pub(crate) fn with_limit(stream: TcpStream, bytes: usize) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Self {
            incoming: FramedRead::new(read, FrameCodec::with_limit(bytes)),
            outgoing: FramedWrite::new(write, FrameCodec::with_limit(bytes)),
        })
    }
}
