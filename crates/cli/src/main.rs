//! The `medlardyke` command.

mod args;
mod check;
mod delegated;
mod dev;
mod dev_platform;
mod direct;
mod exit;
mod explain;
mod serve;
mod status;

use std::process::ExitCode;

use clap::Parser;

use args::{Args, Command};

fn main() -> ExitCode {
    match Args::parse().command {
        Command::Serve(args) => serve::run(&args),
        Command::Direct(args) => direct::run(&args),
        Command::Dev(args) => dev::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Catalogue(args) => delegated::catalogue(args),
        Command::Standin(command) => delegated::standin(&command),
        Command::Trial(args) => delegated::trial(&args),
        Command::Measure(args) => delegated::measure(&args),
        Command::Report(args) => delegated::report(&args),
        Command::Status(args) => status::run(&args),
    }
}
