//! Cancellation of an exchange.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Handle that cancels one exchange; clones share its state. Not usable across threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct AbortHandle(Rc<State>);

#[derive(Debug, Default)]
struct State {
    is_aborted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl AbortHandle {
    /// Cancels the exchange: its future ends the next time it is polled.
    pub(crate) fn abort(&self) {
        self.0.is_aborted.set(true);
        if let Some(waker) = self.0.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Runs `exchange` to its end; returns `None` if it is cancelled first.
    pub(crate) async fn guard<T>(self, exchange: impl Future<Output = T>) -> Option<T> {
        let mut exchange = pin!(exchange);
        poll_fn(|cx| {
            if self.0.is_aborted.get() {
                return Poll::Ready(None);
            }
            let polled = exchange.as_mut().poll(cx);
            if polled.is_pending() {
                self.register(cx.waker());
            }
            polled.map(Some)
        })
        .await
    }

    fn register(&self, waker: &Waker) {
        let mut registered = self.0.waker.borrow_mut();
        if !registered.as_ref().is_some_and(|w| w.will_wake(waker)) {
            *registered = Some(waker.clone());
        }
    }
}
