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

use crate::control::messages::{Beat, EndedUnder, Quarantined};
use crate::control::state::{Control, KnownHost};

/// Hosts of each failure domain that count the ends under a request: one of them may fail.
const COUNTING: usize = 2;

/// Counts an end that this host observed; returns the reports to other hosts.
pub fn take_end(
    c: &mut Control,
    now: Timestamp,
    content: RequestFingerprint,
    upstream: &UpstreamId,
) -> Vec<(SocketAddr, Beat)> {
    let told = Beat {
        ended: Some(EndedUnder {
            content: content.0,
            upstream: upstream.to_string(),
        }),
        ..Beat::default()
    };
    let others = counting_hosts(c, content).into_iter();
    let mut notices: Vec<(SocketAddr, Beat)> = others.map(|to| (to, told.clone())).collect();
    // A host that is cut off from all others still finds such requests among its own callers'.
    notices.extend(count(c, now, content, upstream));
    notices
}

/// Returns the other hosts that count the ends under requests with a fingerprint.
fn counting_hosts(c: &Control, content: RequestFingerprint) -> Vec<SocketAddr> {
    let mut domains: IndexMap<&str, Vec<(KeyHash, &KnownHost)>> = IndexMap::new();
    for host in c.hosts.values() {
        let rank = KeyHash::of(format!("{content} {}", host.row.run.host).as_bytes());
        let domain = domains.entry(host.row.domain.as_str()).or_default();
        domain.push((rank, host));
    }
    let ranked = domains.into_values().flat_map(|mut hosts| {
        hosts.sort_by_key(|(rank, _)| *rank);
        hosts.into_iter().take(COUNTING)
    });
    let others = ranked.filter(|(_, host)| host.row.run.host != c.me.host);
    others.map(|(_, host)| host.row.peers).collect()
}

/// Applies another host's report; returns the notices to send.
pub fn hear_ended(c: &mut Control, told: &EndedUnder, now: Timestamp) -> Vec<(SocketAddr, Beat)> {
    let Ok(upstream) = UpstreamId::new(told.upstream.as_str()) else {
        return Vec::new();
    };
    count(c, now, RequestFingerprint(told.content), &upstream)
}

/// Counts an end; returns the notices to the hosts of this domain if the request is now
/// quarantined.
fn count(
    c: &mut Control,
    now: Timestamp,
    content: RequestFingerprint,
    upstream: &UpstreamId,
) -> Vec<(SocketAddr, Beat)> {
    if !c.crashes.record_end(now, content, upstream) {
        return Vec::new();
    }
    let left = CrashSettings::default().quarantine;
    c.quarantine(now, [(content, left)]);
    c.quarantined.record(content);
    let beat = Beat {
        quarantined: Some(Quarantined {
            content: content.0,
            left_ms: left.as_millis() as u32,
        }),
        ..Beat::default()
    };
    let near = |h: &&KnownHost| h.row.domain == c.cfg.domain && h.row.run.host != c.me.host;
    let near = c.hosts.values().filter(near);
    near.map(|h| (h.row.peers, beat.clone())).collect()
}

/// Applies the notice of a host of this domain that a request is quarantined.
pub fn hear_quarantined(c: &mut Control, told: Quarantined, now: Timestamp) {
    let left = Duration::from_millis(told.left_ms.into());
    c.quarantine(now, [(RequestFingerprint(told.content), left)]);
}
