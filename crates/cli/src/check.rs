//! `medlardyke check`.

use std::path::Path;
use std::process::ExitCode;

use catalogue::Faults;

use crate::args::CheckArgs;
use crate::exit;

/// Checks settings files and directories of declarations.
pub(crate) fn run(args: &CheckArgs) -> ExitCode {
    let mut faults = Vec::new();
    for path in &args.paths {
        if let Err(found) = check(path) {
            faults.extend(found.0);
        }
    }
    if args.json {
        let text = serde_json::to_string_pretty(&faults).expect("faults are plain JSON");
        println!("{text}");
    }
    if faults.is_empty() {
        return ExitCode::from(exit::OK);
    }
    if !args.json {
        eprintln!("{}", Faults(faults));
    }
    ExitCode::from(exit::INVALID)
}

fn check(path: &Path) -> Result<(), Faults> {
    if path.is_dir() {
        return catalogue::load(path).map(drop);
    }
    host::load_settings(path).map(drop)
}
