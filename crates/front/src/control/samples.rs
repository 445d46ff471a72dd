//! Samples of requests, from the callers' duty to the control duty.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use ids::{EntryId, UpstreamId};

/// Samples that may wait: two heartbeats' worth at ten times today's rate; later ones are dropped,
/// which only makes the loads of keys less exact.
const RING_SAMPLES: usize = 2_048;

/// A request of an entry that is divided by key.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The entry.
    pub entry: EntryId,
    /// The request's key.
    pub key: u16,
    /// The key's owner.
    pub upstream: UpstreamId,
    /// Its mean time for a request that doesn't wait, in seconds, if it answered before.
    pub service: Option<f64>,
}

/// The sending end of the ring; it wakes nobody.
#[derive(Debug, Clone)]
pub struct SampleTx(SyncSender<Sample>);

/// The receiving end of the ring.
#[derive(Debug)]
pub struct SampleRx(Receiver<Sample>);

/// Creates the ring.
#[must_use]
pub fn ring() -> (SampleTx, SampleRx) {
    let (tx, rx) = sync_channel(RING_SAMPLES);
    (SampleTx(tx), SampleRx(rx))
}

impl SampleTx {
    /// Adds a sample, or drops it if the ring is full.
    pub fn send(&self, sample: Sample) {
        // A full ring loses a sample, not a request.
        let _ = self.0.try_send(sample);
    }
}

impl SampleRx {
    /// Takes the samples that wait.
    pub fn drain(&self) -> impl Iterator<Item = Sample> {
        self.0.try_iter()
    }
}
