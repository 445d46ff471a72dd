//! A small HTTP/1.1 server and client with one thread for each connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Head and body of a request or response; `start` is its first line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path and the query of a request.
    pub fn path_and_query(&self) -> (&str, &str) {
        let target = self.start.split(' ').nth(1).unwrap_or("");
        target.split_once('?').unwrap_or((target, ""))
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.path_and_query();
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
            .next()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
                continue;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message; returns none at the end of the stream.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: start.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            message
                .headers
                .push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(len) = message
        .header("content-length")
        .and_then(|len| len.parse().ok())
    {
        message.body = vec![0; len];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let len = line.trim().split(';').next().unwrap_or("");
        let len = usize::from_str_radix(len, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk)?;
        if len == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

/// A response of a server.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether a copy is sent too, late: when the next request has arrived on the connection.
    pub has_late_copy: bool,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Reply {
            status,
            headers: Vec::new(),
            body: body.into(),
            has_late_copy: false,
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    fn write(&self, stream: &mut impl Write) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {} X\r\n", self.status).into_bytes();
        for (name, value) in &self.headers {
            out.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        out.extend(format!("Content-Length: {}\r\n\r\n", self.body.len()).into_bytes());
        out.extend_from_slice(&self.body);
        stream.write_all(&out)
    }
}

/// Answers a request; none closes the connection without an answer.
pub type Handler = dyn Fn(&Message) -> Option<Reply> + Send + Sync;

/// Serves `listener` for the life of the process.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    for stream in listener.incoming().flatten() {
        let handler = Arc::clone(&handler);
        std::thread::spawn(move || {
            // A connection that breaks ends its thread.
            let _ = connection(stream, &*handler);
        });
    }
}

/// Serves one connection.
pub fn connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut late_copy: Option<Reply> = None;
    while let Some(request) = read(&mut reader)? {
        if let Some(copy) = late_copy.take() {
            copy.write(&mut stream)?;
        }
        let Some(reply) = handler(&request) else {
            return Ok(());
        };
        reply.write(&mut stream)?;
        late_copy = reply.has_late_copy.then_some(reply);
    }
    Ok(())
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Opens a connection; `timeout` holds for the opening and for each read.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Sends a request and reads the response.
    pub fn call(
        &mut self,
        start: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        let mut out = format!("{start} HTTP/1.1\r\n").into_bytes();
        for (name, value) in headers {
            out.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        if !body.is_empty() {
            out.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        self.stream.write_all(&out)?;
        let response = read(&mut self.reader)?;
        response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
