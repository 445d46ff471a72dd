//! This host's links to upstreams, as the request thread knows them.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use direct::{LinkLoss, LinkSettings, LinkState, UpstreamLinks};
use gate::Metrics;
use gate::counters::Count;
use ids::{BootClock, Clock, Timestamp, UpstreamId};
use slog::{Logger, info};
use tokio::sync::Notify;

/// Links that this host has lost, for the control thread.
#[derive(Debug, Clone, Default)]
pub struct LostLinks {
    /// Whether all links count as lost.
    all: bool,
    /// Upstreams whose links were found lost.
    upstreams: HashSet<UpstreamId>,
}

impl LostLinks {
    /// Returns whether no link is lost.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.all && self.upstreams.is_empty()
    }

    /// Returns whether the link to `upstream` is lost.
    #[must_use]
    pub fn contains(&self, upstream: &UpstreamId) -> bool {
        self.all || self.upstreams.contains(upstream)
    }
}

/// The lost links, shared by all threads.
pub type SharedLostLinks = Arc<ArcSwap<LostLinks>>;

/// Tracks the links of this host, and logs and publishes which are lost.
#[derive(Debug)]
pub(crate) struct LinkTracker {
    links: RefCell<UpstreamLinks>,
    /// Notified whenever a link is found lost.
    found_lost: Notify,
    published: SharedLostLinks,
    were_all_lost: Cell<bool>,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl LinkTracker {
    pub(crate) fn new(published: SharedLostLinks, metrics: Arc<Metrics>, log: Logger) -> Self {
        Self {
            links: RefCell::new(UpstreamLinks::new(LinkSettings::default())),
            found_lost: Notify::new(),
            published,
            were_all_lost: Cell::new(false),
            metrics,
            log,
        }
    }

    pub(crate) fn state(&self, upstream: &UpstreamId) -> LinkState {
        self.links.borrow().state(upstream)
    }

    /// Returns whether it is probably the host's links that fail, and not upstreams.
    pub(crate) fn are_suspect(&self) -> bool {
        self.links.borrow().are_suspect()
    }

    pub(crate) fn had_sign_after(&self, since: Timestamp) -> bool {
        self.links.borrow().had_sign_after(since)
    }

    /// Returns whether something arrived from `upstream` after `since`.
    pub(crate) fn is_proven_after(&self, since: Timestamp, upstream: &UpstreamId) -> bool {
        self.links.borrow().is_proven_after(since, upstream)
    }

    pub(crate) fn responded(&self, upstream: &UpstreamId) {
        let now = BootClock.now();
        self.links.borrow_mut().responded(now, upstream);
    }

    pub(crate) fn failed(&self, upstream: &UpstreamId) {
        let now = BootClock.now();
        self.links.borrow_mut().failed(now, upstream);
    }

    /// Records that a connection to `upstream` opened.
    pub(crate) fn opened(&self, upstream: &UpstreamId) {
        let now = BootClock.now();
        if self.links.borrow_mut().opened(now, upstream) {
            info!(self.log, "link to upstream restored"; "upstream" => upstream.as_str());
            self.publish();
        }
    }

    /// Records that this host can't open a connection to `upstream`, which another host reaches.
    pub(crate) fn found_lost(&self, upstream: &UpstreamId, loss: LinkLoss) {
        let now = BootClock.now();
        if self.links.borrow_mut().found_lost(now, upstream, loss) {
            self.metrics.count(Count::LinksLost);
            info!(self.log, "link to upstream lost"; "upstream" => upstream.as_str(),
                "loss" => ?loss);
        }
        self.publish();
        self.found_lost.notify_waiters();
    }

    pub(crate) fn due_checks(&self) -> Vec<UpstreamId> {
        self.links.borrow_mut().due_checks(BootClock.now())
    }

    pub(crate) fn due_probes(&self) -> Vec<UpstreamId> {
        self.links.borrow_mut().due_probes(BootClock.now())
    }

    /// Drops the state of upstreams for which `is_known` is false.
    pub(crate) fn retain(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.links.borrow_mut().retain(is_known);
        self.publish();
    }

    /// Records a request that waits for a response of `upstream` until the guard is dropped.
    pub(crate) fn wait(&self, upstream: &UpstreamId, expected_time: Duration) -> WaitGuard<'_> {
        let now = BootClock.now();
        let request = self.links.borrow_mut().sent(now, upstream, expected_time);
        WaitGuard {
            tracker: self,
            upstream: upstream.clone(),
            request,
        }
    }

    fn publish(&self) {
        let links = self.links.borrow();
        let all = links.are_all_lost();
        if self.were_all_lost.replace(all) != all {
            info!(self.log, "links to all upstreams"; "lost" => all);
        }
        let upstreams = links.lost().cloned().collect();
        self.published.store(Arc::new(LostLinks { all, upstreams }));
    }
}

/// A request that waits for a response.
pub(crate) struct WaitGuard<'a> {
    tracker: &'a LinkTracker,
    upstream: UpstreamId,
    request: u64,
}

impl WaitGuard<'_> {
    /// Waits until the link is lost and open connections are silent.
    pub(crate) async fn until_silent(&self) {
        loop {
            let found_lost = self.tracker.found_lost.notified();
            if self.tracker.state(&self.upstream) == LinkState::Lost(LinkLoss::Silent) {
                return;
            }
            found_lost.await;
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.tracker.links.borrow_mut().ended(self.request);
    }
}
