//! Sleeps with a finer resolution than the runtime's timers, which count whole milliseconds.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::{Condvar, LazyLock, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// The timer thread, which completes all waits of the process.
static TIMER: LazyLock<Timer> = LazyLock::new(Timer::start);

type WaitsGuard<'a> = MutexGuard<'a, BinaryHeap<Wait>>;

#[derive(Debug, Default)]
struct Timer {
    waits: Mutex<BinaryHeap<Wait>>,
    /// Notified when a wait is added that is due before all others.
    earlier_wait: Condvar,
}

/// A wait; the greatest in the ordering is due earliest.
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

/// Sleeps until `due`; returns immediately if `due` has passed.
pub(crate) async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    let (tx, rx) = oneshot::channel();
    TIMER.push(Wait { due, tx });
    rx.await.expect("the timer completes every wait");
}

/// Sleeps for `duration`; returns immediately if it is zero.
pub(crate) async fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration).await;
}

impl Timer {
    fn start() -> Self {
        thread::Builder::new()
            .name("standin-timer".to_owned())
            .spawn(|| TIMER.run())
            .expect("the timer thread starts");
        Self::default()
    }

    fn lock(&self) -> WaitsGuard<'_> {
        self.waits.lock().expect("the lock is not poisoned")
    }

    fn push(&self, wait: Wait) {
        let mut waits = self.lock();
        let is_earlier = waits.peek().is_none_or(|earliest| wait.due < earliest.due);
        waits.push(wait);
        if is_earlier {
            self.earlier_wait.notify_one();
        }
    }

    fn run(&self) {
        let mut waits = self.lock();
        loop {
            complete_due(&mut waits);
            let next = waits.peek().map(|earliest| earliest.due);
            waits = self.wait(waits, next);
        }
    }

    /// Blocks until `due`, or until a wait is added that is due earlier.
    fn wait<'a>(&self, waits: WaitsGuard<'a>, due: Option<Instant>) -> WaitsGuard<'a> {
        let Some(due) = due else {
            let woken = self.earlier_wait.wait(waits);
            return woken.expect("the lock is not poisoned");
        };
        let remaining = due.saturating_duration_since(Instant::now());
        let woken = self.earlier_wait.wait_timeout(waits, remaining);
        woken.expect("the lock is not poisoned").0
    }
}

fn complete_due(waits: &mut BinaryHeap<Wait>) {
    let now = Instant::now();
    while waits.peek().is_some_and(|earliest| earliest.due <= now) {
        let wait = waits.pop().expect("the heap is not empty");
        // The receiver was dropped if the sleeping future was dropped.
        let _is_dropped = wait.tx.send(()).is_err();
    }
}
