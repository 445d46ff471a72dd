//! Copies bytes in both directions of a proxied connection.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::exchange::{ChunkAction, Direction, Exchange};
use super::plan::NumberedPlan;
use super::server::Shared;
use crate::timer::sleep_until;

/// Maximum number of chunks in transit in one direction.
const CHUNKS: usize = 256;
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which to check whether a sender whose bytes are held has reset its connection.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Next action of one direction's writer.
struct Step {
    due: Instant,
    chunk: Bytes,
    next: NextAction,
}

/// Action after the bytes of a step are written.
#[derive(PartialEq, Eq)]
enum NextAction {
    Continue,
    Finish,
    Cut,
}

/// State that both directions of a connection share.
struct ConnectionState {
    shared: Arc<Shared>,
    exchange: Mutex<Exchange>,
    cut: CancellationToken,
}

/// Forwards a client's connection until both sides have closed it or it is cut.
pub(crate) async fn connection(
    shared: Arc<Shared>,
    client: TcpStream,
    number: u64,
    cut: CancellationToken,
) {
    let target = shared.target;
    let state = ConnectionState {
        exchange: Mutex::new(Exchange::new(shared.seed.wrapping_add(number))),
        shared,
        cut: cut.clone(),
    };
    let forward = async {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        if server.set_nodelay(true).is_err() || client.set_nodelay(true).is_err() {
            return;
        }
        let (client_rx, client_tx) = client.into_split();
        let (server_rx, server_tx) = server.into_split();
        tokio::join!(
            copy_direction(&state, Direction::Request, client_rx, server_tx),
            copy_direction(&state, Direction::Answer, server_rx, client_tx),
        );
    };
    if cut.run_until_cancelled(forward).await.is_none() {
        state.shared.counters.cuts.fetch_add(1, Ordering::Relaxed);
    }
}

async fn copy_direction(
    state: &ConnectionState,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) {
    let (tx, rx) = mpsc::channel(CHUNKS);
    tokio::join!(
        read(state, direction, from, tx),
        write(state, direction, to, rx)
    );
}

async fn read(
    state: &ConnectionState,
    direction: Direction,
    mut from: OwnedReadHalf,
    tx: mpsc::Sender<Step>,
) {
    let mut plan = state.shared.plan.subscribe();
    let mut buf = BytesMut::new();
    loop {
        buf.reserve(CHUNK_BYTES);
        // A broken connection ends its direction like a closed one: with an empty chunk.
        let ended = from.read_buf(&mut buf).await.is_err();
        debug_assert!(!ended || buf.is_empty(), "a failed read returns no bytes");
        let chunk = buf.split().freeze();
        let Some(step) = next_step(state, direction, chunk, &from, &mut plan).await else {
            continue;
        };
        let is_last = step.next != NextAction::Continue;
        // The receiver is dropped if the writer's connection is broken.
        if tx.send(step).await.is_err() || is_last {
            return;
        }
    }
}

/// Waits while `chunk` is held, and returns the writer's next step; `None` if `chunk` is discarded.
async fn next_step(
    state: &ConnectionState,
    direction: Direction,
    mut chunk: Bytes,
    from: &OwnedReadHalf,
    plan: &mut watch::Receiver<Arc<NumberedPlan>>,
) -> Option<Step> {
    loop {
        let present = Arc::clone(&plan.borrow_and_update());
        let action = state.decide(direction, chunk.len(), &present);
        let next = match action {
            ChunkAction::Forward if chunk.is_empty() => NextAction::Finish,
            ChunkAction::Forward => NextAction::Continue,
            ChunkAction::Discard => return None,
            ChunkAction::Hold => {
                tokio::select! {
                    changed = plan.changed() => {
                        changed.expect("the connection owns the sender");
                        continue;
                    }
                    () = wait_for_reset(from) => {
                        state.cut.cancel();
                        return None;
                    }
                }
            }
            ChunkAction::Cut(len) => {
                chunk.truncate(len);
                NextAction::Cut
            }
        };
        let due = Instant::now() + state.exchange().delay(direction, present.plan.delay);
        return Some(Step { due, chunk, next });
    }
}

/// Waits until the sender has reset its connection: held bytes are then lost, as in a network.
async fn wait_for_reset(from: &OwnedReadHalf) {
    loop {
        tokio::time::sleep(RESET_CHECK_INTERVAL).await;
        // A socket whose state can't be read counts as reset.
        if !matches!(from.as_ref().take_error(), Ok(None)) {
            return;
        }
    }
}

async fn write(
    state: &ConnectionState,
    direction: Direction,
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Step>,
) {
    while let Some(Step { due, chunk, next }) = rx.recv().await {
        sleep_until(due).await;
        if to.write_all(&chunk).await.is_err() {
            return state.cut.cancel();
        }
        state
            .bytes(direction)
            .fetch_add(chunk.len() as u64, Ordering::Relaxed);
        match next {
            NextAction::Continue => {}
            NextAction::Cut => return state.cut.cancel(),
            NextAction::Finish => {
                if to.shutdown().await.is_err() {
                    state.cut.cancel();
                }
                return;
            }
        }
    }
}

impl ConnectionState {
    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().expect("the lock is not poisoned")
    }

    fn decide(&self, direction: Direction, len: usize, plan: &NumberedPlan) -> ChunkAction {
        let mut exchange = self.exchange();
        let before = exchange.started();
        let action = exchange.decide(direction, len, plan);
        let started = exchange.started() - before;
        let counters = &self.shared.counters;
        counters.exchanges.fetch_add(started, Ordering::Relaxed);
        action
    }

    fn bytes(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::Request => &self.shared.counters.request_bytes,
            Direction::Answer => &self.shared.counters.answer_bytes,
        }
    }
}
