//! Identity and addresses of one incarnation of a host.

use std::net::SocketAddr;

use ids::{DomainId, HostId, Incarnation};

use crate::row::RowError;

/// Identity and addresses of one incarnation of a host.
///
/// Two incarnations of a host are distinct leaseholders. Contact from the later one proves that the
/// earlier one has ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostRef {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for dispatch connections.
    pub dispatch: SocketAddr,
}

impl HostRef {
    /// Returns whether both are the same incarnation of the same host.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
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
