//! A host's own links to upstreams.
//!
//! A host may be cut off from upstreams that other hosts reach. It must notice soon, send its requests
//! through those hosts, and not blame the upstreams. A link counts as lost once this host failed to open
//! a connection to the upstream and another host reaches it. If several links are lost and nothing
//! arrives over any other, all links count as lost until a connection opens.

use std::collections::HashMap;
use std::time::Duration;

use ids::{Timestamp, UpstreamId};

/// Settings of [`UpstreamLinks`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkSettings {
    /// Least time without a response of any upstream, while a request waits for one, after which the
    /// link that it was sent over is checked.
    pub host_silence: Duration,
    /// That time as a multiple of the mean time between two responses, so that it hardly ever passes
    /// by chance.
    pub gap_factor: f64,
    /// That time as a multiple of the request's expected time, at hosts with few requests.
    pub expected_time_factor: f64,
    /// Least time without a response of one upstream while others respond: a slow one is silent too.
    pub upstream_silence: Duration,
    /// Weight of one observation in the mean time between two responses.
    pub gap_weight: f64,
    /// Least time between two checks of one link.
    pub check_interval: Duration,
    /// Time between two attempts to open a connection over a lost link.
    pub probe_interval: Duration,
    /// Number of lost links from which all links count as lost.
    pub min_lost: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            host_silence: Duration::from_millis(200),
            gap_factor: 10.0,
            expected_time_factor: 3.0,
            upstream_silence: Duration::from_secs(1),
            gap_weight: 0.05,
            check_interval: Duration::from_secs(1),
            probe_interval: Duration::from_millis(500),
            min_lost: 2,
        }
    }
}

/// How a connection over a lost link failed to open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkLoss {
    /// Nothing was received in time. Open connections are silent too.
    Silent,
    /// It was refused or reset. Open connections may still work.
    Refused,
}

/// State of one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// It is not known to be lost.
    Usable,
    /// It is lost, but other hosts reach the upstream.
    Lost(LinkLoss),
}

impl LinkState {
    /// Returns whether requests may be sent on connections that are open.
    ///
    /// On a silent one they would get no response before their deadlines.
    #[must_use]
    pub const fn allows_open_connections(self) -> bool {
        !matches!(self, Self::Lost(LinkLoss::Silent))
    }
}

#[derive(Debug, Clone, Copy)]
struct LostLink {
    loss: LinkLoss,
    next_probe_at: Timestamp,
}

#[derive(Debug, Default)]
struct Link {
    /// Last time that a connection opened.
    opened_at: Timestamp,
    /// Last time that a response arrived.
    responded_at: Timestamp,
    checked_at: Timestamp,
    lost: Option<LostLink>,
}

/// Failures at distinct upstreams since the last response of any.
#[derive(Debug, Default)]
struct Failures {
    since: Timestamp,
    upstreams: Vec<UpstreamId>,
}

/// A request that waits for its response.
#[derive(Debug)]
struct WaitingRequest {
    upstream: UpstreamId,
    sent: Timestamp,
    expected_time: Duration,
}

/// The host's requests that wait for responses.
#[derive(Debug, Default)]
struct Waiting {
    requests: HashMap<u64, WaitingRequest>,
    last_id: u64,
}

/// The links of a host to all upstreams.
#[derive(Debug)]
pub struct UpstreamLinks {
    cfg: LinkSettings,
    links: HashMap<UpstreamId, Link>,
    waiting: Waiting,
    failures: Failures,
    /// Last time that anything arrived over any link.
    last_sign_at: Timestamp,
    /// Mean time between two responses, in seconds, if there were any.
    mean_gap: Option<f64>,
    /// Since when all links count as lost, and how they fail.
    all_lost: Option<(Timestamp, LinkLoss)>,
}

impl UpstreamLinks {
    /// Creates the state of a host whose links all count as usable.
    #[must_use]
    pub fn new(cfg: LinkSettings) -> Self {
        Self {
            cfg,
            links: HashMap::new(),
            waiting: Waiting::default(),
            failures: Failures::default(),
            last_sign_at: Timestamp::ZERO,
            mean_gap: None,
            all_lost: None,
        }
    }

    /// Returns the state of the link to `upstream`.
    #[must_use]
    pub fn state(&self, upstream: &UpstreamId) -> LinkState {
        let link = self.links.get(upstream);
        if let Some(lost) = link.and_then(|link| link.lost) {
            return LinkState::Lost(lost.loss);
        }
        let opened_at = link.map_or(Timestamp::ZERO, |link| link.opened_at);
        match self.all_lost {
            Some((since, loss)) if opened_at <= since => LinkState::Lost(loss),
            _ => LinkState::Usable,
        }
    }

    /// Returns whether all links count as lost.
    #[must_use]
    pub const fn are_all_lost(&self) -> bool {
        self.all_lost.is_some()
    }

    /// Returns the upstreams whose links were found lost, without those of which it is inferred.
    pub fn lost(&self) -> impl Iterator<Item = &UpstreamId> {
        let lost = self.links.iter().filter(|(_, link)| link.lost.is_some());
        lost.map(|(upstream, _)| upstream)
    }

    /// Returns whether something arrived from `upstream` after `since`.
    #[must_use]
    pub fn is_proven_after(&self, since: Timestamp, upstream: &UpstreamId) -> bool {
        let link = self.links.get(upstream);
        link.is_some_and(|link| link.opened_at.max(link.responded_at) > since)
    }

    /// Returns whether failures at several upstreams, without a sign of any since, suggest that the
    /// host's links fail rather than the upstreams.
    #[must_use]
    pub fn are_suspect(&self) -> bool {
        self.are_all_lost() || self.failures.upstreams.len() >= self.cfg.min_lost
    }

    /// Returns whether anything arrived over any link after `since`.
    #[must_use]
    pub fn had_sign_after(&self, since: Timestamp) -> bool {
        self.last_sign_at > since
    }

    /// Records a request that is sent over the link to `upstream`, where it is expected to take
    /// `expected_time`; returns its identifier.
    pub fn sent(&mut self, now: Timestamp, upstream: &UpstreamId, expected_time: Duration) -> u64 {
        self.waiting.last_id += 1;
        let id = self.waiting.last_id;
        let request = WaitingRequest {
            upstream: upstream.clone(),
            sent: now,
            expected_time,
        };
        self.waiting.requests.insert(id, request);
        id
    }

    /// Records that a request no longer waits.
    pub fn ended(&mut self, id: u64) {
        self.waiting.requests.remove(&id);
    }

    /// Records a response of `upstream`.
    pub fn responded(&mut self, now: Timestamp, upstream: &UpstreamId) {
        if self.last_sign_at > Timestamp::ZERO {
            let gap = now.since(self.last_sign_at).as_secs_f64();
            let mean_gap = self.mean_gap.unwrap_or(gap);
            self.mean_gap = Some(mean_gap + self.cfg.gap_weight * (gap - mean_gap));
        }
        self.link(upstream).responded_at = now;
        self.record_sign(now);
    }

    /// Records that a connection to `upstream` opened; returns whether its link was lost.
    pub fn opened(&mut self, now: Timestamp, upstream: &UpstreamId) -> bool {
        self.record_sign(now);
        let link = self.link(upstream);
        link.opened_at = now;
        let was_lost = link.lost.take().is_some();
        // The cut is over or has never been one of all links; the others found lost are probed now.
        let were_all_lost = self.all_lost.take().is_some();
        if were_all_lost {
            let lost = self.links.values_mut().filter_map(|l| l.lost.as_mut());
            lost.for_each(|lost| lost.next_probe_at = now);
        }
        was_lost || were_all_lost
    }

    /// Records that a request over the link to `upstream`, or the opening of a connection, failed
    /// without a response.
    pub fn failed(&mut self, now: Timestamp, upstream: &UpstreamId) {
        if self.failures.upstreams.is_empty() {
            self.failures.since = now;
        }
        let known = &mut self.failures.upstreams;
        if known.len() < self.cfg.min_lost && !known.contains(upstream) {
            known.push(upstream.clone());
        }
    }

    /// Records that this host can't open a connection to `upstream`, which another host reaches;
    /// returns whether the link counted as usable.
    pub fn found_lost(&mut self, now: Timestamp, upstream: &UpstreamId, loss: LinkLoss) -> bool {
        let was_usable = self.state(upstream) == LinkState::Usable;
        let next_probe_at = now + self.cfg.probe_interval;
        self.link(upstream).lost = Some(LostLink {
            loss,
            next_probe_at,
        });
        let lost_links = self.lost().count();
        let since = self.failures.since;
        let silent_otherwise = self.are_suspect() && !self.had_sign_after(since);
        if self.all_lost.is_none() && lost_links >= self.cfg.min_lost && silent_otherwise {
            self.all_lost = Some((now, loss));
        }
        was_usable
    }

    /// Returns the upstreams whose links have to be checked, as requests wait for too long.
    pub fn due_checks(&mut self, now: Timestamp) -> Vec<UpstreamId> {
        let mut due: Vec<UpstreamId> = Vec::new();
        for request in self.waiting.requests.values() {
            let upstream = &request.upstream;
            if self.is_overdue(now, request) && !due.contains(upstream) {
                due.push(upstream.clone());
            }
        }
        due.retain(|upstream| self.state(upstream) == LinkState::Usable);
        for upstream in &due {
            self.link(upstream).checked_at = now;
        }
        due
    }

    /// Returns whether a request has waited for so long that its link has to be checked, and it was
    /// not checked lately.
    fn is_overdue(&self, now: Timestamp, request: &WaitingRequest) -> bool {
        let cfg = &self.cfg;
        let link = self.links.get(&request.upstream);
        let checked_at = link.map_or(Timestamp::ZERO, |l| l.checked_at);
        if checked_at > Timestamp::ZERO && now.since(checked_at) < cfg.check_interval {
            return false;
        }
        let heard_at = link.map_or(Timestamp::ZERO, |l| l.opened_at.max(l.responded_at));
        let is_silent = |since: Timestamp, span| now.since(since.max(request.sent)) >= span;
        let by_time = request.expected_time.mul_f64(cfg.expected_time_factor);
        let by_gap = self.mean_gap.map(|gap| gap * cfg.gap_factor);
        let by_gap = by_gap.map_or(by_time, Duration::from_secs_f64);
        is_silent(self.last_sign_at, cfg.host_silence.max(by_gap.min(by_time)))
            || is_silent(heard_at, cfg.upstream_silence.max(by_time))
    }

    /// Returns the upstreams over whose lost links the opening of a connection is due.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<UpstreamId> {
        let mut due = Vec::new();
        for (upstream, link) in &mut self.links {
            let Some(lost) = link.lost.as_mut().filter(|l| now >= l.next_probe_at) else {
                continue;
            };
            lost.next_probe_at = now + self.cfg.probe_interval;
            due.push(upstream.clone());
        }
        due
    }

    /// Drops the state of upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.links.retain(|upstream, _| is_known(upstream));
        self.failures.upstreams.retain(&is_known);
        let has_lost = self.lost().next().is_some();
        // Nothing would end it, as only links that were found lost are probed.
        if !has_lost {
            self.all_lost = None;
        }
    }

    fn link(&mut self, upstream: &UpstreamId) -> &mut Link {
        if !self.links.contains_key(upstream) {
            self.links.insert(upstream.clone(), Link::default());
        }
        self.links.get_mut(upstream).expect("just inserted")
    }

    fn record_sign(&mut self, now: Timestamp) {
        self.last_sign_at = now;
        self.failures.upstreams.clear();
    }
}
