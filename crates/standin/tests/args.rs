//! Command-line arguments and settings files of the stand-ins.

use std::fs;

use clap::Parser;
use standin::args::StandinCommand;

#[derive(Debug)]
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: StandinCommand,
}

fn parse(line: &str) -> StandinCommand {
    let words = std::iter::once("standin").chain(line.split(' '));
    Args::try_parse_from(words).unwrap().command
}

#[test]
fn arguments_override_the_settings_file() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("upstream.json");
    fs::write(
        &file,
        r#"{"name": "up-7", "entry": "tariffbok", "slots": 9}"#,
    )
    .unwrap();
    let line = format!("upstream --settings {} --name up-8", file.display());
    let StandinCommand::Upstream(args) = parse(&line) else {
        panic!("parsed as another command");
    };
    let cfg = args.read().unwrap();
    assert_eq!(cfg.name.as_str(), "up-8");
    assert_eq!(cfg.entry.as_str(), "tariffbok");
    assert_eq!(cfg.slots, 9);
}

#[test]
fn invalid_settings_are_refused() {
    struct Case {
        name: &'static str,
        line: &'static str,
        settings: &'static str,
        error: &'static str,
    }
    let cases = [
        Case {
            name: "an unknown field",
            line: "upstream",
            settings: r#"{"slot": 4}"#,
            error: "unknown field `slot`",
        },
        Case {
            name: "an invalid name",
            line: "upstream",
            settings: r#"{"name": "up 1"}"#,
            error: "is no upstream name",
        },
        Case {
            name: "an unknown field of the platform",
            line: "platform",
            settings: r#"{"tokens": []}"#,
            error: "unknown field `tokens`",
        },
        Case {
            name: "a proxy without target",
            line: "proxy",
            settings: "{}",
            error: "no target",
        },
        Case {
            name: "load settings that are not JSON",
            line: "load",
            settings: "rate",
            error: "expected value",
        },
    ];
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("settings.json");
    for case in cases {
        fs::write(&file, case.settings).unwrap();
        let line = format!("{} --settings {}", case.line, file.display());
        let error = match parse(&line) {
            StandinCommand::Platform(args) => args.read().err(),
            StandinCommand::Upstream(args) => args.read().err(),
            StandinCommand::Proxy(args) => args.read().err(),
            StandinCommand::Load(args) => args.read().err(),
            StandinCommand::Judge(args) => args.judge().err(),
        };
        let error = format!("{:#}", error.expect(case.name));
        assert!(error.contains(case.error), "{}: {error}", case.name);
    }
}
