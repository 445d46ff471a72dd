//! Runs the server for callers and dispatch on one thread.

use std::io;
use std::sync::Arc;

use route::DispatcherSettings;
use thiserror::Error;
use tokio::task::spawn_local;

use crate::callers::{Gate, GateError, HostEndpoints, PathSettings};
use crate::context::GateContext;
use crate::dispatch::{DispatchChannels, DispatchThread, DispatchThreadError};
use crate::settings::{DispatchSettings, GateSettings};
use crate::thread;

/// Settings and channels of the server for callers and of dispatch.
#[derive(Debug)]
pub struct JointStart {
    /// Settings of the server for callers.
    pub gate: GateSettings,
    /// Settings of the decisions on the entry host.
    pub path: PathSettings,
    /// Settings of the dispatch thread.
    pub dispatch: DispatchSettings,
    /// Settings of its dispatcher.
    pub dispatcher: DispatcherSettings,
    /// Channels to which dispatch sends its events and samples.
    pub channels: DispatchChannels,
    /// The host's own endpoints.
    pub endpoints: Arc<dyn HostEndpoints>,
}

/// Error at the start of the shared thread.
#[derive(Debug, Error)]
pub enum JointError {
    /// The server for callers could not start.
    #[error(transparent)]
    Gate(#[from] GateError),
    /// Dispatch could not start.
    #[error(transparent)]
    Dispatch(#[from] DispatchThreadError),
    /// The thread could not start.
    #[error("start path: thread: {0}")]
    Thread(#[from] io::Error),
}

impl JointStart {
    /// Starts the server for callers and dispatch on one thread.
    ///
    /// A request whose coordinating host is this host then needs no switch of threads.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the thread can't be started.
    pub fn start(self, cx: &Arc<GateContext>) -> Result<(Gate, DispatchThread), JointError> {
        let runtime = thread::runtime()?;
        let (dispatch, bound_dispatch) = DispatchThread::prepare(
            self.dispatch,
            self.dispatcher,
            Arc::clone(cx),
            self.channels,
        )?;
        let (gate, bound_gate) = {
            let _entered = runtime.enter();
            let cx = Arc::clone(cx);
            Gate::prepare(self.gate, self.path, cx, dispatch.tx(), self.endpoints)?
        };
        thread::spawn("path", runtime, || async {
            let dispatch = spawn_local(bound_dispatch.run());
            bound_gate.run().await;
            // If dispatch panicked, its guard was dropped, and `join` reports it.
            drop(dispatch.await);
        })?;
        Ok((gate, dispatch))
    }
}
