//! Measurements with real sockets and processes: added latency, overload, cost of idle hosts.
//!
//! - [`args`]: arguments of the three commands.
//! - [`cluster`]: starts platform, upstreams and hosts as processes of this program.
//! - [`usage`]: memory and the CPU time of each thread of a process.
//! - [`machine`]: load of the machine during a measurement.
//! - [`added_latency`]: latency that one hop and two hops add to direct requests.
//! - [`overload`]: goodput and refusals at up to three times the capacity, and recovery.
//! - [`control`]: cost of idle hosts by number of hosts, upstreams and slices.
//! - [`gauges`]: receives the gauges that hosts report during a measurement.
//! - [`fit`]: medians and lines fitted by least squares.

pub mod added_latency;
pub mod args;
pub mod cluster;
pub mod control;
pub mod fit;
pub mod gauges;
pub mod machine;
pub mod overload;
pub mod usage;

use anyhow::Context as _;

/// Worker threads of this process, which run the load generator and in-process upstreams.
const WORKERS: usize = 4;

/// Runs a measurement to completion on a new runtime.
///
/// # Errors
///
/// Fails if the runtime can't be started or the measurement fails.
pub fn block_on(run: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .context("failed to start the async runtime")?;
    runtime.block_on(run)
}
