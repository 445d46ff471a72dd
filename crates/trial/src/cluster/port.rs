//! Ports that stay reserved while no process listens on them.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::Context as _;
use tokio::net::TcpSocket;

/// A loopback port, chosen by the kernel and reserved for a process of the cluster.
///
/// A socket that is bound but doesn't listen keeps the kernel from assigning the port to another
/// process while the cluster's process is down. Connections are refused during that time.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a port.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has no port left.
    pub fn reserve() -> anyhow::Result<Self> {
        let socket = TcpSocket::new_v4().context("open a socket")?;
        socket.set_reuseaddr(true).context("set SO_REUSEADDR")?;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(any_port).context("bind a port")?;
        Ok(Self {
            address: socket.local_addr().context("read the bound address")?,
            _socket: socket,
        })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}
