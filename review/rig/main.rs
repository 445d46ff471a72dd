//! Stand-ins of the review: the platform's store, targets and clients; and the cases that use them.
//!
//! `rig CASE RECORD` runs a case in the project's folder and writes to the file RECORD what was sent,
//! answered and run. The environment variable `TROUBLE=0` leaves the disruption out. `rig target ...`
//! runs one target; cases start it themselves.

mod deployment;
mod fleet;
mod foreign_entry;
mod http;
mod json;
mod late_answer;
mod reborn;
mod rules;
mod store;
mod target;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let is_disturbed = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match args
        .iter()
        .map(String::as_str)
        .collect::<Vec<_>>()
        .as_slice()
    {
        ["target", ..] => {
            target::run(target::Settings::from_args(&args));
            0
        }
        ["reborn", record] => reborn::run(Path::new(record), is_disturbed),
        ["foreign-entry", record] => foreign_entry::run(Path::new(record), is_disturbed),
        ["late-answer", record] => late_answer::run(Path::new(record), is_disturbed),
        _ => {
            eprintln!("usage: rig CASE RECORD");
            2
        }
    };
    std::process::exit(code);
}
