//! The `medlardyke` command.

mod args;
mod check;
mod dev;
mod dev_platform;
mod direct;
mod exit;
mod explain;
mod parts;
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
        Command::Catalogue(args) => parts::catalogue(args),
        Command::Standin(command) => parts::standin(&command),
        Command::Trial(args) => parts::trial(&args),
        Command::Measure(args) => parts::measure(&args),
        Command::Report(args) => parts::report(&args),
        Command::Status(args) => status::run(&args),
    }
}
