//! Gives up an exchange from outside.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Gives up one exchange; clones share it. It lives on one thread.
#[derive(Debug, Clone, Default)]
pub(crate) struct Abort(Rc<State>);

#[derive(Debug, Default)]
struct State {
    given_up: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Abort {
    /// Gives the exchange up: its future is dropped the next time it is polled.
    pub(crate) fn abort(&self) {
        self.0.given_up.set(true);
        if let Some(waker) = self.0.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Runs `exchange` to its end, or returns nothing if it is given up first.
    pub(crate) async fn guard<T>(self, exchange: impl Future<Output = T>) -> Option<T> {
        let mut exchange = pin!(exchange);
        poll_fn(|cx| {
            if self.0.given_up.get() {
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
        let mut known = self.0.waker.borrow_mut();
        if !known.as_ref().is_some_and(|w| w.will_wake(waker)) {
            *known = Some(waker.clone());
        }
    }
}
