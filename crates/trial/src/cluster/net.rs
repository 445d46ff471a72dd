//! The links between domains and towards the platform, which can be cut.
//!
//! Hosts of one domain reach each other directly. A host reaches the hosts of other domains, and
//! the platform, through proxies of the trial. All hosts reach upstreams directly, also those of
//! other domains.

use std::net::SocketAddr;

use anyhow::Context as _;
use host::settings::PeerAddresses;
use ids::{DomainId, HostId};
use indexmap::IndexMap;
use standin::{Fault, FaultPlan, FaultProxy, ProxySettings};

use super::hosts::Ports;
use super::layout::Layout;

/// Proxies through which the hosts of one domain reach one host of another.
#[derive(Debug)]
struct PeerProxies {
    from: DomainId,
    to_domain: DomainId,
    to: HostId,
    dispatch: FaultProxy,
    control: FaultProxy,
}

/// The links between domains and towards the platform.
#[derive(Debug)]
pub struct Links {
    peers: Vec<PeerProxies>,
    platform: IndexMap<HostId, (DomainId, FaultProxy)>,
}

impl Links {
    /// Binds all proxies.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has no port left.
    pub fn bind(layout: &Layout, ports: &Ports, platform: SocketAddr) -> anyhow::Result<Self> {
        let mut links = Self {
            peers: Vec::new(),
            platform: IndexMap::new(),
        };
        for place in &layout.hosts {
            let towards_platform = (place.domain.clone(), proxy(platform)?);
            links.platform.insert(place.host.clone(), towards_platform);
            let addresses = ports.of(&place.host)?.peer_addresses();
            for from in layout.catalogue.domains.keys() {
                if *from == place.domain {
                    continue;
                }
                links.peers.push(PeerProxies {
                    from: from.clone(),
                    to_domain: place.domain.clone(),
                    to: place.host.clone(),
                    dispatch: proxy(addresses.dispatch)?,
                    control: proxy(addresses.control)?,
                });
            }
        }
        Ok(links)
    }

    /// Returns the address at which a host reaches the platform.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host.
    pub fn platform_of(&self, host: &HostId) -> anyhow::Result<SocketAddr> {
        let found = self.platform.get(host);
        let (_, proxy) = found.with_context(|| format!("no host {host}"))?;
        Ok(proxy.address())
    }

    /// Returns the addresses at which hosts of a domain reach those of others.
    #[must_use]
    pub fn overrides(&self, from: &DomainId) -> IndexMap<HostId, PeerAddresses> {
        let own = self.peers.iter().filter(|p| p.from == *from);
        own.map(|p| (p.to.clone(), p.addresses())).collect()
    }

    /// Cuts a domain from all others; packets go nowhere, and connections stay open.
    pub fn cut_from_others(&self, domain: &DomainId) {
        self.plan_peers(domain, &FaultPlan::always(Fault::Stall));
    }

    /// Joins a domain with all others again.
    pub fn join_with_others(&self, domain: &DomainId) {
        self.plan_peers(domain, &FaultPlan::default());
    }

    /// Cuts the hosts of a domain from the platform.
    pub fn cut_from_platform(&self, domain: &DomainId) {
        self.plan_platform(domain, &FaultPlan::always(Fault::Stall));
    }

    /// Joins the hosts of a domain with the platform again.
    pub fn join_with_platform(&self, domain: &DomainId) {
        self.plan_platform(domain, &FaultPlan::default());
    }

    fn plan_peers(&self, domain: &DomainId, plan: &FaultPlan) {
        let touched = self
            .peers
            .iter()
            .filter(|p| p.from == *domain || p.to_domain == *domain);
        for proxies in touched {
            proxies.dispatch.set_plan(plan.clone());
            proxies.control.set_plan(plan.clone());
        }
    }

    fn plan_platform(&self, domain: &DomainId, plan: &FaultPlan) {
        let touched = self.platform.values().filter(|(d, _)| d == domain);
        for (_, proxy) in touched {
            proxy.set_plan(plan.clone());
        }
    }
}

impl PeerProxies {
    const fn addresses(&self) -> PeerAddresses {
        PeerAddresses {
            dispatch: self.dispatch.address(),
            control: self.control.address(),
        }
    }
}

fn proxy(target: SocketAddr) -> anyhow::Result<FaultProxy> {
    FaultProxy::bind(ProxySettings {
        target,
        ..ProxySettings::default()
    })
}
