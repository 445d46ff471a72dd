//! Threads with their own runtime, and the services that run on them.

use std::io;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Waits for a service to end.
#[derive(Debug)]
pub(crate) struct ServiceEnd(Receiver<()>);

/// Signals that a service has ended; dropped without a signal if its thread panics.
#[derive(Debug)]
pub(crate) struct ServiceGuard(SyncSender<()>);

/// Creates the two sides of the signal that a service has ended.
pub(crate) fn service_end() -> (ServiceGuard, ServiceEnd) {
    let (tx, rx) = sync_channel(1);
    (ServiceGuard(tx), ServiceEnd(rx))
}

impl ServiceGuard {
    /// Signals that the service has ended, whether or not there is a waiter.
    pub(crate) fn end(self) {
        let _ = self.0.try_send(());
    }
}

impl ServiceEnd {
    /// Blocks until the service has ended.
    ///
    /// # Panics
    ///
    /// Panics if the service's thread panicked.
    pub(crate) fn wait(self) {
        self.0.recv().expect("the service's thread does not panic");
    }
}

/// Creates a single-threaded runtime.
pub(crate) fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Runs `service`, with its local tasks, on a thread called `name`.
pub(crate) fn spawn<F>(
    name: &str,
    runtime: Runtime,
    service: impl FnOnce() -> F + Send + 'static,
) -> io::Result<()>
where
    F: Future<Output = ()>,
{
    let run = move || runtime.block_on(LocalSet::new().run_until(async move { service().await }));
    let thread = std::thread::Builder::new().name(name.to_owned());
    // The service's guard signals its end.
    drop(thread.spawn(run)?);
    Ok(())
}
