//! Small `Copy` keys of entries, upstreams, hosts and calls.

use std::fmt;

ids::arena_key! {
    /// Identifies an entry in every [`Router`](crate::Router) of one host incarnation.
    EntryKey
}

ids::arena_key! {
    /// Identifies an upstream in every [`Router`](crate::Router) of one host incarnation.
    UpstreamKey
}

ids::arena_key! {
    /// Identifies a host in every [`Router`](crate::Router) of one host incarnation.
    HostKey
}

/// Identifies one request at the coordinating host. The I/O layer assigns the numbers and never
/// reuses one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
