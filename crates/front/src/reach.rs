//! Finds out whether this host, or another one, reaches an upstream.
//!
//! An upstream that refuses a connection, or does not respond, may have ended, or this host has lost its
//! link to it. Only other hosts can tell, so they are asked.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use direct::{LinkLoss, LinkState, PeerSelector, Registration};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use ids::{BootClock, Clock, DomainId, Timestamp, UpstreamId};
use rand::Rng;
use tokio::sync::{OnceCell, mpsc};

use crate::connections::ConnectionPool;
use crate::links::LinkTracker;
use crate::peer_exchange::{PeerClient, PeerProbe};
use crate::upstream_client::link_loss;
use crate::view::SharedView;

/// Time within which a connection to an upstream opens or is refused: many round trips between
/// failure domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a connection over a lost link must stay open for the link to count as restored: a
/// reset may come late.
const RESTORE_WAIT: Duration = Duration::from_millis(150);
/// Time within which another host answers whether it reaches an upstream: its own probe, and a round
/// trip.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of hosts that are asked at once: where most hosts are cut off, one of them hardly is.
const ASKED_HOSTS: usize = 4;
/// Maximum number of hosts that are asked about an upstream.
const MAX_ASKED_HOSTS: usize = 3 * ASKED_HOSTS;
/// Interval of checks whether requests wait for too long.
const TICK: Duration = Duration::from_millis(100);

/// Result of an attempt to open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// It opened.
    Open,
    /// The upstream accepted it and closed it at once, as one does that has too many.
    Closed,
    /// It failed in this way.
    Failed(LinkLoss),
}

/// Checks of one kind in progress, shared by all that wait for the same upstream.
type Pending<T> = RefCell<HashMap<UpstreamId, Rc<OnceCell<T>>>>;

/// Checks links to upstreams.
#[derive(Debug)]
pub(crate) struct ReachChecker {
    connections: Rc<ConnectionPool>,
    links: Rc<LinkTracker>,
    peers: RefCell<PeerSelector>,
    client: Rc<PeerClient>,
    view: SharedView,
    probes: Pending<ProbeResult>,
    questions: Pending<bool>,
}

impl ReachChecker {
    pub(crate) fn new(
        connections: Rc<ConnectionPool>,
        links: Rc<LinkTracker>,
        client: Rc<PeerClient>,
        view: SharedView,
    ) -> Self {
        Self {
            connections,
            links,
            peers: RefCell::new(PeerSelector::new(direct::PeerSettings::default())),
            client,
            view,
            probes: RefCell::default(),
            questions: RefCell::default(),
        }
    }

    /// Checks links over which requests wait for too long, and those that `requested` names, and
    /// opens connections over lost ones.
    pub(crate) async fn run(self: Rc<Self>, mut requested: mpsc::Receiver<UpstreamId>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let due = tokio::select! {
                _ = tick.tick() => self.links.due_checks(),
                Some(upstream) = requested.recv() => vec![upstream],
            };
            for target in self.registered(&due) {
                let checker = Rc::clone(&self);
                tokio::task::spawn_local(async move {
                    checker.check(&target).await;
                });
            }
            for target in self.registered(&self.links.due_probes()) {
                let checker = Rc::clone(&self);
                tokio::task::spawn_local(async move {
                    checker.probe(&target).await;
                });
            }
        }
    }

    fn registered(&self, upstreams: &[UpstreamId]) -> Vec<Registration> {
        let view = self.view.load();
        let registered = upstreams.iter().filter_map(|id| view.registry.get(id));
        registered.cloned().collect()
    }

    /// Opens a connection to `target`; if that fails and another host reaches it, the link is lost.
    async fn check(&self, target: &Registration) {
        let since = BootClock.now();
        let loss = match self.probe(target).await {
            ProbeResult::Failed(loss) => loss,
            ProbeResult::Closed if self.links.are_suspect() => LinkLoss::Refused,
            ProbeResult::Open | ProbeResult::Closed => return,
        };
        self.confirm_lost(target, loss, since).await;
    }

    /// Opens a connection to `target`, and keeps it for the next request.
    pub(crate) async fn probe(&self, target: &Registration) -> ProbeResult {
        let probe = pending(&self.probes, &target.id);
        let result = *probe.get_or_init(|| self.connect(target)).await;
        // The next one starts a new probe.
        self.probes.borrow_mut().remove(&target.id);
        result
    }

    async fn connect(&self, target: &Registration) -> ProbeResult {
        let was_lost = self.links.state(&target.id) != LinkState::Usable;
        let connected = self
            .connections
            .connect_usable(target.address, PROBE_TIMEOUT)
            .await;
        match connected {
            Ok(Some(mut conn)) => {
                if was_lost {
                    tokio::time::sleep(RESTORE_WAIT).await;
                    if !conn.is_usable_now().await {
                        return ProbeResult::Closed;
                    }
                }
                self.links.opened(&target.id);
                self.connections
                    .keep_unused(BootClock.now(), &target.id, conn);
                ProbeResult::Open
            }
            Ok(None) => {
                self.links.failed(&target.id);
                ProbeResult::Closed
            }
            Err(e) => {
                self.links.failed(&target.id);
                ProbeResult::Failed(link_loss(&e))
            }
        }
    }

    /// Returns whether this host reaches `target`: something arrived from it after `since`, or a
    /// connection opens.
    pub(crate) async fn reaches(&self, target: &Registration, since: Timestamp) -> bool {
        if self.links.is_proven_after(since, &target.id) {
            return true;
        }
        let is_usable = self.links.state(&target.id) == LinkState::Usable;
        is_usable && self.probe(target).await == ProbeResult::Open
    }

    /// Asks other hosts about an upstream to which this host could not open a connection after
    /// `since`; the link is lost if one of them reaches it. Returns whether it is.
    pub(crate) async fn confirm_lost(
        &self,
        target: &Registration,
        loss: LinkLoss,
        since: Timestamp,
    ) -> bool {
        let is_lost = self.others_reach(target, since).await;
        if is_lost {
            if loss == LinkLoss::Silent {
                self.connections.drop_idle(&target.id);
            }
            self.links.found_lost(&target.id, loss);
        }
        is_lost
    }

    /// Returns whether another host has reached `target` after `since`.
    pub(crate) async fn others_reach(&self, target: &Registration, since: Timestamp) -> bool {
        let question = pending(&self.questions, &target.id);
        let is_reached = *question.get_or_init(|| self.ask(target, since)).await;
        self.questions.borrow_mut().remove(&target.id);
        is_reached
    }

    async fn ask(&self, target: &Registration, since: Timestamp) -> bool {
        let mut asked = Vec::new();
        let mut all_down = true;
        // If those that are asked first are all cut off themselves, others are asked.
        while all_down && asked.len() < MAX_ASKED_HOSTS {
            let peers = self.select_peers(&target.domain, &asked, ASKED_HOSTS);
            if peers.is_empty() {
                break;
            }
            let probes = peers.iter().map(|&peer| async move {
                let probe = self.client.probe(peer, target, since, ASK_TIMEOUT).await;
                (peer, probe)
            });
            let mut probes: FuturesUnordered<_> = probes.collect();
            while let Some((peer, probe)) = probes.next().await {
                if probe == PeerProbe::Reached {
                    self.peer_reached(peer);
                    return true;
                }
                match probe {
                    PeerProbe::Unreachable => all_down = false,
                    _ => self.peer_failed(peer),
                }
            }
            drop(probes);
            asked.extend(peers);
        }
        false
    }

    /// Returns up to `most` hosts through which requests to upstreams in `domain` may go.
    pub(crate) fn select_peers(
        &self,
        domain: &DomainId,
        excluded: &[SocketAddr],
        most: usize,
    ) -> Vec<SocketAddr> {
        let (now, view) = (BootClock.now(), self.view.load());
        let start = rand::rng().random_range(0..view.peers.len().max(1));
        let peers = self.peers.borrow();
        peers.select(now, &view.peers, domain, excluded, start, most)
    }

    /// Returns the client of other hosts.
    pub(crate) fn peer_client(&self) -> &PeerClient {
        &self.client
    }

    /// Records that the host at `peer` reached an upstream.
    pub(crate) fn peer_reached(&self, peer: SocketAddr) {
        self.peers.borrow_mut().reached(BootClock.now(), peer);
    }

    /// Records that the host at `peer` did not respond, or reaches no upstream.
    pub(crate) fn peer_failed(&self, peer: SocketAddr) {
        self.peers.borrow_mut().failed(BootClock.now(), peer);
    }

    /// Records a request that goes through the host at `peer` until the guard is dropped.
    pub(crate) fn use_peer(&self, peer: SocketAddr) -> PeerUse<'_> {
        self.peers.borrow_mut().started(peer);
        PeerUse {
            peers: &self.peers,
            peer,
        }
    }

    /// Drops the state of hosts and upstreams that are no longer known.
    pub(crate) fn forget_unknown(&self) {
        let view = self.view.load();
        self.links.retain(|id| view.registry.get(id).is_some());
        self.peers.borrow_mut().retain(&view.peers);
        self.client.close_expired();
    }
}

/// Returns the check of `upstream` in progress, or a new one.
fn pending<T>(all: &Pending<T>, upstream: &UpstreamId) -> Rc<OnceCell<T>> {
    let mut all = all.borrow_mut();
    Rc::clone(all.entry(upstream.clone()).or_default())
}

/// A request that goes through another host.
pub(crate) struct PeerUse<'a> {
    peers: &'a RefCell<PeerSelector>,
    peer: SocketAddr,
}

impl Drop for PeerUse<'_> {
    fn drop(&mut self) {
        self.peers.borrow_mut().ended(self.peer);
    }
}
