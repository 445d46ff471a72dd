//! The lagging list of hosts and the [`Hosts`] trait.

use std::fmt;
use std::net::SocketAddr;

use ids::{DomainId, HostId};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// What the platform last heard of a host; it may be out of date either way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Up.
    Live,
    /// About to go.
    Leaving,
}

/// One host of the list.
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
    /// State, as far as the platform knows.
    pub state: HostState,
}

/// The platform's lagging list of live and leaving hosts.
pub trait Hosts: fmt::Debug + Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached in time or refuses.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedHost>, PlatformError>> + Send;
}
