//! Observations of upstreams, from the request thread to the control thread.

use direct::{RequestFingerprint, UpstreamStatus};
use ids::{Timestamp, UpstreamId};
use tokio::sync::mpsc;

/// Capacity of the channel; further observations are dropped. Each of them recurs: an upstream
/// reports the same status with each answer, and a request during which one crashed was, or will
/// be, observed by other hosts.
const MAX_QUEUED_OBSERVATIONS: usize = 256;

/// An observation of an upstream made while serving a request.
#[derive(Debug, Clone)]
pub enum UpstreamObservation {
    /// An upstream's process ended while it had a request of this host.
    Crashed {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An answer reports a new status of an upstream.
    Status {
        /// The upstream.
        upstream: UpstreamId,
        /// When the answered request was sent.
        sent_at: Timestamp,
        /// The reported status.
        status: UpstreamStatus,
    },
}

/// Sender of observations.
#[derive(Debug, Clone)]
pub struct ObservationTx(mpsc::Sender<UpstreamObservation>);

/// Receiver of observations.
#[derive(Debug)]
pub struct ObservationRx(mpsc::Receiver<UpstreamObservation>);

/// Creates the channel.
#[must_use]
pub fn channel() -> (ObservationTx, ObservationRx) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_OBSERVATIONS);
    (ObservationTx(tx), ObservationRx(rx))
}

impl ObservationTx {
    /// Sends an observation, or drops it if the channel is full.
    pub fn send(&self, observation: UpstreamObservation) {
        // A dropped observation recurs.
        let _ = self.0.try_send(observation);
    }
}

impl ObservationRx {
    /// Waits for the next observation; returns none once the request thread has ended.
    pub async fn next(&mut self) -> Option<UpstreamObservation> {
        self.0.recv().await
    }
}
