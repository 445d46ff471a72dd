//! Carries out what the membership wants done.

use std::sync::Arc;

use gate::Phase;
use ids::{DomainId, HostId, Incarnation, Timestamp};
use indexmap::IndexSet;
use prost::Message;
use slog::{info, warn};

use super::duty::Duty;
use super::peers;

impl Duty {
    pub(super) fn carry_out_member(&mut self, action: spread::Action) {
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
            spread::Action::ReadLease(evidence) => {
                let as_of = evidence.as_of;
                self.tell_own(own::Event::TableEvidence { as_of });
            }
            spread::Action::TableReachable(reachable) => {
                self.table_reachable = reachable;
                self.tell_own(own::Event::TableReachable(reachable));
            }
            spread::Action::PeerAlive { host, echo_of, .. } => self.peer_alive(&host, echo_of),
            spread::Action::PeerUnresponsive { host, .. } => {
                info!(self.parts.log, "host is silent"; "peer" => %host);
            }
            spread::Action::Own { message, .. } => self.own_message(&message),
        }
    }

    pub(super) fn peer_alive(&mut self, host: &HostId, echo_of: Timestamp) {
        if let Some(view) = self.member.host(host) {
            self.tell_own(own::Event::Peer {
                from: peers::view_ref(&view),
                echo_of: Some(echo_of),
                leaving: view.leaving,
            });
        }
    }

    pub(super) fn own_message(&mut self, message: &bytes::Bytes) {
        match wire::own::PeerMessage::decode(message.as_ref()) {
            Ok(message) => self.tell_own(own::Event::PeerMessage(Box::new(message))),
            Err(e) => warn!(self.parts.log, "bad ownership message"; "cause" => %e),
        }
    }

    pub(super) fn changed(&mut self, changed: spread::ChangeSummary) {
        let rows = self.member.take_changed_rows();
        for change in &rows {
            if change.row.key.0.starts_with(own::row::PREFIX) {
                self.pairs.take(&change.row);
                self.tell_own(own::Event::Row(change.row.clone()));
            }
        }
        if let Some(pairs) = self.pairs.changed() {
            self.tell_member(spread::Event::Counterparts(pairs));
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

    pub(super) fn new_catalogue(&mut self) {
        let catalogue = self.routes.catalogue();
        info!(self.parts.log, "catalogue in force"; "version" => self.routes.version().0);
        self.leases.catalogue(Arc::clone(&catalogue));
        self.placement.catalogue(&catalogue);
        self.tell_own(own::Event::Catalogue(catalogue));
        if self.parts.cx.phase() == Phase::Starting {
            self.parts.cx.set_phase(Phase::Serving);
        }
    }

    pub(super) fn new_hosts(&mut self) {
        let is_lost = |h: &spread::HostView| !h.alive && h.incarnation != Incarnation(0);
        let overrides = &self.parts.cfg.address_overrides;
        // What is handed to a host that is cut off ends as perhaps run; what is not is not run.
        let unheard: IndexSet<DomainId> = self.member.unresponsive_domains().cloned().collect();
        let hosts = self.member.hosts();
        let reachable = hosts.filter(|h| !is_lost(h) && !unheard.contains(&h.domain));
        let table = peers::dispatch_table(reachable, overrides);
        self.parts.cx.peers.store(Arc::new(table));
        self.unheard = unheard;
        let lost = self.member.hosts().filter(is_lost);
        if self.routes.silent(lost.map(|h| h.host).collect()) {
            self.parts.cx.router.store(self.routes.router());
        }
        let live = self.member.hosts().filter(|h| h.alive).count() + 1;
        self.parts.cx.set_live_hosts(live as u32);
    }
}
