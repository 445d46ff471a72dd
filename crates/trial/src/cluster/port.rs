//! Addresses that stay ours while nobody listens.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::Context as _;
use tokio::net::TcpSocket;

/// A port on loopback, chosen by the kernel and kept for a process of ours.
///
/// A socket that is bound and doesn't listen keeps the kernel from giving the port away while the
/// process that listens on it is down; connections are refused then.
#[derive(Debug)]
pub struct KeptPort {
    address: SocketAddr,
    _keeper: TcpSocket,
}

impl KeptPort {
    /// Takes a port.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has none left.
    pub fn take() -> anyhow::Result<Self> {
        let keeper = TcpSocket::new_v4().context("open a socket")?;
        keeper.set_reuseaddr(true).context("share an address")?;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        keeper.bind(any_port).context("bind a port")?;
        Ok(Self {
            address: keeper.local_addr().context("read an address")?,
            _keeper: keeper,
        })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}
