//! The commands, one module each.
//!
//! Each is generic over the traits of the platform and returns a [`Report`], which [`run`] prints.

use std::fmt::Display;
use std::io::{self, Write};
use std::process::ExitCode;

use catalogue::Faults;
use platform::{HttpPlatform, PlatformError};
use serde_json::{Value, json};

use crate::args::{Args, Command};
use crate::exit::Exit;
use crate::read::ReadError;
use crate::render::count;
use crate::settings::OperatorSettings;

pub mod apply;
pub mod check;
pub mod diff;
pub mod history;
pub mod plan;
pub mod pull;
pub mod rollback;
pub mod settle;
pub mod show;
pub mod status;
pub mod submit;
pub mod wait;

/// The result of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Exit code.
    pub exit: Exit,
    /// Human-readable output.
    pub text: String,
    /// JSON output: an object whose `result` is the name of the exit code.
    pub json: Value,
}

impl Report {
    /// Creates a report. `json` must be an object; the field `result` is added to it.
    #[must_use]
    pub fn new(exit: Exit, text: impl Into<String>, json: Value) -> Self {
        let mut object = json!({"result": exit.as_str()});
        if let (Value::Object(object), Value::Object(more)) = (&mut object, json) {
            object.extend(more);
        }
        Self {
            exit,
            text: text.into(),
            json: object,
        }
    }

    /// Creates a report of an error.
    #[must_use]
    pub fn error(exit: Exit, error: impl Display) -> Self {
        let error = error.to_string();
        let json = json!({"error": error});
        Self::new(exit, error, json)
    }
}

impl From<Faults> for Report {
    fn from(faults: Faults) -> Self {
        let count = count(faults.0.len(), "fault");
        let json = json!({"faults": faults.0});
        Self::new(Exit::Invalid, format!("{faults}\n{count}"), json)
    }
}

impl From<ReadError> for Report {
    fn from(e: ReadError) -> Self {
        let exit = match &e {
            ReadError::Platform(PlatformError::Forbidden { .. }) => Exit::Denied,
            ReadError::Missing(_) | ReadError::TooHigh { .. } => Exit::Usage,
            _ => Exit::Unreachable,
        };
        Self::error(exit, e)
    }
}

/// A report that ends a command before it has completed.
#[derive(Debug, Clone, PartialEq)]
pub struct EarlyExit(pub Box<Report>);

/// The result of a command; `Err` if it ended early.
pub type CommandResult = Result<Report, EarlyExit>;

impl<E: Into<Report>> From<E> for EarlyExit {
    fn from(e: E) -> Self {
        Self(Box::new(e.into()))
    }
}

/// Returns the report of a local failure.
pub(crate) fn failed(e: impl Display) -> EarlyExit {
    Report::error(Exit::Failed, e).into()
}

/// Returns the report of an invalid command line or invalid settings.
pub(crate) fn usage(e: &anyhow::Error) -> EarlyExit {
    Report::error(Exit::Usage, format!("{e:#}")).into()
}

/// Runs a command and prints its report.
pub async fn run(args: Args) -> ExitCode {
    let report = match dispatch(&args).await {
        Ok(report) => report,
        Err(EarlyExit(report)) => *report,
    };
    match print(&report, args.json) {
        Ok(()) => report.exit.into(),
        Err(_) => Exit::Failed.into(),
    }
}

fn print(report: &Report, json: bool) -> io::Result<()> {
    if json {
        return writeln!(io::stdout().lock(), "{}", report.json);
    }
    if report.exit == Exit::Done {
        return writeln!(io::stdout().lock(), "{}", report.text);
    }
    writeln!(io::stderr().lock(), "{}", report.text)
}

async fn dispatch(args: &Args) -> CommandResult {
    match &args.command {
        Command::Check { dir } => return check::check(dir),
        Command::Schema { kind } => return Ok(check::schema(*kind)),
        _ => {}
    }
    let settings = OperatorSettings::load(args.settings.as_deref()).map_err(|e| usage(&e))?;
    let platform: HttpPlatform = settings.platform().map_err(|e| usage(&e))?;
    match args.command.clone() {
        Command::Check { dir } => check::check(&dir),
        Command::Schema { kind } => Ok(check::schema(kind)),
        Command::Plan { dir, against } => {
            let operator = settings.operator().map_err(|e| usage(&e))?;
            plan::plan(&platform, &dir, &against, &operator).await
        }
        Command::Apply {
            dir,
            against,
            dry_run,
            submit,
        } => {
            let cx =
                submit::SubmitContext::new(&settings, &submit, dry_run).map_err(|e| usage(&e))?;
            apply::apply(&platform, &dir, &against, &cx).await
        }
        Command::Pull { dir, theirs, mine } => {
            let resolution = pull::ConflictResolution::from_flags(theirs, mine);
            pull::pull(&platform, &dir, resolution).await
        }
        Command::Show { items, at } => show::show(&platform, &items, at).await,
        Command::History { last, item } => history::history(&platform, last, item.as_ref()).await,
        Command::Diff { from, to } => diff::diff(&platform, from, to).await,
        Command::Rollback {
            version,
            only,
            admin,
            dry_run,
            submit,
        } => {
            let cx =
                submit::SubmitContext::new(&settings, &submit, dry_run).map_err(|e| usage(&e))?;
            rollback::rollback(&platform, version, &only, admin, &cx).await
        }
        Command::Status { hosts } => {
            let hosts = wait::all_hosts(&settings.hosts, &hosts);
            status::status(&platform, &hosts, submit::now_ms()).await
        }
        Command::Settle { change, withdraw } => {
            let operator = withdraw.then(|| settings.operator()).transpose();
            let operator = operator.map_err(|e| usage(&e))?;
            settle::settle(&platform, &change, operator.as_ref()).await
        }
    }
}
