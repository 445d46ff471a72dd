//! The control thread, which drives membership, ownership and placement.

use std::collections::VecDeque;
use std::net::IpAddr;
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

use super::connections::ControlConnections;
use super::counterparts::Counterparts;
use super::dispatch_updates::DispatchUpdates;
use super::input::{Input, InputTx};
use super::peers;
use super::placement::{PLAN_INTERVAL, Placement};
use super::routing::RoutingState;
use super::table::{PlatformCalls, list_interval};
use super::upstream_clients::{UpstreamCallSettings, UpstreamClients};
use crate::settings::Settings;
use crate::status::{ControlStatus, ControlTraffic};

/// Maximum number of inputs handled in one iteration of the loop, so that many inputs can't delay the ticks.
const INPUT_BATCH: usize = 256;
/// Time between reports of the live hosts to the ownership machine.
const HOST_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of hosts of each other domain that are reported.
const REPORTED_HOSTS_PER_DOMAIN: usize = 8;

/// Settings, clients and shared state that the control thread starts with.
#[derive(Debug)]
pub(crate) struct Dependencies {
    pub(crate) cfg: Settings,
    pub(crate) identity: spread::HostIdentity,
    pub(crate) ownership_settings: own::OwnershipSettings,
    /// Local address of connections to upstreams; chosen by the system if there is none.
    pub(crate) upstream_source: Option<IpAddr>,
    pub(crate) membership_settings: spread::MembershipSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) cx: Arc<GateContext>,
    pub(crate) dispatch: DispatchTx,
    pub(crate) platform: HttpPlatform,
    pub(crate) traffic: ControlTraffic,
    pub(crate) status: Arc<ArcSwap<ControlStatus>>,
    pub(crate) log: Logger,
}

/// Channels of the control thread.
#[derive(Debug)]
pub(crate) struct ControlChannels {
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) notices: mpsc::Receiver<DispatchEvent>,
    pub(crate) samples: mpsc::Receiver<LoadSample>,
    /// Dropped when the thread has handed over all upstreams that it coordinated.
    pub(crate) handed_over: oneshot::Sender<()>,
    pub(crate) stop: oneshot::Receiver<()>,
}

/// An event for one of the two state machines.
#[derive(Debug)]
enum MachineEvent {
    Membership(spread::Event),
    Ownership(own::Event),
}

/// State of the control thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    pub(super) deps: Dependencies,
    pub(super) membership: spread::Membership,
    pub(super) ownership: own::OwnershipMachine,
    pub(super) routing: RoutingState,
    pub(super) dispatch_updates: DispatchUpdates,
    pub(super) connections: ControlConnections,
    pub(super) upstream_clients: UpstreamClients,
    pub(super) platform: PlatformCalls,
    events: VecDeque<MachineEvent>,
    pub(super) membership_actions: Vec<spread::Action>,
    pub(super) ownership_actions: Vec<own::Action>,
    pub(super) counterparts: Counterparts,
    pub(super) coordinated: IndexSet<UpstreamId>,
    pub(super) draining: IndexSet<UpstreamId>,
    pub(super) next_host_report: Timestamp,
    pub(super) placement: Placement,
    pub(super) next_plan: Timestamp,
    /// Whether all upstreams were handed over before the host stops.
    pub(super) leave_complete: bool,
    /// Domains from which no host of this host's domain receives anything, as of the last update of
    /// the peer table.
    pub(super) unresponsive_domains: IndexSet<DomainId>,
    /// Whether the table can be read, according to the table readers of this domain.
    pub(super) table_reachable: bool,
}

impl ControlThread {
    /// Creates the control thread's state for a host that starts.
    pub(crate) fn new(deps: Dependencies, input: InputTx) -> Self {
        let now = deps.clock.now();
        let membership =
            spread::Membership::new(deps.membership_settings.clone(), deps.identity.clone(), now);
        let ownership = own::OwnershipMachine::new(
            deps.ownership_settings,
            peers::this_host_ref(&deps.identity),
        );
        let connections = ControlConnections::new(
            input.clone(),
            membership.hello(),
            Arc::clone(&deps.traffic.hosts),
        );
        let call_settings = UpstreamCallSettings {
            timeout: deps.ownership_settings.renew_every * 2,
            source: deps.upstream_source,
            ..UpstreamCallSettings::default()
        };
        let clock = Arc::clone(&deps.clock);
        let platform = PlatformCalls::new(deps.platform.clone(), clock, input.clone());
        Self {
            membership,
            ownership,
            routing: RoutingState::default(),
            dispatch_updates: DispatchUpdates::default(),
            connections,
            upstream_clients: UpstreamClients::new(
                call_settings,
                input,
                Arc::clone(&deps.traffic.upstreams),
            ),
            platform,
            events: VecDeque::new(),
            membership_actions: Vec::new(),
            ownership_actions: Vec::new(),
            counterparts: Counterparts::new(deps.identity.host.clone()),
            coordinated: IndexSet::new(),
            draining: IndexSet::new(),
            next_host_report: now,
            placement: Placement::new(now),
            next_plan: now + PLAN_INTERVAL,
            leave_complete: false,
            unresponsive_domains: IndexSet::new(),
            table_reachable: true,
            deps,
        }
    }

    /// Runs until the stop signal arrives.
    pub(crate) async fn run(
        mut self,
        listener: tokio::net::TcpListener,
        mut channels: ControlChannels,
    ) {
        self.connections.accept(listener);
        self.platform.list_hosts();
        self.add_seed_hosts();
        let mut ticks = interval(self.deps.ownership_settings.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut handed_over = Some(channels.handed_over);
        let mut batch = Vec::with_capacity(INPUT_BATCH);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.record_samples(&mut channels.samples);
                    self.tick();
                }
                count = channels.inputs.recv_many(&mut batch, INPUT_BATCH) => {
                    debug_assert!(count > 0, "the tasks of this thread keep the channel open");
                    for input in batch.drain(..) {
                        self.handle_input(input);
                    }
                }
                Some(notice) = channels.notices.recv() => self.handle_notice(notice),
                _ = &mut channels.stop => return,
            }
            self.process_events();
            self.send_dispatch_updates().await;
            if self.leave_complete {
                drop(handed_over.take());
            }
        }
    }

    fn add_seed_hosts(&mut self) {
        let seeds = peers::seed_hosts(&self.deps.cfg.seed_peers);
        if !seeds.is_empty() {
            self.events
                .push_back(MachineEvent::Membership(spread::Event::HostsListed(seeds)));
            self.process_events();
        }
    }

    fn tick(&mut self) {
        self.events
            .push_back(MachineEvent::Membership(spread::Event::Tick));
        self.events
            .push_back(MachineEvent::Ownership(own::Event::Tick));
        let now = self.deps.clock.now();
        if now >= self.next_host_report {
            self.next_host_report = now + HOST_REPORT_INTERVAL;
            self.report_hosts();
            if !self
                .membership
                .unresponsive_domains()
                .eq(&self.unresponsive_domains)
            {
                self.update_hosts();
            }
            self.publish_status(now);
            self.update_list_interval();
        }
        if now >= self.next_plan {
            self.next_plan = now + PLAN_INTERVAL;
            self.plan(now);
        }
    }

    pub(super) fn notify_membership(&mut self, event: spread::Event) {
        self.events.push_back(MachineEvent::Membership(event));
    }

    pub(super) fn notify_ownership(&mut self, event: own::Event) {
        self.events.push_back(MachineEvent::Ownership(event));
    }

    /// Passes the queued events to the state machines and carries out the resulting actions, until
    /// the queue is empty.
    fn process_events(&mut self) {
        while let Some(machine_event) = self.events.pop_front() {
            let now = self.deps.clock.now();
            match machine_event {
                MachineEvent::Membership(event) => {
                    self.membership
                        .step(now, event, &mut self.membership_actions);
                }
                MachineEvent::Ownership(event) => {
                    self.ownership.step(now, event, &mut self.ownership_actions);
                }
            }
            let mut actions = std::mem::take(&mut self.membership_actions);
            for action in actions.drain(..) {
                self.execute_membership_action(action);
            }
            self.membership_actions = actions;
            let mut actions = std::mem::take(&mut self.ownership_actions);
            for action in actions.drain(..) {
                self.execute_ownership_action(action);
            }
            self.ownership_actions = actions;
        }
    }

    /// Reports to the ownership machine the live hosts of this host's domain and a few of each other
    /// domain. They suffice to choose a standby, and the limit keeps the cost independent of the
    /// size of the system.
    fn report_hosts(&mut self) {
        let mut seen: IndexMap<DomainId, usize> = IndexMap::new();
        let mut reported = Vec::new();
        for view in self.membership.hosts().filter(|h| h.alive) {
            let count = seen.entry(view.domain.clone()).or_default();
            *count += 1;
            if view.domain == self.deps.identity.domain || *count <= REPORTED_HOSTS_PER_DOMAIN {
                reported.push(view);
            }
        }
        for view in reported {
            self.notify_ownership(own::Event::PeerContact {
                from: peers::host_ref(&view),
                echo_of: None,
                leaving: view.leaving,
            });
        }
    }

    fn publish_status(&self, now: Timestamp) {
        let age = |prefix| {
            self.membership
                .age(now, prefix)
                .map(|d| d.as_millis() as u64)
        };
        let status = ControlStatus {
            catalogue_version: self.routing.version(),
            catalogue_age_ms: age(spread::Prefix::Catalogue),
            revision: self.routing.revision(),
            revision_age_ms: age(spread::Prefix::Own),
            live_hosts: self.deps.cx.live_hosts(),
            upstreams: self.coordinated.iter().map(|u| u.as_str().into()).collect(),
            reads_table: self.membership.is_table_reader(),
        };
        self.deps.status.store(Arc::new(status));
    }

    fn update_list_interval(&self) {
        let live = self.deps.cx.live_hosts();
        let interval = list_interval(live, self.membership.is_table_reader());
        self.platform.set_list_interval(interval);
    }

    async fn send_dispatch_updates(&mut self) {
        for message in self.dispatch_updates.take_messages() {
            let _ended = self.deps.dispatch.send(message).await;
        }
    }
}
