//! Samples of requests, from the request thread to the control thread.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use ids::{EntryId, UpstreamId};

/// Capacity of the ring: two heartbeats' worth at ten times today's rate. Later samples are
/// dropped, which only makes the loads of keys less exact.
const RING_CAPACITY: usize = 2_048;

/// A request for an entry that is sharded by key.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The entry.
    pub entry: EntryId,
    /// The request's key.
    pub key: u16,
    /// The key's owner.
    pub upstream: UpstreamId,
    /// The owner's mean service time in seconds, if it has answered before.
    pub service_time: Option<f64>,
}

/// The sending end of the ring; sending wakes no task.
#[derive(Debug, Clone)]
pub struct SampleTx(SyncSender<Sample>);

/// The receiving end of the ring.
#[derive(Debug)]
pub struct SampleRx(Receiver<Sample>);

/// Creates the ring.
#[must_use]
pub fn ring() -> (SampleTx, SampleRx) {
    let (tx, rx) = sync_channel(RING_CAPACITY);
    (SampleTx(tx), SampleRx(rx))
}

impl SampleTx {
    /// Adds a sample, or drops it if the ring is full.
    pub fn send(&self, sample: Sample) {
        // If the ring is full, a sample is lost, not a request.
        let _ = self.0.try_send(sample);
    }
}

impl SampleRx {
    /// Takes all samples in the ring.
    pub fn drain(&self) -> impl Iterator<Item = Sample> {
        self.0.try_iter()
    }
}
