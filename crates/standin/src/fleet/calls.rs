//! Servers that answer control calls in other ways than the protocol says.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest request that is read.
const REQUEST_BYTES: usize = 4 << 10;
/// Headers of the answer to the request with the id `r`.
const REQUEST_HEADERS: &str = "medlardyke-request-id: r\r\nmedlardyke-response-seal: s\r\n";

/// How a server answers control calls. It answers requests with the id `r`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallAnswers {
    /// With the success of another request.
    OfAnotherRequest,
    /// Each without an id.
    WithoutIds,
}

impl CallAnswers {
    /// Starts a server on a free loopback port; it runs as long as the runtime.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.serve(stream));
            }
        });
        Ok(address)
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buf = [0; REQUEST_BYTES];
        while let Ok(read @ 1..) = stream.read(&mut buf).await {
            let is_call = buf[..read].starts_with(b"POST /api/");
            let headers = match self {
                _ if !is_call => REQUEST_HEADERS,
                Self::OfAnotherRequest => "medlardyke-request-id: another\r\n",
                Self::WithoutIds => "",
            };
            let answer = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
