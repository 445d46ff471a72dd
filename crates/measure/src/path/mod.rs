//! Measurements over real sockets and processes: what a request, overload and quiet control cost.
//!
//! - [`args`]: settings of the three commands.
//! - [`cluster`]: platform, upstreams and hosts as processes of this program.
//! - [`usage`]: CPU time of each thread, and memory, of a process.
//! - [`machine`]: how busy the machine is meanwhile.
//! - [`added`]: latency added by one hop and by two, against none.
//! - [`overload`]: goodput and refusals at up to twice the capacity, and recovery.
//! - [`control`]: cost of quiet hosts against hosts, upstreams and slices.
//! - [`gauges`]: what hosts report of their queues meanwhile.
//! - [`fit`]: medians, and slopes by least squares.

pub mod added;
pub mod args;
pub mod cluster;
pub mod control;
pub mod fit;
pub mod gauges;
pub mod machine;
pub mod overload;
pub mod usage;

use anyhow::Context as _;

/// Worker threads of the measuring process: load generator and in-process stand-ins.
const WORKERS: usize = 4;

/// Runs a measurement on a runtime of its own.
///
/// # Errors
///
/// Fails if the runtime can't be started or the measurement fails.
pub fn block_on(run: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .context("start the runtime")?;
    runtime.block_on(run)
}
