//! Tests of the faults that are reported for invalid settings files.

use std::io::Write as _;

use catalogue::Faults;
use host::{Settings, load_settings};

const VALID: &str = r#"{
  "host": "lulea-1",
  "domain": "lulea",
  "platform": { "address": "127.0.0.1:7000" }
}"#;

struct Case {
    name: &'static str,
    text: &'static str,
    /// JSON pointer of each fault, and a substring of its `found` or `allowed` text.
    faults: &'static [(&'static str, &'static str)],
}

fn load(text: &str) -> Result<Settings, Faults> {
    let mut file = tempfile::NamedTempFile::new().expect("create a temporary file");
    file.write_all(text.as_bytes())
        .expect("write the temporary file");
    load_settings(file.path())
}

#[test]
fn sound_settings_take_defaults() {
    let cfg = load(VALID).expect("valid settings");
    assert_eq!(cfg.host.as_str(), "lulea-1");
    assert_eq!(cfg.platform.timeout_ms, 500);
    assert!(cfg.listen.callers.ip().is_loopback());
}

#[test]
fn all_faults_are_listed_with_their_place() {
    let cases = [
        Case {
            name: "not JSON",
            text: "{",
            faults: &[("", "JSON")],
        },
        Case {
            name: "missing members",
            text: "{}",
            faults: &[("", "host"), ("", "domain"), ("", "platform")],
        },
        Case {
            name: "an unknown member and a wrong unit",
            text: r#"{"host": "a", "domain": "d", "colour": "blue",
                      "platform": {"address": "127.0.0.1:1", "timeout_s": 1}}"#,
            faults: &[
                ("/colour", "members"),
                ("/platform/timeout_s", "timeout_ms"),
            ],
        },
        Case {
            name: "no port in an address",
            text: r#"{"host": "a", "domain": "d", "platform": {"address": "127.0.0.1"}}"#,
            faults: &[("/platform/address", "port")],
        },
        Case {
            name: "a host name in place of an IP number",
            text: r#"{"host": "a", "domain": "d", "platform": {"address": "platform:7000"}}"#,
            faults: &[("/platform/address", "IP address")],
        },
        Case {
            name: "impossible limits",
            text: r#"{"host": "a", "domain": "d", "platform": {"address": "127.0.0.1:1"},
                      "callers": {"connections": 0, "head_bytes": 1}}"#,
            faults: &[
                ("/callers/connections", "at least 1"),
                ("/callers/head_bytes", "at least 8192"),
            ],
        },
        Case {
            name: "times that contradict each other",
            text: r#"{"host": "a", "domain": "d", "platform": {"address": "127.0.0.1:1"},
                      "ownership": {"grant_ttl_ms": 200, "silence_ms": 200}}"#,
            faults: &[
                ("/ownership/grant_ttl_ms", "3 times renew_every_ms"),
                ("/ownership/silence_ms", "3 times heartbeat_every_ms"),
            ],
        },
        Case {
            name: "a host that is its own seed peer",
            text: r#"{"host": "a", "domain": "d", "platform": {"address": "127.0.0.1:1"},
                      "seed_peers": [{"host": "a", "domain": "d", "addresses":
                        {"dispatch": "127.0.0.1:2", "control": "127.0.0.1:3"}}]}"#,
            faults: &[("/seed_peers/0/host", "other hosts")],
        },
        Case {
            name: "a member that is written twice",
            text: r#"{"host": "a", "host": "b", "domain": "d",
                      "platform": {"address": "127.0.0.1:1"}}"#,
            faults: &[("/host", "twice")],
        },
    ];
    for case in cases {
        let faults = load(case.text).expect_err(case.name).0;
        assert_eq!(faults.len(), case.faults.len(), "{}: {faults:?}", case.name);
        for (pointer, substring) in case.faults {
            let listed = faults.iter().any(|f| {
                f.pointer == *pointer
                    && (f.found.contains(substring) || f.allowed.contains(substring))
            });
            assert!(listed, "{}: {pointer} {substring}: {faults:?}", case.name);
        }
    }
}
