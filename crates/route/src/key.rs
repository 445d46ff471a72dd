//! Small `Copy` keys of entries, upstreams, hosts and calls.

use std::fmt;

ids::arena_key! {
    /// Names an entry in every [`Router`](crate::Router) of one host's run.
    EntryKey
}

ids::arena_key! {
    /// Names an upstream in every [`Router`](crate::Router) of one host's run.
    UpstreamKey
}

ids::arena_key! {
    /// Names a host in every [`Router`](crate::Router) of one host's run.
    HostKey
}

/// Names one request at the coordinating host; the I/O layer numbers them and never reuses one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
