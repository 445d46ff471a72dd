//! Threads with a runtime of their own, and parts that run on them.

use std::io;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Waits for a part to end.
#[derive(Debug)]
pub(crate) struct PartEnd(Receiver<()>);

/// Says that a part has ended; dropped without a word if its thread panics.
#[derive(Debug)]
pub(crate) struct PartGuard(SyncSender<()>);

/// Creates both sides of a part's end.
pub(crate) fn part() -> (PartGuard, PartEnd) {
    let (tx, rx) = sync_channel(1);
    (PartGuard(tx), PartEnd(rx))
}

impl PartGuard {
    /// Says that the part has ended; nobody may wait for it.
    pub(crate) fn end(self) {
        let _ = self.0.try_send(());
    }
}

impl PartEnd {
    /// Blocks until the part has ended.
    ///
    /// # Panics
    ///
    /// Panics if the part's thread did.
    pub(crate) fn wait(self) {
        self.0.recv().expect("the part's thread does not panic");
    }
}

/// Creates the runtime of one thread.
pub(crate) fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Runs `part`, with its local tasks, on a thread called `name`.
pub(crate) fn spawn<F>(
    name: &str,
    runtime: Runtime,
    part: impl FnOnce() -> F + Send + 'static,
) -> io::Result<()>
where
    F: Future<Output = ()>,
{
    let run = move || runtime.block_on(LocalSet::new().run_until(async move { part().await }));
    let thread = std::thread::Builder::new().name(name.to_owned());
    // The part's guard tells of its end.
    drop(thread.spawn(run)?);
    Ok(())
}
