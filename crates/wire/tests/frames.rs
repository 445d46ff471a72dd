//! Encoding and decoding of frames.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};
use wire::dispatch::{Answer, Reply, Result};
use wire::{FrameCodec, MAX_FRAME_BYTES};

fn reply(call: u64, body: Vec<u8>) -> Reply {
    let answer = Answer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(body),
    };
    Reply {
        call,
        result: Some(Result::Answer(answer)),
        load: 1,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn frames_come_out_as_they_went_in_however_they_are_cut(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..8),
        cut in 1_usize..64,
    ) {
        let mut codec = FrameCodec::<Reply>::default();
        let mut sent = BytesMut::new();
        let replies: Vec<Reply> = (0..).zip(bodies).map(|(i, b)| reply(i, b)).collect();
        for r in &replies {
            codec.encode(r.clone(), &mut sent).expect("small frames are within the limit");
        }
        let mut buf = BytesMut::new();
        let mut got = Vec::new();
        for chunk in sent.chunks(cut) {
            buf.extend_from_slice(chunk);
            while let Some(r) = codec.decode(&mut buf).expect("the frames are valid") {
                got.push(r);
            }
        }
        prop_assert_eq!(got, replies);
    }
}

#[test]
fn a_frame_over_the_limit_is_refused_both_ways() {
    let mut codec = FrameCodec::<Reply>::default();
    let mut buf = BytesMut::new();
    let large = reply(1, vec![0; MAX_FRAME_BYTES + 1]);
    codec
        .encode(large, &mut buf)
        .expect_err("the frame is over the limit");
    let mut claimed = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    codec
        .decode(&mut claimed)
        .expect_err("the claimed length is over the limit");
}

#[test]
fn bytes_that_are_no_message_are_refused() {
    let mut codec = FrameCodec::<Reply>::default();
    let mut buf = BytesMut::from(&[0, 0, 0, 2, 0xff, 0xff][..]);
    codec
        .decode(&mut buf)
        .expect_err("the bytes are not a message");
}
