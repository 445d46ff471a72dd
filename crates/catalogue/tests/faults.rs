//! The messages of all kinds of faulty declarations.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use catalogue::load;
use serde_json::{Value, json};

/// Edits of a directory without faults; the operators' page lists their messages under this name.
struct Case {
    name: &'static str,
    edits: &'static [Edit],
}

const fn case(name: &'static str, edits: &'static [Edit]) -> Case {
    Case { name, edits }
}

enum Edit {
    /// Sets the value at a JSON pointer in a file.
    Set(&'static str, &'static str, &'static str),
    /// Removes the member at a JSON pointer in a file.
    Remove(&'static str, &'static str),
    /// Replaces a file's text.
    Text(&'static str, &'static str),
    /// Replaces the owners of an entry by this many.
    ManyOwners(&'static str, u32),
    /// Removes a file.
    Delete(&'static str),
}

const DOMAINS: &str = "domains.json";
const ENTRY: &str = "entries/slotbook.json";
const OTHER_ENTRY: &str = "entries/windowcast.json";
const UPSTREAMS: &str = "upstreams/all.json";

use Edit::{Delete, ManyOwners, Remove, Set, Text};

/// Writes a directory without faults: two domains, two entries, two upstreams.
fn write_valid(dir: &Path) {
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
    case("a file is missing", &[Delete(DOMAINS)]),
    case("a file is no JSON", &[Text(ENTRY, "{\"owners\": ")]),
    case(
        "a file name is no name",
        &[Text("entries/sl ot.json", "{}")],
    ),
    case(
        "a member is written twice",
        &[Text(
            DOMAINS,
            r#"{"lauder": {"region": "a"}, "awarua": {"region": "a", "region": "b"}}"#,
        )],
    ),
    case(
        "an upstream stands in two files",
        &[Text(
            "upstreams/more.json",
            r#"{"a": {"entry": "slotbook", "address": "10.0.0.3:80", "domain": "lauder"}}"#,
        )],
    ),
    // Schema.
    case("a member is unknown", &[Set(ENTRY, "/limits/rate", "3")]),
    case("a member is missing", &[Remove(ENTRY, "/deadline_ms")]),
    case(
        "a value has another type",
        &[Set(ENTRY, "/limits/queue", "\"many\"")],
    ),
    case("a number is negative", &[Set(ENTRY, "/limits/queue", "-1")]),
    case(
        "a number is too large for its field",
        &[Set(ENTRY, "/limits/rate_per_s", "5000000000")],
    ),
    case(
        "a word is none of those allowed",
        &[Set(ENTRY, "/class", "\"sometimes\"")],
    ),
    case(
        "a cut-off rule is none of those allowed",
        &[Set(ENTRY, "/cut_off", "\"guess\"")],
    ),
    case(
        "an entry is divided by something else",
        &[Set(ENTRY, "/sharding", r#"{"by": "caller"}"#)],
    ),
    case(
        "the place of the key is missing",
        &[Remove(OTHER_ENTRY, "/sharding/key")],
    ),
    case(
        "the place of the key is none of those allowed",
        &[Set(OTHER_ENTRY, "/sharding/key", r#"{"query": "pass"}"#)],
    ),
    case(
        "the number of slices is missing",
        &[Remove(OTHER_ENTRY, "/sharding/slices")],
    ),
    case(
        "an operator's name is no name",
        &[Set(ENTRY, "/owners/0", "\"night lead\"")],
    ),
    case(
        "a domain's name is no name",
        &[Set(DOMAINS, "/otago hub", r#"{"region": "south"}"#)],
    ),
    case(
        "an address has no port",
        &[Set(UPSTREAMS, "/a/address", "\"10.0.0.1\"")],
    ),
    // Entries.
    case("an entry has no owner", &[Set(ENTRY, "/owners", "[]")]),
    case(
        "an owner is named twice",
        &[Set(ENTRY, "/owners", r#"["a", "b", "a"]"#)],
    ),
    case("a path is empty", &[Set(ENTRY, "/path", "\"\"")]),
    case(
        "a path has a slash",
        &[Set(ENTRY, "/path", "\"slot/book\"")],
    ),
    case(
        "a path is kept for hosts",
        &[Set(ENTRY, "/path", "\"medlardyke\"")],
    ),
    case(
        "two entries have one path",
        &[Set(OTHER_ENTRY, "/path", "\"slotbook\"")],
    ),
    case("a deadline is 0", &[Set(ENTRY, "/deadline_ms", "0")]),
    case(
        "a deadline is over 10 minutes",
        &[Set(ENTRY, "/deadline_ms", "600001")],
    ),
    case(
        "a rate is impossible",
        &[Set(ENTRY, "/limits/rate_per_s", "100000001")],
    ),
    case(
        "a concurrency limit is impossible",
        &[Set(ENTRY, "/limits/concurrency", "1000001")],
    ),
    case(
        "a queue is impossible",
        &[Set(ENTRY, "/limits/queue", "65537")],
    ),
    case(
        "a request body fits into no frame",
        &[Set(ENTRY, "/limits/request_bytes", "12582913")],
    ),
    case(
        "no answer body is allowed",
        &[Set(ENTRY, "/limits/answer_bytes", "0")],
    ),
    case(
        "an answer body fits into no frame",
        &[Set(ENTRY, "/limits/answer_bytes", "12582913")],
    ),
    case(
        "a retry budget is over 100 percent",
        &[Set(ENTRY, "/limits/retry_percent", "101")],
    ),
    case(
        "a weight is negative",
        &[Set(ENTRY, "/objective/churn", "-0.5")],
    ),
    case(
        "a weight is impossible",
        &[Set(ENTRY, "/objective/imbalance", "1e9")],
    ),
    case(
        "both weights are 0",
        &[Set(ENTRY, "/objective", r#"{"imbalance": 0, "churn": 0}"#)],
    ),
    case(
        "an entry has no slices",
        &[Set(OTHER_ENTRY, "/sharding/slices", "0")],
    ),
    case(
        "an entry has too many slices",
        &[Set(OTHER_ENTRY, "/sharding/slices", "65537")],
    ),
    case(
        "an entry has fewer slices than upstreams",
        &[
            Set(OTHER_ENTRY, "/sharding/slices", "1"),
            Set(UPSTREAMS, "/a/entry", "\"windowcast\""),
        ],
    ),
    case(
        "a key header is no header name",
        &[Set(OTHER_ENTRY, "/sharding/key/header", "\"x pass\"")],
    ),
    case(
        "a key header is used by HTTP",
        &[Set(
            OTHER_ENTRY,
            "/sharding/key/header",
            "\"Content-Length\"",
        )],
    ),
    case(
        "a key header is used by medlardyke",
        &[Set(
            OTHER_ENTRY,
            "/sharding/key/header",
            "\"medlardyke-epoch\"",
        )],
    ),
    case(
        "a key segment is impossible",
        &[Set(OTHER_ENTRY, "/sharding/key", r#"{"path-segment": 64}"#)],
    ),
    case(
        "an entry is too large for its row",
        &[ManyOwners(ENTRY, 3000)],
    ),
    // Domains.
    case(
        "all domains are lost",
        &[Text(
            DOMAINS,
            r#"{"lauder": {"region": "south", "lost": true}}"#,
        )],
    ),
    // Several at once.
    case(
        "faults of shape and sense in several files",
        &[
            Set(DOMAINS, "/awarua/losst", "true"),
            Set(ENTRY, "/class", "3"),
            Set(ENTRY, "/owners/0", "\"\""),
            Set(OTHER_ENTRY, "/deadline_ms", "0"),
            Set(OTHER_ENTRY, "/limits/retry_percent", "200"),
            Set(UPSTREAMS, "/a/domain", "\"otago\""),
            Set(UPSTREAMS, "/b/slots", "0"),
            Set(UPSTREAMS, "/b/port", "80"),
        ],
    ),
    // Upstreams.
    case(
        "an upstream serves an unknown entry",
        &[Set(UPSTREAMS, "/a/entry", "\"slotbok\"")],
    ),
    case(
        "an upstream stands in an unknown domain",
        &[Set(UPSTREAMS, "/a/domain", "\"otago\"")],
    ),
    case(
        "two upstreams have one address",
        &[Set(UPSTREAMS, "/b/address", "\"10.0.0.1:80\"")],
    ),
    case(
        "an address has port 0",
        &[Set(UPSTREAMS, "/a/address", "\"10.0.0.1:0\"")],
    ),
    case(
        "an address is no server's",
        &[Set(UPSTREAMS, "/a/address", "\"0.0.0.0:80\"")],
    ),
    case(
        "an upstream has no slots",
        &[Set(UPSTREAMS, "/a/slots", "0")],
    ),
    case(
        "an upstream has too many slots",
        &[Set(
            UPSTREAMS,
            "/a",
            r#"{"entry": "slotbook", "address": "10.0.0.1:80", "domain": "lauder", "slots": 5000, "connections": 5000}"#,
        )],
    ),
    case(
        "an upstream takes no connections",
        &[Set(UPSTREAMS, "/a/connections", "0")],
    ),
    case(
        "an upstream has fewer connections than slots",
        &[Set(UPSTREAMS, "/a/connections", "3")],
    ),
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
    write_valid(dir.path());
    assert_eq!(messages(dir.path()), Vec::<String>::new());
}

/// Reads the table of faults in the operators' page and returns the messages by fault.
fn page() -> BTreeMap<String, Vec<String>> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CATALOGUE.md");
    let page = fs::read_to_string(page).unwrap();
    let lines = page
        .lines()
        .skip_while(|l| *l != "| fault | messages |")
        .skip(2);
    let mut faults = BTreeMap::new();
    for line in lines.take_while(|l| l.starts_with('|')) {
        let cells = line.trim_matches(&['|', ' '][..]).split_once(" | ");
        let (fault, messages) = cells.expect("two cells");
        let messages = messages
            .split("<br>")
            .map(|m| m.trim_matches('`').to_owned());
        faults.insert(fault.to_owned(), messages.collect());
    }
    faults
}

#[test]
fn each_fault_has_the_messages_that_the_operators_page_lists() {
    let mut page = page();
    for case in CASES {
        let dir = tempfile::tempdir().unwrap();
        write_valid(dir.path());
        for edit in case.edits {
            apply(dir.path(), edit);
        }
        assert_eq!(
            Some(messages(dir.path())),
            page.remove(case.name),
            "{}",
            case.name
        );
    }
    assert_eq!(
        page,
        BTreeMap::new(),
        "each line of the page has a test case"
    );
}
