//! Observations of upstreams, from the request thread to the control thread.

use direct::{RequestFingerprint, UpstreamStatus};
use ids::{Timestamp, UpstreamId};
use tokio::sync::mpsc;

/// Capacity of the channel; further observations are dropped. Each of them recurs: an upstream
/// reports the same status with each answer, and a request during which one crashed was, or will
/// be, observed by other hosts.
const RING_NEWS: usize = 256;

/// An observation of an upstream made while serving a request.
#[derive(Debug, Clone)]
pub enum News {
    /// An upstream's process ended while it had a request of this host.
    Ended {
        /// Fingerprint of the request.
        content: RequestFingerprint,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An answer reports a new status of an upstream.
    Said {
        /// The upstream.
        upstream: UpstreamId,
        /// When the answered request was sent.
        sent: Timestamp,
        /// The reported status.
        said: UpstreamStatus,
    },
}

/// Sender of observations.
#[derive(Debug, Clone)]
pub struct NewsTx(mpsc::Sender<News>);

/// Receiver of observations.
#[derive(Debug)]
pub struct NewsRx(mpsc::Receiver<News>);

/// Creates the channel.
#[must_use]
pub fn ring() -> (NewsTx, NewsRx) {
    let (tx, rx) = mpsc::channel(RING_NEWS);
    (NewsTx(tx), NewsRx(rx))
}

impl NewsTx {
    /// Sends an observation, or drops it if the channel is full.
    pub fn send(&self, news: News) {
        // A dropped observation recurs.
        let _ = self.0.try_send(news);
    }
}

impl NewsRx {
    /// Waits for the next observation; returns none once the request thread has ended.
    pub async fn next(&mut self) -> Option<News> {
        self.0.recv().await
    }
}
