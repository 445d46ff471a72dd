//! The hosts, domains, upstreams and entries of a cluster.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::Context as _;
use catalogue::{
    Catalogue, Class, CutOff, Domain, Entry, KeyLocation, Limits, Objective, Sharding, Upstream,
};
use ids::{DomainId, EntryId, HostId, OperatorId, RegionId, UpstreamId};
use smol_str::{SmolStr, format_smolstr};
use standin::EntryLoad;
use standin::load::KeyDistribution;

/// Placeholder for an upstream's address until its port is reserved.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
const SMALL_DOMAINS: [&str; 2] = ["norr", "syd"];
const SMALL_HOSTS: [usize; 2] = [3, 2];
const TODAY_HOSTS: [usize; 3] = [4, 4, 3];
const SMALL_SLICES: u32 = 64;

/// A host and its failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSpec {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it is started during the trial instead of at its start.
    pub is_spare: bool,
}

/// The hosts, domains, upstreams and entries of a cluster, and its usual load.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Name.
    pub name: SmolStr,
    /// The declared catalogue; the upstreams' addresses are filled in when their processes start.
    pub catalogue: Catalogue,
    /// Hosts.
    pub hosts: Vec<HostSpec>,
    /// Load of each entry.
    pub loads: Vec<EntryLoad>,
    /// Distribution of keys.
    pub keys: KeyDistribution,
    /// Usual rate, in requests per second.
    pub rate_per_s: f64,
}

impl Layout {
    /// Returns a layout of 5 hosts in 2 domains with 8 upstreams of 3 entries.
    ///
    /// # Panics
    ///
    /// Never; the names are valid.
    #[must_use]
    pub fn small() -> Self {
        let mut catalogue = Catalogue::default();
        for name in SMALL_DOMAINS {
            let domain = Domain {
                region: RegionId::new("sverige").expect("valid name"),
                lost: false,
            };
            catalogue.domains.insert(domain_id(name), domain);
        }
        let sharded = |key| Sharding::Key {
            key,
            slices: SMALL_SLICES,
        };
        let by_path = sharded(KeyLocation::PathSegment(0));
        let by_header = sharded(KeyLocation::Header("x-konto".into()));
        declare(
            &mut catalogue,
            "tariffbok",
            Class::Idempotent,
            by_path,
            4,
            true,
        );
        declare(
            &mut catalogue,
            "kontobok",
            Class::NonIdempotent,
            by_header,
            2,
            false,
        );
        declare(
            &mut catalogue,
            "landningslogg",
            Class::NonIdempotent,
            Sharding::None,
            2,
            true,
        );
        let loads = loads(
            &catalogue,
            &[
                ("tariffbok", 2.0),
                ("kontobok", 1.0),
                ("landningslogg", 1.0),
            ],
        );
        Self {
            name: "small".into(),
            hosts: host_specs(&SMALL_DOMAINS.map(domain_id), &SMALL_HOSTS),
            catalogue,
            loads,
            keys: uniform_keys(60),
            rate_per_s: 300.0,
        }
    }

    /// Returns a layout of 11 hosts in 3 domains with the upstreams that the directory declares.
    ///
    /// # Errors
    ///
    /// Fails if the directory can't be read or its declarations are invalid.
    pub fn today(dir: &Path) -> anyhow::Result<Self> {
        let catalogue = catalogue::load(dir).with_context(|| format!("load {}", dir.display()))?;
        let domains: Vec<DomainId> = catalogue.domains.keys().cloned().collect();
        let shares: Vec<(&str, f64)> = catalogue
            .entries
            .iter()
            .map(|(name, e)| (name.as_str(), load_share(&e.sharding)))
            .collect();
        Ok(Self {
            name: "today".into(),
            hosts: host_specs(&domains, &TODAY_HOSTS),
            loads: loads(&catalogue, &shares),
            catalogue: catalogue.clone(),
            keys: uniform_keys(200),
            rate_per_s: 600.0,
        })
    }

    /// Returns the hosts that run from the start.
    #[must_use]
    pub fn initial_hosts(&self) -> Vec<HostId> {
        let initial = self.hosts.iter().filter(|p| !p.is_spare);
        initial.map(|p| p.host.clone()).collect()
    }

    /// Returns the host that is started during the trial.
    #[must_use]
    pub fn spare_host(&self) -> Option<&HostSpec> {
        self.hosts.iter().find(|p| p.is_spare)
    }

    /// Returns the failure domain of a host.
    #[must_use]
    pub fn domain_of(&self, host: &HostId) -> Option<&DomainId> {
        let spec = self.hosts.iter().find(|p| p.host == *host)?;
        Some(&spec.domain)
    }
}

/// Returns an entry's share of the load.
///
/// Entries sharded by key get a larger share, because faults can break more of their guarantees.
const fn load_share(sharding: &Sharding) -> f64 {
    match sharding {
        Sharding::Key { .. } => 4.0,
        Sharding::None => 1.0,
    }
}

const fn uniform_keys(count: u64) -> KeyDistribution {
    KeyDistribution {
        count,
        exponent: 0.0,
        move_every_ms: 0,
    }
}

fn domain_id(name: &str) -> DomainId {
    DomainId::new(name).expect("valid name")
}

/// Returns the numbered hosts of each domain; the first domain also has a spare host.
fn host_specs(domains: &[DomainId], counts: &[usize]) -> Vec<HostSpec> {
    let mut host_specs = Vec::new();
    for (d, (domain, count)) in domains.iter().zip(counts).enumerate() {
        let spare = usize::from(d == 0);
        for i in 1..=count + spare {
            host_specs.push(HostSpec {
                host: HostId::new(format_smolstr!("{domain}-{i}")).expect("valid name"),
                domain: domain.clone(),
                is_spare: i > *count,
            });
        }
    }
    host_specs
}

fn declare(
    catalogue: &mut Catalogue,
    name: &str,
    class: Class,
    sharding: Sharding,
    upstreams: usize,
    checks_grants: bool,
) {
    let id = EntryId::new(name).expect("valid name");
    let entry = Entry {
        owners: vec![OperatorId::new("trial").expect("valid name")],
        path: name.into(),
        class,
        sharding,
        deadline_ms: 2_000,
        limits: Limits::default(),
        cut_off: CutOff::Serve,
        objective: Objective::default(),
        verify_echo: true,
    };
    catalogue.entries.insert(id.clone(), entry);
    for i in 0..upstreams {
        let upstream_id = UpstreamId::new(format_smolstr!("{name}-{}", i + 1)).expect("valid name");
        let upstream = Upstream {
            entry: id.clone(),
            address: PLACEHOLDER_ADDRESS,
            domain: domain_id(SMALL_DOMAINS[i % SMALL_DOMAINS.len()]),
            slots: 4,
            connections: 130,
            checks_grants,
            leaving: false,
        };
        catalogue.upstreams.insert(upstream_id, upstream);
    }
}

fn loads(catalogue: &Catalogue, shares: &[(&str, f64)]) -> Vec<EntryLoad> {
    let load = |(name, share): &(&str, f64)| {
        let id = EntryId::new(*name).expect("valid name");
        let entry = &catalogue.entries[&id];
        let key = match &entry.sharding {
            Sharding::Key { key, .. } => Some(key.clone()),
            Sharding::None => None,
        };
        EntryLoad {
            path: entry.path.clone(),
            key,
            idempotent: entry.class == Class::Idempotent,
            share: *share,
            ..EntryLoad::default()
        }
    };
    shares.iter().map(load).collect()
}
