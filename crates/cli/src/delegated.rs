//! Commands that other crates implement.

use std::path::Path;
use std::process::ExitCode;

use standin::args::StandinCommand;

use crate::exit;

/// Directory of the example declarations.
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

/// Runs a command on the catalogue.
pub(crate) fn catalogue(args: operate::Args) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(operate::run(args)),
        Err(e) => exit::fail(exit::FAILED, e),
    }
}

/// Runs a stand-in process.
pub(crate) fn standin(command: &StandinCommand) -> ExitCode {
    match command.run() {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, format!("{e:#}")),
    }
}

/// Runs trials.
pub(crate) fn trial(args: &trial::Args) -> ExitCode {
    match args.run(Path::new(EXAMPLES)) {
        Ok(code) => code,
        Err(e) => exit::fail(exit::FAILED, format!("{e:#}")),
    }
}

/// Runs a measurement.
pub(crate) fn measure(args: &measure::MeasureArgs) -> ExitCode {
    exit_code(measure::run_measure(args))
}

/// Writes the report that compares measurements.
pub(crate) fn report(args: &measure::ReportArgs) -> ExitCode {
    exit_code(measure::run_report(args))
}

fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, format!("{e:#}")),
    }
}
