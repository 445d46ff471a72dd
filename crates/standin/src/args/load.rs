//! `standin load`.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;

use super::run::{interrupted, print_line, read_settings, runtime};
use crate::load::{self, LoadRun, LoadSettings, Record};

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
    /// Requests a second.
    #[arg(long, value_name = "NUMBER")]
    pub rate: Option<f64>,
    /// Length of the run, in milliseconds.
    #[arg(long, value_name = "NUMBER")]
    pub duration_ms: Option<u64>,
    /// File for what became of each request, in JSON lines.
    #[arg(long, value_name = "FILE")]
    pub records: Option<PathBuf>,
}

impl LoadArgs {
    /// Returns the settings of the file with the arguments on top.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or makes no sense.
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

    /// Runs the load to its end, or until the process is told to stop, and prints the summary as
    /// one line of JSON.
    ///
    /// # Errors
    ///
    /// Fails if the settings make no load or the records can't be written.
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

async fn run_until_interrupted(cfg: LoadSettings) -> anyhow::Result<LoadRun> {
    let running = load::start(cfg)?;
    let stop = running.stopper();
    let watch = tokio::spawn(async move {
        let caught = interrupted().await;
        stop.cancel();
        caught
    });
    let run = running.finish().await;
    watch.abort();
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
