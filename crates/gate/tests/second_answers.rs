//! Which answers on a connection to an upstream are taken for that to a sending.

use std::time::Duration;

use bytes::Bytes;
use gate::upstream::{Exchange, ExchangeError, Sending, Unidentified, UpstreamConn};
use http::{HeaderName, Request};
use http_body_util::Full;
use ids::Timestamp;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BYTES: usize = 8 << 10;
/// Deadline of all requests, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
static ID: HeaderName = HeaderName::from_static("medlardyke-request-id");

/// Opens a connection to an upstream that answers the requests on it with these texts, in turn.
async fn connect(answers: Vec<String>) -> UpstreamConn {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let conn = UpstreamConn::open(address, Duration::from_secs(5), BYTES);
    let conn = conn.await.expect("open");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut buf = [0; BYTES];
        let mut answers = answers.into_iter();
        while let Ok(1..) = stream.read(&mut buf).await {
            let answer = answers.next().unwrap_or_default();
            stream.write_all(answer.as_bytes()).await.expect("write");
        }
    });
    conn
}

async fn send(
    conn: UpstreamConn,
    id: &str,
    at_ms: u64,
    unidentified: Unidentified,
) -> Result<Exchange, ExchangeError> {
    let sending = Sending {
        id,
        id_header: &ID,
        now: Timestamp::from_millis(at_ms),
        deadline: Timestamp::from_millis(DEADLINE_MS),
        unidentified,
    };
    let request = Request::get("/").header("host", "upstream").header(&ID, id);
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    conn.exchange(&sending, request, BYTES).await
}

/// Returns an answer with the id `id`, if it is not empty.
fn answer(status: u16, id: &str) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("{ID}: {id}\r\n"),
    };
    format!("HTTP/1.1 {status} X\r\n{id}content-length: 0\r\n\r\n")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Taken,
    /// It is not the answer to this sending.
    NotTaken,
    /// The request was not sent on the connection.
    NotSent,
}

fn end_of(result: Result<Exchange, ExchangeError>) -> (End, Option<UpstreamConn>) {
    match result {
        Ok(done) => (End::Taken, done.conn),
        Err(ExchangeError::Mismatch { .. }) => (End::NotTaken, None),
        Err(ExchangeError::Unsent { request, .. }) => {
            assert!(request.is_some(), "it can be sent on another connection");
            (End::NotSent, None)
        }
        Err(e) => panic!("{e}"),
    }
}

struct Case {
    name: &'static str,
    /// Ids of the requests, and of the answers that come in their places.
    ids: [&'static str; 2],
    answered: [&'static str; 2],
    /// When the second request is sent, in milliseconds.
    second_at: u64,
    unidentified: Unidentified,
    /// How the second one ends.
    end: End,
}

const SAME_REQUEST: Case = Case {
    name: "the same request at once",
    ids: ["a", "a"],
    answered: ["a", "a"],
    second_at: 1,
    unidentified: Unidentified::OnlyRequest,
    end: End::NotSent,
};

const CASES: [Case; 8] = [
    SAME_REQUEST,
    Case {
        name: "the same request just before its deadline",
        second_at: DEADLINE_MS - 1,
        ..SAME_REQUEST
    },
    Case {
        name: "its id is used again after its deadline",
        second_at: DEADLINE_MS,
        end: End::Taken,
        ..SAME_REQUEST
    },
    Case {
        name: "the same request at an upstream that repeats no ids",
        answered: ["", ""],
        unidentified: Unidentified::Any,
        ..SAME_REQUEST
    },
    Case {
        name: "another request at an upstream that repeats no ids",
        ids: ["a", "b"],
        answered: ["", ""],
        unidentified: Unidentified::Any,
        end: End::Taken,
        ..SAME_REQUEST
    },
    Case {
        name: "the second answer comes in the place of another request's",
        ids: ["a", "b"],
        end: End::NotTaken,
        ..SAME_REQUEST
    },
    Case {
        name: "the same without an id",
        ids: ["a", "b"],
        answered: ["", ""],
        end: End::NotTaken,
        ..SAME_REQUEST
    },
    Case {
        name: "requests without ids",
        ids: ["", ""],
        answered: ["", ""],
        ..SAME_REQUEST
    },
];

/// Guards against an answer that is taken for that to another sending: a second answer to the request
/// that the connection carried before, of any class. Interim answers say nothing, however often they
/// come.
#[tokio::test]
async fn an_answer_is_taken_for_that_to_one_sending() {
    for status in [200, 421, 429, 500, 503] {
        for case in CASES {
            let interim = format!("HTTP/1.1 103 Early Hints\r\n{ID}: a\r\n\r\n");
            let answers = case
                .answered
                .map(|id| interim.clone() + &answer(status, id));
            let conn = connect(answers.to_vec()).await;
            let first = send(conn, case.ids[0], 0, case.unidentified).await;
            let (end, kept) = end_of(first);
            assert_eq!(end, End::Taken, "{}: {status}, first", case.name);
            let kept = kept.expect("the connection is kept");
            let second = send(kept, case.ids[1], case.second_at, case.unidentified).await;
            assert_eq!(end_of(second).0, case.end, "{}: {status}", case.name);
        }
    }
}

/// Guards against answers that the upstream must identify and does not, and against heads that are no
/// final answer.
#[tokio::test]
async fn what_is_no_answer_is_not_taken() {
    let switching = "HTTP/1.1 101 Switching Protocols\r\nmedlardyke-request-id: a\r\n\r\n";
    for (text, unidentified) in [
        (answer(200, ""), Unidentified::Refused),
        (switching.to_owned(), Unidentified::OnlyRequest),
    ] {
        let sent = send(connect(vec![text]).await, "a", 0, unidentified).await;
        assert_eq!(end_of(sent).0, End::NotTaken);
    }
}

/// Guards against a connection that forgets what it has carried: it is closed before.
#[tokio::test]
async fn a_connection_that_can_remember_no_more_requests_is_not_kept() {
    const MAX: usize = 2_000;
    let ids: Vec<String> = (0..MAX).map(|n| format!("id-{n}")).collect();
    let mut conn = connect(ids.iter().map(|id| answer(200, id)).collect()).await;
    for id in &ids {
        let sent = send(conn, id, 1, Unidentified::OnlyRequest).await;
        let Some(kept) = end_of(sent).1 else {
            return;
        };
        assert!(!kept.may_carry(Timestamp::from_millis(1), &ids[0]));
        conn = kept;
    }
    panic!("{MAX} requests within their deadlines went over one connection");
}
