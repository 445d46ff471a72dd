//! Support for the tests of the gate: hosts, an upstream that misbehaves on demand, a caller.
#![allow(dead_code, reason = "each test file uses some of these items")]

pub mod caller;
pub mod rig;
pub mod upstream;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::TcpSocket;

/// Returns an address without a listener, reserved as long as the socket is kept.
///
/// The port of a closed listener could be taken by another test at any time.
pub fn unused_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("bind");
    let address = socket.local_addr().expect("address");
    (socket, address)
}

/// Longest time for a condition to become true.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `condition` is true.
///
/// # Panics
///
/// Panics if it is not true before the timeout.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
