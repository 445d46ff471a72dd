//! Arguments of the commands `path`, `overload` and `control`.

use clap::Args;

/// Latency that one hop and two hops add to direct requests.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct AddedLatencyArgs {
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Upstreams, with 4 slots each.
    #[arg(long, default_value_t = 2)]
    pub upstreams: usize,
    /// Service time of each request, in milliseconds.
    #[arg(long, default_value_t = 1.0)]
    pub service_ms: f64,
    /// Request rates, as fractions of the upstreams' capacity.
    #[arg(long, value_delimiter = ',', default_values_t = [0.05, 0.25, 0.5])]
    pub shares: Vec<f64>,
    /// Turns of each route at each rate.
    #[arg(long, default_value_t = 7)]
    pub turns: u32,
    /// Length of a turn, in milliseconds.
    #[arg(long, default_value_t = 1_500)]
    pub turn_ms: u64,
}

/// Goodput and refusals at up to three times the capacity, and recovery.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct OverloadArgs {
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Hosts, all in one failure domain.
    #[arg(long, default_value_t = 3)]
    pub hosts: usize,
    /// Upstreams, with 4 slots each.
    #[arg(long, default_value_t = 6)]
    pub upstreams: usize,
    /// Mean of the exponentially distributed service time, in milliseconds.
    #[arg(long, default_value_t = 20.0)]
    pub service_ms: f64,
    /// Deadline of requests, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub deadline_ms: u32,
    /// Length of a phase, in milliseconds.
    #[arg(long, default_value_t = 6_000)]
    pub phase_ms: u64,
}

/// Cost of idle hosts by number of hosts, upstreams and slices.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct ControlArgs {
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Numbers of hosts; each is measured with the first value of the other lists.
    #[arg(long, value_delimiter = ',', default_values_t = [11, 3, 6, 22, 44])]
    pub hosts: Vec<usize>,
    /// Numbers of upstreams; each is measured with the first value of the other lists.
    #[arg(long, value_delimiter = ',', default_values_t = [44, 11, 88, 176])]
    pub upstreams: Vec<usize>,
    /// Numbers of slices; each is measured with the first value of the other lists.
    #[arg(long, value_delimiter = ',', default_values_t = [1_024, 256, 4_096, 16_384])]
    pub slices: Vec<u32>,
    /// Numbers of failure domains; each is measured with the first value of the other lists.
    #[arg(long, value_delimiter = ',', default_values_t = [3])]
    pub domains: Vec<usize>,
    /// Length of each measurement, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub measure_ms: u64,
}
