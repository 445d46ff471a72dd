//! `standin proxy`.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use super::run::{Listening, print_line, read_settings, runtime, wait_for_interrupt};
use crate::proxy::{FaultProxy, ProxyAdmin, ProxySettings};

/// Arguments of `standin proxy`.
#[derive(Debug, Clone, Default)]
#[derive(clap::Args)]
pub struct ProxyArgs {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Address to listen on; port 0 lets the kernel choose.
    #[arg(long, value_name = "ADDRESS")]
    pub listen: Option<SocketAddr>,
    /// Address of the server behind the proxy.
    #[arg(long, value_name = "ADDRESS")]
    pub target: Option<SocketAddr>,
    /// Address of the admin endpoint; the kernel chooses a port on loopback by default.
    #[arg(long, value_name = "ADDRESS")]
    pub admin: Option<SocketAddr>,
}

impl ProxyArgs {
    /// Returns the settings of the file, overridden by the arguments.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or no target is given.
    pub fn read(&self) -> anyhow::Result<ProxySettings> {
        let cfg: ProxySettings = read_settings(self.settings.as_deref())?;
        let cfg = ProxySettings {
            listen: self.listen.unwrap_or(cfg.listen),
            target: self.target.unwrap_or(cfg.target),
            ..cfg
        };
        anyhow::ensure!(cfg.target.port() != 0, "the proxy has no target");
        Ok(cfg)
    }

    /// Runs the proxy until SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the proxy can't start.
    pub fn run(&self) -> anyhow::Result<()> {
        let cfg = self.read()?;
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        runtime()?.block_on(async {
            let proxy = Arc::new(FaultProxy::bind(cfg)?);
            let listen = self.admin.unwrap_or(loopback);
            let admin = ProxyAdmin::bind(Arc::clone(&proxy), listen).await?;
            print_line(&Listening {
                listening: proxy.address(),
                admin: Some(admin.address()),
            })?;
            wait_for_interrupt().await
        })
    }
}
