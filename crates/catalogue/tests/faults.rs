//! Every kind of faulty declaration, with its message.

use std::fs;
use std::path::Path;

use catalogue::load;
use serde_json::{Value, json};

/// One change to a sound directory, and the message that it must give.
struct Case {
    /// What is wrong.
    name: &'static str,
    edits: &'static [Edit],
    /// Messages, by file and place.
    messages: &'static [&'static str],
}

enum Edit {
    /// Sets the value at a JSON pointer in a file.
    Set(&'static str, &'static str, &'static str),
    /// Removes the member at a JSON pointer in a file.
    Remove(&'static str, &'static str),
    /// Replaces a file's text.
    Text(&'static str, &'static str),
    /// Gives an entry this many owners.
    ManyOwners(&'static str, u32),
    /// Removes a file.
    Delete(&'static str),
}

const DOMAINS: &str = "domains.json";
const ENTRY: &str = "entries/slotbook.json";
const OTHER_ENTRY: &str = "entries/windowcast.json";
const UPSTREAMS: &str = "upstreams/all.json";

use Edit::{Delete, ManyOwners, Remove, Set, Text};

/// The sound directory: two domains, two entries, two upstreams.
fn write_sound(dir: &Path) {
    let entry = |path: &str, sharding: Value| {
        json!({
            "owners": ["night-lead"],
            "path": path,
            "class": "idempotent",
            "sharding": sharding,
            "deadline_ms": 1000,
            "limits": {"queue": 8},
            "objective": {"imbalance": 1.0},
        })
    };
    let by_key = json!({"by": "key", "key": {"header": "x-pass-id"}, "slices": 64});
    let upstream = |entry: &str, last: u8| {
        let address = format!("10.0.0.{last}:80");
        json!({"entry": entry, "address": address, "domain": "lauder"})
    };
    let files = [
        (
            DOMAINS,
            json!({"lauder": {"region": "south"}, "awarua": {"region": "south"}}),
        ),
        (ENTRY, entry("slotbook", json!({"by": "none"}))),
        (OTHER_ENTRY, entry("windowcast", by_key)),
        (
            UPSTREAMS,
            json!({"a": upstream("slotbook", 1), "b": upstream("windowcast", 2)}),
        ),
    ];
    for (file, body) in files {
        let file = dir.join(file);
        fs::create_dir_all(file.parent().unwrap()).unwrap();
        fs::write(file, body.to_string()).unwrap();
    }
}

fn apply(dir: &Path, edit: &Edit) {
    let read = |file: &str| -> Value {
        serde_json::from_str(&fs::read_to_string(dir.join(file)).unwrap()).unwrap()
    };
    match edit {
        Set(file, pointer, value) => {
            let mut body = read(file);
            let (parent, name) = pointer.rsplit_once('/').unwrap();
            let value = serde_json::from_str(value).unwrap();
            match body.pointer_mut(parent).unwrap() {
                Value::Array(items) => items[name.parse::<usize>().unwrap()] = value,
                parent => parent[name] = value,
            }
            fs::write(dir.join(file), body.to_string()).unwrap();
        }
        Remove(file, pointer) => {
            let mut body = read(file);
            let (parent, name) = pointer.rsplit_once('/').unwrap();
            let parent = body.pointer_mut(parent).unwrap();
            parent.as_object_mut().unwrap().shift_remove(name).unwrap();
            fs::write(dir.join(file), body.to_string()).unwrap();
        }
        ManyOwners(file, count) => {
            let mut body = read(file);
            let owners = (0..*count).map(|n| format!("operator-{n}"));
            body["owners"] = owners.collect();
            fs::write(dir.join(file), body.to_string()).unwrap();
        }
        Text(file, text) => fs::write(dir.join(file), text).unwrap(),
        Delete(file) => fs::remove_file(dir.join(file)).unwrap(),
    }
}

const CASES: &[Case] = &[
    // Files.
    Case {
        name: "a file is missing",
        edits: &[Delete(DOMAINS)],
        messages: &["domains.json: found no such file; allowed: a file that can be read"],
    },
    Case {
        name: "a file is no JSON",
        edits: &[Text(ENTRY, "{\"owners\": ")],
        messages: &[
            "entries/slotbook.json: found EOF while parsing a value at line 1 column 11; allowed: JSON",
        ],
    },
    Case {
        name: "a file name is no name",
        edits: &[Text("entries/sl ot.json", "{}")],
        messages: &[
            r#"entries/sl ot.json: found file name "sl ot"; allowed: a name of 1 to 96 of a-z, A-Z, 0-9, '-', '_' and '.', and .json"#,
        ],
    },
    Case {
        name: "a member is written twice",
        edits: &[Text(
            DOMAINS,
            r#"{"lauder": {"region": "a"}, "awarua": {"region": "a", "region": "b"}}"#,
        )],
        messages: &[
            "domains.json at /awarua/region: found a member that is written twice; allowed: each member once",
        ],
    },
    Case {
        name: "an upstream stands in two files",
        edits: &[Text(
            "upstreams/more.json",
            r#"{"a": {"entry": "slotbook", "address": "10.0.0.3:80", "domain": "lauder"}}"#,
        )],
        messages: &[
            "upstreams/more.json at /a: found upstream a; allowed: each upstream once; upstreams/all.json has it too",
        ],
    },
    // Shape.
    Case {
        name: "a member is unknown",
        edits: &[Set(ENTRY, "/limits/rate", "3")],
        messages: &[
            r#"entries/slotbook.json at /limits/rate: found member "rate"; allowed: members rate_per_s, concurrency, queue, request_bytes, answer_bytes, retry_percent"#,
        ],
    },
    Case {
        name: "a member is missing",
        edits: &[Remove(ENTRY, "/deadline_ms")],
        messages: &[
            r#"entries/slotbook.json: found nothing; allowed: required member "deadline_ms""#,
        ],
    },
    Case {
        name: "a value has another type",
        edits: &[Set(ENTRY, "/limits/queue", "\"many\"")],
        messages: &[r#"entries/slotbook.json at /limits/queue: found "many"; allowed: integer"#],
    },
    Case {
        name: "a number is negative",
        edits: &[Set(ENTRY, "/limits/queue", "-1")],
        messages: &["entries/slotbook.json at /limits/queue: found -1; allowed: at least 0"],
    },
    Case {
        name: "a number is too large for its field",
        edits: &[Set(ENTRY, "/limits/rate_per_s", "5000000000")],
        messages: &[
            "entries/slotbook.json at /limits/rate_per_s: found 5000000000; allowed: at most 4294967295",
        ],
    },
    Case {
        name: "a word is none of those allowed",
        edits: &[Set(ENTRY, "/class", "\"sometimes\"")],
        messages: &[
            r#"entries/slotbook.json at /class: found "sometimes"; allowed: one of "idempotent", "non-idempotent""#,
        ],
    },
    Case {
        name: "a cut-off rule is none of those allowed",
        edits: &[Set(ENTRY, "/cut_off", "\"guess\"")],
        messages: &[
            r#"entries/slotbook.json at /cut_off: found "guess"; allowed: one of "serve", "fail-over""#,
        ],
    },
    Case {
        name: "an entry is divided by something else",
        edits: &[Set(ENTRY, "/sharding", r#"{"by": "caller"}"#)],
        messages: &[
            r#"entries/slotbook.json at /sharding: found {"by":"caller"}; allowed: one of {"by": "none", ...}, {"by": "key", ...}"#,
        ],
    },
    Case {
        name: "the place of the key is missing",
        edits: &[Remove(OTHER_ENTRY, "/sharding/key")],
        messages: &[
            r#"entries/windowcast.json at /sharding: found nothing; allowed: required member "key""#,
        ],
    },
    Case {
        name: "the place of the key is none of those allowed",
        edits: &[Set(OTHER_ENTRY, "/sharding/key", r#"{"query": "pass"}"#)],
        messages: &[
            r#"entries/windowcast.json at /sharding/key: found {"query":"pass"}; allowed: one of {"header": ...}, {"path-segment": ...}"#,
        ],
    },
    Case {
        name: "the number of slices is missing",
        edits: &[Remove(OTHER_ENTRY, "/sharding/slices")],
        messages: &[
            r#"entries/windowcast.json at /sharding: found nothing; allowed: required member "slices""#,
        ],
    },
    Case {
        name: "an operator's name is no name",
        edits: &[Set(ENTRY, "/owners/0", "\"night lead\"")],
        messages: &[
            r#"entries/slotbook.json at /owners/0: found "night lead"; allowed: a name of 1 to 96 of a-z, A-Z, 0-9, '-', '_' and '.'"#,
        ],
    },
    Case {
        name: "a domain's name is no name",
        edits: &[Set(DOMAINS, "/otago hub", r#"{"region": "south"}"#)],
        messages: &[
            r#"domains.json at /otago hub: found member "otago hub"; allowed: names of 1 to 96 of a-z, A-Z, 0-9, '-', '_' and '.'"#,
        ],
    },
    Case {
        name: "an address has no port",
        edits: &[Set(UPSTREAMS, "/a/address", "\"10.0.0.1\"")],
        messages: &[
            r#"upstreams/all.json at /a/address: found "10.0.0.1"; allowed: an IP address and a port, as 10.0.0.1:8080 or [fd00::1]:8080"#,
        ],
    },
    // Entries.
    Case {
        name: "an entry has no owner",
        edits: &[Set(ENTRY, "/owners", "[]")],
        messages: &["entries/slotbook.json at /owners: found []; allowed: at least one operator"],
    },
    Case {
        name: "an owner is named twice",
        edits: &[Set(ENTRY, "/owners", r#"["a", "b", "a"]"#)],
        messages: &[
            r#"entries/slotbook.json at /owners/2: found "a"; allowed: each operator once"#,
        ],
    },
    Case {
        name: "a path is empty",
        edits: &[Set(ENTRY, "/path", "\"\"")],
        messages: &[
            r#"entries/slotbook.json at /path: found ""; allowed: 1 to 96 of a-z, A-Z, 0-9, '-', '_', '.' and '~', not ".", ".." or "medlardyke""#,
        ],
    },
    Case {
        name: "a path has a slash",
        edits: &[Set(ENTRY, "/path", "\"slot/book\"")],
        messages: &[
            r#"entries/slotbook.json at /path: found "slot/book"; allowed: 1 to 96 of a-z, A-Z, 0-9, '-', '_', '.' and '~', not ".", ".." or "medlardyke""#,
        ],
    },
    Case {
        name: "a path is kept for hosts",
        edits: &[Set(ENTRY, "/path", "\"medlardyke\"")],
        messages: &[
            r#"entries/slotbook.json at /path: found "medlardyke"; allowed: 1 to 96 of a-z, A-Z, 0-9, '-', '_', '.' and '~', not ".", ".." or "medlardyke""#,
        ],
    },
    Case {
        name: "two entries have one path",
        edits: &[Set(OTHER_ENTRY, "/path", "\"slotbook\"")],
        messages: &[
            r#"entries/windowcast.json at /path: found "slotbook"; allowed: a path of its own; entry slotbook has this one"#,
        ],
    },
    Case {
        name: "a deadline is 0",
        edits: &[Set(ENTRY, "/deadline_ms", "0")],
        messages: &["entries/slotbook.json at /deadline_ms: found 0; allowed: 1 to 600000"],
    },
    Case {
        name: "a deadline is over 10 minutes",
        edits: &[Set(ENTRY, "/deadline_ms", "600001")],
        messages: &["entries/slotbook.json at /deadline_ms: found 600001; allowed: 1 to 600000"],
    },
    Case {
        name: "a rate is impossible",
        edits: &[Set(ENTRY, "/limits/rate_per_s", "100000001")],
        messages: &[
            "entries/slotbook.json at /limits/rate_per_s: found 100000001; allowed: 0 to 100000000",
        ],
    },
    Case {
        name: "a concurrency limit is impossible",
        edits: &[Set(ENTRY, "/limits/concurrency", "1000001")],
        messages: &[
            "entries/slotbook.json at /limits/concurrency: found 1000001; allowed: 0 to 1000000",
        ],
    },
    Case {
        name: "a queue is impossible",
        edits: &[Set(ENTRY, "/limits/queue", "65537")],
        messages: &["entries/slotbook.json at /limits/queue: found 65537; allowed: 0 to 65536"],
    },
    Case {
        name: "a request body fits into no frame",
        edits: &[Set(ENTRY, "/limits/request_bytes", "12582913")],
        messages: &[
            "entries/slotbook.json at /limits/request_bytes: found 12582913; allowed: 0 to 12582912",
        ],
    },
    Case {
        name: "no answer body is allowed",
        edits: &[Set(ENTRY, "/limits/answer_bytes", "0")],
        messages: &[
            "entries/slotbook.json at /limits/answer_bytes: found 0; allowed: 1 to 12582912",
        ],
    },
    Case {
        name: "an answer body fits into no frame",
        edits: &[Set(ENTRY, "/limits/answer_bytes", "12582913")],
        messages: &[
            "entries/slotbook.json at /limits/answer_bytes: found 12582913; allowed: 1 to 12582912",
        ],
    },
    Case {
        name: "a retry budget is over 100 percent",
        edits: &[Set(ENTRY, "/limits/retry_percent", "101")],
        messages: &["entries/slotbook.json at /limits/retry_percent: found 101; allowed: 0 to 100"],
    },
    Case {
        name: "a weight is negative",
        edits: &[Set(ENTRY, "/objective/churn", "-0.5")],
        messages: &["entries/slotbook.json at /objective/churn: found -0.5; allowed: 0 to 1000000"],
    },
    Case {
        name: "a weight is impossible",
        edits: &[Set(ENTRY, "/objective/imbalance", "1e9")],
        messages: &[
            "entries/slotbook.json at /objective/imbalance: found 1000000000; allowed: 0 to 1000000",
        ],
    },
    Case {
        name: "both weights are 0",
        edits: &[Set(ENTRY, "/objective", r#"{"imbalance": 0, "churn": 0}"#)],
        messages: &[
            "entries/slotbook.json at /objective: found both weights 0; allowed: one above 0",
        ],
    },
    Case {
        name: "an entry has no slices",
        edits: &[Set(OTHER_ENTRY, "/sharding/slices", "0")],
        messages: &["entries/windowcast.json at /sharding/slices: found 0; allowed: 1 to 65536"],
    },
    Case {
        name: "an entry has too many slices",
        edits: &[Set(OTHER_ENTRY, "/sharding/slices", "65537")],
        messages: &[
            "entries/windowcast.json at /sharding/slices: found 65537; allowed: 1 to 65536",
        ],
    },
    Case {
        name: "an entry has fewer slices than upstreams",
        edits: &[
            Set(OTHER_ENTRY, "/sharding/slices", "1"),
            Set(UPSTREAMS, "/a/entry", "\"windowcast\""),
        ],
        messages: &[
            "entries/windowcast.json at /sharding/slices: found 1; allowed: at least 2, one for each upstream",
        ],
    },
    Case {
        name: "a key header is no header name",
        edits: &[Set(OTHER_ENTRY, "/sharding/key/header", "\"x pass\"")],
        messages: &[
            r#"entries/windowcast.json at /sharding/key/header: found "x pass"; allowed: an HTTP header name that neither HTTP nor medlardyke itself uses"#,
        ],
    },
    Case {
        name: "a key header is used by HTTP",
        edits: &[Set(
            OTHER_ENTRY,
            "/sharding/key/header",
            "\"Content-Length\"",
        )],
        messages: &[
            r#"entries/windowcast.json at /sharding/key/header: found "Content-Length"; allowed: an HTTP header name that neither HTTP nor medlardyke itself uses"#,
        ],
    },
    Case {
        name: "a key header is used by medlardyke",
        edits: &[Set(
            OTHER_ENTRY,
            "/sharding/key/header",
            "\"medlardyke-epoch\"",
        )],
        messages: &[
            r#"entries/windowcast.json at /sharding/key/header: found "medlardyke-epoch"; allowed: an HTTP header name that neither HTTP nor medlardyke itself uses"#,
        ],
    },
    Case {
        name: "a key segment is impossible",
        edits: &[Set(OTHER_ENTRY, "/sharding/key", r#"{"path-segment": 64}"#)],
        messages: &[
            "entries/windowcast.json at /sharding/key/path-segment: found 64; allowed: 0 to 63",
        ],
    },
    Case {
        name: "an entry is too large for its row",
        edits: &[ManyOwners(ENTRY, 3000)],
        messages: &[
            "entries/slotbook.json: found 47183 bytes; allowed: at most 32768 bytes of JSON",
        ],
    },
    // Domains.
    Case {
        name: "all domains are lost",
        edits: &[Text(
            DOMAINS,
            r#"{"lauder": {"region": "south", "lost": true}}"#,
        )],
        messages: &["domains.json: found every domain lost; allowed: at least one that is not"],
    },
    // Several at once.
    Case {
        name: "faults of shape and sense in several files",
        edits: &[
            Set(DOMAINS, "/awarua/losst", "true"),
            Set(ENTRY, "/class", "3"),
            Set(ENTRY, "/owners/0", "\"\""),
            Set(OTHER_ENTRY, "/deadline_ms", "0"),
            Set(OTHER_ENTRY, "/limits/retry_percent", "200"),
            Set(UPSTREAMS, "/a/domain", "\"otago\""),
            Set(UPSTREAMS, "/b/slots", "0"),
            Set(UPSTREAMS, "/b/port", "80"),
        ],
        messages: &[
            r#"domains.json at /awarua/losst: found member "losst"; allowed: members region, lost"#,
            r#"entries/slotbook.json at /class: found 3; allowed: one of "idempotent", "non-idempotent""#,
            r#"entries/slotbook.json at /owners/0: found ""; allowed: a name of 1 to 96 of a-z, A-Z, 0-9, '-', '_' and '.'"#,
            "entries/windowcast.json at /deadline_ms: found 0; allowed: 1 to 600000",
            "entries/windowcast.json at /limits/retry_percent: found 200; allowed: 0 to 100",
            r#"upstreams/all.json at /a/domain: found "otago"; allowed: one of awarua, lauder"#,
            r#"upstreams/all.json at /b/port: found member "port"; allowed: members entry, address, domain, slots, connections, checks_grants, leaving"#,
            "upstreams/all.json at /b/slots: found 0; allowed: 1 to 4096",
        ],
    },
    // Upstreams.
    Case {
        name: "an upstream serves an unknown entry",
        edits: &[Set(UPSTREAMS, "/a/entry", "\"slotbok\"")],
        messages: &[
            r#"upstreams/all.json at /a/entry: found "slotbok"; allowed: one of slotbook, windowcast"#,
        ],
    },
    Case {
        name: "an upstream stands in an unknown domain",
        edits: &[Set(UPSTREAMS, "/a/domain", "\"otago\"")],
        messages: &[
            r#"upstreams/all.json at /a/domain: found "otago"; allowed: one of awarua, lauder"#,
        ],
    },
    Case {
        name: "two upstreams have one address",
        edits: &[Set(UPSTREAMS, "/b/address", "\"10.0.0.1:80\"")],
        messages: &[
            r#"upstreams/all.json at /b/address: found "10.0.0.1:80"; allowed: an address of its own; upstream a has this one"#,
        ],
    },
    Case {
        name: "an address has port 0",
        edits: &[Set(UPSTREAMS, "/a/address", "\"10.0.0.1:0\"")],
        messages: &[
            r#"upstreams/all.json at /a/address: found "10.0.0.1:0"; allowed: the IP address of one server, and a port from 1 to 65535"#,
        ],
    },
    Case {
        name: "an address is no server's",
        edits: &[Set(UPSTREAMS, "/a/address", "\"0.0.0.0:80\"")],
        messages: &[
            r#"upstreams/all.json at /a/address: found "0.0.0.0:80"; allowed: the IP address of one server, and a port from 1 to 65535"#,
        ],
    },
    Case {
        name: "an upstream has no slots",
        edits: &[Set(UPSTREAMS, "/a/slots", "0")],
        messages: &["upstreams/all.json at /a/slots: found 0; allowed: 1 to 4096"],
    },
    Case {
        name: "an upstream has too many slots",
        edits: &[Set(
            UPSTREAMS,
            "/a",
            r#"{"entry": "slotbook", "address": "10.0.0.1:80", "domain": "lauder", "slots": 5000, "connections": 5000}"#,
        )],
        messages: &["upstreams/all.json at /a/slots: found 5000; allowed: 1 to 4096"],
    },
    Case {
        name: "an upstream takes no connections",
        edits: &[Set(UPSTREAMS, "/a/connections", "0")],
        messages: &["upstreams/all.json at /a/connections: found 0; allowed: 1 to 65536"],
    },
    Case {
        name: "an upstream has fewer connections than slots",
        edits: &[Set(UPSTREAMS, "/a/connections", "3")],
        messages: &[
            "upstreams/all.json at /a/connections: found 3; allowed: at least 4, one for each slot",
        ],
    },
];

fn messages(dir: &Path) -> Vec<String> {
    match load(dir) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_sound_directory_has_no_faults() {
    let dir = tempfile::tempdir().unwrap();
    write_sound(dir.path());
    assert_eq!(messages(dir.path()), Vec::<String>::new());
}

#[test]
fn each_fault_has_its_message() {
    for case in CASES {
        let dir = tempfile::tempdir().unwrap();
        write_sound(dir.path());
        for edit in case.edits {
            apply(dir.path(), edit);
        }
        assert_eq!(messages(dir.path()), case.messages, "{}", case.name);
    }
}
