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

/// Events by which a host tells what it believes; the last of each counts.
const BELIEFS: [&str; 8] = [
    "host starts",
    "phase",
    "configuration in force",
    "keys are granted by",
    "change owners of keys",
    "store lost",
    "store regained",
    "fed by",
];
/// Fields that stand at the beginning of a line, or say nothing in a story.
const PLAIN: [&str; 5] = ["msg", "ts", "host", "level", "request"];

/// A log line.
type Line = Map<String, Value>;

/// A line about the request, with what its host believed then.
struct Step {
    line: Line,
    beliefs: Vec<Line>,
}

/// Prints the story of one request.
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
    // Hosts' clocks are close to each other, which is enough to tell a story.
    lines.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
    let steps = steps(lines, &args.request);
    let mut out = io::stdout().lock();
    for step in &steps {
        print(&mut out, step).context("write to standard output")?;
    }
    Ok(!steps.is_empty())
}

fn read_file(path: &Path, lines: &mut Vec<Line>) -> anyhow::Result<()> {
    let failed = || format!("read {}", path.display());
    let file = File::open(path).with_context(failed)?;
    read(BufReader::new(file), lines).with_context(failed)
}

/// Reads log lines; whatever stands before the JSON of a line, as collectors put it, is left out.
fn read(from: impl BufRead, lines: &mut Vec<Line>) -> io::Result<()> {
    for line in from.lines() {
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

fn steps(lines: Vec<Line>, request: &str) -> Vec<Step> {
    let mut beliefs: HashMap<(String, String), Line> = HashMap::new();
    let mut steps = Vec::new();
    for line in lines {
        let host = text(&line, "host").to_owned();
        let event = text(&line, "msg").to_owned();
        if text(&line, "request") == request {
            let of_host = beliefs.iter().filter(|((h, _), _)| *h == host);
            let mut beliefs: Vec<Line> = of_host.map(|(_, line)| line.clone()).collect();
            beliefs.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
            steps.push(Step { line, beliefs });
        } else if BELIEFS.contains(&event.as_str()) {
            beliefs.insert((host, event), line);
        }
    }
    steps
}

fn text<'a>(line: &'a Line, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn print(out: &mut impl Write, step: &Step) -> io::Result<()> {
    print_line(out, "", &step.line)?;
    for belief in &step.beliefs {
        print_line(out, "    known: ", belief)?;
    }
    Ok(())
}

fn print_line(out: &mut impl Write, indent: &str, line: &Line) -> io::Result<()> {
    let (at, host, event) = (text(line, "ts"), text(line, "host"), text(line, "msg"));
    write!(out, "{indent}{at} {host} {event}")?;
    for (field, value) in line {
        if !PLAIN.contains(&field.as_str()) && !value.is_null() {
            write!(out, " {field}={value}")?;
        }
    }
    writeln!(out)
}
