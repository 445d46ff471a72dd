//! `standin upstream`.

use std::net::SocketAddr;
use std::path::PathBuf;

use ids::{EntryId, UpstreamId};

use super::run::{Listening, print_line, read_settings, runtime, wait_for_interrupt};
use crate::upstream::{Upstream, UpstreamSettings};

/// Arguments of `standin upstream`.
#[derive(Debug, Clone, Default)]
#[derive(clap::Args)]
pub struct UpstreamArgs {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Address to listen on; port 0 lets the kernel choose.
    #[arg(long, value_name = "ADDRESS")]
    pub listen: Option<SocketAddr>,
    /// Name of the upstream.
    #[arg(long)]
    pub name: Option<UpstreamId>,
    /// Entry that it serves.
    #[arg(long)]
    pub entry: Option<EntryId>,
    /// File to which the journal is appended.
    #[arg(long, value_name = "FILE")]
    pub journal: Option<PathBuf>,
}

impl UpstreamArgs {
    /// Returns the settings of the file, overridden by the arguments.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed.
    pub fn read(&self) -> anyhow::Result<UpstreamSettings> {
        let cfg: UpstreamSettings = read_settings(self.settings.as_deref())?;
        let args = self.clone();
        Ok(UpstreamSettings {
            listen: args.listen.unwrap_or(cfg.listen),
            name: args.name.unwrap_or(cfg.name),
            entry: args.entry.unwrap_or(cfg.entry),
            journal: args.journal.or(cfg.journal),
            ..cfg
        })
    }

    /// Runs the upstream until SIGTERM or SIGINT; requests in progress are finished.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the upstream can't start.
    pub fn run(&self) -> anyhow::Result<()> {
        let cfg = self.read()?;
        runtime()?.block_on(async {
            let upstream = Upstream::bind(cfg).await?;
            print_line(&Listening {
                listening: upstream.address(),
                admin: None,
            })?;
            wait_for_interrupt().await?;
            upstream.stop().await;
            Ok(())
        })
    }
}
