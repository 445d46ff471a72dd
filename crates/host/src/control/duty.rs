//! The control duty: one thread that drives membership, ownership and placement.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use gate::{DispatchEvent, DispatchTx, GateContext, LoadSample};
use ids::{Clock, DomainId, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use platform::HttpPlatform;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use super::input::{Input, InputTx};
use super::leases::Leases;
use super::links::Links;
use super::pairs::Pairs;
use super::peers;
use super::placement::{PLAN_EVERY, Placement};
use super::routes::Routes;
use super::table::{PlatformCalls, list_pause};
use super::upstreams::{AskSettings, Upstreams};
use crate::settings::Settings;
use crate::status::{ControlStatus, ControlTraffic};

/// Inputs taken between two ticks at most, so that a flood can't keep time from passing.
const BATCH_INPUTS: usize = 256;
/// Time between reports of what the membership believes to the ownership code.
const ROSTER_EVERY: Duration = Duration::from_millis(200);
/// Hosts of each other domain that are reported.
const ROSTER_PER_DOMAIN: usize = 8;

/// What the control duty is made of.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) cfg: Settings,
    pub(crate) me: spread::HostIdentity,
    pub(crate) own: own::OwnershipSettings,
    pub(crate) spread: spread::MembershipSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) cx: Arc<GateContext>,
    pub(crate) dispatch: DispatchTx,
    pub(crate) platform: HttpPlatform,
    pub(crate) traffic: ControlTraffic,
    pub(crate) status: Arc<ArcSwap<ControlStatus>>,
    pub(crate) log: Logger,
}

/// The rings that the duty reads.
#[derive(Debug)]
pub(crate) struct Rings {
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) notices: mpsc::Receiver<DispatchEvent>,
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
    pub(super) parts: Parts,
    pub(super) member: spread::Membership,
    pub(super) machine: own::OwnershipMachine,
    pub(super) routes: Routes,
    pub(super) leases: Leases,
    pub(super) links: Links,
    pub(super) upstreams: Upstreams,
    pub(super) platform: PlatformCalls,
    queue: VecDeque<Told>,
    pub(super) member_actions: Vec<spread::Action>,
    pub(super) own_actions: Vec<own::Action>,
    pub(super) pairs: Pairs,
    pub(super) coordinated: IndexSet<UpstreamId>,
    pub(super) draining: IndexSet<UpstreamId>,
    pub(super) roster_due: Timestamp,
    pub(super) placement: Placement,
    pub(super) plan_due: Timestamp,
    pub(super) left: bool,
    /// Domains of which this host's domain heard nobody, as of the last table of peers.
    pub(super) unheard: IndexSet<DomainId>,
    /// Whether the table answers, as far as the readers of the own domain can tell.
    pub(super) table_reachable: bool,
}

impl Duty {
    /// Creates the duty of a starting host.
    pub(crate) fn new(parts: Parts, input: InputTx) -> Self {
        let now = parts.clock.now();
        let member = spread::Membership::new(parts.spread.clone(), parts.me.clone(), now);
        let machine = own::OwnershipMachine::new(parts.own, peers::own_ref(&parts.me));
        let links = Links::new(
            input.clone(),
            member.hello(),
            Arc::clone(&parts.traffic.hosts),
        );
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
            upstreams: Upstreams::new(ask, input, Arc::clone(&parts.traffic.upstreams)),
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
            unheard: IndexSet::new(),
            table_reachable: true,
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
                _ = ticks.tick() => {
                    self.samples(&mut rings.samples);
                    self.tick();
                }
                count = rings.inputs.recv_many(&mut batch, BATCH_INPUTS) => {
                    debug_assert!(count > 0, "the duty's own tasks keep the ring open");
                    for input in batch.drain(..) {
                        self.take(input);
                    }
                }
                Some(notice) = rings.notices.recv() => self.notice(notice),
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
                .push_back(Told::Member(spread::Event::HostsListed(seeds)));
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
            if !self.member.unresponsive_domains().eq(&self.unheard) {
                self.new_hosts();
            }
            self.publish_status(now);
            self.pace_list();
        }
        if now >= self.plan_due {
            self.plan_due = now + PLAN_EVERY;
            self.plan(now);
        }
    }

    pub(super) fn tell_member(&mut self, event: spread::Event) {
        self.queue.push_back(Told::Member(event));
    }

    pub(super) fn tell_own(&mut self, event: own::Event) {
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

    /// Tells the ownership code of the live hosts of the own domain, and of a few of each other
    /// one: all that it needs to choose a deputy, at a cost that does not grow with the system.
    fn report_roster(&mut self) {
        let mut seen: IndexMap<DomainId, usize> = IndexMap::new();
        let mut reported = Vec::new();
        for view in self.member.hosts().filter(|h| h.alive) {
            let count = seen.entry(view.domain.clone()).or_default();
            *count += 1;
            if view.domain == self.parts.me.domain || *count <= ROSTER_PER_DOMAIN {
                reported.push(view);
            }
        }
        for view in reported {
            self.tell_own(own::Event::PeerContact {
                from: peers::view_ref(&view),
                echo_of: None,
                leaving: view.leaving,
            });
        }
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
            reads_table: self.member.is_table_reader(),
        };
        self.parts.status.store(Arc::new(status));
    }

    fn pace_list(&self) {
        let live = self.parts.cx.live_hosts();
        let pause = list_pause(live, self.member.is_table_reader());
        self.platform.set_list_pause(pause);
    }

    async fn tell_dispatch(&mut self) {
        for message in self.leases.take() {
            let _ended = self.parts.dispatch.send(message).await;
        }
    }
}
