//! What the tests of the gate share: hosts, an upstream that misbehaves on demand, a caller.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod caller;
pub mod rig;
pub mod upstream;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::TcpSocket;

/// Takes an address at which nobody listens, for as long as the socket is kept.
///
/// A closed listener's port could go to another test at any time.
pub fn nobody() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("bind");
    let address = socket.local_addr().expect("address");
    (socket, address)
}

/// Longest time for a condition to come true.
const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics if it does not hold in time.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < PATIENCE, "in vain: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
