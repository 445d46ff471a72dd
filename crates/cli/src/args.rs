//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use standin::args::StandinCommand;

/// Routes requests to upstreams that own their keys exclusively.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "medlardyke", version, after_help = EXIT_CODES)]
pub(crate) struct Args {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 a file is not valid, \
                          4 conflict, 5 a process can't be reached, 6 unknown, \
                          7 not in force everywhere yet, 8 denied.";

/// What to do.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs an entry host until it gets SIGTERM or SIGINT; it then drains without cutting requests.
    #[command(after_help = "Example: medlardyke serve --settings host.json")]
    Serve(ServeArgs),
    /// Runs an entry host on the users' platform that sends to upstreams itself, until it gets
    /// SIGTERM or SIGINT; it then drains without cutting requests.
    #[command(after_help = "Example: medlardyke direct --settings settings.json")]
    Direct(ServeArgs),
    /// Runs everything on loopback in one process, to try it out.
    #[command(after_help = "Example: medlardyke dev --example kotuku --listen 127.0.0.1:8080")]
    Dev(DevArgs),
    /// Checks settings files of hosts and directories of declarations; lists all faults.
    #[command(after_help = "Example: medlardyke check host.json examples/landavgift")]
    Check(CheckArgs),
    /// Looks at the catalogue and changes it.
    Catalogue(operate::Args),
    /// Runs one of the stand-ins that take the place of platform, upstreams and callers.
    #[command(subcommand)]
    Standin(StandinCommand),
    /// Runs real processes under load and faults, and checks their behaviour.
    Trial(trial::Args),
    /// Runs measurements; prints a JSON line per case.
    #[command(after_help = "Example: medlardyke measure path --seed 1")]
    Measure(measure::MeasureArgs),
    /// Writes an HTML page that compares measurements, from their JSON lines.
    #[command(after_help = "Example: medlardyke report before.jsonl after.jsonl --out report.html")]
    Report(measure::ReportArgs),
    /// Prints the log lines about one request and what its hosts knew at the time, from logs in
    /// files or on standard input.
    #[command(after_help = "Example: medlardyke explain 9c41d07be2a35f68 host-*.log")]
    Explain(ExplainArgs),
    /// Prints the status of entry hosts.
    #[command(after_help = "Example: medlardyke status 127.0.0.1:8080 --json")]
    Status(StatusArgs),
}

/// Arguments of `explain`.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct ExplainArgs {
    /// Id of the request.
    pub(crate) request: String,
    /// Log files; standard input if none is given.
    pub(crate) files: Vec<PathBuf>,
}

/// Arguments of `serve`.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct ServeArgs {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Example declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(ValueEnum)]
pub(crate) enum Example {
    /// Landing fees, in three domains.
    Landavgift,
    /// Satellite passes, in three domains.
    Kotuku,
}

/// Arguments of `dev`.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct DevArgs {
    /// Declarations to run.
    #[arg(long, value_enum, default_value = "landavgift")]
    pub(crate) example: Example,
    /// Directory of declarations to run instead of an example.
    #[arg(long, value_name = "DIR", conflicts_with = "example")]
    pub(crate) catalogue: Option<PathBuf>,
    /// Address for callers of the first host; port 0 lets the kernel choose.
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub(crate) listen: SocketAddr,
    /// Print the addresses as one JSON line.
    #[arg(long, conflicts_with = "platform")]
    pub(crate) json: bool,
    /// Run hosts that send to upstreams themselves, as they are deployed on the users' platform;
    /// `--listen` is the loopback address of the first one, and the others have the next addresses.
    #[arg(long, conflicts_with_all = ["example", "catalogue"])]
    pub(crate) platform: bool,
}

/// Arguments of `check`.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct CheckArgs {
    /// Settings files of hosts, or directories of declarations.
    #[arg(required = true, value_name = "PATH")]
    pub(crate) paths: Vec<PathBuf>,
    /// Print the faults as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Arguments of `status`.
#[derive(Debug)]
#[derive(clap::Args)]
pub(crate) struct StatusArgs {
    /// Addresses at which the hosts accept callers.
    #[arg(required = true, value_name = "ADDRESS")]
    pub(crate) hosts: Vec<SocketAddr>,
    /// Print the status as JSON, one line per host.
    #[arg(long)]
    pub(crate) json: bool,
}
