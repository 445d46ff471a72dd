//! Configuration of a case.

use route::DispatcherSettings;

/// Which hosts send to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Design {
    /// Every entry host sends directly, with a share of the slots of each upstream.
    Direct,
    /// One host per upstream sends for all entry hosts.
    Dispatcher,
}

/// Distribution of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Keys {
    /// Any upstream may serve any request.
    None,
    /// Keys are equally frequent.
    Uniform,
    /// Key frequencies follow Zipf's law with exponent 1.1.
    Zipf,
}

/// What an upstream does with a request beyond its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OverflowPolicy {
    /// It sheds the request.
    Shed,
    /// It queues the request.
    Wait,
}

/// Health reports of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// Nothing.
    None,
    /// Always healthy.
    #[serde(rename = "always-fit")]
    AlwaysHealthy,
    /// Never healthy.
    #[serde(rename = "never-fit")]
    NeverHealthy,
    /// Healthy when it is full, unhealthy when it is not.
    Inverted,
}

/// A time span with a load.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Length in seconds.
    pub secs: u64,
    /// Load as a fraction of the capacity of all slots.
    pub load: f64,
}

/// Configuration of one case.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seed.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Failure domains; hosts and upstreams are assigned round-robin.
    pub domains: usize,
    /// One-way latency between domains, in microseconds.
    pub domain_latency_us: u64,
    /// Slots that each upstream declares.
    pub slots: u32,
    /// Slots that each upstream actually has.
    pub true_slots: u32,
    /// Mean service time in microseconds.
    pub service_us: f64,
    /// Requests that may wait for one upstream.
    pub queue: u32,
    /// Deadlines that callers choose from at random, in milliseconds.
    pub deadlines_ms: &'static [u64],
    /// Number of retries of a refused caller.
    pub caller_retries: u32,
    /// Which hosts send.
    pub design: Design,
    /// Distribution of keys.
    pub keys: Keys,
    /// What upstreams do with requests beyond their slots.
    pub overflow: OverflowPolicy,
    /// Whether upstreams stop a cancelled request.
    pub honors_cancel: bool,
    /// Health reports of upstreams.
    pub reports: Reports,
    /// Settings of dispatchers.
    pub dispatcher: DispatcherSettings,
    /// Consecutive loads.
    pub phases: Vec<Phase>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            hosts: 1,
            upstreams: 1,
            domains: 1,
            domain_latency_us: 500,
            slots: 4,
            true_slots: 4,
            service_us: 10_000.0,
            queue: 64,
            deadlines_ms: &[100, 300, 1_000],
            caller_retries: 0,
            design: Design::Dispatcher,
            keys: Keys::Uniform,
            overflow: OverflowPolicy::Shed,
            honors_cancel: true,
            reports: Reports::None,
            dispatcher: DispatcherSettings::default(),
            phases: Vec::new(),
        }
    }
}
