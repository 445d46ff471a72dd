//! The two ways of a proxied connection.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::exchange::{Exchange, Verdict, Way};
use super::plan::NumberedPlan;
use super::server::Shared;
use crate::timer::sleep_until;

/// Chunks that may be under way in one direction.
const CHUNKS: usize = 256;
const CHUNK_BYTES: usize = 16 * 1024;
/// Time between two looks whether a sender whose bytes are held has reset its connection.
const RESET_LOOK: Duration = Duration::from_millis(10);

/// What the writer of one way does next.
struct Step {
    due: Instant,
    chunk: Bytes,
    then: Then,
}

/// What follows on the bytes of a step.
#[derive(PartialEq, Eq)]
enum Then {
    GoOn,
    Finish,
    Cut,
}

/// What both ways of a connection share.
struct Link {
    shared: Arc<Shared>,
    exchange: Mutex<Exchange>,
    cut: CancellationToken,
}

/// Carries a client's connection until both sides have closed it or it is cut.
pub(crate) async fn connection(
    shared: Arc<Shared>,
    client: TcpStream,
    number: u64,
    cut: CancellationToken,
) {
    let target = shared.target;
    let link = Link {
        exchange: Mutex::new(Exchange::new(shared.seed.wrapping_add(number))),
        shared,
        cut: cut.clone(),
    };
    let carry = async {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        if server.set_nodelay(true).is_err() || client.set_nodelay(true).is_err() {
            return;
        }
        let (client_rx, client_tx) = client.into_split();
        let (server_rx, server_tx) = server.into_split();
        tokio::join!(
            way(&link, Way::Request, client_rx, server_tx),
            way(&link, Way::Answer, server_rx, client_tx),
        );
    };
    if cut.run_until_cancelled(carry).await.is_none() {
        link.shared.counters.cuts.fetch_add(1, Ordering::Relaxed);
    }
}

async fn way(link: &Link, way: Way, from: OwnedReadHalf, to: OwnedWriteHalf) {
    let (tx, rx) = mpsc::channel(CHUNKS);
    tokio::join!(read(link, way, from, tx), write(link, way, to, rx));
}

async fn read(link: &Link, way: Way, mut from: OwnedReadHalf, tx: mpsc::Sender<Step>) {
    let mut plan = link.shared.plan.subscribe();
    let mut buf = BytesMut::new();
    loop {
        buf.reserve(CHUNK_BYTES);
        // A broken connection ends its way like a closed one: with an empty chunk.
        let ended = from.read_buf(&mut buf).await.is_err();
        debug_assert!(!ended || buf.is_empty(), "a failed read gives no bytes");
        let chunk = buf.split().freeze();
        let Some(step) = next_step(link, way, chunk, &from, &mut plan).await else {
            continue;
        };
        let is_last = step.then != Then::GoOn;
        // The writer is gone once its side broke.
        if tx.send(step).await.is_err() || is_last {
            return;
        }
    }
}

/// Waits while `chunk` is held, and says what becomes of it; nothing if it is thrown away.
async fn next_step(
    link: &Link,
    way: Way,
    mut chunk: Bytes,
    from: &OwnedReadHalf,
    plan: &mut watch::Receiver<Arc<NumberedPlan>>,
) -> Option<Step> {
    loop {
        let present = Arc::clone(&plan.borrow_and_update());
        let verdict = link.judge(way, chunk.len(), &present);
        let then = match verdict {
            Verdict::Forward if chunk.is_empty() => Then::Finish,
            Verdict::Forward => Then::GoOn,
            Verdict::Discard => return None,
            Verdict::Hold => {
                tokio::select! {
                    changed = plan.changed() => {
                        changed.expect("the sender lives as long as the connection");
                        continue;
                    }
                    () = reset(from) => {
                        link.cut.cancel();
                        return None;
                    }
                }
            }
            Verdict::Cut(len) => {
                chunk.truncate(len);
                Then::Cut
            }
        };
        let due = Instant::now() + link.exchange().delay(way, present.plan.delay);
        return Some(Step { due, chunk, then });
    }
}

/// Waits until the sender has reset its connection: what a network holds back is then lost.
async fn reset(from: &OwnedReadHalf) {
    loop {
        tokio::time::sleep(RESET_LOOK).await;
        // A socket that can't even be asked is as good as reset.
        if !matches!(from.as_ref().take_error(), Ok(None)) {
            return;
        }
    }
}

async fn write(link: &Link, way: Way, mut to: OwnedWriteHalf, mut rx: mpsc::Receiver<Step>) {
    while let Some(Step { due, chunk, then }) = rx.recv().await {
        sleep_until(due).await;
        if to.write_all(&chunk).await.is_err() {
            return link.cut.cancel();
        }
        link.bytes(way)
            .fetch_add(chunk.len() as u64, Ordering::Relaxed);
        match then {
            Then::GoOn => {}
            Then::Cut => return link.cut.cancel(),
            Then::Finish => {
                if to.shutdown().await.is_err() {
                    link.cut.cancel();
                }
                return;
            }
        }
    }
}

impl Link {
    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().expect("no holder of the lock panics")
    }

    fn judge(&self, way: Way, len: usize, plan: &NumberedPlan) -> Verdict {
        let mut exchange = self.exchange();
        let before = exchange.started();
        let verdict = exchange.judge(way, len, plan);
        let started = exchange.started() - before;
        let counters = &self.shared.counters;
        counters.exchanges.fetch_add(started, Ordering::Relaxed);
        verdict
    }

    fn bytes(&self, way: Way) -> &AtomicU64 {
        match way {
            Way::Request => &self.shared.counters.request_bytes,
            Way::Answer => &self.shared.counters.answer_bytes,
        }
    }
}
