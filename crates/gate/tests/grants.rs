//! Grants and health reports, and the errors when they fail.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use gate::{ControlCallError, GrantClient, GrantSettings};
use ids::{Epoch, HostId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wire::grant::{GrantReply, GrantRequest, GrantScope, HealthReport};

/// Behaviour of the upstream on each connection.
#[derive(Debug, Clone)]
enum Act {
    Answer(u16, String),
    AnswerAndClose(u16, String),
    Drop,
    NoReply,
}

async fn upstream(act: Act) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let act = act.clone();
            tokio::spawn(async move {
                let mut buf = [0; 8_192];
                while stream.read(&mut buf).await.unwrap_or(0) > 0 {
                    let (status, body) = match &act {
                        Act::Answer(status, body) | Act::AnswerAndClose(status, body) => {
                            (status, body)
                        }
                        Act::Drop => return,
                        Act::NoReply => continue,
                    };
                    let len = body.len();
                    let text =
                        format!("HTTP/1.1 {status} X\r\ncontent-length: {len}\r\n\r\n{body}");
                    let _ = stream.write_all(text.as_bytes()).await;
                    if matches!(act, Act::AnswerAndClose(..)) {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn grant() -> GrantRequest {
    GrantRequest {
        epoch: Epoch(3),
        seq: 1,
        coordinator: HostId::new("host-0").expect("a name"),
        boot: Some(9),
        scope: GrantScope::Undivided,
        ttl_ms: 5_000,
        reading_us: Some(77),
    }
}

fn reply(accepted: bool) -> GrantReply {
    GrantReply {
        accepted,
        refusal: None,
        boot: 9,
        epoch: Epoch(3),
        seq: 1,
        reading_us: 1,
        until_us: 2,
        scope: None,
        running: Vec::new(),
    }
}

fn client(peer: SocketAddr) -> GrantClient {
    let settings = GrantSettings {
        timeout: Duration::from_millis(150),
        ..GrantSettings::default()
    };
    GrantClient::new(settings, peer)
}

#[tokio::test]
async fn replies_are_returned_whether_accepted_or_not() {
    for (status, accepted) in [(200, true), (409, false)] {
        let text = serde_json::to_string(&reply(accepted)).expect("JSON");
        for act in [
            Act::Answer(status, text.clone()),
            Act::AnswerAndClose(status, text),
        ] {
            let mut client = client(upstream(act.clone()).await);
            for _ in 0..3 {
                let got = client.grant(&grant()).await.expect("a reply");
                assert_eq!(got, reply(accepted), "{act:?}");
                let state = client.state().await.expect("a reply");
                assert_eq!(state, reply(accepted), "{act:?}");
            }
        }
    }
}

#[tokio::test]
async fn health_is_read() {
    let report = HealthReport {
        slots: 4,
        running: 1,
        ..HealthReport::default()
    };
    let text = serde_json::to_string(&report).expect("JSON");
    let mut client = client(upstream(Act::Answer(200, text)).await);
    assert_eq!(client.health().await.expect("a report"), report);
}

struct Case {
    name: &'static str,
    act: Option<Act>,
    had_no_effect: bool,
    expected: fn(&ControlCallError) -> bool,
}

#[tokio::test]
async fn errors_show_whether_the_message_may_have_had_an_effect() {
    let cases = [
        Case {
            name: "no listener",
            act: None,
            had_no_effect: true,
            expected: |e| matches!(e, ControlCallError::Exchange { .. }),
        },
        Case {
            name: "dropped",
            act: Some(Act::Drop),
            had_no_effect: false,
            expected: |e| matches!(e, ControlCallError::Exchange { .. }),
        },
        Case {
            name: "no reply",
            act: Some(Act::NoReply),
            had_no_effect: false,
            expected: |e| matches!(e, ControlCallError::Timeout { .. }),
        },
        Case {
            name: "another status",
            act: Some(Act::Answer(500, "{}".to_owned())),
            had_no_effect: false,
            expected: |e| matches!(e, ControlCallError::Status { .. }),
        },
        Case {
            name: "invalid JSON",
            act: Some(Act::Answer(200, "[".to_owned())),
            had_no_effect: false,
            expected: |e| matches!(e, ControlCallError::BadReply { .. }),
        },
    ];
    let (_socket, unused) = support::unused_address();
    for case in cases {
        let peer = match case.act {
            Some(act) => upstream(act).await,
            None => unused,
        };
        let error = client(peer).grant(&grant()).await.expect_err(case.name);
        assert!((case.expected)(&error), "{}: {error:?}", case.name);
        assert_eq!(
            error.had_no_effect(),
            case.had_no_effect,
            "{}: {error}",
            case.name
        );
        assert!(
            error.to_string().contains(&peer.to_string()),
            "{}: {error}",
            case.name
        );
    }
}

/// Starts an upstream that answers each call twice, the second time when the next call arrives on the
/// connection; with the ids of the calls, if `repeats_ids`. Each reply states another reading.
async fn answers_twice(repeats_ids: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let mut calls = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let (mut buf, mut late) = ([0; 8_192], String::new());
            while let Ok(read @ 1..) = stream.read(&mut buf).await {
                let head = String::from_utf8_lossy(&buf[..read]).into_owned();
                let id = head
                    .lines()
                    .find(|l| l.starts_with("medlardyke-request-id"));
                let id = id.filter(|_| repeats_ids).unwrap_or("x-nothing: 1");
                let mut reply = reply(true);
                reply.reading_us = calls;
                calls += 1;
                let body = serde_json::to_string(&reply).expect("JSON");
                let len = body.len();
                let answer =
                    format!("HTTP/1.1 200 X\r\n{id}\r\ncontent-length: {len}\r\n\r\n{body}");
                let both = std::mem::replace(&mut late, answer.clone()) + &answer;
                // The client may have closed the connection.
                let _ = stream.write_all(both.as_bytes()).await;
            }
        }
    });
    address
}

/// Guards against a late second reply that is taken for that to the next call: it may list no running
/// requests for keys that the upstream was granted again.
#[tokio::test]
async fn a_second_reply_is_not_taken_for_that_to_the_next_call() {
    for repeats_ids in [true, false] {
        let mut client = client(answers_twice(repeats_ids).await);
        for n in 0..4 {
            match client.grant(&grant()).await {
                Ok(got) => assert_eq!(got.reading_us, n, "ids: {repeats_ids}"),
                Err(e) => assert!(repeats_ids, "{e}"),
            }
        }
    }
}
