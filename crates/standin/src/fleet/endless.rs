//! Answers of servers in trouble that never end.

use std::time::Instant;

use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::target::{ExecutedRequest, Shared};

/// Bytes that are written at once.
const PIECE_BYTES: usize = 16 << 10;
/// Largest head of a request that is read.
const REQUEST_BYTES: usize = 16 << 10;

/// Where the bytes without end are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessAnswer {
    /// Bytes that are no head.
    NoHead,
    /// One line of the head.
    HeaderLine,
    /// Lines of the head.
    HeaderLines,
    /// Heads that announce another head.
    InformationalHeads,
    /// A body that ends with the connection.
    UntilClosed,
    /// A body with a length that is never reached.
    LongLength,
    /// Chunks of a body.
    Chunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers of a body.
    Trailers,
}

impl EndlessAnswer {
    /// Returns what comes first.
    const fn start(self) -> &'static str {
        match self {
            Self::NoHead | Self::InformationalHeads => "",
            Self::HeaderLine => "HTTP/1.1 200 OK\r\nx-long: ",
            Self::HeaderLines => "HTTP/1.1 200 OK\r\n",
            Self::UntilClosed => "HTTP/1.1 200 OK\r\n\r\n",
            Self::LongLength => "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n",
            Self::Chunks => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            Self::ChunkExtension => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;",
            Self::Trailers => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
            }
        }
    }

    /// Returns what is repeated from then on.
    const fn repeated(self) -> &'static str {
        match self {
            Self::NoHead | Self::HeaderLine | Self::ChunkExtension => "x",
            Self::HeaderLines | Self::Trailers => "x-more: more\r\n",
            Self::InformationalHeads => "HTTP/1.1 102 Processing\r\n\r\n",
            Self::UntilClosed | Self::LongLength => "bytes",
            Self::Chunks => "5\r\nbytes\r\n",
        }
    }
}

/// Reads a request, runs it, and answers without end until the caller closes the connection.
pub(super) async fn serve(mut socket: TcpStream, shared: &Shared, answer: EndlessAnswer) {
    let Some(request) = read_request_id(&mut socket).await else {
        return;
    };
    shared.journal.add(ExecutedRequest {
        request,
        target: shared.id.clone(),
        incarnation: shared.incarnation,
        service: shared.settings.service.clone(),
        key: None,
        at: Instant::now(),
    });
    let piece = answer
        .repeated()
        .repeat(PIECE_BYTES / answer.repeated().len());
    let mut written = socket.write_all(answer.start().as_bytes()).await;
    while written.is_ok() {
        written = socket.write_all(piece.as_bytes()).await;
    }
}

/// Reads the head of a request and returns its id.
async fn read_request_id(socket: &mut TcpStream) -> Option<SmolStr> {
    let mut read = Vec::new();
    while !read.windows(4).any(|end| end == b"\r\n\r\n") {
        if read.len() > REQUEST_BYTES || socket.read_buf(&mut read).await.ok()? == 0 {
            return None;
        }
    }
    let head = String::from_utf8_lossy(&read).to_lowercase();
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("medlardyke-request-id:"))?;
    Some(SmolStr::new(id.trim()))
}
