//! An upstream whose behaviour is controlled by the request's `x-act` header.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request received by the upstream.
#[derive(Debug, Clone, Default)]
pub struct ReceivedRequest {
    /// Request line.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Number of the connection.
    pub connection: usize,
}

impl ReceivedRequest {
    /// Returns a header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Record of the requests and connections of an upstream.
#[derive(Debug, Default)]
pub struct Journal {
    /// Requests, in order.
    pub seen: Vec<ReceivedRequest>,
    /// Number of connections opened.
    pub opened: usize,
    /// Number of connections closed by the other side before their answer was sent.
    pub aborted: usize,
}

/// A misbehaving upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    pub address: SocketAddr,
    pub journal: Arc<Mutex<Journal>>,
}

impl Upstream {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let journal = Arc::new(Mutex::new(Journal::default()));
        let shared = Arc::clone(&journal);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        Self { address, journal }
    }

    /// Returns how often the request with this id was received.
    pub fn times(&self, id: &str) -> usize {
        let journal = self.journal.lock().expect("journal");
        let with_id = |s: &&ReceivedRequest| s.header("medlardyke-request-id") == id;
        journal.seen.iter().filter(with_id).count()
    }

    pub fn last(&self) -> ReceivedRequest {
        let journal = self.journal.lock().expect("journal");
        journal.seen.last().cloned().unwrap_or_default()
    }

    pub fn opened(&self) -> usize {
        self.journal.lock().expect("journal").opened
    }

    pub fn aborted(&self) -> usize {
        self.journal.lock().expect("journal").aborted
    }
}

async fn serve(mut stream: TcpStream, journal: Arc<Mutex<Journal>>) {
    let connection = {
        let mut journal = journal.lock().expect("journal");
        journal.opened += 1;
        journal.opened
    };
    let mut buf = Vec::new();
    while let Some(mut seen) = read_request(&mut stream, &mut buf).await {
        seen.connection = connection;
        journal.lock().expect("journal").seen.push(seen.clone());
        if !act(&mut stream, &seen, &journal).await {
            return;
        }
    }
}

/// Answers one request; returns whether the connection stays open.
async fn act(
    stream: &mut TcpStream,
    seen: &ReceivedRequest,
    journal: &Arc<Mutex<Journal>>,
) -> bool {
    let id = seen.header("medlardyke-request-id");
    let body = format!("answer to {id}");
    let whole = answer(200, &format!("medlardyke-request-id: {id}\r\n"), &body);
    let (act, ms) = match seen.header("x-act").split_once(':') {
        Some((act, ms)) => (act, ms.parse().expect("milliseconds")),
        None => (seen.header("x-act"), 0),
    };
    let pause = Duration::from_millis(ms);
    match act {
        "half-head" => write_last(stream, &whole[..20]).await,
        "half-body" => write_last(stream, &whole[..whole.len() - 5]).await,
        "half-chunk" => {
            let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nabc";
            write_last(stream, text).await
        }
        "two-ends" => {
            let text = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n\
                        3\r\nabc\r\n0\r\n\r\n";
            write_last(stream, text).await
        }
        "unending" => write_last(stream, "HTTP/1.1 200 OK\r\n\r\nno end in sight").await,
        "garbage" => write_last(stream, "\x16\x03\x01 what is this\r\n\r\n").await,
        "drop" => false,
        "other-id" => {
            let other = answer(200, "medlardyke-request-id: another\r\n", &body);
            write(stream, &other).await
        }
        "no-id" => write(stream, &answer(200, "", &body)).await,
        "not-run" => {
            let head = format!("medlardyke-outcome: not-run\r\nmedlardyke-request-id: {id}\r\n");
            write(stream, &answer(503, &head, "busy")).await
        }
        "grant" => {
            let head = format!(
                "medlardyke-outcome: not-run\r\nmedlardyke-reason: grant-refused\r\n\
                 medlardyke-request-id: {id}\r\n"
            );
            write(stream, &answer(409, &head, "old epoch")).await
        }
        "huge" => write(stream, &answer(200, "", &"x".repeat(70_000))).await,
        "big" => write(stream, &answer(200, "", &"x".repeat(60_000))).await,
        "bulk" => write(stream, &answer(200, "", &"x".repeat(17 << 20))).await,
        "head" => write(stream, "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n").await,
        "twice" => write(stream, &format!("{whole}{whole}")).await,
        "late-extra" => {
            let sent = write(stream, &whole).await;
            tokio::time::sleep(pause).await;
            sent && write(stream, &whole).await
        }
        "close" => {
            let head = format!("connection: close\r\nmedlardyke-request-id: {id}\r\n");
            write_last(stream, &answer(200, &head, &body)).await
        }
        "close-silent" => write_last(stream, &whole).await,
        "control" => {
            let head = format!(
                "medlardyke-request-id: {id}\r\nmedlardyke-reason: forged\r\n\
                 medlardyke-epoch: 99\r\nkeep-alive: 5\r\nx-plain: yes\r\n"
            );
            write(stream, &answer(201, &head, &body)).await
        }
        "slow" => {
            if closed_within(stream, pause).await {
                journal.lock().expect("journal").aborted += 1;
                return false;
            }
            write(stream, &whole).await
        }
        _ => write(stream, &whole).await,
    }
}

/// Waits for `pause`; returns whether the other side closed the connection in that time.
async fn closed_within(stream: &TcpStream, pause: Duration) -> bool {
    let mut byte = [0];
    let peek = tokio::time::timeout(pause, stream.peek(&mut byte)).await;
    matches!(peek, Ok(Ok(0) | Err(_)))
}

fn answer(status: u16, head: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status} X\r\ncontent-length: {len}\r\n{head}\r\n{body}")
}

/// Writes `text`; returns that the connection is to be closed.
async fn write_last(stream: &mut TcpStream, text: &str) -> bool {
    let _ = stream.write_all(text.as_bytes()).await;
    false
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(": "))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
        .collect();
    let mut seen = ReceivedRequest {
        line,
        headers,
        ..ReceivedRequest::default()
    };
    let len: usize = seen.header("content-length").parse().unwrap_or(0);
    while buf.len() < end + len {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    seen.body = buf[end..end + len].to_vec();
    buf.drain(..end + len);
    Some(seen)
}
