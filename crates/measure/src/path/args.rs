//! Settings of the three commands.

use clap::Args;

/// Latency added by one hop and by two, against none.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct AddedArgs {
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Upstreams, with 4 slots each.
    #[arg(long, default_value_t = 2)]
    pub upstreams: usize,
    /// How long each request runs, in milliseconds.
    #[arg(long, default_value_t = 1.0)]
    pub service_ms: f64,
    /// Rates, as shares of the upstreams' capacity.
    #[arg(long, value_delimiter = ',', default_values_t = [0.05, 0.25, 0.5])]
    pub shares: Vec<f64>,
    /// Turns that each way gets at each rate.
    #[arg(long, default_value_t = 7)]
    pub turns: u32,
    /// Length of a turn, in milliseconds.
    #[arg(long, default_value_t = 1_500)]
    pub turn_ms: u64,
}

/// Goodput and refusals at up to twice the capacity, and recovery.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct OverloadArgs {
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Hosts, all of one domain.
    #[arg(long, default_value_t = 3)]
    pub hosts: usize,
    /// Upstreams, with 4 slots each.
    #[arg(long, default_value_t = 6)]
    pub upstreams: usize,
    /// Mean of the exponentially distributed time that requests run, in milliseconds.
    #[arg(long, default_value_t = 20.0)]
    pub service_ms: f64,
    /// Deadline that requests bring, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub deadline_ms: u32,
    /// Length of a phase, in milliseconds.
    #[arg(long, default_value_t = 6_000)]
    pub phase_ms: u64,
}

/// Cost of quiet hosts against hosts, upstreams and slices.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct ControlArgs {
    /// Seed of the load that checks readiness.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Numbers of hosts, with the first of the other numbers.
    #[arg(long, value_delimiter = ',', default_values_t = [11, 3, 6, 22, 44])]
    pub hosts: Vec<usize>,
    /// Numbers of upstreams, with the first of the other numbers.
    #[arg(long, value_delimiter = ',', default_values_t = [44, 11, 88, 176])]
    pub upstreams: Vec<usize>,
    /// Numbers of slices, with the first of the other numbers.
    #[arg(long, value_delimiter = ',', default_values_t = [1_024, 256, 4_096, 16_384])]
    pub slices: Vec<u32>,
    /// Numbers of failure domains, with the first of the other numbers.
    #[arg(long, value_delimiter = ',', default_values_t = [3])]
    pub domains: Vec<usize>,
    /// Length of each measurement, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub measure_ms: u64,
}
