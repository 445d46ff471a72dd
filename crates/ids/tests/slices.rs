//! Keys, slices and carved-out keys.

use ids::{KeyHash, SliceNo};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_key_has_one_slice_within_the_count(key: Vec<u8>, count in 1_u32..1_000_000) {
        let slice = KeyHash::of(&key).slice(count);
        prop_assert!(slice.0 < u64::from(count));
        prop_assert!(!slice.is_hot());
    }

    #[test]
    fn a_carved_out_key_has_its_original_slice_as_base(key: Vec<u8>, count in 1_u32..1_000_000) {
        let hash = KeyHash::of(&key);
        let hot = hash.hot_slice();
        prop_assert!(hot.is_hot());
        prop_assert_eq!(hot.base(count), hash.slice(count));
    }
}

#[test]
fn slices_share_the_keys_evenly() {
    const SLICES: u32 = 64;
    const KEYS: u64 = 64_000;
    let mut counts = vec![0_u32; SLICES as usize];
    for key in 0..KEYS {
        let slice = KeyHash::of(&key.to_be_bytes()).slice(SLICES);
        counts[slice.0 as usize] += 1;
    }
    let max_keys = counts.iter().max().copied().unwrap_or(0);
    assert!(max_keys < 1_200, "one slice has {max_keys} of {KEYS} keys");
}

#[test]
fn hot_slices_print_apart_from_ranges() {
    assert_eq!(SliceNo(17).to_string(), "17");
    let hot = KeyHash(0x10).hot_slice().to_string();
    assert!(hot.starts_with("hot-"), "{hot}");
}
