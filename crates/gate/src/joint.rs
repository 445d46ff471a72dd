//! Callers and dispatch on one thread.

use std::io;
use std::sync::Arc;

use route::DispatcherSettings;
use thiserror::Error;
use tokio::task::spawn_local;

use crate::callers::{Gate, GateError, OwnEndpoints, PathSettings};
use crate::context::GateContext;
use crate::dispatch::{DispatchChannels, DispatchDuty, DutyError};
use crate::settings::{DispatchSettings, GateSettings};
use crate::thread;

/// What both duties need to start.
#[derive(Debug)]
pub struct JointStart {
    /// Settings of the server towards callers.
    pub gate: GateSettings,
    /// Settings of the decisions on the entry side.
    pub path: PathSettings,
    /// Settings of the dispatch duty.
    pub dispatch: DispatchSettings,
    /// Settings of its dispatcher.
    pub dispatcher: DispatcherSettings,
    /// Where the dispatch duty sends what it tells.
    pub channels: DispatchChannels,
    /// The host's own endpoints.
    pub endpoints: Arc<dyn OwnEndpoints>,
}

/// Duties that could not start.
#[derive(Debug, Error)]
pub enum JointError {
    /// The server towards callers could not.
    #[error(transparent)]
    Gate(#[from] GateError),
    /// The dispatch duty could not.
    #[error(transparent)]
    Duty(#[from] DutyError),
    /// The thread could not.
    #[error("start path: thread: {0}")]
    Thread(#[from] io::Error),
}

impl JointStart {
    /// Starts the server towards callers and the dispatch duty on one thread.
    ///
    /// A request whose coordinating host is this one then waits for no other thread.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the thread can't be started.
    pub fn start(self, cx: &Arc<GateContext>) -> Result<(Gate, DispatchDuty), JointError> {
        let runtime = thread::runtime()?;
        let (duty, duty_part) = DispatchDuty::prepare(
            self.dispatch,
            self.dispatcher,
            Arc::clone(cx),
            self.channels,
        )?;
        let (gate, gate_part) = {
            let _entered = runtime.enter();
            let cx = Arc::clone(cx);
            Gate::prepare(self.gate, self.path, cx, duty.tx(), self.endpoints)?
        };
        thread::spawn("path", runtime, || async {
            let duty = spawn_local(duty_part.run());
            gate_part.run().await;
            // A duty that panicked has told so by its guard.
            drop(duty.await);
        })?;
        Ok((gate, duty))
    }
}
