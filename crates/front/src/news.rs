//! News of upstreams, from the callers' duty to the control duty.

use direct::{RequestFingerprint, UpstreamStatus};
use ids::{Timestamp, UpstreamId};
use tokio::sync::mpsc;

/// News that may wait; later ones are dropped. Each of them comes again: an upstream says of itself the same in each answer,
/// and a request under which one ended was seen by other hosts, or will be.
const RING_NEWS: usize = 256;

/// What a request brought to light.
#[derive(Debug, Clone)]
pub enum News {
    /// An upstream's process ended while it had a request of this host.
    Ended {
        /// What the request asked.
        content: RequestFingerprint,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream says something new of itself in an answer.
    Said {
        /// The upstream.
        upstream: UpstreamId,
        /// When the answered request was sent.
        sent: Timestamp,
        /// What it says.
        said: UpstreamStatus,
    },
}

/// The sending end of the ring.
#[derive(Debug, Clone)]
pub struct NewsTx(mpsc::Sender<News>);

/// The receiving end of the ring.
#[derive(Debug)]
pub struct NewsRx(mpsc::Receiver<News>);

/// Creates the ring.
#[must_use]
pub fn ring() -> (NewsTx, NewsRx) {
    let (tx, rx) = mpsc::channel(RING_NEWS);
    (NewsTx(tx), NewsRx(rx))
}

impl NewsTx {
    /// Adds news, or drops them if the ring is full.
    pub fn send(&self, news: News) {
        // A full ring loses what will come again.
        let _ = self.0.try_send(news);
    }
}

impl NewsRx {
    /// Waits for the next news; none once the callers' duty has ended.
    pub async fn next(&mut self) -> Option<News> {
        self.0.recv().await
    }
}
