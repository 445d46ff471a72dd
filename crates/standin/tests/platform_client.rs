//! The platform's HTTP client against the stand-in platform, with and without faults.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use catalogue::rows::{ItemRow, change_key, encode, item_key};
use futures::future::{join, join_all};
use ids::{ChangeId, DomainId, HostId, OperatorId, Revision, Version};
use platform::client::InvalidToken;
use platform::{
    Check, Commit, HostState, Hosts, HttpPlatform, HttpSettings, ListedHost, Objects,
    PlatformError, RowKey, Table, Token, Txn, Write,
};
use serde_json::json;
use standin::StandinPlatform;
use standin::platform::{Faults, LoseConfirmations, Mode, PlatformSettings, RateLimits};

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const HOST: &str = "host-token";
const ANNA: &str = "anna-token";
const BODIL: &str = "bodil-token";
const CHIEF: &str = "chief-token";

fn operator(name: &str) -> OperatorId {
    OperatorId::new(name).expect("a valid name")
}

fn token(text: &str) -> Token {
    Token::new(text).expect("a valid token")
}

fn settings() -> PlatformSettings {
    let operators = [("anna", ANNA), ("bodil", BODIL), ("chief", CHIEF)];
    PlatformSettings {
        host_tokens: vec![token(HOST)],
        operators: operators.map(|(n, t)| (operator(n), token(t))).into(),
        admins: vec![operator("chief")],
        ..PlatformSettings::default()
    }
}

async fn start(settings: PlatformSettings) -> StandinPlatform {
    let started = StandinPlatform::bind(ANY_PORT, settings).await;
    started.expect("loopback has free ports")
}

fn client(server: &StandinPlatform, text: &str) -> HttpPlatform {
    HttpPlatform::new(HttpSettings {
        address: server.address(),
        token: token(text),
        timeout: Duration::from_millis(500),
        ..HttpSettings::default()
    })
}

fn write(key: &str, value: Option<&str>) -> Txn {
    Txn {
        checks: Vec::new(),
        writes: vec![Write {
            key: RowKey(key.into()),
            value: value.map(|v| Bytes::copy_from_slice(v.as_bytes())),
        }],
    }
}

fn listed(name: &str, state: HostState) -> ListedHost {
    ListedHost {
        host: HostId::new(name).expect("a valid name"),
        domain: DomainId::new("d1").expect("a valid name"),
        control: ANY_PORT,
        dispatch: ANY_PORT,
        state,
    }
}

/// Result of a call, without the details of its error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallResult {
    Done,
    Unreachable,
    Unconfirmed,
    Forbidden,
    BadAnswer,
}

fn call_result<T>(result: &Result<T, PlatformError>) -> CallResult {
    match result {
        Ok(_) => CallResult::Done,
        Err(PlatformError::Unreachable { .. }) => CallResult::Unreachable,
        Err(PlatformError::Unconfirmed { .. }) => CallResult::Unconfirmed,
        Err(PlatformError::Forbidden { .. }) => CallResult::Forbidden,
        Err(PlatformError::BadAnswer { .. }) => CallResult::BadAnswer,
    }
}

struct FaultCase {
    name: &'static str,
    faults: Faults,
    rates: RateLimits,
    /// Results of a host's read and of its transaction, and whether the written row exists later.
    read: CallResult,
    write: CallResult,
    row_exists: bool,
    /// Result of storing an object as an operator.
    store: CallResult,
}

impl Default for FaultCase {
    fn default() -> Self {
        Self {
            name: "up",
            faults: Faults::default(),
            rates: RateLimits::default(),
            read: CallResult::Done,
            write: CallResult::Done,
            row_exists: true,
            store: CallResult::Done,
        }
    }
}

fn fault_cases() -> Vec<FaultCase> {
    let mode = |mode| Faults {
        mode,
        ..Faults::default()
    };
    let lose = |lose_confirmations| Faults {
        lose_confirmations,
        ..Faults::default()
    };
    vec![
        FaultCase::default(),
        FaultCase {
            name: "down",
            faults: mode(Mode::Down),
            read: CallResult::Unreachable,
            write: CallResult::Unreachable,
            row_exists: false,
            store: CallResult::Unreachable,
            ..FaultCase::default()
        },
        FaultCase {
            name: "stalled",
            faults: mode(Mode::Stall),
            read: CallResult::Unreachable,
            write: CallResult::Unconfirmed,
            row_exists: false,
            store: CallResult::Unconfirmed,
            ..FaultCase::default()
        },
        FaultCase {
            name: "slow within the timeout",
            faults: mode(Mode::Slow { delay_ms: 20 }),
            ..FaultCase::default()
        },
        FaultCase {
            name: "slower than the timeout: the effect comes late",
            faults: mode(Mode::Slow { delay_ms: 1_500 }),
            read: CallResult::Unreachable,
            write: CallResult::Unconfirmed,
            store: CallResult::Unconfirmed,
            ..FaultCase::default()
        },
        FaultCase {
            name: "the next confirmation is lost; an object is stored again",
            faults: lose(LoseConfirmations::Next(2)),
            write: CallResult::Unconfirmed,
            ..FaultCase::default()
        },
        FaultCase {
            name: "every confirmation is lost",
            faults: lose(LoseConfirmations::Fraction { p: 1.0, seed: 1 }),
            write: CallResult::Unconfirmed,
            store: CallResult::Unconfirmed,
            ..FaultCase::default()
        },
        FaultCase {
            name: "throttled",
            rates: RateLimits {
                reads_per_s: Some(0),
                writes_per_s: Some(0),
            },
            read: CallResult::Unreachable,
            write: CallResult::Unreachable,
            row_exists: false,
            store: CallResult::Unreachable,
            ..FaultCase::default()
        },
    ]
}

/// Runs one case; if `warm`, the clients have idle connections from before the fault.
async fn check_fault_case(case: &FaultCase, warm: bool) {
    let name = format!("{}, warm: {warm}", case.name);
    let server = start(settings()).await;
    let host = client(&server, HOST);
    let anna = client(&server, ANNA);
    if warm {
        assert_eq!(call_result(&host.list().await), CallResult::Done, "{name}");
        assert_eq!(call_result(&anna.list().await), CallResult::Done, "{name}");
    }
    server.set_faults(case.faults);
    server.set_rates(case.rates);
    let read = host.changes("own/", Revision(0)).await;
    assert_eq!(call_result(&read), case.read, "{name}: {read:?}");
    let commit = host.commit(write("own/a", Some("1"))).await;
    assert_eq!(call_result(&commit), case.write, "{name}: {commit:?}");
    let store = anna.put("bodies/1", Bytes::from_static(b"x")).await;
    assert_eq!(call_result(&store), case.store, "{name}: {store:?}");
    let row_exists = || server.with_table(|t| t.row(&RowKey("own/a".into())).is_some());
    if case.row_exists {
        wait_until(&name, row_exists).await;
    }
    server.set_faults(Faults::default());
    server.set_rates(RateLimits::default());
    // A successful call shows that the client recovers; the check below must follow it.
    assert_eq!(
        call_result(&list_after_recovery(&host).await),
        CallResult::Done,
        "{name}"
    );
    assert_eq!(row_exists(), case.row_exists, "{name}");
    server.shutdown().await;
}

/// Retries a list of hosts until the server listens again.
async fn list_after_recovery(host: &HttpPlatform) -> Result<Vec<ListedHost>, PlatformError> {
    for _ in 0..200 {
        let list = host.list().await;
        if list.is_ok() {
            return list;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    host.list().await
}

async fn wait_until(name: &str, condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{name}: the condition did not hold in time");
}

#[tokio::test]
async fn faults_are_distinguished() {
    let cases = fault_cases();
    let cold = cases.iter().map(|c| check_fault_case(c, false));
    let warm = cases.iter().map(|c| check_fault_case(c, true));
    join(join_all(cold), join_all(warm)).await;
}

struct AccessCase {
    name: &'static str,
    token: &'static str,
    key: &'static str,
    value: Option<&'static str>,
    expected: CallResult,
}

const ENTRY: &str = "catalogue/entry/tariffbok";
const UPSTREAM: &str = "catalogue/upstream/u1";
const DELETED: Option<&str> = None;
const OWNED: Option<&str> = Some(r#"{"operator":"anna","body":{"owners":["anna"]}}"#);
const UNOWNED: Option<&str> = Some("{}");
const FREE: Option<&str> = Some(r#"{"body":{"entry":"other"}}"#);
const JOINED: Option<&str> = Some(r#"{"body":{"entry":"tariffbok"}}"#);
const BY_BODIL: Option<&str> = Some(r#"{"operator":"bodil"}"#);
const NO_JSON: Option<&str> = Some("\u{1}");

fn access_cases() -> Vec<AccessCase> {
    use CallResult::{Done, Forbidden};
    let case = |name, token, key, value, expected| AccessCase {
        name,
        token,
        key,
        value,
        expected,
    };
    vec![
        case("host, own row", HOST, "own/a", NO_JSON, Done),
        case(
            "host, catalogue row",
            HOST,
            "catalogue/x",
            UNOWNED,
            Forbidden,
        ),
        case("host, history", HOST, "history/x", UNOWNED, Forbidden),
        case("host, other row", HOST, "x", UNOWNED, Forbidden),
        case("operator, own row", ANNA, "own/a", UNOWNED, Forbidden),
        case("operator, new entry", ANNA, ENTRY, OWNED, Done),
        case("owner", ANNA, ENTRY, OWNED, Done),
        case("not an owner", BODIL, ENTRY, UNOWNED, Forbidden),
        case("not an owner, deletion", BODIL, ENTRY, DELETED, Forbidden),
        case(
            "not an owner, new upstream",
            BODIL,
            UPSTREAM,
            JOINED,
            Forbidden,
        ),
        case("anybody, upstream of no entry", BODIL, UPSTREAM, FREE, Done),
        case("not an owner, joining", BODIL, UPSTREAM, JOINED, Forbidden),
        case("owner, joining", ANNA, UPSTREAM, JOINED, Done),
        case("not an owner, leaving", BODIL, UPSTREAM, FREE, Forbidden),
        case(
            "not an owner, upstream's deletion",
            BODIL,
            UPSTREAM,
            DELETED,
            Forbidden,
        ),
        case("admin, upstream's deletion", CHIEF, UPSTREAM, DELETED, Done),
        case("admin, another's name", CHIEF, ENTRY, OWNED, Forbidden),
        case("admin, own row", CHIEF, "own/a", UNOWNED, Forbidden),
        case("owner, deletion", ANNA, ENTRY, DELETED, Done),
        case("anybody, deleted entry", BODIL, ENTRY, UNOWNED, Done),
        case("anybody, no owners", ANNA, ENTRY, NO_JSON, Done),
        case("anybody, no JSON", BODIL, ENTRY, UNOWNED, Done),
        case(
            "another's name",
            ANNA,
            "catalogue/head",
            BY_BODIL,
            Forbidden,
        ),
        case("own name", BODIL, "catalogue/head", BY_BODIL, Done),
        case(
            "another's name in history",
            ANNA,
            "history/1",
            BY_BODIL,
            Forbidden,
        ),
        case("history", BODIL, "history/1", BY_BODIL, Done),
        case("history again", BODIL, "history/1", BY_BODIL, Forbidden),
        case(
            "history, deletion by admin",
            CHIEF,
            "history/1",
            DELETED,
            Forbidden,
        ),
        case("unknown token", "wrong", "own/a", UNOWNED, Forbidden),
        case("no token", "", "own/a", UNOWNED, Forbidden),
    ]
}

#[tokio::test]
async fn writes_need_the_right_token() {
    let server = start(settings()).await;
    let cases = access_cases();
    for case in &cases {
        let key = RowKey(case.key.into());
        let before = server.with_table(|t| t.row(&key).cloned());
        let client = client(&server, case.token);
        let commit = client.commit(write(case.key, case.value)).await;
        assert_eq!(
            call_result(&commit),
            case.expected,
            "{}: {commit:?}",
            case.name
        );
        let after = server.with_table(|t| t.row(&key).cloned());
        assert_eq!(
            before == after,
            case.expected != CallResult::Done,
            "{}",
            case.name
        );
    }
    let forbidden = cases
        .iter()
        .filter(|c| c.expected == CallResult::Forbidden)
        .count();
    assert_eq!(server.counters().forbidden, forbidden as u64);
    let writers = server.audit(Revision(4)).into_iter().map(|e| e.operator);
    let names = [
        "anna", "chief", "anna", "bodil", "anna", "bodil", "bodil", "bodil",
    ];
    let names = names.map(|n| Some(operator(n)));
    assert_eq!(writers.collect::<Vec<_>>(), names);
}

/// The stand-in's access rules parse catalogue rows with their own code.
///
/// This fails if the catalogue changes the format of its rows.
#[tokio::test]
async fn rows_of_the_catalogue_have_owners() {
    let server = start(settings()).await;
    let row = |key: &str, operator_name, body| Write {
        key: item_key(&key.parse().expect("a valid item")),
        value: Some(encode(&ItemRow {
            version: Version(1),
            change: ChangeId::new("c1").expect("a valid name"),
            operator: operator(operator_name),
            body: Some(body),
        })),
    };
    let commit = |text, write| {
        let client = client(&server, text);
        let (checks, writes) = (Vec::new(), vec![write]);
        async move { call_result(&client.commit(Txn { checks, writes }).await) }
    };
    let entry = |name| row("entry/e", name, json!({"owners": ["anna"]}));
    let upstream = |name| row("upstream/u", name, json!({"entry": "e"}));
    assert_eq!(commit(ANNA, entry("bodil")).await, CallResult::Forbidden);
    assert_eq!(commit(ANNA, entry("anna")).await, CallResult::Done);
    assert_eq!(commit(BODIL, entry("bodil")).await, CallResult::Forbidden);
    assert_eq!(
        commit(BODIL, upstream("bodil")).await,
        CallResult::Forbidden
    );
    assert_eq!(commit(ANNA, upstream("anna")).await, CallResult::Done);
    let history = Write {
        key: change_key(Version(1)),
        value: Some(Bytes::from_static(b"{}")),
    };
    assert_eq!(commit(BODIL, history.clone()).await, CallResult::Done);
    assert_eq!(commit(BODIL, history).await, CallResult::Forbidden);
}

#[tokio::test]
async fn a_forbidden_write_stops_its_whole_transaction() {
    let server = start(settings()).await;
    let mut txn = write("own/a", Some("1"));
    txn.writes.extend(write("catalogue/a", Some("1")).writes);
    let commit = client(&server, HOST).commit(txn).await;
    assert_eq!(call_result(&commit), CallResult::Forbidden);
    assert_eq!(server.with_table(|t| t.revision()), Revision(0));
}

#[tokio::test]
async fn objects_are_whole_and_never_change() {
    let server = start(settings()).await;
    let anna = client(&server, ANNA);
    let name = "bodies/å b?c";
    assert_eq!(anna.get(name).await, Ok(None));
    let body = Bytes::from(vec![7; 1 << 20]);
    assert_eq!(anna.put(name, body.clone()).await, Ok(()));
    assert_eq!(anna.put(name, body.clone()).await, Ok(()));
    let other = anna.put(name, Bytes::from_static(b"other")).await;
    assert_eq!(call_result(&other), CallResult::Forbidden);
    let by_host = client(&server, HOST);
    assert_eq!(by_host.get(name).await, Ok(Some(body)));
    let by_host = by_host.put("bodies/2", Bytes::new()).await;
    assert_eq!(call_result(&by_host), CallResult::Forbidden);
}

#[tokio::test]
async fn values_and_conflicts_are_transferred_unchanged() {
    let server = start(settings()).await;
    let host = client(&server, HOST);
    let mut txn = write("own/ä/\"x\"", Some("0"));
    txn.writes[0].value = Some(Bytes::from_static(&[0, 255, 128]));
    assert_eq!(
        host.commit(txn.clone()).await,
        Ok(Commit::Done(Revision(1)))
    );
    let row = server.with_table(|t| t.row(&txn.writes[0].key).cloned());
    let row = row.expect("the row was written");
    txn.checks.push(Check {
        key: row.key.clone(),
        revision: None,
    });
    let conflict = host.commit(txn).await;
    assert_eq!(conflict, Ok(Commit::Conflict(vec![row.clone()])));
    let deleted = write(&row.key.0, None);
    assert_eq!(host.commit(deleted).await, Ok(Commit::Done(Revision(2))));
    let changes = host.changes("own/", Revision(1)).await;
    let changes = changes.expect("the platform is up");
    assert_eq!(changes.revision, Revision(2));
    assert_eq!(changes.rows[0].value, None);
}

#[tokio::test]
async fn pages_join_into_one_answer() {
    let server = start(PlatformSettings {
        page_rows: 3,
        ..settings()
    })
    .await;
    for n in 0..20 {
        let writes = (0..=n % 4).flat_map(|m| write(&format!("own/{}", n + m), Some("x")).writes);
        let writes = writes.collect();
        let checks = Vec::new();
        server.with_table(|t| t.commit(&Txn { checks, writes }));
    }
    let host = client(&server, HOST);
    for since in [0, 1, 7, 20, 21] {
        let since = Revision(since);
        let expected = server.with_table(|t| t.changes("own/", since));
        assert_eq!(host.changes("own/", since).await, Ok(expected));
    }
    assert!(
        server.counters().change_reads > 5,
        "there was more than one page"
    );
}

/// The order and time of changes are tested without a clock in `platform_admin.rs`.
#[tokio::test]
async fn the_list_of_hosts_lags() {
    let lagging = |lag_ms| PlatformSettings {
        lag_ms,
        ..settings()
    };
    let server = start(lagging(3_600_000)).await;
    server.put_host(listed("h1", HostState::Live));
    assert_eq!(client(&server, HOST).list().await, Ok(vec![]));

    let server = start(lagging(50)).await;
    let host = client(&server, HOST);
    let both = [
        listed("h1", HostState::Live),
        listed("h2", HostState::Leaving),
    ];
    server.put_host(both[1].clone());
    server.put_host(both[0].clone());
    wait_for_list(&host, &both).await;
    server.remove_host(both[1].host.clone());
    wait_for_list(&host, &both[..1]).await;
}

async fn wait_for_list(host: &HttpPlatform, expected: &[ListedHost]) {
    for _ in 0..1_000 {
        if host.list().await.is_ok_and(|l| l == expected) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the list did not become {expected:?} in time");
}

#[tokio::test]
async fn kept_connections_are_used_again() {
    let server = start(settings()).await;
    let host = client(&server, HOST);
    for _ in 0..20 {
        assert_eq!(host.list().await, Ok(vec![]));
    }
    let counters = server.counters();
    assert_eq!((counters.connections, counters.host_reads), (1, 20));
}

#[test]
fn tokens_are_never_printed() {
    let settings = HttpSettings {
        token: token("s3cret"),
        ..HttpSettings::default()
    };
    let text = format!("{settings:?} {:?}", HttpPlatform::new(settings.clone()));
    assert!(!text.contains("s3cret"), "{text}");
    assert_eq!(Token::new("two words"), Err(InvalidToken));
}
