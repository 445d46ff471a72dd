//! Exit codes that all subcommands share.

use std::fmt::Display;
use std::process::ExitCode;

/// The command did what it was asked for.
pub(crate) const OK: u8 = 0;
/// Something failed while the command ran.
pub(crate) const FAILED: u8 = 1;
/// A file that was given is not valid.
pub(crate) const INVALID: u8 = 3;
/// A process that was asked did not answer.
pub(crate) const UNREACHABLE: u8 = 5;

/// Prints an error and returns `code`.
pub(crate) fn fail(code: u8, error: impl Display) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(code)
}
