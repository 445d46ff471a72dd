//! Catalogue and ownership for a case.

use catalogue::{
    Catalogue, Class, Domain, Entry, KeyLocation, Limits, Objective, Sharding, Upstream,
};
use ids::{DomainId, EntryId, HostId, KeyHash, RegionId, UpstreamId};
use route::{Ownership, UpstreamOwnership};

use super::SLICES;
use super::config::{Config, Keys};

/// Returns the host of an upstream's domain that coordinates it.
pub fn coordinator(cfg: &Config, upstream: usize) -> usize {
    let domain = upstream % cfg.domains;
    let there = (0..cfg.hosts).filter(|h| h % cfg.domains == domain);
    let there: Vec<usize> = there.collect();
    there[(upstream / cfg.domains) % there.len()]
}

/// Returns the name of the entry.
pub fn entry_id() -> EntryId {
    EntryId::new("tariffbok").expect("a valid name")
}

/// Returns the name of an upstream.
pub fn upstream_id(u: usize) -> UpstreamId {
    UpstreamId::new(format!("tariffbok-{u:02}")).expect("a valid name")
}

/// Returns the name of a domain.
pub fn domain_id(d: usize) -> DomainId {
    DomainId::new(format!("d{d}")).expect("a valid name")
}

/// Declares the domains, entry and upstreams of a case and their ownership.
pub fn declare(cfg: &Config) -> (Catalogue, Ownership) {
    let mut catalogue = Catalogue::default();
    let mut ownership = Ownership::default();
    for d in 0..cfg.domains {
        let region = RegionId::new("r").expect("a valid name");
        let domain = Domain {
            region,
            lost: false,
        };
        catalogue.domains.insert(domain_id(d), domain);
    }
    let sharding = match cfg.keys {
        Keys::None => Sharding::None,
        Keys::Uniform | Keys::Zipf => Sharding::Key {
            key: KeyLocation::PathSegment(0),
            slices: SLICES,
        },
    };
    let entry = Entry {
        owners: Vec::new(),
        path: "tariffbok".into(),
        class: Class::Idempotent,
        sharding,
        deadline_ms: 1_000,
        limits: Limits::default(),
        cut_off: catalogue::CutOff::default(),
        objective: Objective::default(),
        verify_echo: false,
    };
    catalogue.entries.insert(entry_id(), entry);
    for u in 0..cfg.upstreams {
        let upstream = Upstream {
            entry: entry_id(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: domain_id(u % cfg.domains),
            slots: cfg.slots,
            connections: 130,
            checks_grants: true,
            leaving: false,
        };
        catalogue.upstreams.insert(upstream_id(u), upstream);
        let host = HostId::new(format!("h{}", coordinator(cfg, u))).expect("a valid name");
        let slices = (0..u64::from(SLICES)).filter(|s| *s as usize % cfg.upstreams == u);
        let owned = UpstreamOwnership {
            host: Some(host),
            slices: slices.map(ids::SliceNo).collect(),
        };
        ownership.upstreams.insert(upstream_id(u), owned);
    }
    (catalogue, ownership)
}

/// Declares one entry that is divided by key and one that is not, with the given sizes.
pub fn large(slices: u32, upstreams: usize, hosts: usize, hot: u64) -> (Catalogue, Ownership) {
    let cfg = Config {
        hosts,
        upstreams,
        ..Config::default()
    };
    let (mut catalogue, mut ownership) = declare(&cfg);
    let (_, any) = catalogue.entries.pop().expect("there is one");
    let divided = Entry {
        path: "divided".into(),
        sharding: Sharding::Key {
            key: KeyLocation::PathSegment(0),
            slices,
        },
        ..any.clone()
    };
    let any = Entry {
        path: "any".into(),
        sharding: Sharding::None,
        ..any
    };
    let name = |e: &Entry| EntryId::new(e.path.clone()).expect("a valid name");
    let (divided_id, any_id) = (name(&divided), name(&any));
    catalogue.entries.insert(divided_id.clone(), divided);
    catalogue.entries.insert(any_id.clone(), any);
    for (u, (id, upstream)) in catalogue.upstreams.iter_mut().enumerate() {
        upstream.entry = divided_id.clone();
        let own = (0..u64::from(slices)).filter(|s| *s as usize % upstreams == u);
        let own_hot = (0..hot).filter(|k| *k as usize % upstreams == u);
        let own_hot = own_hot.map(|k| KeyHash::of(&k.to_le_bytes()).hot_slice());
        let owned = ownership.upstreams.get_mut(id).expect("declared");
        owned.slices = own.map(ids::SliceNo).chain(own_hot).collect();
    }
    for u in 0..20 {
        let (_, like) = catalogue.upstreams.first().expect("there is one");
        let upstream = Upstream {
            entry: any_id.clone(),
            ..like.clone()
        };
        let id = UpstreamId::new(format!("any-{u:02}")).expect("a valid name");
        catalogue.upstreams.insert(id.clone(), upstream);
        let owned = UpstreamOwnership {
            host: Some(HostId::new("h0").expect("a valid name")),
            slices: Vec::new(),
        };
        ownership.upstreams.insert(id, owned);
    }
    (catalogue, ownership)
}
