//! Declarations used by tests.

use catalogue::{Class, CutOff, Entry, Limits, Objective, Sharding, Upstream};
use ids::{DomainId, EntryId, HostId, Timestamp, UpstreamId};

/// Builds a time from milliseconds.
pub fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Builds the name of an entry.
pub fn entry_id(name: &str) -> EntryId {
    EntryId::new(name).expect("a valid name")
}

/// Builds the name of an upstream.
pub fn upstream_id(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a valid name")
}

/// Builds the name of a host.
pub fn host_id(name: &str) -> HostId {
    HostId::new(name).expect("a valid name")
}

/// Builds the name of a domain.
pub fn domain_id(name: &str) -> DomainId {
    DomainId::new(name).expect("a valid name")
}

/// Declares an idempotent entry.
pub fn entry(path: &str, sharding: Sharding) -> Entry {
    Entry {
        owners: Vec::new(),
        path: path.into(),
        class: Class::Idempotent,
        sharding,
        deadline_ms: 1_000,
        limits: Limits::default(),
        cut_off: CutOff::default(),
        objective: Objective::default(),
        verify_echo: false,
    }
}

/// Declares an upstream with four slots.
pub fn upstream(entry: &str, domain: &str) -> Upstream {
    Upstream {
        entry: entry_id(entry),
        address: ([127, 0, 0, 1], 1).into(),
        domain: domain_id(domain),
        slots: 4,
        connections: 130,
        checks_grants: true,
        leaving: false,
    }
}
