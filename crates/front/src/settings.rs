//! Settings from the JSON file.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use anyhow::Context as _;
use assign::partition::UPSTREAMS_PER_PARTITION;
use direct::WarmupBounds;
use ids::{DomainId, HostId};
use serde::Deserialize;

/// Settings of an entry host that sends to upstreams itself.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Processor capacity of the host.
    pub processor: ProcessorSettings,
    /// Memory that the host may use, in megabytes.
    #[serde(default = "usual_memory_mb")]
    pub memory_mb: usize,
    /// Addresses on which the host listens.
    pub listen: ListenSettings,
    /// Local address of connections to upstreams; chosen by the system if there is none.
    #[serde(default)]
    pub upstream_source: Option<IpAddr>,
    /// The platform's store.
    pub store: StoreSettings,
    /// Retry budget, shared by all hosts.
    #[serde(rename = "repeats")]
    pub retry_budget: RetryBudgetSettings,
    /// By how much requests at cold upstreams may exceed the rate that those bear, over all hosts.
    #[serde(default)]
    pub warmup: WarmupSettings,
    /// How keys are granted; must be the same at all hosts.
    #[serde(default)]
    pub keys: KeySettings,
    /// Timing of a stop.
    pub stop: StopSettings,
}

/// Default of `memory_mb`.
const fn usual_memory_mb() -> usize {
    256
}

impl Settings {
    /// Returns the memory that the host may use, in bytes.
    #[must_use]
    pub const fn memory_bytes(&self) -> usize {
        self.memory_mb << 20
    }
}

/// Processor capacity of a host.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
pub struct ProcessorSettings {
    /// Fraction of each core that the host may use.
    pub share: f64,
    /// Number of cores of which it may use that fraction.
    pub cores: f64,
}

impl ProcessorSettings {
    /// Returns the capacity in cores.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.share * self.cores
    }
}

/// Addresses on which a host listens.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
pub struct ListenSettings {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// For heartbeats of other hosts, and for hosts that this one relays to.
    pub peers: SocketAddr,
    /// For datagrams with requests for permits.
    pub permits: SocketAddr,
    /// For scrapers of metrics.
    pub metrics: SocketAddr,
    /// For requests of hosts that do not reach an upstream; by default the port after `peers`.
    #[serde(default)]
    exchanges: Option<SocketAddr>,
}

impl ListenSettings {
    /// Returns the address for requests of hosts that do not reach an upstream.
    #[must_use]
    pub fn exchanges(&self) -> SocketAddr {
        let next_port = self.peers.port().wrapping_add(1);
        self.exchanges
            .unwrap_or_else(|| SocketAddr::new(self.peers.ip(), next_port))
    }
}

/// The platform's store.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
pub struct StoreSettings {
    /// Address on which the store listens.
    pub address: SocketAddr,
    /// Whether all hosts start for the first time, so that none can have granted keys before.
    #[serde(default)]
    pub is_new: bool,
}

/// Retry budget, shared by all hosts.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed besides those in each window.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

/// By how much requests at a cold upstream may exceed the rate that it bears, over all hosts; by
/// default not at all.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
pub struct WarmupSettings {
    /// As a factor of that rate.
    #[serde(rename = "over")]
    pub factor: Option<f64>,
    /// Requests beyond that in one second.
    pub slack: Option<f64>,
}

impl WarmupSettings {
    /// Returns the bounds, with defaults for fields that are not set.
    #[must_use]
    pub fn bounds(&self) -> WarmupBounds {
        let default = WarmupBounds::default();
        WarmupBounds {
            factor: self.factor.unwrap_or(default.factor),
            slack: self.slack.unwrap_or(default.slack),
        }
    }
}

/// How keys of entries are granted.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(default)]
pub struct KeySettings {
    /// Upstreams per partition when the keys of an entry are first divided into partitions.
    #[serde(rename = "upstreams_each")]
    pub upstreams_per_partition: usize,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            upstreams_per_partition: UPSTREAMS_PER_PARTITION,
        }
    }
}

/// Timing of a stop.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
pub struct StopSettings {
    /// Seconds from the signal to stop until the process is killed.
    pub grace_s: f64,
}

impl StopSettings {
    /// Returns the time from the signal until the process is killed.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.max(0.0))
    }
}

/// Reads the settings from `path`.
///
/// # Errors
///
/// Fails, naming the file and the field, if the file can't be read or is not valid.
pub fn load(path: &Path) -> anyhow::Result<Settings> {
    let text = std::fs::read(path).with_context(|| format!("read {}", path.display()))?;
    let cfg: Settings =
        serde_json::from_slice(&text).with_context(|| format!("decode {}", path.display()))?;
    let file = path.display();
    let retry_budget = cfg.retry_budget;
    anyhow::ensure!(
        cfg.processor.capacity() > 0.0,
        "{file}: processor.share, processor.cores: must be positive"
    );
    anyhow::ensure!(cfg.memory_mb > 0, "{file}: memory_mb: must be positive");
    anyhow::ensure!(
        cfg.keys.upstreams_per_partition > 0,
        "{file}: keys.upstreams_each: must be positive"
    );
    anyhow::ensure!(
        retry_budget.ratio >= 0.0,
        "{file}: repeats.ratio: must not be negative"
    );
    anyhow::ensure!(
        retry_budget.slack >= 0.0,
        "{file}: repeats.slack: must not be negative"
    );
    anyhow::ensure!(
        retry_budget.window_s > 0.0,
        "{file}: repeats.window_s: must be positive"
    );
    let warmup = cfg.warmup.bounds();
    anyhow::ensure!(
        warmup.factor >= 1.0,
        "{file}: warmup.over: must be at least 1"
    );
    anyhow::ensure!(
        warmup.slack >= 0.0,
        "{file}: warmup.slack: must not be negative"
    );
    anyhow::ensure!(
        cfg.stop.grace_s > 0.0,
        "{file}: stop.grace_s: must be positive"
    );
    Ok(cfg)
}
