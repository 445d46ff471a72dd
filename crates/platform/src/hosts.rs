//! The platform's list of hosts and the [`Hosts`] trait.

use std::fmt;
use std::net::SocketAddr;

use ids::{DomainId, HostId};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The state of a host as last reported to the platform; it may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is running.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// A host on the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for the control connections of other hosts.
    pub control: SocketAddr,
    /// Address for the dispatch connections of other hosts.
    pub dispatch: SocketAddr,
    /// State according to the platform.
    pub state: HostState,
}

/// The platform's list of live and leaving hosts, which may be out of date.
pub trait Hosts: fmt::Debug + Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedHost>, PlatformError>> + Send;
}
