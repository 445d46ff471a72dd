//! `medlardyke explain`.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context as _;
use serde_json::{Map, Value};

use crate::args::ExplainArgs;
use crate::exit;

/// Log messages that record the state of a host; only the last of each message is current.
const STATE_MESSAGES: [&str; 8] = [
    "host starts",
    "phase",
    "configuration in force",
    "keys are granted by",
    "change owners of keys",
    "store lost",
    "store regained",
    "fed by",
];
/// Fields that the beginning of a printed line contains, or that don't help to explain a request.
const OMITTED_FIELDS: [&str; 5] = ["msg", "ts", "host", "level", "request"];

/// A parsed log line.
type LogLine = Map<String, Value>;

/// A log line about the request, with the state of its host at that time.
struct Step {
    line: LogLine,
    state: Vec<LogLine>,
}

/// Prints the log lines about one request.
pub(crate) fn run(args: &ExplainArgs) -> ExitCode {
    match explain(args) {
        Ok(true) => ExitCode::from(exit::OK),
        Ok(false) => exit::fail(
            exit::FAILED,
            format!("no line names request {}", args.request),
        ),
        Err(e) => exit::fail(exit::FAILED, format!("{e:#}")),
    }
}

fn explain(args: &ExplainArgs) -> anyhow::Result<bool> {
    let mut lines = Vec::new();
    if args.files.is_empty() {
        read(io::stdin().lock(), &mut lines).context("read standard input")?;
    }
    for path in &args.files {
        read_file(path, &mut lines)?;
    }
    // Clocks of hosts differ little, so that lines of several hosts can be sorted by time.
    lines.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
    let steps = steps(lines, &args.request);
    let mut out = io::stdout().lock();
    for step in &steps {
        print(&mut out, step).context("write to standard output")?;
    }
    Ok(!steps.is_empty())
}

fn read_file(path: &Path, lines: &mut Vec<LogLine>) -> anyhow::Result<()> {
    let action = || format!("read {}", path.display());
    let file = File::open(path).with_context(action)?;
    read(BufReader::new(file), lines).with_context(action)
}

/// Reads log lines; ignores any text before the JSON object, which log collectors add.
fn read(input: impl BufRead, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for line in input.lines() {
        let line = line?;
        let json = line
            .find('{')
            .and_then(|at| serde_json::from_str(&line[at..]).ok());
        if let Some(Value::Object(line)) = json {
            lines.push(line);
        }
    }
    Ok(())
}

fn steps(lines: Vec<LogLine>, request: &str) -> Vec<Step> {
    let mut states: HashMap<(String, String), LogLine> = HashMap::new();
    let mut steps = Vec::new();
    for line in lines {
        let host = text(&line, "host").to_owned();
        let message = text(&line, "msg").to_owned();
        if text(&line, "request") == request {
            let of_host = states.iter().filter(|((h, _), _)| *h == host);
            let mut state: Vec<LogLine> = of_host.map(|(_, line)| line.clone()).collect();
            state.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
            steps.push(Step { line, state });
        } else if STATE_MESSAGES.contains(&message.as_str()) {
            states.insert((host, message), line);
        }
    }
    steps
}

fn text<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn print(out: &mut impl Write, step: &Step) -> io::Result<()> {
    print_line(out, "", &step.line)?;
    for line in &step.state {
        print_line(out, "    known: ", line)?;
    }
    Ok(())
}

fn print_line(out: &mut impl Write, indent: &str, line: &LogLine) -> io::Result<()> {
    let (at, host, message) = (text(line, "ts"), text(line, "host"), text(line, "msg"));
    write!(out, "{indent}{at} {host} {message}")?;
    for (field, value) in line {
        if !OMITTED_FIELDS.contains(&field.as_str()) && !value.is_null() {
            write!(out, " {field}={value}")?;
        }
    }
    writeln!(out)
}
