//! What was given up does not arrive later.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gate::upstream::UpstreamConn;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const CONNECT: Duration = Duration::from_secs(5);
const HEAD_BYTES: usize = 8 << 10;
/// More than the buffers of both ends hold, so that some of it is still on its way.
const BODY_BYTES: usize = 32 << 20;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// A call whose answer did not come in time must not be delivered by the network afterwards: the
/// upstream sees the connection reset, not the rest of the call.
#[tokio::test]
async fn a_call_given_up_resets_its_connection() {
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
    let exchange = conn.exchange(req, HEAD_BYTES);
    let given_up = tokio::time::timeout(Duration::from_millis(50), exchange).await;
    assert!(given_up.is_err(), "nothing answers");
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
