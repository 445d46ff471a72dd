//! Exit codes that all subcommands share.

use std::fmt::Display;
use std::process::ExitCode;

/// The command succeeded.
pub(crate) const OK: u8 = 0;
/// The command failed.
pub(crate) const FAILED: u8 = 1;
/// An input file is invalid.
pub(crate) const INVALID: u8 = 3;
/// A queried process did not answer.
pub(crate) const UNREACHABLE: u8 = 5;

/// Prints an error and returns `code`.
pub(crate) fn fail(code: u8, error: impl Display) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(code)
}
