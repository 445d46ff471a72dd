//! One run of a host, and where to reach it.

use std::net::SocketAddr;

use ids::{DomainId, HostId, Incarnation};

use crate::row::RowError;

/// One run of a host, and where to reach it.
///
/// Two runs of the same host are different holders: the earlier one is surely over once the later
/// one is heard of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostRef {
    /// Name.
    pub host: HostId,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for dispatch connections.
    pub dispatch: SocketAddr,
}

impl HostRef {
    /// Tells whether both are the same run of the same host.
    #[must_use]
    pub fn is(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation == other.incarnation
    }
}

impl From<&HostRef> for wire::own::HostRef {
    fn from(host: &HostRef) -> Self {
        Self {
            host: host.host.as_str().to_owned(),
            incarnation: host.incarnation.0,
            domain: host.domain.as_str().to_owned(),
            control: host.control.to_string(),
            dispatch: host.dispatch.to_string(),
        }
    }
}

impl TryFrom<&wire::own::HostRef> for HostRef {
    type Error = RowError;

    fn try_from(host: &wire::own::HostRef) -> Result<Self, RowError> {
        let address = |text: &str| {
            let parsed = text.parse::<SocketAddr>();
            parsed.map_err(|_unused| RowError::Address(text.into()))
        };
        Ok(Self {
            host: HostId::new(host.host.as_str())?,
            incarnation: Incarnation(host.incarnation),
            domain: DomainId::new(host.domain.as_str())?,
            control: address(&host.control)?,
            dispatch: address(&host.dispatch)?,
        })
    }
}
