//! Upstreams, their connections and leases.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use ids::{Epoch, Timestamp, UpstreamId};
use indexmap::IndexMap;
use route::Event;

use crate::dispatch::UpstreamTarget;
use crate::upstream::UpstreamConn;

/// The lease on an upstream, as last sent to the dispatcher.
///
/// It is checked again just before a request is written, because opening a connection takes time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LeaseView {
    pub(crate) epoch: Epoch,
    pub(crate) valid_until: Timestamp,
}

impl LeaseView {
    /// Returns whether a request may be written under `epoch` at `now`.
    pub(crate) fn allows(&self, epoch: Epoch, now: Timestamp, margin: Duration) -> bool {
        self.epoch == epoch && now + margin < self.valid_until
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConn {
    conn: UpstreamConn,
    since: Timestamp,
}

/// An upstream coordinated by this host.
#[derive(Debug)]
pub(crate) struct PooledUpstream {
    pub(crate) target: UpstreamTarget,
    /// Value of the `Host` header.
    pub(crate) authority: String,
    pub(crate) lease: Cell<LeaseView>,
    idle: RefCell<Vec<IdleConn>>,
}

impl PooledUpstream {
    fn new(target: UpstreamTarget, lease: LeaseView) -> Self {
        Self {
            authority: target.address.to_string(),
            target,
            lease: Cell::new(lease),
            idle: RefCell::default(),
        }
    }

    /// Takes the most recently used connection that is still usable and may carry the request `id`;
    /// calls `stale` for each unusable one.
    pub(crate) fn take(
        &self,
        cx: &mut Context<'_>,
        now: Timestamp,
        id: &str,
        mut stale: impl FnMut(),
    ) -> Option<UpstreamConn> {
        loop {
            let mut all = self.idle.borrow_mut();
            let last = all.iter().rposition(|i| i.conn.may_carry(now, id))?;
            let mut idle = all.remove(last);
            drop(all);
            if idle.conn.is_usable(cx) {
                return Some(idle.conn);
            }
            stale();
        }
    }

    /// Keeps a reusable connection for the next request.
    pub(crate) fn put_back(&self, conn: UpstreamConn, now: Timestamp) {
        self.idle.borrow_mut().push(IdleConn { conn, since: now });
    }

    fn sweep(&self, now: Timestamp, idle_max: Duration) {
        let mut cx = Context::from_waker(Waker::noop());
        self.idle
            .borrow_mut()
            .retain_mut(|i| now.since(i.since) < idle_max && i.conn.is_usable(&mut cx));
    }
}

/// All upstreams coordinated by this host.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    upstreams: IndexMap<UpstreamId, Rc<PooledUpstream>>,
}

impl Pool {
    pub(crate) fn get(&self, upstream: &UpstreamId) -> Option<&Rc<PooledUpstream>> {
        self.upstreams.get(upstream)
    }

    /// Adds an upstream or replaces its declaration. Connections to an old address are closed when
    /// their exchanges end.
    pub(crate) fn set(&mut self, upstream: UpstreamId, target: UpstreamTarget) {
        let lease = match self.upstreams.get(&upstream) {
            Some(existing) if existing.target == target => return,
            Some(existing) => existing.lease.get(),
            None => LeaseView::default(),
        };
        let pooled = PooledUpstream::new(target, lease);
        self.upstreams.insert(upstream, Rc::new(pooled));
    }

    /// Applies the changes of leases and upstreams in a dispatcher event.
    pub(crate) fn apply(&mut self, event: &Event) {
        match event {
            Event::Lease {
                upstream,
                epoch,
                valid_until,
                ..
            } => self.set_lease(
                upstream,
                LeaseView {
                    epoch: *epoch,
                    valid_until: *valid_until,
                },
            ),
            Event::LeaseEnded { upstream } => self.set_lease(upstream, LeaseView::default()),
            Event::Removed { upstream } => self.remove(upstream),
            _ => {}
        }
    }

    /// Closes connections that ended or were idle for `idle_max`.
    pub(crate) fn sweep(&self, now: Timestamp, idle_max: Duration) {
        for upstream in self.upstreams.values() {
            upstream.sweep(now, idle_max);
        }
    }

    fn set_lease(&self, upstream: &UpstreamId, lease: LeaseView) {
        if let Some(pooled) = self.upstreams.get(upstream) {
            pooled.lease.set(lease);
        }
    }

    fn remove(&mut self, upstream: &UpstreamId) {
        // Exchanges in flight still hold the upstream and must find no lease.
        self.set_lease(upstream, LeaseView::default());
        self.upstreams.swap_remove(upstream);
    }
}
