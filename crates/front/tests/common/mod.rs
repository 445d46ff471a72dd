//! Hosts without threads, sockets or a store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use assign::{GrantCall, HostIncarnation, StoreClock};
use direct::{Configuration, Registration};
use front::control::{ControlState, RequestThreadLinks};
use front::links::SharedLostLinks;
use front::peer_exchange::calls;
use front::ports::{DecodeError, Destination, GrantCallResponse, GrantPath};
use front::{Platform, Settings};
use ids::{DomainId, HostId, Incarnation, Revision, StoreEra, Timestamp};
use platform::{Commit, Delta, PlatformError, Row, RowKey, Txn, Watch};
use tokio::sync::mpsc;

/// A platform whose store is never called.
#[derive(Debug, Clone)]
pub struct UnusedPlatform;

impl Watch for UnusedPlatform {
    async fn watch(
        &self,
        _table: &'static str,
        _since: Revision,
        _wait: Duration,
    ) -> Result<Delta, PlatformError> {
        unreachable!("these hosts don't read the store")
    }

    async fn read_row(&self, _key: &RowKey) -> Result<Option<Row>, PlatformError> {
        unreachable!("these hosts don't read the store")
    }

    async fn commit(&self, _txn: Txn, _era: StoreEra) -> Result<Commit, PlatformError> {
        unreachable!("these hosts don't write to the store")
    }
}

impl Platform for UnusedPlatform {
    fn configuration(&self, _: &str, _: &[u8]) -> Result<Option<Configuration>, DecodeError> {
        Ok(None)
    }

    fn drained_domain(&self, _: &str) -> Option<DomainId> {
        None
    }

    fn registration(&self, _: &str, _: &[u8], _: Timestamp) -> Result<Registration, DecodeError> {
        unreachable!("no registrations are read")
    }

    fn store_clock(&self) -> Option<StoreClock> {
        None
    }

    fn send_grant_call(
        &self,
        _: Destination,
        _: GrantCall,
        _: GrantPath,
    ) -> impl Future<Output = GrantCallResponse> + 'static {
        std::future::pending()
    }
}

/// Returns the failure domain of all hosts.
pub fn domain() -> DomainId {
    DomainId::new("a").expect("a valid name")
}

/// Returns the first incarnation of a host.
pub fn incarnation(name: &str) -> HostIncarnation {
    HostIncarnation {
        host: HostId::new(name).expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

/// Returns the state of a host that has just started, which has this address for everything.
pub fn state(name: &str, peers: SocketAddr) -> ControlState {
    let cfg = serde_json::json!({
        "host": name,
        "domain": domain(),
        "processor": {"share": 1.0, "cores": 1.0},
        "listen": {"callers": peers, "ready": peers, "peers": peers, "permits": peers, "metrics": peers},
        "store": {"address": peers},
        "repeats": {"ratio": 0.2, "slack": 10.0, "window_s": 10.0},
        "stop": {"grace_s": 6.0},
    });
    let cfg: Settings = serde_json::from_value(cfg).expect("valid settings");
    let shared = RequestThreadLinks {
        lost_links: SharedLostLinks::default(),
        link_checks: mpsc::channel(1).0,
        peer_calls: calls::channel().0,
        view: front::view::SharedView::default(),
        metrics: Arc::default(),
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ControlState::new(incarnation(name), cfg, shared, log)
}
