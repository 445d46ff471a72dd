//! Functions that the stand-ins' commands share.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::Context;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};

/// The line that a stand-in prints once it is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Listening {
    /// Address on which it serves.
    pub(crate) listening: SocketAddr,
    /// Address of its admin endpoint, if that is a separate one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) admin: Option<SocketAddr>,
}

/// Reads settings from the JSON file at `path`, or returns the defaults without a path.
pub(crate) fn read_settings<T: DeserializeOwned + Default>(
    path: Option<&Path>,
) -> anyhow::Result<T> {
    let Some(path) = path else {
        return Ok(T::default());
    };
    let text = std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("parse {}", path.display()))
}

/// Prints `value` as one line of JSON.
pub(crate) fn print_line<T: Serialize>(value: &T) -> anyhow::Result<()> {
    let mut line = serde_json::to_vec(value).context("write line")?;
    line.push(b'\n');
    let mut out = std::io::stdout().lock();
    out.write_all(&line).context("print line")?;
    out.flush().context("print line")
}

/// Threads of a stand-in's runtime; kept low because many stand-ins share a machine.
const WORKER_THREADS: usize = 2;

/// Creates the runtime of a stand-in.
pub(crate) fn runtime() -> anyhow::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context("start runtime")
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_interrupt() -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("catch SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("catch SIGINT")?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
