//! Carries out the actions of the membership state machine.

use std::sync::Arc;

use gate::Phase;
use ids::{DomainId, HostId, Incarnation, Timestamp};
use indexmap::IndexSet;
use prost::Message;
use slog::{info, warn};

use super::peers;
use super::thread::ControlThread;

impl ControlThread {
    pub(super) fn execute_membership_action(&mut self, action: spread::Action) {
        match action {
            spread::Action::Send { to, frame } => {
                self.connections.send(&to, frame);
            }
            spread::Action::Connect { host, addr } => {
                let overridden = self.deps.cfg.address_overrides.get(&host);
                let addr = overridden.map_or(addr, |a| a.control);
                self.connections.connect(host, addr);
            }
            spread::Action::Disconnect { host } => self.connections.disconnect(&host),
            spread::Action::ReadTable { prefix, since } => self.platform.read(prefix, since),
            spread::Action::Changed(changed) => self.apply_changes(changed),
            spread::Action::ReadLease(read_lease) => {
                let as_of = read_lease.as_of;
                self.notify_ownership(own::Event::TableRead { as_of });
            }
            spread::Action::TableReachable(reachable) => {
                self.table_reachable = reachable;
                self.notify_ownership(own::Event::TableReachable(reachable));
            }
            spread::Action::PeerAlive { host, echo_of, .. } => self.report_contact(&host, echo_of),
            spread::Action::PeerUnresponsive { host, .. } => {
                info!(self.deps.log, "host is unresponsive"; "peer" => %host);
            }
            spread::Action::Own { message, .. } => self.handle_ownership_message(&message),
        }
    }

    pub(super) fn report_contact(&mut self, host: &HostId, echo_of: Timestamp) {
        if let Some(view) = self.membership.host(host) {
            self.notify_ownership(own::Event::PeerContact {
                from: peers::host_ref(&view),
                echo_of: Some(echo_of),
                leaving: view.leaving,
            });
        }
    }

    pub(super) fn handle_ownership_message(&mut self, message: &bytes::Bytes) {
        match wire::own::PeerMessage::decode(message.as_ref()) {
            Ok(message) => self.notify_ownership(own::Event::PeerMessage(Box::new(message))),
            Err(e) => warn!(self.deps.log, "malformed ownership message"; "cause" => %e),
        }
    }

    pub(super) fn apply_changes(&mut self, changed: spread::ChangeSummary) {
        let rows = self.membership.take_changed_rows();
        for change in &rows {
            if change.row.key.0.starts_with(own::row::PREFIX) {
                self.counterparts.apply_row(&change.row);
                self.notify_ownership(own::Event::Row(change.row.clone()));
            }
        }
        if let Some(hosts) = self.counterparts.take_changed() {
            self.notify_membership(spread::Event::Counterparts(hosts));
        }
        let routing = self.routing.apply(&rows);
        for fault in &routing.faults {
            warn!(self.deps.log, "catalogue row not applied"; "cause" => %fault);
        }
        if routing.catalogue {
            self.apply_catalogue();
        }
        if routing.router {
            self.deps.cx.router.store(self.routing.router());
        }
        if changed.hosts {
            self.update_hosts();
        }
    }

    pub(super) fn apply_catalogue(&mut self) {
        let catalogue = self.routing.catalogue();
        info!(self.deps.log, "catalogue in force"; "version" => self.routing.version().0);
        self.dispatch_updates.set_catalogue(Arc::clone(&catalogue));
        self.placement.set_catalogue(&catalogue);
        self.notify_ownership(own::Event::Catalogue(catalogue));
        if self.deps.cx.phase() == Phase::Starting {
            self.deps.cx.set_phase(Phase::Serving);
        }
    }

    pub(super) fn update_hosts(&mut self) {
        let is_unresponsive = |h: &spread::HostView| !h.alive && h.incarnation != Incarnation(0);
        let overrides = &self.deps.cfg.address_overrides;
        // A request forwarded to an unreachable host ends with an unknown outcome: it may have run.
        // A request that is not forwarded is known not to have run.
        let unresponsive_domains: IndexSet<DomainId> =
            self.membership.unresponsive_domains().cloned().collect();
        let hosts = self.membership.hosts();
        let reachable =
            hosts.filter(|h| !is_unresponsive(h) && !unresponsive_domains.contains(&h.domain));
        let table = peers::dispatch_table(reachable, overrides);
        self.deps.cx.peers.store(Arc::new(table));
        self.unresponsive_domains = unresponsive_domains;
        let unresponsive = self.membership.hosts().filter(is_unresponsive);
        if self
            .routing
            .set_unresponsive(unresponsive.map(|h| h.host).collect())
        {
            self.deps.cx.router.store(self.routing.router());
        }
        let live = self.membership.hosts().filter(|h| h.alive).count() + 1;
        self.deps.cx.set_live_hosts(live as u32);
    }
}
