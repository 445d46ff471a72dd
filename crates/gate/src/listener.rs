//! Closes a listener without cutting the connections that callers have opened.
//!
//! The operating system opens connections before they are accepted, and resets those that still
//! wait when the listener is closed. A caller that has sent a request on such a connection can't
//! tell whether it ran. Therefore the handshakes of further connections are ignored first, and all
//! connections that wait are accepted before the listener is closed.

use std::io;
use std::net::SocketAddr;

use slog::{Logger, debug, warn};
use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

/// Offset of the flags in a TCP header, in bytes.
const TCP_FLAGS_OFFSET: u32 = 13;
/// Flag of the first packet of a handshake.
const TCP_FLAG_SYN: u32 = 0x02;
/// Opcode that loads the byte at an offset (`BPF_LD | BPF_B | BPF_ABS`).
const LOAD_BYTE: u16 = 0x30;
/// Opcode that skips instructions depending on whether a bit is set (`BPF_JMP | BPF_JSET`).
const JUMP_IF_SET: u16 = 0x45;
/// Opcode that keeps as many bytes of the packet as it names (`BPF_RET`).
const KEEP_BYTES: u16 = 0x06;

/// Accepts every connection that was opened, and closes the listener.
///
/// A caller whose handshake begins in between repeats it after about a second, and is then refused.
pub fn close(listener: TcpListener, log: &Logger, accepted: impl FnMut(TcpStream, SocketAddr)) {
    if let Err(e) = ignore_handshakes(&listener) {
        debug!(log, "handshakes of callers can't be ignored"; "error" => %e);
    }
    if let Err(e) = accept_waiting(listener, accepted) {
        warn!(log, "accepting the last connections of callers failed"; "error" => %e);
    }
}

/// Makes the operating system drop the first packet of each further handshake.
fn ignore_handshakes(listener: &TcpListener) -> io::Result<()> {
    let drop_syn = [
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, TCP_FLAG_SYN),
        SockFilter::new(KEEP_BYTES, 0, 0, 0),
        SockFilter::new(KEEP_BYTES, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&drop_syn)
}

/// Accepts the connections that wait.
///
/// The runtime learns of connections with a delay, so the operating system is asked directly.
fn accept_waiting(
    listener: TcpListener,
    mut accepted: impl FnMut(TcpStream, SocketAddr),
) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                accepted(TcpStream::from_std(stream)?, peer);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            // The caller has closed its connection.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => return Err(e),
        }
    }
}
