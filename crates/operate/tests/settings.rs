//! Tests of the settings, the environment variables and the command line.

use std::fs;
use std::net::SocketAddr;

use clap::Parser;
use operate::args::Command;
use operate::settings::{OPERATOR_VAR, PLATFORM_VAR, TOKEN_VAR};
use operate::{Args, Exit, OperatorSettings};
use platform::Token;

const SECRET: &str = "s3cret-token";

fn write(body: &str) -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("operator.json"), body).unwrap();
    fs::write(dir.path().join("token"), format!("{SECRET}\n")).unwrap();
    dir
}

#[test]
fn the_environment_replaces_the_file() {
    let dir = write(
        r#"{"operator": "anna", "token": "old", "platform": "10.0.0.1:7000",
            "hosts": ["10.0.0.2:80"], "timeout_ms": 300}"#,
    );
    let mut settings = OperatorSettings::load(Some(&dir.path().join("operator.json"))).unwrap();
    assert_eq!(settings.operator().unwrap().as_str(), "anna");
    let var = |name: &str| match name {
        OPERATOR_VAR => Some("bo".to_owned()),
        TOKEN_VAR => Some(SECRET.to_owned()),
        PLATFORM_VAR => Some("10.0.0.9:7000".to_owned()),
        _ => None,
    };
    settings.overlay(var).unwrap();
    assert_eq!(settings.operator().unwrap().as_str(), "bo");
    assert_eq!(settings.token.as_ref().map(Token::secret), Some(SECRET));
    let platform: SocketAddr = "10.0.0.9:7000".parse().unwrap();
    assert_eq!(settings.platform, Some(platform));
    assert_eq!(settings.hosts.len(), 1);
}

#[test]
fn a_token_is_never_printed() {
    let dir = write(r#"{"token_file": "token", "platform": "10.0.0.1:7000"}"#);
    let settings = OperatorSettings::load(Some(&dir.path().join("operator.json"))).unwrap();
    assert_eq!(settings.token.as_ref().map(Token::secret), Some(SECRET));
    assert!(!format!("{settings:?}").contains(SECRET));
    assert!(!format!("{:?}", settings.platform().unwrap()).contains(SECRET));
    let mut bad = OperatorSettings::default();
    let e = bad.overlay(|name| (name == TOKEN_VAR).then(|| "tok en\n".to_owned()));
    assert_eq!(
        format!("{:#}", e.unwrap_err()),
        "MEDLARDYKE_TOKEN: a token has visible ASCII characters only"
    );
}

#[test]
fn errors_of_missing_and_faulty_settings_name_the_setting() {
    let none = OperatorSettings::default();
    let e = none.operator().unwrap_err().to_string();
    assert_eq!(
        e,
        "no operator: set MEDLARDYKE_OPERATOR or \"operator\" in --settings"
    );
    let e = none.platform().unwrap_err().to_string();
    assert_eq!(
        e,
        "no platform: set MEDLARDYKE_PLATFORM or \"platform\" in --settings"
    );
    let dir = write(r#"{"operater": "anna"}"#);
    let e = OperatorSettings::load(Some(&dir.path().join("operator.json"))).unwrap_err();
    assert!(e.to_string().contains("at /operater"), "{e}");
    let dir = write(r#"{"platform": "10.0.0.1", "hosts": ["10.0.0.2:80", ":80"]}"#);
    let e = OperatorSettings::load(Some(&dir.path().join("operator.json"))).unwrap_err();
    let e = e.to_string();
    assert!(e.contains("at /platform: found \"10.0.0.1\""), "{e}");
    assert!(e.contains("at /hosts/1: found \":80\""), "{e}");
}

/// A parser that contains the arguments as the binary's parser does.
#[derive(Debug, Parser)]
struct TestParser {
    #[command(flatten)]
    args: Args,
}

#[test]
fn the_command_line_is_parsed() {
    use clap::CommandFactory;
    TestParser::command().debug_assert();
    let args = [
        "x",
        "apply",
        "dir",
        "--expect",
        "12",
        "--change",
        "c-1",
        "--json",
        "--no-wait",
    ];
    let parsed = TestParser::try_parse_from(args).unwrap();
    assert!(parsed.args.json);
    let Command::Apply {
        against, submit, ..
    } = parsed.args.command
    else {
        panic!("apply is parsed as another command");
    };
    assert_eq!(against.expect, Some(ids::Version(12)));
    assert!(submit.no_wait);
    let both = TestParser::try_parse_from(["x", "pull", "dir", "--mine", "--theirs"]);
    assert_eq!(both.unwrap_err().exit_code(), i32::from(Exit::Usage.code()));
}

#[test]
fn exit_codes_are_listed_in_order() {
    for (n, exit) in Exit::ALL.iter().enumerate() {
        assert_eq!(usize::from(exit.code()), n);
    }
}
