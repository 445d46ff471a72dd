//! A caller that writes arbitrary bytes and reads answers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time to wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An answer received by the caller.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Response {
    /// Returns a header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn outcome(&self) -> &str {
        self.header("medlardyke-outcome")
    }

    pub fn reason(&self) -> &str {
        self.header("medlardyke-reason")
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("connect");
        stream.set_nodelay(true).expect("set no delay");
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub async fn write(&mut self, text: impl AsRef<[u8]>) {
        self.stream.write_all(text.as_ref()).await.expect("write");
    }

    /// Reads one answer; returns `None` if the connection ends first.
    pub async fn read(&mut self) -> Option<Response> {
        let read = tokio::time::timeout(TIMEOUT, self.read_answer());
        read.await.expect("an answer in time")
    }

    pub async fn ask(&mut self, text: impl AsRef<[u8]>) -> Response {
        self.write(text).await;
        self.read().await.expect("an answer")
    }

    async fn read_answer(&mut self) -> Option<Response> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.stream.read_buf(&mut self.buf).await.ok()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        let mut lines = head.lines();
        let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
        let headers: Vec<(String, String)> = lines
            .filter_map(|l| l.split_once(": "))
            .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
            .collect();
        let mut got = Response {
            status,
            headers,
            ..Response::default()
        };
        let len: usize = got.header("content-length").parse().unwrap_or(0);
        while self.buf.len() < end + len {
            if self.stream.read_buf(&mut self.buf).await.ok()? == 0 {
                return None;
            }
        }
        got.body = String::from_utf8_lossy(&self.buf[end..end + len]).into_owned();
        self.buf.drain(..end + len);
        Some(got)
    }
}

/// Returns the text of a request without a body.
pub fn get(path: &str, headers: &[(&str, &str)]) -> String {
    request("GET", path, headers, "")
}

/// Returns the text of a request with a body.
pub fn post(path: &str, headers: &[(&str, &str)], body: &str) -> String {
    request("POST", path, headers, body)
}

fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut head = vec![format!("{method} {path} HTTP/1.1"), "host: gate".to_owned()];
    head.extend(
        headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}")),
    );
    if !body.is_empty() {
        head.push(format!("content-length: {}", body.len()));
    }
    format!("{}\r\n\r\n{body}", head.join("\r\n"))
}
