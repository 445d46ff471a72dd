//! `standin load`.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;

use super::run::{print_line, read_settings, runtime, wait_for_interrupt};
use crate::load::{self, LoadResult, LoadSettings, Record};

/// Arguments of `standin load`.
#[derive(Debug, Clone, Default)]
#[derive(clap::Args)]
pub struct LoadArgs {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Address of an entry host; may be given several times.
    #[arg(long = "target", value_name = "ADDRESS")]
    pub targets: Vec<SocketAddr>,
    /// Requests per second.
    #[arg(long, value_name = "NUMBER")]
    pub rate: Option<f64>,
    /// Duration of the load, in milliseconds.
    #[arg(long, value_name = "NUMBER")]
    pub duration_ms: Option<u64>,
    /// File for the record of each request, in JSON lines.
    #[arg(long, value_name = "FILE")]
    pub records: Option<PathBuf>,
}

impl LoadArgs {
    /// Returns the settings of the file, overridden by the arguments.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed.
    pub fn read(&self) -> anyhow::Result<LoadSettings> {
        let cfg: LoadSettings = read_settings(self.settings.as_deref())?;
        let targets = if self.targets.is_empty() {
            cfg.targets
        } else {
            self.targets.clone()
        };
        Ok(LoadSettings {
            targets,
            rate_per_s: self.rate.unwrap_or(cfg.rate_per_s),
            duration_ms: self.duration_ms.unwrap_or(cfg.duration_ms),
            ..cfg
        })
    }

    /// Runs the load to its end, or until SIGTERM or SIGINT, and prints the summary as
    /// one line of JSON.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the records can't be written.
    pub fn run(&self) -> anyhow::Result<()> {
        let cfg = self.read()?;
        let run = runtime()?.block_on(run_until_interrupted(cfg))?;
        if let Some(path) = &self.records {
            write_records(path, &run.records)
                .with_context(|| format!("write {}", path.display()))?;
        }
        print_line(&run.summary)
    }
}

async fn run_until_interrupted(cfg: LoadSettings) -> anyhow::Result<LoadResult> {
    let running = load::start(cfg)?;
    let stop = running.stopper();
    let watcher = tokio::spawn(async move {
        let received = wait_for_interrupt().await;
        stop.cancel();
        received
    });
    let run = running.finish().await;
    watcher.abort();
    run
}

fn write_records(path: &Path, records: &[Record]) -> anyhow::Result<()> {
    let mut f = BufWriter::new(File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut f, record)?;
        f.write_all(b"\n")?;
    }
    f.flush()?;
    Ok(())
}
