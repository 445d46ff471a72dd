//! Refuses requests that say in two ways where their body ends.
//!
//! A head with both `Content-Length` and `Transfer-Encoding` is read differently by different
//! programs, so that a second request can be hidden in its body. The HTTP library drops the length if
//! the encoding comes first, and nobody behind it can know. So the bytes are looked at on their way to
//! it: where the second of the two headers begins, its colon is struck out, and the library refuses
//! the head with 400 and closes the connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
/// Bytes of a header's name or value that are kept: more than the names above and any length have.
const WORD_MAX: usize = 24;
/// First line of an HTTP/2 connection, which is not looked at.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";
/// What replaces a colon: no name may hold it.
const STRUCK_OUT: u8 = 0;

/// Where in a connection's bytes the next one lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// In the first line of a head, or in blank lines before it.
    FirstLine,
    /// In the name of a header.
    Name,
    /// In the value of a header.
    Value,
    /// In a body with so many bytes left.
    Body(u64),
    /// In the length of a chunk.
    ChunkLength,
    /// Behind the length of a chunk, up to its line's end.
    ChunkExtension,
    /// In a chunk with so many bytes left.
    Chunk(u64),
    /// In the line end after a chunk.
    ChunkEnd,
    /// In the lines after the last chunk; tells whether the present one is empty so far.
    Trailer {
        /// Whether the line is empty so far.
        is_empty: bool,
    },
    /// In bytes that are no HTTP/1.
    Opaque,
}

/// Follows the requests of one connection.
#[derive(Debug)]
pub struct Framing {
    place: Place,
    /// The begin of the present name, value or first line, in lower case for names.
    word: Vec<u8>,
    /// What the present value says.
    is_length: bool,
    length: Option<u64>,
    is_encoded: bool,
    chunk: u64,
}

impl Default for Framing {
    fn default() -> Self {
        Self {
            place: Place::FirstLine,
            word: Vec::with_capacity(WORD_MAX),
            is_length: false,
            length: None,
            is_encoded: false,
            chunk: 0,
        }
    }
}

impl Framing {
    /// Looks at the next bytes, and strikes out what contradicts an earlier header.
    pub fn look(&mut self, bytes: &mut [u8]) {
        let mut at = 0;
        while at < bytes.len() {
            let rest = bytes.len() - at;
            match self.place {
                Place::Opaque => return,
                Place::Body(left) => {
                    let skipped = within(left, rest);
                    self.place = after_body(left - skipped as u64);
                    at += skipped;
                }
                Place::Chunk(left) => {
                    let skipped = within(left, rest);
                    self.place = after_chunk(left - skipped as u64);
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
        match self.place {
            Place::FirstLine => self.first_line(*byte),
            Place::Name => self.name(byte),
            Place::Value => self.value(*byte),
            Place::ChunkLength | Place::ChunkExtension => self.chunk_length(*byte),
            Place::ChunkEnd if *byte == b'\n' => self.place = Place::ChunkLength,
            Place::Trailer { is_empty } => self.trailer(*byte, is_empty),
            Place::ChunkEnd | Place::Body(_) | Place::Chunk(_) | Place::Opaque => {}
        }
    }

    fn first_line(&mut self, byte: u8) {
        if byte != b'\n' {
            self.keep(byte);
            return;
        }
        let is_blank = self.word.iter().all(|&b| b == b'\r');
        if self.word.starts_with(HTTP2_PREFACE) {
            self.place = Place::Opaque;
        } else if !is_blank {
            self.place = Place::Name;
            (self.length, self.is_encoded) = (None, false);
        }
        self.word.clear();
    }

    fn name(&mut self, byte: &mut u8) {
        match *byte {
            b'\n' => self.head_ended(),
            b':' => {
                self.is_length = self.word == CONTENT_LENGTH;
                let is_encoding = self.word == TRANSFER_ENCODING;
                let contradicts =
                    (self.is_length && self.is_encoded) || (is_encoding && self.length.is_some());
                if contradicts {
                    *byte = STRUCK_OUT;
                    self.place = Place::Opaque;
                    return;
                }
                self.is_encoded |= is_encoding;
                self.word.clear();
                self.place = Place::Value;
            }
            other => self.keep(other.to_ascii_lowercase()),
        }
    }

    fn value(&mut self, byte: u8) {
        if byte != b'\n' {
            if self.is_length && !byte.is_ascii_whitespace() {
                self.keep(byte);
            }
            return;
        }
        if self.is_length {
            // The library refuses what is no number.
            let text = std::str::from_utf8(&self.word).unwrap_or_default();
            self.length = Some(text.parse().unwrap_or_default());
        }
        self.word.clear();
        self.place = Place::Name;
    }

    fn head_ended(&mut self) {
        self.word.clear();
        self.place = match (self.is_encoded, self.length) {
            (true, _) => Place::ChunkLength,
            (false, Some(length)) => after_body(length),
            (false, None) => Place::FirstLine,
        };
    }

    fn chunk_length(&mut self, byte: u8) {
        let digit = char::from(byte).to_digit(16);
        match (self.place, byte, digit) {
            (_, b'\n', _) => {
                self.place = match std::mem::take(&mut self.chunk) {
                    0 => Place::Trailer { is_empty: true },
                    length => Place::Chunk(length),
                };
            }
            (Place::ChunkLength, _, Some(digit)) => {
                self.chunk = self.chunk.saturating_mul(16).saturating_add(digit.into());
            }
            _ => self.place = Place::ChunkExtension,
        }
    }

    fn trailer(&mut self, byte: u8, is_empty: bool) {
        self.place = match byte {
            b'\n' if is_empty => Place::FirstLine,
            b'\n' => Place::Trailer { is_empty: true },
            b'\r' => Place::Trailer { is_empty },
            _ => Place::Trailer { is_empty: false },
        };
    }

    fn keep(&mut self, byte: u8) {
        if self.word.len() < WORD_MAX {
            self.word.push(byte);
        }
    }
}

/// Returns how many of `left` bytes lie among the next `rest`.
fn within(left: u64, rest: usize) -> usize {
    usize::try_from(left).map_or(rest, |left| left.min(rest))
}

const fn after_body(left: u64) -> Place {
    match left {
        0 => Place::FirstLine,
        left => Place::Body(left),
    }
}

const fn after_chunk(left: u64) -> Place {
    match left {
        0 => Place::ChunkEnd,
        left => Place::Chunk(left),
    }
}

/// A caller's stream whose requests are looked at while they are read.
#[derive(Debug)]
pub struct FramedRequests<S> {
    inner: S,
    framing: Framing,
}

impl<S> FramedRequests<S> {
    /// Wraps a stream of which nothing was read yet.
    #[must_use]
    pub fn new(inner: S) -> Self {
        Self {
            inner,
            framing: Framing::default(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FramedRequests<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.framing.look(&mut buf.filled_mut()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FramedRequests<S> {
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
