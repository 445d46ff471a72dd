//! Data of an aborted call is not delivered later.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gate::upstream::{Sending, Unidentified, UpstreamConn};
use http::{Request, header};
use http_body_util::Full;
use ids::Timestamp;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const CONNECT: Duration = Duration::from_secs(5);
const HEAD_BYTES: usize = 8 << 10;
/// More than the buffers of both ends hold, so that some of it is not yet sent at the timeout.
const BODY_BYTES: usize = 32 << 20;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Guards against a call that times out at the host and is delivered to the upstream afterwards.
/// The upstream must see a connection reset instead of the rest of the call.
#[tokio::test]
async fn an_aborted_call_resets_its_connection() {
    let (listener, address) = listen().await;
    let conn = UpstreamConn::open(address, CONNECT, HEAD_BYTES)
        .await
        .expect("open");
    let (mut upstream, _) = listener.accept().await.expect("accept");
    let body = Full::new(Bytes::from(vec![0; BODY_BYTES]));
    let req = Request::post("/")
        .header("host", "upstream")
        .body(body)
        .expect("a request");
    let sending = Sending::once("call", &header::ETAG, Timestamp::ZERO, Unidentified::Any);
    let exchange = conn.exchange(&sending, req, HEAD_BYTES);
    let aborted = tokio::time::timeout(Duration::from_millis(50), exchange).await;
    assert!(aborted.is_err(), "nothing answers");
    let mut read = vec![0; 1 << 20];
    let mut total = 0;
    let end = loop {
        match upstream.read(&mut read).await {
            Ok(0) => break None,
            Ok(n) => total += n,
            Err(e) => break Some(e.kind()),
        }
    };
    assert_eq!(end, Some(ErrorKind::ConnectionReset), "after {total} bytes");
    assert!(total < BODY_BYTES);
}
