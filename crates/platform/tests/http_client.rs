//! What callers of the HTTP client are told when connections break, answer by answer.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use ids::Revision;
use platform::{HttpPlatform, HttpSettings, Objects, PlatformError, Table, Txn};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the server does with one request, or instead of reading it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Act {
    CloseUnread,
    CloseAfterHead,
    CloseAfterRequest,
    CloseAmidAnswer,
    NeverAnswer,
    Garbage,
    Answer(u16),
    AnswerAndClose,
    NoJson,
}

const WRITE_IDLE: Duration = Duration::from_millis(2);
const DONE: &str = r#"{"result":"done","revision":1,"rows":[],"next":null,"hosts":[]}"#;

/// A server that works off a list of acts, and then answers all requests.
#[derive(Debug, Default)]
struct Script {
    acts: Mutex<Vec<Act>>,
    /// Requests that arrived whole.
    whole: AtomicU32,
}

impl Script {
    fn next(&self) -> Act {
        let mut acts = self.acts.lock().expect("no test panics with the lock");
        if acts.is_empty() {
            return Act::Answer(200);
        }
        acts.remove(0)
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(Arc::clone(&self).serve_connection(socket));
        }
    }

    async fn serve_connection(self: Arc<Self>, mut socket: TcpStream) {
        while self.serve_request(&mut socket).await.is_some() {}
    }

    /// Returns nothing if the connection ends.
    async fn serve_request(&self, socket: &mut TcpStream) -> Option<()> {
        // An act is drawn only for a request that comes, but for one that goes unread.
        socket.readable().await.ok()?;
        if socket.peek(&mut [0]).await.ok()? == 0 {
            return None;
        }
        let act = self.next();
        if act == Act::CloseUnread {
            return None;
        }
        read_request(socket, act != Act::CloseAfterHead).await?;
        if act == Act::CloseAfterHead {
            return None;
        }
        self.whole.fetch_add(1, Ordering::SeqCst);
        let answer = match act {
            Act::CloseUnread | Act::CloseAfterHead | Act::CloseAfterRequest => return None,
            Act::NeverAnswer => std::future::pending().await,
            Act::CloseAmidAnswer => "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{".to_owned(),
            Act::Garbage => "no HTTP at all\r\n\r\n".to_owned(),
            Act::NoJson => answer(200, "[1,"),
            Act::Answer(status) => answer(status, DONE),
            Act::AnswerAndClose => answer(200, DONE),
        };
        socket.write_all(answer.as_bytes()).await.ok()?;
        matches!(act, Act::Answer(_) | Act::NoJson).then_some(())
    }
}

fn answer(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn read_request(socket: &mut TcpStream, with_body: bool) -> Option<()> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1);
            let length = length.and_then(|l| l.lines().next()?.parse().ok());
            if !with_body || body.len() >= length.unwrap_or(0) {
                return Some(());
            }
        }
        if socket.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

async fn start(acts: Vec<Act>) -> (HttpPlatform, Arc<Script>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let script = Arc::new(Script {
        acts: Mutex::new(acts),
        ..Script::default()
    });
    tokio::spawn(Arc::clone(&script).serve(listener));
    (client(address), script)
}

fn client(address: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(HttpSettings {
        address,
        timeout: Duration::from_millis(100),
        write_idle: WRITE_IDLE,
        ..HttpSettings::default()
    })
}

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

struct Case {
    acts: &'static [Act],
    read: Told,
    store: Told,
    commit: Told,
}

fn cases() -> Vec<Case> {
    use Told::{BadAnswer, Done, Forbidden, Unconfirmed, Unreachable};
    let case = |acts, read, store, commit| Case {
        acts,
        read,
        store,
        commit,
    };
    // A read and a stored object are tried again, so that one failure doesn't show.
    vec![
        case(&[], Done, Done, Done),
        case(&[Act::CloseUnread], Done, Done, Unconfirmed),
        case(&[Act::CloseAfterHead], Done, Done, Unconfirmed),
        case(&[Act::CloseAfterRequest], Done, Done, Unconfirmed),
        case(&[Act::CloseAmidAnswer], Done, Done, Unconfirmed),
        case(&[Act::Garbage], Done, Done, Unconfirmed),
        case(
            &[Act::CloseAfterRequest; 2],
            Unreachable,
            Unconfirmed,
            Unconfirmed,
        ),
        case(
            &[Act::CloseAmidAnswer; 2],
            Unreachable,
            Unconfirmed,
            Unconfirmed,
        ),
        case(&[Act::NeverAnswer], Unreachable, Unconfirmed, Unconfirmed),
        case(&[Act::NoJson], BadAnswer, Done, BadAnswer),
        case(&[Act::Answer(400)], Forbidden, Forbidden, Forbidden),
        case(&[Act::Answer(401)], Forbidden, Forbidden, Forbidden),
        case(&[Act::Answer(403)], Forbidden, Forbidden, Forbidden),
        case(&[Act::Answer(404)], BadAnswer, BadAnswer, BadAnswer),
        case(&[Act::Answer(429)], Unreachable, Unreachable, Unreachable),
        case(&[Act::Answer(500)], Unreachable, Unconfirmed, Unconfirmed),
        case(&[Act::Answer(503)], Unreachable, Unconfirmed, Unconfirmed),
        case(&[Act::Answer(302)], Unreachable, Unconfirmed, Unconfirmed),
    ]
}

#[tokio::test]
async fn broken_answers() {
    for case in cases() {
        let (client, _) = start(case.acts.to_vec()).await;
        let read = client.changes("own/", Revision(0)).await;
        assert_eq!(told(&read), case.read, "{:?}: {read:?}", case.acts);
        let (client, _) = start(case.acts.to_vec()).await;
        let store = client.put("a", Bytes::from_static(b"a")).await;
        assert_eq!(told(&store), case.store, "{:?}: {store:?}", case.acts);
        let (client, _) = start(case.acts.to_vec()).await;
        let commit = client.commit(Txn::default()).await;
        assert_eq!(told(&commit), case.commit, "{:?}: {commit:?}", case.acts);
    }
}

#[tokio::test]
async fn nobody_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has free ports");
    let client = client(listener.local_addr().expect("it is bound"));
    drop(listener);
    let commit = client.commit(Txn::default()).await;
    assert_eq!(told(&commit), Told::Unreachable, "{commit:?}");
    assert!(commit.is_err_and(|e| e.had_no_effect()));
}

#[tokio::test]
async fn connections_closed_at_rest_leave_no_doubt() {
    let (reader, script) = start(vec![Act::AnswerAndClose; 20]).await;
    for n in 1..=20 {
        let read = reader.changes("own/", Revision(0)).await;
        assert_eq!(told(&read), Told::Done, "read {n}: {read:?}");
    }
    assert_eq!(script.whole.load(Ordering::SeqCst), 20);

    let (writer, script) = start(vec![Act::AnswerAndClose; 20]).await;
    for n in 1..=20 {
        let commit = writer.commit(Txn::default()).await;
        assert_eq!(told(&commit), Told::Done, "transaction {n}: {commit:?}");
        // Longer than a write lets a connection rest.
        tokio::time::sleep(WRITE_IDLE * 2).await;
    }
    assert_eq!(script.whole.load(Ordering::SeqCst), 20);
}

/// Answers one transaction, closes the connection and listens no more, on a thread of its own.
fn serve_once() -> (SocketAddr, std::thread::JoinHandle<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0");
    let listener = listener.expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let thread = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a client comes");
        let mut buf = [0; 4096];
        let len = socket.read(&mut buf).expect("a request comes");
        assert!(len < buf.len(), "the request is short");
        let answer = answer(200, DONE);
        socket
            .write_all(answer.as_bytes())
            .expect("the client reads");
    });
    (address, thread)
}

#[tokio::test]
async fn a_write_on_a_connection_just_closed_was_never_sent() {
    for n in 0..20 {
        let (address, thread) = serve_once();
        let client = HttpPlatform::new(HttpSettings {
            address,
            write_idle: Duration::from_secs(10),
            ..HttpSettings::default()
        });
        let commit = client.commit(Txn::default()).await;
        assert_eq!(told(&commit), Told::Done, "{n}: {commit:?}");
        // Blocks the client's tasks too, so that none of them has seen the close yet.
        thread.join().expect("the server ends well");
        let commit = client.commit(Txn::default()).await;
        assert_eq!(told(&commit), Told::Unreachable, "{n}: {commit:?}");
    }
}

fn any_act() -> impl Strategy<Value = Act> {
    prop_oneof![
        Just(Act::CloseUnread),
        Just(Act::CloseAfterHead),
        Just(Act::CloseAfterRequest),
        Just(Act::CloseAmidAnswer),
        Just(Act::Garbage),
        Just(Act::AnswerAndClose),
        Just(Act::Answer(200)),
        Just(Act::Answer(429)),
        Just(Act::Answer(500)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    /// Of any transaction at most one copy arrives, and none that the client calls unreachable
    /// unless the server refused it.
    #[test]
    fn a_transaction_never_arrives_twice(acts in prop::collection::vec(any_act(), 1..12)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime starts").block_on(async {
            let (client, script) = start(acts.clone()).await;
            for _ in 0..acts.len() {
                let before = script.whole.load(Ordering::SeqCst);
                let commit = client.commit(Txn::default()).await;
                let arrived = script.whole.load(Ordering::SeqCst) - before;
                assert!(arrived <= 1, "{acts:?}: arrived {arrived} times: {commit:?}");
                let throttled = format!("{commit:?}").contains("throttled");
                if told(&commit) == Told::Unreachable && !throttled {
                    assert_eq!(arrived, 0, "{acts:?}: {commit:?}");
                }
            }
        });
    }
}
