//! The state of the control thread as its tasks share it.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::{Notify, watch};

use crate::control::state::ControlState;

/// The state of the control thread, shared by its tasks.
#[derive(Debug, Clone)]
pub struct SharedControl {
    state: Rc<RefCell<ControlState>>,
    /// Wakes the task that drives the lease managers.
    pub wake_lease_managers: Rc<Notify>,
    /// Notifies the tasks that relay to other hosts that a replica changed or was confirmed.
    changes: Rc<watch::Sender<()>>,
}

impl SharedControl {
    /// Shares `state`.
    #[must_use]
    pub fn new(state: ControlState) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
            wake_lease_managers: Rc::default(),
            changes: Rc::new(watch::Sender::new(())),
        }
    }

    /// Returns a receiver that is notified when a replica changes or is confirmed.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Notifies all dependent tasks that this host's knowledge of the store has changed.
    pub fn notify_changed(&self) {
        self.wake_lease_managers.notify_one();
        self.changes.send_replace(());
    }

    /// Notifies the relay targets of this host that a read has confirmed the replicas.
    ///
    /// Each host relays the confirmation at once, so that the last one in the tree is hardly behind
    /// the first.
    pub fn notify_confirmed(&self) {
        self.changes.send_replace(());
    }

    /// Reads or changes the state; `f` must not wait.
    ///
    /// # Panics
    ///
    /// Panics if called within itself.
    pub fn with<T>(&self, f: impl FnOnce(&mut ControlState) -> T) -> T {
        f(&mut self.state.borrow_mut())
    }
}
