//! What hosts report of their queues meanwhile: a receiver of their metrics.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use anyhow::Context as _;
use indexmap::IndexMap;
use smol_str::SmolStr;

/// Largest packet of metrics.
const PACKET_BYTES: usize = 65_536;

/// Values of each gauge since they were last taken, by name.
pub type Values = IndexMap<SmolStr, Vec<f64>>;

/// A receiver of metrics; its thread ends with the process.
#[derive(Debug)]
pub struct Gauges {
    address: SocketAddr,
    values: Arc<Mutex<Values>>,
}

impl Gauges {
    /// Starts receiving.
    ///
    /// # Errors
    ///
    /// Fails if no socket or thread can be had.
    pub fn receive() -> anyhow::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).context("bind a socket")?;
        let address = socket.local_addr().context("read own address")?;
        let values: Arc<Mutex<Values>> = Arc::default();
        let filled = Arc::clone(&values);
        let thread = thread::Builder::new().name("gauges".to_owned());
        let run = move || {
            let mut buf = vec![0; PACKET_BYTES];
            while let Ok(len) = socket.recv(&mut buf) {
                let text = String::from_utf8_lossy(&buf[..len]);
                let mut values = filled.lock().unwrap_or_else(PoisonError::into_inner);
                for (name, value) in text.lines().filter_map(gauge) {
                    values.entry(name).or_default().push(value);
                }
            }
        };
        drop(thread.spawn(run).context("start a thread")?);
        Ok(Self { address, values })
    }

    /// Returns the address to which hosts are to send.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes out the values that came since the last call.
    #[must_use]
    pub fn take(&self) -> Values {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *values)
    }
}

/// Reads a line such as `medlardyke.latency.queue.p50:120|g`; other kinds are passed over.
#[must_use]
pub fn gauge(line: &str) -> Option<(SmolStr, f64)> {
    let (name, rest) = line.split_once(':')?;
    let value = rest.strip_suffix("|g")?;
    Some((SmolStr::new(name), value.parse().ok()?))
}
