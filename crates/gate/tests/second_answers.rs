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
    /// Ids of the two requests, and of the answers that come in their places; `-` for none.
    ids: &'static str,
    answered: &'static str,
    /// When the second request is sent, in milliseconds.
    second_at: u64,
    unidentified: Unidentified,
    /// How the second one ends.
    end: End,
}

const fn case(
    name: &'static str,
    (ids, answered): (&'static str, &'static str),
    second_at: u64,
    unidentified: Unidentified,
    end: End,
) -> Case {
    Case {
        name,
        ids,
        answered,
        second_at,
        unidentified,
        end,
    }
}

const CASES: [Case; 8] = {
    use End::{NotSent, NotTaken, Taken};
    use Unidentified::{Any, OnlyRequest};
    const BEFORE: u64 = DEADLINE_MS - 1;
    [
        case("at once", ("aa", "aa"), 1, OnlyRequest, NotSent),
        case("in time", ("aa", "aa"), BEFORE, OnlyRequest, NotSent),
        case("later", ("aa", "aa"), DEADLINE_MS, OnlyRequest, Taken),
        case("another", ("ab", "aa"), 1, OnlyRequest, NotTaken),
        case("another, no id", ("ab", "--"), 1, OnlyRequest, NotTaken),
        case("ids never repeated", ("aa", "--"), 1, Any, NotSent),
        case("another, never repeated", ("ab", "--"), 1, Any, Taken),
        case("no ids at all", ("--", "--"), 1, OnlyRequest, NotSent),
    ]
};

/// Returns the ids in `text`.
fn ids(text: &str) -> Vec<&str> {
    let id = |i| text[i..=i].trim_matches('-');
    (0..text.len()).map(id).collect()
}

/// Guards against an answer that is taken for that to another sending: a second answer to the request
/// that the connection carried before, of any class. Interim answers say nothing, however often they
/// come.
#[tokio::test]
async fn an_answer_is_taken_for_that_to_one_sending() {
    for status in [200, 421, 429, 500, 503] {
        for case in CASES {
            let interim = format!("HTTP/1.1 103 Early Hints\r\n{ID}: a\r\n\r\n");
            let answered = ids(case.answered).into_iter();
            let answers = answered.map(|id| interim.clone() + &answer(status, id));
            let conn = connect(answers.collect()).await;
            let sent = ids(case.ids);
            let first = send(conn, sent[0], 0, case.unidentified).await;
            let (end, kept) = end_of(first);
            assert_eq!(end, End::Taken, "{}: {status}, first", case.name);
            let kept = kept.expect("the connection is kept");
            let second = send(kept, sent[1], case.second_at, case.unidentified).await;
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
