//! `standin platform`.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use super::run::{print_line, read_settings, runtime, wait_for_interrupt};
use crate::platform::{Addresses, PlatformSettings, StandinPlatform};

/// Arguments of `standin platform`.
#[derive(Debug, Clone, Default)]
#[derive(clap::Args)]
pub struct PlatformArgs {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Address for calls; the kernel chooses a port on loopback by default.
    #[arg(long, value_name = "ADDRESS")]
    pub listen: Option<SocketAddr>,
}

impl PlatformArgs {
    /// Returns the settings of the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed.
    pub fn read(&self) -> anyhow::Result<PlatformSettings> {
        read_settings(self.settings.as_deref())
    }

    /// Runs the platform until SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the platform can't start.
    pub fn run(&self) -> anyhow::Result<()> {
        let cfg = self.read()?;
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let address = self.listen.unwrap_or(loopback);
        runtime()?.block_on(async {
            let platform = StandinPlatform::bind(address, cfg).await?;
            print_line(&Addresses {
                address: platform.address(),
                admin_address: platform.admin_address(),
            })?;
            wait_for_interrupt().await?;
            platform.shutdown().await;
            Ok(())
        })
    }
}
