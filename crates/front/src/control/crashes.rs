//! Finds the requests under which upstreams end.
//!
//! A caller may repeat such a request at any host. So each end is reported to two hosts of each
//! failure domain, chosen by the request's fingerprint; they count, and notify the hosts of their
//! domain once a request is quarantined. A domain that is cut off counts the ends that its own
//! hosts observe.

use std::net::SocketAddr;
use std::time::Duration;

use direct::{CrashSettings, RequestFingerprint};
use ids::{KeyHash, Timestamp, UpstreamId};
use indexmap::IndexMap;

use crate::control::hosts::KnownHost;
use crate::control::messages::{CrashReport, Heartbeat, QuarantinedRequest};
use crate::control::state::ControlState;

/// Hosts of each failure domain that count the ends under a request: one of them may fail.
const COUNTING_HOSTS: usize = 2;

/// Counts an end that this host observed; returns the reports to other hosts.
pub fn record_crash(
    c: &mut ControlState,
    now: Timestamp,
    fingerprint: RequestFingerprint,
    upstream: &UpstreamId,
) -> Vec<(SocketAddr, Heartbeat)> {
    let report = Heartbeat {
        crash: Some(CrashReport {
            fingerprint: fingerprint.0,
            upstream: upstream.to_string(),
        }),
        ..Heartbeat::default()
    };
    let others = counting_hosts(c, fingerprint).into_iter();
    let mut notices: Vec<(SocketAddr, Heartbeat)> = others.map(|to| (to, report.clone())).collect();
    // A host that is cut off from all others still finds such requests among its own callers'.
    notices.extend(count(c, now, fingerprint, upstream));
    notices
}

/// Returns the other hosts that count the ends under requests with a fingerprint.
fn counting_hosts(c: &ControlState, fingerprint: RequestFingerprint) -> Vec<SocketAddr> {
    let mut domains: IndexMap<&str, Vec<(KeyHash, &KnownHost)>> = IndexMap::new();
    for host in c.hosts.values() {
        let rank = KeyHash::of(format!("{fingerprint} {}", host.row.incarnation.host).as_bytes());
        let domain = domains.entry(host.row.domain.as_str()).or_default();
        domain.push((rank, host));
    }
    let ranked = domains.into_values().flat_map(|mut hosts| {
        hosts.sort_by_key(|(rank, _)| *rank);
        hosts.into_iter().take(COUNTING_HOSTS)
    });
    let others = ranked.filter(|(_, host)| host.row.incarnation.host != c.this_host.host);
    others.map(|(_, host)| host.row.peers).collect()
}

/// Applies another host's report; returns the notices to send.
pub fn apply_crash_report(
    c: &mut ControlState,
    report: &CrashReport,
    now: Timestamp,
) -> Vec<(SocketAddr, Heartbeat)> {
    let Ok(upstream) = UpstreamId::new(report.upstream.as_str()) else {
        return Vec::new();
    };
    count(c, now, RequestFingerprint(report.fingerprint), &upstream)
}

/// Counts an end; returns the notices to the hosts of this domain if the request is now
/// quarantined.
fn count(
    c: &mut ControlState,
    now: Timestamp,
    fingerprint: RequestFingerprint,
    upstream: &UpstreamId,
) -> Vec<(SocketAddr, Heartbeat)> {
    if !c.crashes.record_end(now, fingerprint, upstream) {
        return Vec::new();
    }
    let left = CrashSettings::default().quarantine;
    c.quarantine(now, [(fingerprint, left)]);
    c.quarantined.record(fingerprint);
    let notice = Heartbeat {
        quarantined: Some(QuarantinedRequest {
            fingerprint: fingerprint.0,
            left_ms: left.as_millis() as u32,
        }),
        ..Heartbeat::default()
    };
    let same_domain =
        |h: &&KnownHost| h.row.domain == c.cfg.domain && h.row.incarnation.host != c.this_host.host;
    let same_domain = c.hosts.values().filter(same_domain);
    same_domain.map(|h| (h.row.peers, notice.clone())).collect()
}

/// Applies the notice of a host of this domain that a request is quarantined.
pub fn apply_quarantine(c: &mut ControlState, report: QuarantinedRequest, now: Timestamp) {
    let left = Duration::from_millis(report.left_ms.into());
    c.quarantine(now, [(RequestFingerprint(report.fingerprint), left)]);
}
