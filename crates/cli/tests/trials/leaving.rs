//! Real processes that drain: no request is cut.

use ids::{Reason, UpstreamId};
use trial::cluster::layout::Layout;

use crate::support::{
    assert_clean, assert_none_refused, assert_uncut, trial, trial_in, trials_at_once,
};

#[test]
fn a_host_leaves() {
    let report = trial("host-term");
    assert_clean(&report);
    assert_uncut(&report);
}

#[test]
fn an_upstream_leaves() {
    // New work later than 2 s after the announcement is reported as a violation.
    let report = trial("upstream-drain");
    assert_clean(&report);
    assert_uncut(&report);
}

/// Returns the small layout with another name for the upstream that leaves, so that its
/// coordinating host sends no heartbeats to that of `tariffbok-4`, and gets none.
fn layout_with_distant_hosts() -> Layout {
    let mut layout = Layout::small();
    let before = UpstreamId::new("tariffbok-1").expect("a valid name");
    let after = UpstreamId::new("tariffbok-5").expect("a valid name");
    let upstreams = std::mem::take(&mut layout.catalogue.upstreams).into_iter();
    let renamed = upstreams.map(|(name, declared)| {
        let name = if name == before { after.clone() } else { name };
        (name, declared)
    });
    layout.catalogue.upstreams = renamed.collect();
    layout
}

/// Guards against keys that are refused as stale for as long as two hosts have no connection: the
/// new owner of the keys was not told that the leaving upstream had released them.
#[test]
fn an_upstream_leaves_whose_host_has_no_connection_to_another() {
    let report = trial_in(layout_with_distant_hosts(), "upstream-drain");
    assert_clean(&report);
    assert_uncut(&report);
    assert_none_refused(&report, Reason::StaleRoute);
}

#[test]
fn nothing_happens() {
    let report = trial("quiet");
    assert_clean(&report);
    assert_uncut(&report);
}

/// Guards against requests that end without a known result at their deadline, because they were
/// sent to their upstream too shortly before it for the answer to come back.
#[test]
fn eight_rolling_restarts_at_once() {
    for report in &trials_at_once("rolling-restart", 1..=8) {
        assert_clean(report);
        assert_uncut(report);
    }
}
