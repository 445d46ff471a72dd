//! The control duty: one thread that drives membership, ownership and placement.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use gate::{DispatchTx, GateContext, LoadSample, Notice, Phase};
use ids::{Clock, HostId, Timestamp, UpstreamId};
use indexmap::IndexSet;
use own::{CommitOutcome, HostRef, Stop};
use platform::HttpPlatform;
use prost::Message;
use slog::{Logger, debug, info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};
use wire::control::{Body, Frame};

use super::input::{Input, InputTx};
use super::leases::Leases;
use super::links::Links;
use super::pairs::Pairs;
use super::peers;
use super::placement::{PLAN_EVERY, Placement};
use super::routes::Routes;
use super::table::PlatformCalls;
use super::upstreams::{AskSettings, Upstreams};
use crate::settings::Settings;
use crate::status::ControlStatus;

/// Inputs taken between two ticks at most, so that a flood can't keep time from passing.
const BATCH_INPUTS: usize = 256;
/// Hosts to which loads are sent at a time.
const LOADS_TO: usize = 16;
/// Time between reports of what the membership believes to the ownership code.
const ROSTER_EVERY: Duration = Duration::from_millis(200);

/// What the control duty is made of.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) cfg: Settings,
    pub(crate) me: spread::Me,
    pub(crate) own: own::OwnSettings,
    pub(crate) spread: spread::Config,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) cx: Arc<GateContext>,
    pub(crate) dispatch: DispatchTx,
    pub(crate) platform: HttpPlatform,
    pub(crate) status: Arc<ArcSwap<ControlStatus>>,
    pub(crate) log: Logger,
}

/// The rings that the duty reads.
#[derive(Debug)]
pub(crate) struct Rings {
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) notices: mpsc::Receiver<Notice>,
    pub(crate) samples: mpsc::Receiver<LoadSample>,
    /// Dropped when the duty has handed over all that it coordinated.
    pub(crate) left: oneshot::Sender<()>,
    pub(crate) stop: oneshot::Receiver<()>,
}

/// What is to be told to which machine next.
#[derive(Debug)]
enum Told {
    Member(spread::Event),
    Own(own::Event),
}

/// The control duty's state; all of it lives on one thread.
#[derive(Debug)]
pub(crate) struct Duty {
    parts: Parts,
    member: spread::Member,
    machine: own::Machine,
    routes: Routes,
    leases: Leases,
    links: Links,
    upstreams: Upstreams,
    platform: PlatformCalls,
    queue: VecDeque<Told>,
    member_actions: Vec<spread::Action>,
    own_actions: Vec<own::Action>,
    pairs: Pairs,
    coordinated: IndexSet<UpstreamId>,
    draining: IndexSet<UpstreamId>,
    roster_due: Timestamp,
    placement: Placement,
    plan_due: Timestamp,
    left: bool,
}

impl Duty {
    /// Creates the duty of a starting host.
    pub(crate) fn new(parts: Parts, input: InputTx) -> Self {
        let now = parts.clock.now();
        let member = spread::Member::new(parts.spread.clone(), parts.me.clone(), now);
        let machine = own::Machine::new(parts.own, peers::own_ref(&parts.me));
        let links = Links::new(input.clone(), member.hello());
        let ask = AskSettings {
            timeout: parts.own.renew_every * 2,
            ..AskSettings::default()
        };
        let clock = Arc::clone(&parts.clock);
        let platform = PlatformCalls::new(parts.platform.clone(), clock, input.clone());
        Self {
            member,
            machine,
            routes: Routes::default(),
            leases: Leases::default(),
            links,
            upstreams: Upstreams::new(ask, input),
            platform,
            queue: VecDeque::new(),
            member_actions: Vec::new(),
            own_actions: Vec::new(),
            pairs: Pairs::new(parts.me.host.clone()),
            coordinated: IndexSet::new(),
            draining: IndexSet::new(),
            roster_due: now,
            placement: Placement::new(now),
            plan_due: now + PLAN_EVERY,
            left: false,
            parts,
        }
    }

    /// Runs until it is told to stop.
    pub(crate) async fn run(mut self, listener: tokio::net::TcpListener, mut rings: Rings) {
        self.links.accept(listener);
        self.platform.list_hosts();
        self.hear_seeds();
        let mut ticks = interval(self.parts.own.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut left = Some(rings.left);
        let mut batch = Vec::with_capacity(BATCH_INPUTS);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                count = rings.inputs.recv_many(&mut batch, BATCH_INPUTS) => {
                    debug_assert!(count > 0, "the duty's own tasks keep the ring open");
                    for input in batch.drain(..) {
                        self.take(input);
                    }
                }
                Some(notice) = rings.notices.recv() => self.notice(notice),
                Some(sample) = rings.samples.recv() => self.sample(&sample),
                _ = &mut rings.stop => return,
            }
            self.settle();
            self.tell_dispatch().await;
            if self.left {
                drop(left.take());
            }
        }
    }

    fn hear_seeds(&mut self) {
        let seeds = peers::listed(&self.parts.cfg.seed_peers);
        if !seeds.is_empty() {
            self.queue
                .push_back(Told::Member(spread::Event::Listed(seeds)));
            self.settle();
        }
    }

    fn tick(&mut self) {
        self.queue.push_back(Told::Member(spread::Event::Tick));
        self.queue.push_back(Told::Own(own::Event::Tick));
        let now = self.parts.clock.now();
        if now >= self.roster_due {
            self.roster_due = now + ROSTER_EVERY;
            self.report_roster();
            self.publish_status(now);
        }
        if now >= self.plan_due {
            self.plan_due = now + PLAN_EVERY;
            self.plan(now);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::LinkAccepted(stream) => self.links.accepted(stream),
            Input::LinkUp { host, link, first } => {
                self.links.add(host.clone(), link);
                let connected = spread::Event::Connected { host: host.clone() };
                self.tell_member(connected);
                let from = host;
                self.tell_member(spread::Event::Heard { from, frame: first });
            }
            Input::LinkDown { host, no } => {
                if self.links.remove(&host, no) {
                    self.tell_member(spread::Event::Lost { host });
                }
            }
            Input::ConnectFailed { host, refused } => self.connect_failed(host, refused),
            Input::Frame {
                frame: Frame {
                    body: Some(Body::Loads(loads)),
                },
                ..
            } => self.placement.learn(self.parts.clock.now(), &loads),
            Input::Frame { from, frame } => {
                self.tell_member(spread::Event::Heard { from, frame });
            }
            Input::Granted {
                upstream,
                attempt,
                reply,
            } => self.tell_own(own::Event::GrantReply {
                upstream,
                attempt,
                reply,
            }),
            Input::Healthy { upstream, attempt } => {
                self.tell_own(own::Event::Healthy { upstream, attempt });
            }
            Input::NoReply {
                upstream,
                attempt,
                refused,
            } => self.tell_own(own::Event::NoReply {
                upstream,
                attempt,
                refused,
            }),
            Input::Health { upstream, report } => self.health(upstream, report.draining),
            Input::Committed { txn, outcome, rows } => {
                if !rows.is_empty() {
                    self.tell_member(spread::Event::Rows(rows));
                }
                self.log_commit(txn, &outcome);
                self.tell_own(own::Event::Committed { txn, outcome });
            }
            Input::TableRead {
                prefix,
                since,
                began,
                changes,
            } => self.tell_member(spread::Event::TableRead {
                prefix,
                since,
                began,
                changes,
            }),
            Input::Listed(mut hosts) => {
                peers::override_addresses(&mut hosts, &self.parts.cfg.address_overrides);
                self.tell_member(spread::Event::Listed(hosts));
            }
            Input::Leave => self.leave(),
        }
    }

    fn leave(&mut self) {
        info!(self.parts.log, "leaving");
        self.parts.cx.set_phase(Phase::Leaving);
        self.tell_member(spread::Event::Leaving);
        self.tell_own(own::Event::Leave);
    }

    fn connect_failed(&mut self, host: HostId, refused: bool) {
        let overridden = self.parts.cfg.address_overrides.contains_key(&host);
        // Behind an address that is not the host's own, a refusal says nothing of the host.
        if refused
            && !overridden
            && let Some(view) = self.member.host(&host)
        {
            self.tell_own(own::Event::PeerGone(peers::view_ref(&view)));
        }
        self.tell_member(spread::Event::Lost { host });
    }

    fn health(&mut self, upstream: UpstreamId, draining: bool) {
        let known = self.draining.contains(&upstream);
        if known == draining {
            return;
        }
        if draining {
            self.draining.insert(upstream.clone());
        } else {
            self.draining.shift_remove(&upstream);
        }
        self.tell_own(own::Event::Draining { upstream, draining });
    }

    fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Drained { upstream, slice } => {
                for hold in self.leases.drained(&upstream, slice) {
                    let upstream = upstream.clone();
                    self.tell_own(own::Event::Drained { upstream, hold });
                }
            }
            Notice::UpstreamFault { upstream, reason } => {
                debug!(self.parts.log, "upstream fault";
                    "upstream" => %upstream, "reason" => reason.as_str());
            }
        }
    }

    fn sample(&mut self, sample: &LoadSample) {
        let now = self.parts.clock.now();
        self.placement.sample(now, sample);
    }

    fn plan(&mut self, now: Timestamp) {
        let catalogue = self.routes.catalogue();
        let ownership = self.routes.ownership();
        let wishes = self
            .placement
            .plan(now, &catalogue, ownership, &self.coordinated);
        for wish in wishes {
            debug!(self.parts.log, "placement"; "wish" => ?wish);
            self.tell_own(wish);
        }
        self.send_loads(now);
    }

    /// Sends the loads of this host's upstreams to some others: to all while they are few, else
    /// to a sample that changes from time to time, as a planner needs no more than some choice.
    fn send_loads(&mut self, now: Timestamp) {
        let Some(loads) = self.placement.summary(now) else {
            return;
        };
        let alive: Vec<HostId> = self
            .member
            .hosts()
            .filter(|h| h.alive)
            .map(|h| h.host)
            .collect();
        let first = (now.as_micros() / PLAN_EVERY.as_micros() as u64) as usize * LOADS_TO;
        let count = alive.len().min(LOADS_TO);
        for i in 0..count {
            let to = &alive[(first + i) % alive.len()];
            let body = Some(Body::Loads(loads.clone()));
            self.links.send(to, Frame { body });
        }
    }

    fn tell_member(&mut self, event: spread::Event) {
        self.queue.push_back(Told::Member(event));
    }

    fn tell_own(&mut self, event: own::Event) {
        self.queue.push_back(Told::Own(event));
    }

    /// Tells the machines all that is queued, and carries out what they want, until nothing is
    /// left.
    fn settle(&mut self) {
        while let Some(told) = self.queue.pop_front() {
            let now = self.parts.clock.now();
            match told {
                Told::Member(event) => self.member.step(now, event, &mut self.member_actions),
                Told::Own(event) => self.machine.step(now, event, &mut self.own_actions),
            }
            let mut actions = std::mem::take(&mut self.member_actions);
            for action in actions.drain(..) {
                self.carry_out_member(action);
            }
            self.member_actions = actions;
            let mut actions = std::mem::take(&mut self.own_actions);
            for action in actions.drain(..) {
                self.carry_out_own(action);
            }
            self.own_actions = actions;
        }
    }

    fn carry_out_member(&mut self, action: spread::Action) {
        match action {
            spread::Action::Send { to, frame } => {
                self.links.send(&to, frame);
            }
            spread::Action::Connect { host, addr } => {
                let overridden = self.parts.cfg.address_overrides.get(&host);
                let addr = overridden.map_or(addr, |a| a.control);
                self.links.connect(host, addr);
            }
            spread::Action::Disconnect { host } => self.links.disconnect(&host),
            spread::Action::ReadTable { prefix, since } => self.platform.read(prefix, since),
            spread::Action::Changed(changed) => self.changed(changed),
            spread::Action::Evidence(evidence) => {
                let as_of = evidence.as_of;
                self.tell_own(own::Event::TableEvidence { as_of });
            }
            spread::Action::TableReachable(reachable) => {
                self.tell_own(own::Event::TableReachable(reachable));
            }
            spread::Action::PeerAlive { host, echo_of, .. } => self.peer_alive(&host, echo_of),
            spread::Action::PeerSilent { host, .. } => {
                info!(self.parts.log, "host is silent"; "peer" => %host);
            }
            spread::Action::Own { message, .. } => self.own_message(&message),
        }
    }

    fn peer_alive(&mut self, host: &HostId, echo_of: Timestamp) {
        if let Some(view) = self.member.host(host) {
            self.tell_own(own::Event::Peer {
                from: peers::view_ref(&view),
                echo_of: Some(echo_of),
                leaving: view.leaving,
            });
        }
    }

    fn own_message(&mut self, message: &bytes::Bytes) {
        match wire::own::PeerMessage::decode(message.as_ref()) {
            Ok(message) => self.tell_own(own::Event::PeerMessage(Box::new(message))),
            Err(e) => warn!(self.parts.log, "bad ownership message"; "cause" => %e),
        }
    }

    fn changed(&mut self, changed: spread::Changed) {
        let rows = self.member.take_changes();
        for change in &rows {
            if change.row.key.0.starts_with(own::row::PREFIX) {
                self.pairs.take(&change.row);
                self.tell_own(own::Event::Row(change.row.clone()));
            }
        }
        if let Some(pairs) = self.pairs.changed() {
            self.tell_member(spread::Event::Pairs(pairs));
        }
        let routes = self.routes.take(&rows);
        for fault in &routes.faults {
            warn!(self.parts.log, "catalogue row not taken"; "cause" => %fault);
        }
        if routes.catalogue {
            self.new_catalogue();
        }
        if routes.router {
            self.parts.cx.router.store(self.routes.router());
        }
        if changed.hosts {
            self.new_hosts();
        }
    }

    fn new_catalogue(&mut self) {
        let catalogue = self.routes.catalogue();
        info!(self.parts.log, "catalogue in force"; "version" => self.routes.version().0);
        self.leases.catalogue(Arc::clone(&catalogue));
        self.placement.catalogue(&catalogue);
        self.tell_own(own::Event::Catalogue(catalogue));
        if self.parts.cx.phase() == Phase::Starting {
            self.parts.cx.set_phase(Phase::Serving);
        }
    }

    fn new_hosts(&mut self) {
        let overrides = &self.parts.cfg.address_overrides;
        let table = peers::dispatch_table(self.member.hosts(), overrides);
        self.parts.cx.peers.store(Arc::new(table));
        let live = self.member.hosts().filter(|h| h.alive).count() + 1;
        self.parts.cx.set_live_hosts(live as u32);
    }

    fn report_roster(&mut self) {
        let alive: Vec<spread::HostView> = self.member.hosts().filter(|h| h.alive).collect();
        for view in alive {
            self.tell_own(own::Event::Peer {
                from: peers::view_ref(&view),
                echo_of: None,
                leaving: view.leaving,
            });
        }
    }

    fn carry_out_own(&mut self, action: own::Action) {
        match action {
            own::Action::Commit { txn, body } => self.platform.commit(txn, body),
            own::Action::SendGrant {
                upstream,
                attempt,
                request,
            } => self.grant(upstream, attempt, request),
            own::Action::Probe { upstream, attempt } => self.probe(upstream, attempt),
            own::Action::SendPeer { to, message } => self.send_own(&to, &message),
            own::Action::Lease(lease) => {
                if self.coordinated.insert(lease.upstream.clone()) {
                    info!(self.parts.log, "coordinates upstream";
                        "upstream" => %lease.upstream, "epoch" => lease.epoch.0);
                }
                self.leases.lease(lease);
            }
            own::Action::StopUpstream { upstream, why } => self.stop_upstream(upstream, why),
            own::Action::Hold {
                upstream,
                hold,
                slices,
            } => self.leases.hold(&upstream, hold, slices),
            own::Action::Release { hold, to, host, .. } => {
                let here = host.is(self.machine.me());
                self.leases.release(hold, here.then_some(&to));
            }
            own::Action::Left => {
                info!(self.parts.log, "handed over all upstreams");
                self.left = true;
            }
        }
    }

    fn grant(&mut self, upstream: UpstreamId, attempt: u64, request: wire::grant::GrantRequest) {
        let catalogue = self.routes.catalogue();
        if let Some(declared) = catalogue.upstreams.get(&upstream) {
            let address = declared.address;
            self.upstreams.grant(&upstream, address, attempt, request);
            return;
        }
        self.undeclared(upstream, attempt);
    }

    fn probe(&mut self, upstream: UpstreamId, attempt: u64) {
        let catalogue = self.routes.catalogue();
        if let Some(declared) = catalogue.upstreams.get(&upstream) {
            self.upstreams.probe(&upstream, declared.address, attempt);
            return;
        }
        self.undeclared(upstream, attempt);
    }

    /// An upstream that the catalogue does not hold any more can't be asked.
    fn undeclared(&mut self, upstream: UpstreamId, attempt: u64) {
        self.tell_own(own::Event::NoReply {
            upstream,
            attempt,
            refused: false,
        });
    }

    fn send_own(&mut self, to: &HostRef, message: &wire::own::PeerMessage) {
        if to.is(self.machine.me()) {
            let message = Box::new(message.clone());
            self.tell_own(own::Event::PeerMessage(message));
            return;
        }
        let body = Body::Own(message.encode_to_vec().into());
        let frame = Frame { body: Some(body) };
        self.links.send(&to.host, frame);
    }

    fn stop_upstream(&mut self, upstream: UpstreamId, why: Stop) {
        info!(self.parts.log, "stops sending to upstream";
            "upstream" => %upstream, "why" => ?why);
        let for_good = matches!(why, Stop::Replaced | Stop::HandedOver);
        self.coordinated.shift_remove(&upstream);
        if for_good {
            self.upstreams.forget(&upstream);
        }
        self.leases.stop(upstream, for_good);
    }

    fn log_commit(&self, txn: u64, outcome: &CommitOutcome) {
        let text = match outcome {
            CommitOutcome::Done(_) => "done",
            CommitOutcome::Conflict(_) => "conflict",
            CommitOutcome::Unreachable => "unreachable",
            CommitOutcome::Unconfirmed => "unconfirmed",
        };
        debug!(self.parts.log, "transaction ended"; "txn" => txn, "outcome" => text);
    }

    fn publish_status(&self, now: Timestamp) {
        let age = |prefix| self.member.age(now, prefix).map(|d| d.as_millis() as u64);
        let status = ControlStatus {
            catalogue_version: self.routes.version(),
            catalogue_age_ms: age(spread::Prefix::Catalogue),
            revision: self.routes.revision(),
            revision_age_ms: age(spread::Prefix::Own),
            live_hosts: self.parts.cx.live_hosts(),
            upstreams: self.coordinated.iter().map(|u| u.as_str().into()).collect(),
            reads_table: self.member.is_relay(),
        };
        self.parts.status.store(Arc::new(status));
    }

    async fn tell_dispatch(&mut self) {
        for message in self.leases.take() {
            let _ended = self.parts.dispatch.tell(message).await;
        }
    }
}
