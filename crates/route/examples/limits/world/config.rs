//! What a case is made of.

use route::DispatcherSettings;

/// Who sends to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Design {
    /// Every entry host sends itself, with a share of the slots of each upstream.
    Direct,
    /// One host for each upstream sends for all.
    Dispatcher,
}

/// How requests fall on upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Keys {
    /// Any upstream may serve any request.
    None,
    /// Keys are equally frequent.
    Uniform,
    /// Zipf's law with exponent 1.1.
    Zipf,
}

/// What an upstream does with a request beyond its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Beyond {
    /// It turns it away.
    Shed,
    /// It lets it wait.
    Wait,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// Nothing.
    None,
    /// Always fit.
    AlwaysFit,
    /// Never fit.
    NeverFit,
    /// Fit when it is full, unfit when it is not.
    Inverted,
}

/// A span of time with a load.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Length in seconds.
    pub secs: u64,
    /// Load in parts of what all slots can do.
    pub load: f64,
}

/// One case.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seed.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Failure domains; hosts and upstreams are dealt out in turn.
    pub domains: usize,
    /// One way between domains, in microseconds.
    pub between_us: u64,
    /// Slots that each upstream declares.
    pub slots: u32,
    /// Slots that each upstream really has.
    pub true_slots: u32,
    /// Mean service time in microseconds.
    pub service_us: f64,
    /// Requests that may wait for one upstream.
    pub queue: u32,
    /// Deadlines that callers draw from, in milliseconds.
    pub deadlines_ms: &'static [u64],
    /// Times that a refused caller comes back.
    pub returns: u32,
    /// Who sends.
    pub design: Design,
    /// How requests fall on upstreams.
    pub keys: Keys,
    /// What upstreams do beyond their slots.
    pub beyond: Beyond,
    /// Whether upstreams stop a cancelled request.
    pub heeds_cancel: bool,
    /// What upstreams say of themselves.
    pub reports: Reports,
    /// Settings of dispatchers.
    pub dispatcher: DispatcherSettings,
    /// Loads, one after the other.
    pub phases: Vec<Phase>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            hosts: 1,
            upstreams: 1,
            domains: 1,
            between_us: 500,
            slots: 4,
            true_slots: 4,
            service_us: 10_000.0,
            queue: 64,
            deadlines_ms: &[100, 300, 1_000],
            returns: 0,
            design: Design::Dispatcher,
            keys: Keys::Uniform,
            beyond: Beyond::Shed,
            heeds_cancel: true,
            reports: Reports::None,
            dispatcher: DispatcherSettings::default(),
            phases: Vec::new(),
        }
    }
}
