//! Waits by one clock against times by another.

use std::time::Duration;

use own::OwnershipSettings;
use proptest::prelude::*;

/// Returns how long a clock that runs `ppm` fast shows `span` of true time to be.
fn shown(span: f64, ppm: i32) -> f64 {
    span * (1.0 + f64::from(ppm) / 1e6)
}

/// Returns the true time after which such a clock shows `span`.
fn taken(span: Duration, ppm: i32) -> f64 {
    span.as_secs_f64() / (1.0 + f64::from(ppm) / 1e6)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn waits_outlast_other_clocks(
        bound in 1..=50_000_i32,
        mine in -1.0..=1.0_f64,
        other in -1.0..=1.0_f64,
        ms in 1..100_000_u64,
    ) {
        let cfg = OwnershipSettings {
            drift_ppm: bound.unsigned_abs(),
            ..OwnershipSettings::default()
        };
        let ppm = |part: f64| (f64::from(bound) * part) as i32;
        let span = Duration::from_millis(ms);
        let waited = shown(taken(cfg.lengthened_for_drift(span), ppm(mine)), ppm(other));
        prop_assert!(waited >= span.as_secs_f64(), "{waited} s of {span:?}");
        let within = shown(taken(cfg.shortened_for_drift(span), ppm(mine)), ppm(other));
        prop_assert!(within <= span.as_secs_f64() + 1e-9, "{within} s of {span:?}");
    }
}
