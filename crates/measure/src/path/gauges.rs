//! Receives the gauges that hosts report during a measurement.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use anyhow::Context as _;
use indexmap::IndexMap;
use smol_str::SmolStr;

/// Largest size of a metrics packet, in bytes.
const PACKET_BYTES: usize = 65_536;

/// Values of each gauge since the last call of [`GaugeReceiver::take`], by name.
pub type GaugeValues = IndexMap<SmolStr, Vec<f64>>;

/// Receiver of metrics over UDP; its thread runs until the process ends.
#[derive(Debug)]
pub struct GaugeReceiver {
    address: SocketAddr,
    values: Arc<Mutex<GaugeValues>>,
}

impl GaugeReceiver {
    /// Starts receiving.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be bound or the thread can't be started.
    pub fn start() -> anyhow::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
            .context("failed to bind a socket for metrics")?;
        let address = socket
            .local_addr()
            .context("failed to read the address of the metrics socket")?;
        let values: Arc<Mutex<GaugeValues>> = Arc::default();
        let received = Arc::clone(&values);
        let thread = thread::Builder::new().name("gauges".to_owned());
        let run = move || {
            let mut buf = vec![0; PACKET_BYTES];
            while let Ok(len) = socket.recv(&mut buf) {
                let text = String::from_utf8_lossy(&buf[..len]);
                let mut values = received.lock().unwrap_or_else(PoisonError::into_inner);
                for (name, value) in text.lines().filter_map(parse_gauge) {
                    values.entry(name).or_default().push(value);
                }
            }
        };
        drop(
            thread
                .spawn(run)
                .context("failed to start the thread that receives metrics")?,
        );
        Ok(Self { address, values })
    }

    /// Returns the address to which hosts should send their metrics.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the values received since the last call.
    #[must_use]
    pub fn take(&self) -> GaugeValues {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *values)
    }
}

/// Parses a line such as `medlardyke.latency.queue.p50:120|g`; returns `None` for other metrics.
#[must_use]
pub fn parse_gauge(line: &str) -> Option<(SmolStr, f64)> {
    let (name, rest) = line.split_once(':')?;
    let value = rest.strip_suffix("|g")?;
    Some((SmolStr::new(name), value.parse().ok()?))
}
