//! The links between domains and to the platform, which can be cut.
//!
//! Hosts of one domain reach each other directly. A host reaches the hosts of other domains, and
//! the platform, through fault proxies of the trial. All hosts reach upstreams directly, including
//! those of other domains.

use std::net::SocketAddr;

use anyhow::Context as _;
use host::settings::PeerAddresses;
use ids::{DomainId, HostId};
use indexmap::IndexMap;
use standin::{Fault, FaultPlan, FaultProxy, ProxySettings};

use super::hosts::Ports;
use super::layout::Layout;

/// The fault proxies through which the hosts of one domain reach one host of another domain.
#[derive(Debug)]
struct PeerProxies {
    from: DomainId,
    to_domain: DomainId,
    to: HostId,
    dispatch: FaultProxy,
    control: FaultProxy,
}

/// The links between domains and to the platform.
#[derive(Debug)]
pub struct Links {
    peers: Vec<PeerProxies>,
    platform: IndexMap<HostId, (DomainId, FaultProxy)>,
}

impl Links {
    /// Starts all proxies.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has no port left.
    pub fn bind(layout: &Layout, ports: &Ports, platform: SocketAddr) -> anyhow::Result<Self> {
        let mut links = Self {
            peers: Vec::new(),
            platform: IndexMap::new(),
        };
        for spec in &layout.hosts {
            let to_platform = (spec.domain.clone(), proxy(platform)?);
            links.platform.insert(spec.host.clone(), to_platform);
            let addresses = ports.of(&spec.host)?.peer_addresses();
            for from in layout.catalogue.domains.keys() {
                if *from == spec.domain {
                    continue;
                }
                links.peers.push(PeerProxies {
                    from: from.clone(),
                    to_domain: spec.domain.clone(),
                    to: spec.host.clone(),
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
    pub fn platform_address(&self, host: &HostId) -> anyhow::Result<SocketAddr> {
        let found = self.platform.get(host);
        let (_, proxy) = found.with_context(|| format!("no host {host}"))?;
        Ok(proxy.address())
    }

    /// Returns the addresses at which the hosts of a domain reach the hosts of other domains.
    #[must_use]
    pub fn address_overrides(&self, from: &DomainId) -> IndexMap<HostId, PeerAddresses> {
        let from_domain = self.peers.iter().filter(|p| p.from == *from);
        from_domain.map(|p| (p.to.clone(), p.addresses())).collect()
    }

    /// Cuts the links between a domain and all others; data stalls and connections stay open.
    pub fn cut_from_others(&self, domain: &DomainId) {
        self.set_peer_plans(domain, &FaultPlan::always(Fault::Stall));
    }

    /// Restores the links between a domain and all others.
    pub fn reconnect_to_others(&self, domain: &DomainId) {
        self.set_peer_plans(domain, &FaultPlan::default());
    }

    /// Cuts the links between the hosts of a domain and the platform.
    pub fn cut_from_platform(&self, domain: &DomainId) {
        self.set_platform_plans(domain, &FaultPlan::always(Fault::Stall));
    }

    /// Restores the links between the hosts of a domain and the platform.
    pub fn reconnect_to_platform(&self, domain: &DomainId) {
        self.set_platform_plans(domain, &FaultPlan::default());
    }

    fn set_peer_plans(&self, domain: &DomainId, plan: &FaultPlan) {
        let affected = self
            .peers
            .iter()
            .filter(|p| p.from == *domain || p.to_domain == *domain);
        for proxies in affected {
            proxies.dispatch.set_plan(plan.clone());
            proxies.control.set_plan(plan.clone());
        }
    }

    fn set_platform_plans(&self, domain: &DomainId, plan: &FaultPlan) {
        let affected = self.platform.values().filter(|(d, _)| d == domain);
        for (_, proxy) in affected {
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
