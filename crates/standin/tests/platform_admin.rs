//! The stand-in platform's admin commands over HTTP, and unit tests of its state machines.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use http::{Method, StatusCode};
use ids::{DomainId, HostId, Timestamp};
use platform::{HostState, Hosts, HttpPlatform, HttpSettings, ListedHost, PlatformError, Token};
use serde_json::{Value, json};
use standin::client;
use standin::platform::faults::ConfirmationLoss;
use standin::platform::hosts::LaggingHostList;
use standin::platform::rate_limit::RateLimiter;
use standin::platform::{Counters, LoseConfirmations, PlatformSettings, StandinPlatform};

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn listed(name: &str, port: u16) -> ListedHost {
    ListedHost {
        host: HostId::new(name).expect("a valid name"),
        domain: DomainId::new("d1").expect("a valid name"),
        control: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        dispatch: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        state: HostState::Live,
    }
}

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    body: Value,
    status: StatusCode,
}

fn cases() -> Vec<Case> {
    let case = |name, method, path, body, status| Case {
        name,
        method,
        path,
        body,
        status,
    };
    let host = json!({
        "domain": "d1", "control": "127.0.0.1:1", "dispatch": "127.0.0.1:1", "state": "live",
    });
    let (ok, done, bad) = (
        StatusCode::OK,
        StatusCode::NO_CONTENT,
        StatusCode::BAD_REQUEST,
    );
    let faults = "/admin/faults";
    vec![
        case("faults", Method::GET, faults, json!(null), ok),
        case("up", Method::PUT, faults, json!({"mode": "up"}), done),
        case("stall", Method::PUT, faults, json!({"mode": "stall"}), done),
        case(
            "slow",
            Method::PUT,
            faults,
            json!({"mode": {"slow": {"delay_ms": 1}}}),
            done,
        ),
        case(
            "next",
            Method::PUT,
            faults,
            json!({"lose_confirmations": {"next": 1}}),
            done,
        ),
        case(
            "fraction",
            Method::PUT,
            faults,
            json!({"lose_confirmations": {"fraction": {"p": 0.5, "seed": 1}}}),
            done,
        ),
        case("bad mode", Method::PUT, faults, json!({"mode": "odd"}), bad),
        case(
            "bad field",
            Method::PUT,
            faults,
            json!({"modus": "up"}),
            bad,
        ),
        case(
            "rates",
            Method::PUT,
            "/admin/rates",
            json!({"reads_per_s": 1}),
            done,
        ),
        case("lag", Method::PUT, "/admin/lag", json!({"lag_ms": 0}), done),
        case("no lag", Method::PUT, "/admin/lag", json!({}), bad),
        case("host", Method::PUT, "/admin/hosts/h1", host.clone(), done),
        case(
            "host again",
            Method::PUT,
            "/admin/hosts/h1",
            host.clone(),
            done,
        ),
        case("bad name", Method::PUT, "/admin/hosts/h%201", host, bad),
        case("bad host", Method::PUT, "/admin/hosts/h1", json!({}), bad),
        case(
            "host removed",
            Method::DELETE,
            "/admin/hosts/h1",
            json!(null),
            done,
        ),
        case("counters", Method::GET, "/admin/counters", json!(null), ok),
        case(
            "audit",
            Method::GET,
            "/admin/audit?since=1",
            json!(null),
            ok,
        ),
        case(
            "unknown command",
            Method::GET,
            "/admin",
            json!(null),
            StatusCode::NOT_FOUND,
        ),
    ]
}

async fn start() -> StandinPlatform {
    let settings = PlatformSettings {
        host_tokens: vec![Token::new("t").expect("a valid token")],
        ..PlatformSettings::default()
    };
    let started = StandinPlatform::bind(ANY_PORT, settings).await;
    started.expect("loopback has free ports")
}

async fn command(server: &StandinPlatform, method: Method, path: &str, body: &Value) -> StatusCode {
    let answer = client::call(server.admin_address(), method, path, Some(body)).await;
    answer.expect("commands are answered").status()
}

#[tokio::test]
async fn commands() {
    let server = start().await;
    for case in cases() {
        let status = command(&server, case.method, case.path, &case.body).await;
        assert_eq!(status, case.status, "{}", case.name);
    }
}

#[tokio::test]
async fn commands_take_effect() {
    let server = start().await;
    let host = HttpPlatform::new(HttpSettings {
        address: server.address(),
        token: Token::new("t").expect("a valid token"),
        ..HttpSettings::default()
    });
    let body = json!({
        "domain": "d1", "control": "127.0.0.1:7", "dispatch": "127.0.0.1:7", "state": "live",
    });
    command(&server, Method::PUT, "/admin/hosts/h7", &body).await;
    assert_eq!(host.list().await, Ok(vec![listed("h7", 7)]));
    let down = json!({"mode": "down"});
    command(&server, Method::PUT, "/admin/faults", &down).await;
    let list = host.list().await;
    assert!(
        matches!(list, Err(PlatformError::Unreachable { .. })),
        "{list:?}"
    );
    // Commands work while the platform is down.
    let counters = client::call::<()>(server.admin_address(), Method::GET, "/admin/counters", None);
    let counters = counters.await.expect("commands are answered");
    let counters: Counters = serde_json::from_slice(counters.body()).expect("it is JSON");
    assert_eq!((counters.reads, counters.host_reads), (1, 1));
}

#[test]
fn settings_name_unknown_fields() {
    let settings = json!({
        "host_tokens": ["t"], "operators": {"anna": "a"}, "rates": {"reads_per_s": 2000},
    });
    let settings: PlatformSettings = serde_json::from_value(settings).expect("it is valid");
    assert_eq!(settings.rates.reads_per_s, Some(2000));
    assert!(!format!("{settings:?}").contains("\"a\""));
    let error = serde_json::from_value::<PlatformSettings>(json!({"lag": 3}));
    assert!(error.is_err_and(|e| e.to_string().contains("unknown field `lag`")));
}

#[test]
fn rates_limit_calls_per_second() {
    let at = |millis: u64| Timestamp::from_millis(10_000 + millis);
    let mut rate = RateLimiter::new(at(0), Some(100));
    let taken =
        |rate: &mut RateLimiter, millis| (0..1_000).filter(|_| rate.take(at(millis))).count();
    assert_eq!(
        taken(&mut rate, 0),
        100,
        "a full second's allowance at once"
    );
    assert_eq!(taken(&mut rate, 0), 0);
    assert_eq!(taken(&mut rate, 50), 5);
    assert_eq!((0..2_000).filter(|n| rate.take(at(50 + n))).count(), 199);
    assert_eq!(
        taken(&mut rate, 100_000),
        100,
        "no more than one second's allowance"
    );
    let mut unlimited = RateLimiter::new(at(0), None);
    assert_eq!(taken(&mut unlimited, 0), 1_000);
}

#[test]
fn the_list_shows_changes_late_and_in_order() {
    let at = Timestamp::from_millis;
    let listed_ports = |list: &mut LaggingHostList, millis| -> Vec<u16> {
        list.list(at(millis)).map(|l| l.control.port()).collect()
    };
    let mut list = LaggingHostList::new(Duration::from_millis(100));
    list.put(at(0), listed("h1", 1));
    list.set_lag(Duration::from_millis(10));
    list.put(at(1), listed("h2", 2));
    list.remove(at(95), HostId::new("h1").expect("a valid name"));
    assert_eq!(listed_ports(&mut list, 99), [0; 0]);
    assert_eq!(
        listed_ports(&mut list, 100),
        [1, 2],
        "a change with a shorter lag doesn't overtake an earlier one"
    );
    assert_eq!(listed_ports(&mut list, 104), [1, 2]);
    assert_eq!(listed_ports(&mut list, 105), [2]);
}

#[test]
fn losses_follow_their_plan() {
    let lost = |plan, writes: usize| {
        let mut losses = ConfirmationLoss::new(plan);
        (0..writes).filter(|_| losses.next_is_lost()).count()
    };
    assert_eq!(lost(LoseConfirmations::None, 10), 0);
    assert_eq!(lost(LoseConfirmations::Next(3), 10), 3);
    let fraction = LoseConfirmations::Fraction { p: 0.25, seed: 7 };
    let count = lost(fraction, 10_000);
    assert!((2_300..2_700).contains(&count), "{count} of 10,000");
    assert_eq!(
        count,
        lost(fraction, 10_000),
        "the same seed gives the same losses"
    );
}
