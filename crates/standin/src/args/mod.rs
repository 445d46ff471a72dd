//! Command-line arguments of the stand-ins, each of which can run as a separate process.
//!
//! A stand-in that listens prints one line of JSON with its addresses once it is ready, and runs
//! until SIGTERM or SIGINT. Settings come from a JSON file; arguments override them.
//!
//! - [`upstream`]: `standin upstream`.
//! - [`platform`]: `standin platform`.
//! - [`proxy`]: `standin proxy`.
//! - [`load`]: `standin load`.
//! - [`judge`]: `standin judge`.

pub mod judge;
pub mod load;
pub mod platform;
pub mod proxy;
mod run;
pub mod upstream;

use clap::Subcommand;

pub use judge::JudgeArgs;
pub use load::LoadArgs;
pub use platform::PlatformArgs;
pub use proxy::ProxyArgs;
pub use upstream::UpstreamArgs;

/// Which stand-in to run.
#[derive(Debug, Clone)]
#[derive(Subcommand)]
pub enum StandinCommand {
    /// Runs a server that simulates the platform.
    #[command(after_help = "Example: medlardyke standin platform --settings platform.json")]
    Platform(PlatformArgs),
    /// Runs a server that simulates an upstream.
    #[command(after_help = "Example: medlardyke standin upstream --name up-1 --entry tariffbok")]
    Upstream(UpstreamArgs),
    /// Runs a TCP proxy that injects faults.
    #[command(after_help = "Example: medlardyke standin proxy --target 127.0.0.1:8080")]
    Proxy(ProxyArgs),
    /// Sends requests at a given rate and prints a summary as one line of JSON.
    #[command(after_help = "Example: medlardyke standin load --target 127.0.0.1:8080 --rate 100")]
    Load(LoadArgs),
    /// Judges a load by its records and the upstreams' journals; fails if any fault is found.
    #[command(
        after_help = "Example: medlardyke standin judge --records r.jsonl --journal up-1.jsonl"
    )]
    Judge(JudgeArgs),
}

impl StandinCommand {
    /// Runs the stand-in to its end.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the stand-in can't start.
    pub fn run(&self) -> anyhow::Result<()> {
        match self {
            Self::Platform(args) => args.run(),
            Self::Upstream(args) => args.run(),
            Self::Proxy(args) => args.run(),
            Self::Load(args) => args.run(),
            Self::Judge(args) => args.run(),
        }
    }
}
