//! Tests `measure bound` as a command, with small files.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::{Value, json};

const DESCRIPTION: &str = r#"{
  "routes": [
    {"name": "buy", "entry": "shop", "priority": 0, "objective_ms": 100, "deadline_ms": 300,
     "in_time_weight": 1, "late_weight": 0.1}
  ],
  "upstreams": [{"name": "u-1", "entry": "shop", "domain": "norr", "slots": 1, "speed": 1.0}]
}"#;

const TRACE: &str = r#"
{"arrival_ms": 0, "route": "buy", "domain": "norr", "service_ms": 100}
{"arrival_ms": 0, "route": "buy", "domain": "syd", "upstream": "u-1", "service_ms": 50}
{"arrival_ms": 0, "route": "buy", "domain": "syd", "service_ms": 50}

{"arrival_ms": 2500, "route": "buy", "domain": "syd", "service_ms": 50}
"#;

const RUN: &str = r#"
{"arrival_ms": 0, "route": "buy", "domain": "norr", "outcome": "answered", "latency_ms": 99}
{"arrival_ms": 0, "route": "buy", "domain": "syd", "outcome": "answered", "latency_ms": 150}
{"arrival_ms": 0, "route": "buy", "domain": "syd", "outcome": "refused", "latency_ms": 2}
{"arrival_ms": 2500, "route": "buy", "domain": "syd", "outcome": "answered", "latency_ms": 50}
"#;

struct Files {
    dir: tempfile::TempDir,
}

impl Files {
    fn write(trace: &str) -> Self {
        let dir = tempfile::tempdir().expect("a directory");
        for (name, text) in [
            ("description.json", DESCRIPTION),
            ("trace.jsonl", trace),
            ("run.jsonl", RUN),
        ] {
            fs::write(dir.path().join(name), text).expect("a file");
        }
        Self { dir }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn measure(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_medlardyke"));
        command.args(["measure", "bound", "--description", "description.json"]);
        command.args(["--trace", "trace.jsonl"]).args(args);
        let output = command.current_dir(self.dir.path()).output();
        output.expect("the program runs")
    }
}

fn lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    let lines = text.lines().map(serde_json::from_str);
    lines.map(|line| line.expect("a JSON line")).collect()
}

fn assert_ok(output: &Output) {
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{err}");
}

/// Guards against fields that are missing or in the wrong row of the JSON lines.
#[test]
fn json_lines_have_a_row_for_each_route_domain_and_window() {
    let files = Files::write(TRACE);
    let output = files.measure(&["--run", "run.jsonl", "--json"]);
    assert_ok(&output);
    let lines = lines(&output);
    let tally = |in_time: f64, late: f64, unserved: f64| {
        json!({
            "in_time": in_time, "late": late, "unserved": unserved,
        })
    };
    let expected = json!({
        "kind": "bound", "route": "buy", "domain": "syd", "second": 0, "asked": 2,
        "bound": tally(2.0, 0.0, 0.0), "achievable": tally(2.0, 0.0, 0.0),
        "first_come": tally(0.0, 2.0, 0.0), "run": tally(0.0, 1.0, 1.0), "run_of_bound": 0.0,
    });
    let rows = lines.iter().filter(|line| line["kind"] == "bound");
    let keys: Vec<(&Value, &Value)> = rows.map(|row| (&row["domain"], &row["second"])).collect();
    let [first, second, third] =
        [("norr", 0), ("syd", 0), ("syd", 2)].map(|(d, s)| (json!(d), json!(s)));
    assert_eq!(
        keys,
        [
            (&first.0, &first.1),
            (&second.0, &second.1),
            (&third.0, &third.1)
        ]
    );
    assert!(lines.contains(&expected), "{lines:?}");
    let total = lines.last().expect("a total");
    assert_eq!(
        (&total["kind"], &total["route"]),
        (&json!("bound-total"), &json!("all"))
    );
    assert_eq!(
        (&total["asked"], &total["most_in_time"]),
        (&json!(4), &json!(3.0))
    );
    assert_eq!(total["run_of_bound"], json!(2.0 / 3.0));
}

/// Guards against a table without the run's fraction, a window length that has no effect, and a
/// chart that is not written.
#[test]
fn the_table_and_the_chart_have_all_schedules() {
    let files = Files::write(TRACE);
    let output = files.measure(&[
        "--run",
        "run.jsonl",
        "--window-s",
        "10",
        "--svg",
        "chart.svg",
    ]);
    assert_ok(&output);
    let text = String::from_utf8_lossy(&output.stdout);
    for part in [
        "bound",
        "achievable",
        "first come",
        "run/bound",
        "0.667",
        "at most 3.0 in time",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let windows = text
        .lines()
        .filter(|line| line.trim_start().starts_with("0 "));
    assert_eq!(windows.count(), 2, "one window for each domain: {text}");
    let svg = fs::read_to_string(files.path("chart.svg")).expect("a chart");
    for part in ["<svg", "bound", "achievable", "first come", "run"] {
        assert!(svg.contains(part), "{part}");
    }
    let output = files.measure(&[]);
    assert_ok(&output);
    assert!(!String::from_utf8_lossy(&output.stdout).contains("0.667"));
}

/// Guards against faults of a file that are reported without the file and the place.
#[test]
fn faults_of_files_are_named() {
    struct Case {
        trace: &'static str,
        args: &'static [&'static str],
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            trace: "\n{\"arrival_ms\": 0}\n",
            args: &[],
            expected: &["trace.jsonl", "line 2", "route"],
        },
        Case {
            trace: r#"{"arrival_ms": 0, "route": "sell", "domain": "norr", "service_ms": 1}"#,
            args: &[],
            expected: &["trace.jsonl", "record 1", "unknown route sell"],
        },
        Case {
            trace: TRACE,
            args: &["--run", "no-such-file.jsonl"],
            expected: &["no-such-file.jsonl"],
        },
    ];
    for case in cases {
        let files = Files::write(case.trace);
        let output = files.measure(case.args);
        let err = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{err}");
        for part in case.expected {
            assert!(err.contains(part), "{part}: {err}");
        }
    }
}
