//! Refuses requests with two contradictory body lengths.
//!
//! Implementations interpret a head with both `Content-Length` and `Transfer-Encoding` differently,
//! which allows request smuggling: a second request can be hidden in the body. The HTTP library
//! drops the length if the encoding comes first, so code behind the library can't detect the case.
//! Therefore the bytes are scanned before the library reads them. The colon of the second of the
//! two headers is overwritten, so that the library refuses the head with 400 and closes the connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
/// Bytes kept of a header's name or value: more than the names above and any length have.
const MAX_TOKEN_BYTES: usize = 24;
/// First line of an HTTP/2 connection, which is not scanned.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";
/// Replaces a colon; not valid in a header name.
const INVALID_NAME_BYTE: u8 = 0;

/// The element of the protocol that the next byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// In the first line of a head, or in blank lines before it.
    FirstLine,
    /// In the name of a header.
    Name,
    /// In the value of a header.
    Value,
    /// In a body; holds the number of bytes left.
    Body(u64),
    /// In the length of a chunk.
    ChunkLength,
    /// After the length of a chunk, up to the end of the line.
    ChunkExtension,
    /// In a chunk; holds the number of bytes left.
    Chunk(u64),
    /// In the line end after a chunk.
    ChunkEnd,
    /// In the lines after the last chunk.
    Trailer {
        /// Whether the current line is empty so far.
        is_empty: bool,
    },
    /// In bytes that are not HTTP/1.
    Opaque,
}

/// Scans the requests of one connection.
#[derive(Debug)]
pub struct FramingScanner {
    position: Position,
    /// The beginning of the current name, value or first line; names are in lower case.
    token: Vec<u8>,
    /// Whether the current value is a content length.
    is_length: bool,
    length: Option<u64>,
    is_encoded: bool,
    chunk: u64,
}

impl Default for FramingScanner {
    fn default() -> Self {
        Self {
            position: Position::FirstLine,
            token: Vec::with_capacity(MAX_TOKEN_BYTES),
            is_length: false,
            length: None,
            is_encoded: false,
            chunk: 0,
        }
    }
}

impl FramingScanner {
    /// Returns whether a head has begun and is incomplete.
    #[must_use]
    pub fn is_in_head(&self) -> bool {
        match self.position {
            Position::FirstLine => !self.token.is_empty(),
            Position::Name | Position::Value => true,
            _ => false,
        }
    }

    /// Scans the next bytes, and invalidates a header that contradicts an earlier one.
    pub fn scan(&mut self, bytes: &mut [u8]) {
        let mut at = 0;
        while at < bytes.len() {
            let rest = bytes.len() - at;
            match self.position {
                Position::Opaque => return,
                Position::Body(left) => {
                    let skipped = bytes_within(left, rest);
                    self.position = after_body(left - skipped as u64);
                    at += skipped;
                }
                Position::Chunk(left) => {
                    let skipped = bytes_within(left, rest);
                    self.position = after_chunk(left - skipped as u64);
                    at += skipped;
                }
                _ => {
                    self.step(&mut bytes[at]);
                    at += 1;
                }
            }
        }
    }

    fn step(&mut self, byte: &mut u8) {
        match self.position {
            Position::FirstLine => self.first_line(*byte),
            Position::Name => self.name(byte),
            Position::Value => self.value(*byte),
            Position::ChunkLength | Position::ChunkExtension => self.chunk_length(*byte),
            Position::ChunkEnd if *byte == b'\n' => self.position = Position::ChunkLength,
            Position::Trailer { is_empty } => self.trailer(*byte, is_empty),
            Position::ChunkEnd | Position::Body(_) | Position::Chunk(_) | Position::Opaque => {}
        }
    }

    fn first_line(&mut self, byte: u8) {
        if byte != b'\n' {
            self.push_token(byte);
            return;
        }
        let is_blank = self.token.iter().all(|&b| b == b'\r');
        if self.token.starts_with(HTTP2_PREFACE) {
            self.position = Position::Opaque;
        } else if !is_blank {
            self.position = Position::Name;
            (self.length, self.is_encoded) = (None, false);
        }
        self.token.clear();
    }

    fn name(&mut self, byte: &mut u8) {
        match *byte {
            b'\n' => self.head_ended(),
            b':' => {
                self.is_length = self.token == CONTENT_LENGTH;
                let is_encoding = self.token == TRANSFER_ENCODING;
                let contradicts =
                    (self.is_length && self.is_encoded) || (is_encoding && self.length.is_some());
                if contradicts {
                    *byte = INVALID_NAME_BYTE;
                    self.position = Position::Opaque;
                    return;
                }
                self.is_encoded |= is_encoding;
                self.token.clear();
                self.position = Position::Value;
            }
            other => self.push_token(other.to_ascii_lowercase()),
        }
    }

    fn value(&mut self, byte: u8) {
        if byte != b'\n' {
            if self.is_length && !byte.is_ascii_whitespace() {
                self.push_token(byte);
            }
            return;
        }
        if self.is_length {
            // The library refuses a length that is not a number.
            let text = std::str::from_utf8(&self.token).unwrap_or_default();
            self.length = Some(text.parse().unwrap_or_default());
        }
        self.token.clear();
        self.position = Position::Name;
    }

    fn head_ended(&mut self) {
        self.token.clear();
        self.position = match (self.is_encoded, self.length) {
            (true, _) => Position::ChunkLength,
            (false, Some(length)) => after_body(length),
            (false, None) => Position::FirstLine,
        };
    }

    fn chunk_length(&mut self, byte: u8) {
        let digit = char::from(byte).to_digit(16);
        match (self.position, byte, digit) {
            (_, b'\n', _) => {
                self.position = match std::mem::take(&mut self.chunk) {
                    0 => Position::Trailer { is_empty: true },
                    length => Position::Chunk(length),
                };
            }
            (Position::ChunkLength, _, Some(digit)) => {
                self.chunk = self.chunk.saturating_mul(16).saturating_add(digit.into());
            }
            _ => self.position = Position::ChunkExtension,
        }
    }

    fn trailer(&mut self, byte: u8, is_empty: bool) {
        self.position = match byte {
            b'\n' if is_empty => Position::FirstLine,
            b'\n' => Position::Trailer { is_empty: true },
            b'\r' => Position::Trailer { is_empty },
            _ => Position::Trailer { is_empty: false },
        };
    }

    fn push_token(&mut self, byte: u8) {
        if self.token.len() < MAX_TOKEN_BYTES {
            self.token.push(byte);
        }
    }
}

/// Returns how many of the `left` bytes are among the next `rest` bytes.
fn bytes_within(left: u64, rest: usize) -> usize {
    usize::try_from(left).map_or(rest, |left| left.min(rest))
}

const fn after_body(left: u64) -> Position {
    match left {
        0 => Position::FirstLine,
        left => Position::Body(left),
    }
}

const fn after_chunk(left: u64) -> Position {
    match left {
        0 => Position::ChunkEnd,
        left => Position::Chunk(left),
    }
}

/// A caller's stream whose requests are scanned while they are read.
#[derive(Debug)]
pub struct ScannedStream<S> {
    inner: S,
    framing: FramingScanner,
    /// Longest time for a head to arrive after its first byte.
    head_timeout: Duration,
    /// Timer of the head that is arriving, if any.
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> ScannedStream<S> {
    /// Wraps a stream that has not been read from. A read fails with
    /// [`io::ErrorKind::TimedOut`] if a head has not arrived `head_timeout` after its first byte.
    #[must_use]
    pub fn new(inner: S, head_timeout: Duration) -> Self {
        Self {
            inner,
            framing: FramingScanner::default(),
            head_timeout,
            head_timer: None,
        }
    }

    fn update_head_timer(&mut self) {
        if !self.framing.is_in_head() {
            self.head_timer = None;
            return;
        }
        let timeout = self.head_timeout;
        self.head_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
    }

    /// Fails a pending read once the head that is arriving has timed out.
    fn poll_head_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(timer) = &mut self.head_timer else {
            return Poll::Pending;
        };
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ScannedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let Poll::Ready(read) = Pin::new(&mut self.inner).poll_read(cx, buf) else {
            return self.poll_head_timer(cx);
        };
        read?;
        self.framing.scan(&mut buf.filled_mut()[before..]);
        self.update_head_timer();
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ScannedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
