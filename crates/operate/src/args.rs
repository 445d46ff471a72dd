//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use catalogue::ItemKey;
use clap::{Subcommand, ValueEnum};
use ids::{ChangeId, Version};

use crate::exit::Exit;

/// `medlardyke catalogue`: looks at the catalogue and changes it.
#[derive(Debug, Clone)]
#[derive(clap::Args)]
#[command(after_help = exit_help())]
pub struct Args {
    /// Settings file (JSON); `MEDLARDYKE_OPERATOR`, `_TOKEN` and `_PLATFORM` override its fields.
    #[arg(long, global = true, value_name = "FILE", env = "MEDLARDYKE_SETTINGS")]
    pub settings: Option<PathBuf>,
    /// Write one JSON object to the output instead of text.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do with the catalogue.
#[derive(Debug, Clone)]
#[derive(Subcommand)]
pub enum Command {
    /// Lists all faults of a directory of declarations.
    Check {
        /// Directory of declarations.
        dir: PathBuf,
    },
    /// Prints the JSON schema of declaration files.
    Schema {
        /// Kind of file; all if none is given.
        kind: Option<Kind>,
    },
    /// Shows which items and slices would change if a directory were applied.
    Plan {
        /// Directory of declarations.
        dir: PathBuf,
        /// What the directory is compared with.
        #[command(flatten)]
        against: Against,
    },
    /// Applies a directory of declarations.
    Apply {
        /// Directory of declarations.
        dir: PathBuf,
        /// What the directory is compared with.
        #[command(flatten)]
        against: Against,
        /// Plan and verify the change without submitting it.
        #[arg(long)]
        dry_run: bool,
        /// How the change is submitted.
        #[command(flatten)]
        submit: Submit,
    },
    /// Merges the catalogue in force into a directory, keeping local changes.
    Pull {
        /// Directory of declarations.
        dir: PathBuf,
        /// If an item changed both locally and in force, take the one in force.
        #[arg(long, conflicts_with = "mine")]
        theirs: bool,
        /// If an item changed both locally and in force, keep the local one, to be applied next.
        #[arg(long)]
        mine: bool,
    },
    /// Shows the catalogue in force or one of its earlier versions.
    Show {
        /// Items, such as `entry/tariffbok`; lists all items if none is given.
        items: Vec<ItemKey>,
        /// An earlier version.
        #[arg(long, value_name = "VERSION", value_parser = version)]
        at: Option<Version>,
    },
    /// Lists changes, newest first.
    History {
        /// Maximum number of changes to examine, counted back from the newest.
        #[arg(long, default_value_t = 20)]
        last: u64,
        /// Only changes of this item.
        #[arg(long)]
        item: Option<ItemKey>,
    },
    /// Shows the differences between two versions.
    Diff {
        /// From this version.
        #[arg(value_parser = version)]
        from: Version,
        /// To this version; the newest if none is given.
        #[arg(value_parser = version)]
        to: Option<Version>,
    },
    /// Creates a new version with the content of an earlier one.
    Rollback {
        /// The earlier version.
        #[arg(value_parser = version)]
        version: Version,
        /// Only these items, such as `entry/tariffbok`.
        #[arg(long, value_name = "ITEM")]
        only: Vec<ItemKey>,
        /// Skip the check of the items' owners; the platform alone decides what may change.
        #[arg(long)]
        admin: bool,
        /// Plan and verify the change without submitting it.
        #[arg(long)]
        dry_run: bool,
        /// How the change is submitted.
        #[command(flatten)]
        submit: Submit,
    },
    /// Shows the version in force on each host, and by how much each lags.
    Status {
        /// Entry hosts to ask, besides those of the settings.
        #[arg(long = "host", value_name = "ADDRESS")]
        hosts: Vec<SocketAddr>,
    },
    /// Finds out whether a change was accepted whose confirmation was lost.
    Settle {
        /// Change.
        change: ChangeId,
        /// Withdraw the change if it has not been accepted, so that it never will be.
        #[arg(long)]
        withdraw: bool,
    },
}

/// What a directory is compared with to find local changes.
#[derive(Debug, Clone, Default)]
#[derive(clap::Args)]
pub struct Against {
    /// Version that the directory was planned against; items that changed since are conflicts.
    #[arg(long, value_name = "VERSION", value_parser = version)]
    pub expect: Option<Version>,
    /// Skip the check of the items' owners; the platform alone decides what may change.
    #[arg(long)]
    pub admin: bool,
}

/// How a change is submitted.
#[derive(Debug, Clone, Default)]
#[derive(clap::Args)]
pub struct Submit {
    /// Id of the change; derived from what changes if none is given.
    #[arg(long, value_name = "ID")]
    pub change: Option<ChangeId>,
    /// Reason for the change, recorded in the history.
    #[arg(long, short, default_value = "")]
    pub message: String,
    /// Don't wait until the change is in force on every host.
    #[arg(long)]
    pub no_wait: bool,
    /// Maximum wait, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub wait: u64,
    /// Entry hosts to wait for, besides those of the settings.
    #[arg(long = "host", value_name = "ADDRESS")]
    pub hosts: Vec<SocketAddr>,
}

/// Kind of a declaration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(ValueEnum)]
pub enum Kind {
    /// `domains.json`.
    Domains,
    /// `entries/NAME.json`.
    Entry,
    /// `upstreams/*.json`.
    Upstreams,
}

fn version(text: &str) -> Result<Version, std::num::ParseIntError> {
    text.parse().map(Version)
}

fn exit_help() -> String {
    let lines = Exit::ALL
        .iter()
        .map(|e| format!("  {}  {}", e.code(), e.about()));
    let lines: Vec<String> = lines.collect();
    format!("Exit codes:\n{}", lines.join("\n"))
}
