//! Tests of help texts, exit codes and error messages of the command line.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Timeout of a command, long enough for a busy machine.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn medlardyke(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlardyke"));
    for name in [
        "MEDLARDYKE_OPERATOR",
        "MEDLARDYKE_TOKEN",
        "MEDLARDYKE_PLATFORM",
    ] {
        command.env_remove(name);
    }
    command
        .env_remove("MEDLARDYKE_HOST_TOKEN")
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    let start = Instant::now();
    while child.try_wait().expect("a child process").is_none() {
        if start.elapsed() > COMMAND_TIMEOUT {
            child.kill().expect("a child process");
            panic!("{args:?} has not ended within {COMMAND_TIMEOUT:?}");
        }
        sleep(POLL_INTERVAL);
    }
    child.wait_with_output().expect("the pipes can be read")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn every_subcommand_has_help() {
    struct Case {
        args: &'static [&'static str],
        expected: &'static str,
    }
    let cases = [
        Case {
            args: &["--help"],
            expected: "Exit codes:",
        },
        Case {
            args: &["serve", "--help"],
            expected: "Example: medlardyke serve",
        },
        Case {
            args: &["dev", "--help"],
            expected: "Example: medlardyke dev",
        },
        Case {
            args: &["check", "--help"],
            expected: "Example: medlardyke check",
        },
        Case {
            args: &["status", "--help"],
            expected: "Example: medlardyke status",
        },
        Case {
            args: &["catalogue", "--help"],
            expected: "Exit codes:",
        },
        Case {
            args: &["catalogue", "apply", "--help"],
            expected: "--dry-run",
        },
        Case {
            args: &["trial", "--help"],
            expected: "Example: medlardyke trial",
        },
        Case {
            args: &["standin", "platform", "--help"],
            expected: "Example: medlardyke standin platform",
        },
        Case {
            args: &["standin", "upstream", "--help"],
            expected: "Example: medlardyke standin upstream",
        },
    ];
    for case in cases {
        let output = medlardyke(case.args);
        let out = text(&output.stdout);
        assert_eq!(output.status.code(), Some(0), "{:?}", case.args);
        assert!(out.contains(case.expected), "{:?}: {out}", case.args);
    }
}

#[test]
fn exit_codes_say_how_a_command_ended() {
    struct Case {
        args: &'static [&'static str],
        code: i32,
        expected: &'static str,
    }
    let cases = [
        Case {
            args: &["no-such-command"],
            code: 2,
            expected: "unrecognized subcommand",
        },
        Case {
            args: &["serve"],
            code: 2,
            expected: "--settings",
        },
        Case {
            args: &["serve", "--settings", "no-such-file.json"],
            code: 3,
            expected: "no-such-file.json",
        },
        Case {
            args: &["check", "no-such-file.json"],
            code: 3,
            expected: "no-such-file.json",
        },
        Case {
            // No process listens on port 1.
            args: &["status", "127.0.0.1:1"],
            code: 5,
            expected: "127.0.0.1:1",
        },
        Case {
            args: &["catalogue", "show"],
            code: 2,
            expected: "MEDLARDYKE_PLATFORM",
        },
        Case {
            args: &["trial", "no-such-trial"],
            code: 1,
            expected: "no trial \"no-such-trial\"",
        },
    ];
    for case in cases {
        let output = medlardyke(case.args);
        let err = text(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{:?}: {err}",
            case.args
        );
        assert!(err.contains(case.expected), "{:?}: {err}", case.args);
    }
}

#[test]
fn check_accepts_the_examples() {
    for example in ["landavgift", "kotuku"] {
        let dir = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let output = medlardyke(&["check", &dir]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    }
}

#[test]
fn bad_settings_are_refused_with_all_faults() {
    struct Case {
        name: &'static str,
        settings: Value,
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "an unknown field and a missing one",
            settings: json!({
                "host": "norr-1", "domain": "norr", "speed": 3, "platform": {},
            }),
            expected: &["speed", "address"],
        },
        Case {
            name: "a wrong type and an impossible limit",
            settings: json!({
                "host": "norr-1", "domain": "norr",
                "platform": {"address": "127.0.0.1:9", "timeout_ms": "1s"},
                "callers": {"connections": 0},
            }),
            expected: &["/platform/timeout_ms", "/callers/connections"],
        },
        Case {
            name: "no address",
            settings: json!({
                "host": "norr-1", "domain": "norr", "platform": {"address": "platform:80"},
            }),
            expected: &["/platform/address", "platform:80"],
        },
        Case {
            name: "a grant shorter than its renewals",
            settings: json!({
                "host": "norr-1", "domain": "norr", "platform": {"address": "127.0.0.1:9"},
                "ownership": {"grant_ttl_ms": 200, "renew_every_ms": 150},
            }),
            expected: &["/ownership"],
        },
    ];
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("host.json");
    let file = path.to_str().expect("UTF-8");
    for case in cases {
        fs::write(&path, case.settings.to_string()).expect("the file is written");
        for command in [&["check", file][..], &["serve", "--settings", file][..]] {
            let output = medlardyke(command);
            let err = text(&output.stderr);
            assert_eq!(output.status.code(), Some(3), "{}: {err}", case.name);
            assert!(err.contains(file), "{}: {err}", case.name);
            for expected in case.expected {
                assert!(
                    err.contains(expected),
                    "{}: {expected} is not in {err}",
                    case.name
                );
            }
        }
    }
}

#[test]
fn check_lists_faults_as_json() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("host.json");
    let settings = json!({
        "host": "norr 1", "domain": "norr", "platform": {"address": "127.0.0.1:9"}, "speed": 3,
    });
    fs::write(&path, settings.to_string()).expect("the file is written");
    let output = medlardyke(&["check", "--json", path.to_str().expect("UTF-8")]);
    let faults: Vec<Value> = serde_json::from_slice(&output.stdout).expect("a list");
    assert_eq!(output.status.code(), Some(3));
    assert_eq!(faults.len(), 2, "{faults:?}");
}

#[test]
fn a_host_without_credential_does_not_start() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("host.json");
    let settings = json!({
        "host": "norr-1", "domain": "norr", "platform": {"address": "127.0.0.1:9"},
    });
    fs::write(&path, settings.to_string()).expect("the file is written");
    let output = medlardyke(&["serve", "--settings", path.to_str().expect("UTF-8")]);
    let err = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{err}");
    assert!(err.contains("MEDLARDYKE_HOST_TOKEN"), "{err}");
}

/// The deployed setup serves the request that it prints, and ends on SIGINT.
#[test]
fn dev_runs_the_deployed_form() {
    // An address that no other test on this machine uses.
    let process = std::process::id();
    let listen = format!("127.{}.{}.1:8080", 220 + process / 250 % 30, process % 250);
    let mut dev = Command::new(env!("CARGO_BIN_EXE_medlardyke"))
        .args(["dev", "--platform", "--listen", &listen])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program runs");
    let out = BufReader::new(dev.stdout.take().expect("piped"));
    let lines = out.lines().map(|line| line.expect("text"));
    let printed: Vec<String> = lines.take_while(|l| !l.contains("Ctrl-C")).collect();
    let pid = Pid::from_child(&dev);
    kill_process(pid, Signal::INT).expect("the process runs");
    let code = dev.wait().expect("the process ends").code();
    assert_eq!(code, Some(0), "{printed:?}");
    let curl = printed.iter().find(|l| l.contains("curl -i"));
    assert!(curl.is_some_and(|l| l.contains(&listen)), "{printed:?}");
}
