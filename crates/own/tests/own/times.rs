//! Tests that durations measured by one clock are converted for the drift of any other.

use std::time::Duration;

use own::OwnershipSettings;
use proptest::prelude::*;

/// Returns the duration that a clock with a rate error of `ppm` measures for `span` of true time.
fn measured(span: f64, ppm: i32) -> f64 {
    span * (1.0 + f64::from(ppm) / 1e6)
}

/// Returns the true time after which a clock with a rate error of `ppm` measures `span`.
fn true_time(span: Duration, ppm: i32) -> f64 {
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
        local in -1.0..=1.0_f64,
        other in -1.0..=1.0_f64,
        ms in 1..100_000_u64,
    ) {
        let cfg = OwnershipSettings {
            drift_ppm: bound.unsigned_abs(),
            ..OwnershipSettings::default()
        };
        let ppm = |fraction: f64| (f64::from(bound) * fraction) as i32;
        let span = Duration::from_millis(ms);
        let waited = measured(true_time(cfg.lengthened_for_drift(span), ppm(local)), ppm(other));
        prop_assert!(waited >= span.as_secs_f64(), "{waited} s of {span:?}");
        let within = measured(true_time(cfg.shortened_for_drift(span), ppm(local)), ppm(other));
        prop_assert!(within <= span.as_secs_f64() + 1e-9, "{within} s of {span:?}");
    }
}
