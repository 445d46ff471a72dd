//! Servers that answer requests twice. The second answer arrives late, when the same request comes again on
//! that connection.

use std::collections::HashSet;
use std::sync::Mutex;

use smol_str::SmolStr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;

use super::target::{Shared, lock};

/// Largest head of a message that is read.
const HEAD_BYTES: usize = 16 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The answer to the first sending of each request, which is sent twice; the request does not run.
/// Further sendings of it are answered as usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatedAnswer {
    /// A refusal.
    NotRun,
    /// A refusal without the request's id.
    NotRunWithoutId,
    /// A refusal because the server does not hold the key.
    Misdirected,
    /// A failure of the server's own.
    Failed,
    /// A head that announces another head, before a refusal. Only the former is repeated.
    Interim,
}

impl RepeatedAnswer {
    /// Returns the answer to the request `id`, and what is repeated of it.
    fn to_request(self, id: &str) -> (String, String) {
        let refusal = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nmedlardyke-not-executed: 1\r\nmedlardyke-request-id: {id}\r\n\
                 content-length: 0\r\n\r\n"
            )
        };
        let without_id =
            "HTTP/1.1 503 Full\r\nmedlardyke-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
        let failure = format!(
            "HTTP/1.1 500 Failed\r\nmedlardyke-response-seal: {id}\r\n\
             medlardyke-request-id: {id}\r\ncontent-length: 0\r\n\r\n"
        );
        let interim = format!("HTTP/1.1 103 Early Hints\r\nmedlardyke-request-id: {id}\r\n\r\n");
        let twice = |answer: String| (answer.clone(), answer);
        match self {
            Self::NotRun => twice(refusal("503 Full")),
            Self::NotRunWithoutId => twice(without_id.to_owned()),
            Self::Misdirected => twice(refusal("421 Misdirected Request")),
            Self::Failed => twice(failure),
            Self::Interim => (format!("{interim}{}", refusal("503 Full")), interim),
        }
    }
}

/// Ids of the requests that were answered once.
#[derive(Debug, Default)]
pub(super) struct AnsweredIds(Mutex<HashSet<SmolStr>>);

/// A message, read whole.
struct Message {
    bytes: Vec<u8>,
    /// The head in lower case.
    head: String,
}

impl Message {
    /// Reads a message that declares the length of its body, or has none.
    async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Option<Self> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(HEAD_END) {
            if bytes.len() > HEAD_BYTES {
                return None;
            }
            bytes.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8_lossy(&bytes).to_lowercase();
        let mut message = Self { bytes, head };
        let length = message
            .header("content-length")
            .and_then(|v| v.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        stream.read_exact(&mut body).await.ok()?;
        message.bytes.extend(body);
        Some(message)
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim()))
    }

    /// Returns the id, unless the message is a grant call.
    fn request_id(&self) -> Option<SmolStr> {
        let path = self.head.split(' ').nth(1)?;
        let id = self.header("medlardyke-request-id")?;
        (!path.starts_with("/api/")).then(|| SmolStr::new(id))
    }
}

/// Serves a connection; `server` leads to the server without the fault.
pub(super) async fn serve(
    mut socket: TcpStream,
    mut server: DuplexStream,
    shared: &Shared,
    answer: RepeatedAnswer,
) -> Option<()> {
    let mut late: Option<(SmolStr, String)> = None;
    loop {
        let request = Message::read(&mut socket).await?;
        let id = request.request_id();
        if let Some((_, text)) = late.take().filter(|(of, _)| id.as_ref() == Some(of)) {
            socket.write_all(text.as_bytes()).await.ok()?;
        }
        let is_first = |id: &SmolStr| lock(&shared.answered_ids.0).insert(id.clone());
        if let Some(id) = id.filter(is_first) {
            let (text, repeated) = answer.to_request(&id);
            late = Some((id.clone(), repeated));
            shared.record_arrival(Some(id));
            socket.write_all(text.as_bytes()).await.ok()?;
            continue;
        }
        server.write_all(&request.bytes).await.ok()?;
        let response = Message::read(&mut server).await?;
        socket.write_all(&response.bytes).await.ok()?;
    }
}
