//! Waits that are finer than the runtime's timers, which count whole milliseconds.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::{Condvar, LazyLock, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// The thread that wakes all waits of the process.
static TIMER: LazyLock<Timer> = LazyLock::new(Timer::start);

type Waits<'a> = MutexGuard<'a, BinaryHeap<Wait>>;

#[derive(Debug, Default)]
struct Timer {
    waits: Mutex<BinaryHeap<Wait>>,
    /// Notified when a wait comes that is due before all others.
    sooner: Condvar,
}

/// A wait; the greatest is due first.
#[derive(Debug)]
struct Wait {
    due: Instant,
    tx: oneshot::Sender<()>,
}

impl Ord for Wait {
    fn cmp(&self, other: &Self) -> Ordering {
        other.due.cmp(&self.due)
    }
}

impl PartialOrd for Wait {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Wait {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Wait {}

/// Waits until `due`; it returns at once if that has passed.
pub(crate) async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    let (tx, rx) = oneshot::channel();
    TIMER.push(Wait { due, tx });
    rx.await.expect("the timer wakes every wait");
}

/// Waits for `span`; it returns at once if that is zero.
pub(crate) async fn sleep(span: Duration) {
    sleep_until(Instant::now() + span).await;
}

impl Timer {
    fn start() -> Self {
        thread::Builder::new()
            .name("standin-timer".to_owned())
            .spawn(|| TIMER.run())
            .expect("a thread can be started");
        Self::default()
    }

    fn lock(&self) -> Waits<'_> {
        self.waits.lock().expect("no holder of the lock panics")
    }

    fn push(&self, wait: Wait) {
        let mut waits = self.lock();
        let is_sooner = waits.peek().is_none_or(|first| wait.due < first.due);
        waits.push(wait);
        if is_sooner {
            self.sooner.notify_one();
        }
    }

    fn run(&self) {
        let mut waits = self.lock();
        loop {
            wake_due(&mut waits);
            let next = waits.peek().map(|first| first.due);
            waits = self.wait(waits, next);
        }
    }

    /// Waits until `due`, or until a wait comes that is due sooner.
    fn wait<'a>(&self, waits: Waits<'a>, due: Option<Instant>) -> Waits<'a> {
        let Some(due) = due else {
            let woken = self.sooner.wait(waits);
            return woken.expect("no holder of the lock panics");
        };
        let left = due.saturating_duration_since(Instant::now());
        let woken = self.sooner.wait_timeout(waits, left);
        woken.expect("no holder of the lock panics").0
    }
}

fn wake_due(waits: &mut BinaryHeap<Wait>) {
    let now = Instant::now();
    while waits.peek().is_some_and(|first| first.due <= now) {
        let wait = waits.pop().expect("there is a first wait");
        // A wait that was given up has no receiver any more.
        let _given_up = wait.tx.send(()).is_err();
    }
}
