//! Counts of the bytes sent and received on connections.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wire::{Counted, Traffic};

#[test]
fn both_directions_of_all_connections_are_counted() {
    let traffic: Arc<Traffic> = Arc::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        for _ in 0..2 {
            let (near, mut far) = tokio::io::duplex(64);
            let mut near = Counted::new(near, Arc::clone(&traffic));
            near.write_all(b"question")
                .await
                .expect("the buffer has room");
            far.write_all(b"answer").await.expect("the buffer has room");
            near.read_exact(&mut [0; 6])
                .await
                .expect("the answer arrives");
        }
    });
    let counted = traffic.snapshot();
    assert_eq!((counted.sent, counted.received), (16, 12));
}
