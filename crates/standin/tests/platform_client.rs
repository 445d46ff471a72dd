//! The HTTP client against the stand-in platform, fault by fault.

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

/// What a caller learns of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Done,
    Unreachable,
    Unconfirmed,
    Forbidden,
    BadAnswer,
}

fn told<T>(result: &Result<T, PlatformError>) -> Told {
    match result {
        Ok(_) => Told::Done,
        Err(PlatformError::Unreachable { .. }) => Told::Unreachable,
        Err(PlatformError::Unconfirmed { .. }) => Told::Unconfirmed,
        Err(PlatformError::Forbidden { .. }) => Told::Forbidden,
        Err(PlatformError::BadAnswer { .. }) => Told::BadAnswer,
    }
}

struct FaultCase {
    name: &'static str,
    faults: Faults,
    rates: RateLimits,
    /// What a host is told of a read, of a transaction, and whether its write stands later.
    read: Told,
    write: Told,
    stands: bool,
    /// What an operator is told of storing an object.
    store: Told,
}

impl Default for FaultCase {
    fn default() -> Self {
        Self {
            name: "up",
            faults: Faults::default(),
            rates: RateLimits::default(),
            read: Told::Done,
            write: Told::Done,
            stands: true,
            store: Told::Done,
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
            read: Told::Unreachable,
            write: Told::Unreachable,
            stands: false,
            store: Told::Unreachable,
            ..FaultCase::default()
        },
        FaultCase {
            name: "stalled",
            faults: mode(Mode::Stall),
            read: Told::Unreachable,
            write: Told::Unconfirmed,
            stands: false,
            store: Told::Unconfirmed,
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
            read: Told::Unreachable,
            write: Told::Unconfirmed,
            store: Told::Unconfirmed,
            ..FaultCase::default()
        },
        FaultCase {
            name: "the next confirmation is lost; an object is stored again",
            faults: lose(LoseConfirmations::Next(2)),
            write: Told::Unconfirmed,
            ..FaultCase::default()
        },
        FaultCase {
            name: "every confirmation is lost",
            faults: lose(LoseConfirmations::Fraction { p: 1.0, seed: 1 }),
            write: Told::Unconfirmed,
            store: Told::Unconfirmed,
            ..FaultCase::default()
        },
        FaultCase {
            name: "throttled",
            rates: RateLimits {
                reads_per_s: Some(0),
                writes_per_s: Some(0),
            },
            read: Told::Unreachable,
            write: Told::Unreachable,
            stands: false,
            store: Told::Unreachable,
            ..FaultCase::default()
        },
    ]
}

/// Runs one case; `warm` leaves connections at rest from before the fault.
async fn check_fault_case(case: &FaultCase, warm: bool) {
    let name = format!("{}, warm: {warm}", case.name);
    let server = start(settings()).await;
    let host = client(&server, HOST);
    let anna = client(&server, ANNA);
    if warm {
        assert_eq!(told(&host.list().await), Told::Done, "{name}");
        assert_eq!(told(&anna.list().await), Told::Done, "{name}");
    }
    server.set_faults(case.faults);
    server.set_rates(case.rates);
    let read = host.changes("own/", Revision(0)).await;
    assert_eq!(told(&read), case.read, "{name}: {read:?}");
    let commit = host.commit(write("own/a", Some("1"))).await;
    assert_eq!(told(&commit), case.write, "{name}: {commit:?}");
    let store = anna.put("bodies/1", Bytes::from_static(b"x")).await;
    assert_eq!(told(&store), case.store, "{name}: {store:?}");
    let stands = || server.with_table(|t| t.row(&RowKey("own/a".into())).is_some());
    if case.stands {
        eventually(&name, stands).await;
    }
    server.set_faults(Faults::default());
    server.set_rates(RateLimits::default());
    // A call after the fault shows that the client recovers, and orders the check below.
    assert_eq!(told(&recovered(&host).await), Told::Done, "{name}");
    assert_eq!(stands(), case.stands, "{name}");
    server.shutdown().await;
}

/// Lists hosts until the server listens again.
async fn recovered(host: &HttpPlatform) -> Result<Vec<ListedHost>, PlatformError> {
    for _ in 0..200 {
        let list = host.list().await;
        if list.is_ok() {
            return list;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    host.list().await
}

async fn eventually(name: &str, condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{name}: the condition never held");
}

#[tokio::test]
async fn faults_are_told_apart() {
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
    told: Told,
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
    use Told::{Done, Forbidden};
    let case = |name, token, key, value, told| AccessCase {
        name,
        token,
        key,
        value,
        told,
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
        assert_eq!(told(&commit), case.told, "{}: {commit:?}", case.name);
        let after = server.with_table(|t| t.row(&key).cloned());
        assert_eq!(before == after, case.told != Told::Done, "{}", case.name);
    }
    let forbidden = cases.iter().filter(|c| c.told == Told::Forbidden).count();
    assert_eq!(server.counters().forbidden, forbidden as u64);
    let writers = server.audit(Revision(4)).into_iter().map(|e| e.operator);
    let names = [
        "anna", "chief", "anna", "bodil", "anna", "bodil", "bodil", "bodil",
    ];
    let names = names.map(|n| Some(operator(n)));
    assert_eq!(writers.collect::<Vec<_>>(), names);
}

/// The access rules read rows on their own; this fails if the catalogue writes them otherwise.
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
        async move { told(&client.commit(Txn { checks, writes }).await) }
    };
    let entry = |name| row("entry/e", name, json!({"owners": ["anna"]}));
    let upstream = |name| row("upstream/u", name, json!({"entry": "e"}));
    assert_eq!(commit(ANNA, entry("bodil")).await, Told::Forbidden);
    assert_eq!(commit(ANNA, entry("anna")).await, Told::Done);
    assert_eq!(commit(BODIL, entry("bodil")).await, Told::Forbidden);
    assert_eq!(commit(BODIL, upstream("bodil")).await, Told::Forbidden);
    assert_eq!(commit(ANNA, upstream("anna")).await, Told::Done);
    let history = Write {
        key: change_key(Version(1)),
        value: Some(Bytes::from_static(b"{}")),
    };
    assert_eq!(commit(BODIL, history.clone()).await, Told::Done);
    assert_eq!(commit(BODIL, history).await, Told::Forbidden);
}

#[tokio::test]
async fn a_forbidden_write_stops_its_whole_transaction() {
    let server = start(settings()).await;
    let mut txn = write("own/a", Some("1"));
    txn.writes.extend(write("catalogue/a", Some("1")).writes);
    let commit = client(&server, HOST).commit(txn).await;
    assert_eq!(told(&commit), Told::Forbidden);
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
    assert_eq!(told(&other), Told::Forbidden);
    let by_host = client(&server, HOST);
    assert_eq!(by_host.get(name).await, Ok(Some(body)));
    let by_host = by_host.put("bodies/2", Bytes::new()).await;
    assert_eq!(told(&by_host), Told::Forbidden);
}

#[tokio::test]
async fn values_and_conflicts_pass_unharmed() {
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
    panic!("the list never became {expected:?}");
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
