//! Requests that are queued for a permit at one upstream, in the order in which they are served.
//!
//! Requests that can still meet their objective come first. Among these, urgent routes come before
//! others, first requests before repeats, and failure domains take turns: the domain with the fewest
//! recent grants is next. Under overload each domain thereby gets a max-min fair share of the
//! upstream, without a rate for each domain.
//!
//! An upstream has some fifty queued requests at most. They are kept in a vector in order of
//! arrival and scanned, which takes less time than to keep an order that changes with each grant.

use std::hash::Hash;
use std::time::Duration;

use ids::{Arena, ArenaKey, DomainId, Timestamp, arena_key};

arena_key! {
    /// Identifies a failure domain in a [`PermitQueue`].
    DomainKey
}

/// Maximum number of failure domains that a queue remembers, with the unknown one.
///
/// An entry is used by hosts of less than a dozen domains. The bound keeps the memory and the time
/// of an operation limited if hosts report wrong names.
pub const MAX_DOMAINS: usize = 32;

/// Index of the domain of requests that don't name theirs.
const UNKNOWN: usize = 0;

/// Settings of [`PermitQueue`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueSettings {
    /// Half-life of a grant in the count of a domain's recent grants.
    ///
    /// An upstream with two slots and a service time of 200 ms grants ten permits a second, so that
    /// each of four domains has some seven recent grants: enough to tell shares apart. A domain
    /// that used capacity that no other wanted is treated like the others a few seconds later.
    pub grant_half_life: Duration,
    /// Maximum number of grants by which a domain goes before the others when it starts to queue
    /// requests.
    ///
    /// Without a maximum, a domain that starts to ask for all of the capacity takes nearly all of it
    /// for two seconds from one that used it before, until both have as many recent grants.
    pub max_credit: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            grant_half_life: Duration::from_secs(2),
            max_credit: 2.0,
        }
    }
}

/// A request that is queued, or that is to be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest<K> {
    /// Identifies the request.
    pub key: K,
    /// Time by which it must be answered to meet its objective; none if it is late.
    pub answer_by: Option<Timestamp>,
    /// The caller's deadline.
    pub deadline: Timestamp,
    /// Priority of its route; zero is the most urgent.
    pub rank: u32,
    /// Whether its caller was refused before and repeats it.
    pub is_repeat: bool,
    /// Failure domain that it came from.
    pub domain: DomainKey,
}

/// The criteria of the order of service that go before the turn of the domain.
///
/// Classes are served in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    is_late: bool,
    rank: u32,
    is_repeat: bool,
}

impl<K> QueuedRequest<K> {
    const fn class(&self) -> Class {
        Class {
            is_late: self.is_late(),
            rank: self.rank,
            is_repeat: self.is_repeat,
        }
    }

    /// Returns whether the request can't meet its objective any more.
    #[must_use]
    pub const fn is_late(&self) -> bool {
        self.answer_by.is_none()
    }
}

/// A failure domain that requests came from.
#[derive(Debug)]
struct Domain {
    /// None for the unknown domain.
    name: Option<DomainId>,
    /// Number of grants, each decayed from its time to [`PermitQueue::decayed_at`].
    recent_grants: f64,
}

/// A count for each domain, by the index of its key.
type DomainCounts = [f64; MAX_DOMAINS];

/// The queued requests of one upstream; `K` identifies a request.
#[derive(Debug)]
pub struct PermitQueue<K> {
    cfg: QueueSettings,
    /// In order of arrival.
    requests: Vec<QueuedRequest<K>>,
    domains: Arena<DomainKey, Domain>,
    /// Recent grants of the domain that was served last, before that grant.
    last_turn: f64,
    /// Time to which the recent grants of all domains are decayed.
    decayed_at: Timestamp,
}

impl<K: Copy + Eq + Hash> Default for PermitQueue<K> {
    fn default() -> Self {
        Self::new(QueueSettings::default())
    }
}

impl<K: Copy + Eq + Hash> PermitQueue<K> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(cfg: QueueSettings) -> Self {
        let mut domains = Arena::new();
        let _: DomainKey = domains.push(Domain {
            name: None,
            recent_grants: 0.0,
        });
        Self {
            cfg,
            requests: Vec::new(),
            domains,
            last_turn: 0.0,
            decayed_at: Timestamp::ZERO,
        }
    }

    /// Returns the key of a domain, or of the unknown one.
    ///
    /// If [`MAX_DOMAINS`] are known, a new domain replaces the one with the fewest recent grants that
    /// has no queued request; if every domain has one, this is the unknown domain. The key remains valid until a key of another
    /// domain is requested, or as long as a request with it is queued.
    pub fn domain_key(&mut self, name: Option<&DomainId>) -> DomainKey {
        let is_it = |domain: &Domain| domain.name.as_ref() == name;
        let known = self.domains.iter().find(|(_, domain)| is_it(domain));
        if let Some((key, _)) = known {
            return key;
        }
        let domain = Domain {
            name: name.cloned(),
            recent_grants: 0.0,
        };
        if self.domains.len() < MAX_DOMAINS {
            return self.domains.push(domain);
        }
        let has_queued = |key| self.requests.iter().any(|r| r.domain == key);
        let replaceable = self
            .domains
            .iter()
            .filter(|&(key, _)| key.index() != UNKNOWN && !has_queued(key))
            .min_by(|(_, a), (_, b)| a.recent_grants.total_cmp(&b.recent_grants))
            .map(|(key, _)| key);
        let Some(key) = replaceable else {
            return DomainKey::from_index(UNKNOWN);
        };
        self.domains[key] = domain;
        key
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of queued requests that can still meet their objective.
    #[must_use]
    pub fn in_time_len(&self) -> usize {
        self.requests.iter().filter(|r| !r.is_late()).count()
    }

    /// Iterates over the queued requests in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest<K>> {
        self.requests.iter()
    }

    /// Queues a request.
    pub fn push(&mut self, now: Timestamp, request: QueuedRequest<K>) {
        self.limit_credit(now, request.domain);
        self.requests.push(request);
    }

    /// Returns the request that is served next.
    #[must_use]
    pub fn peek(&self) -> Option<&QueuedRequest<K>> {
        self.next_index().map(|i| &self.requests[i])
    }

    /// Removes the request that is served next, and records a grant to its domain.
    pub fn pop(&mut self, now: Timestamp) -> Option<QueuedRequest<K>> {
        let request = self.requests.remove(self.next_index()?);
        self.decay_to(now);
        self.count_grant(request.domain);
        Some(request)
    }

    /// Removes a request that is no longer wanted.
    pub fn remove(&mut self, key: K) -> Option<QueuedRequest<K>> {
        let i = self.requests.iter().position(|r| r.key == key)?;
        Some(self.requests.remove(i))
    }

    /// Records a grant to a request that was not queued.
    pub fn record_grant(&mut self, now: Timestamp, domain: DomainKey) {
        self.limit_credit(now, domain);
        self.count_grant(domain);
    }

    /// Returns how many queued requests would be served before `request` if it arrived now and no
    /// other request did.
    #[must_use]
    pub fn ahead_of(&self, now: Timestamp, request: &QueuedRequest<K>) -> usize {
        let class = request.class();
        let mut turns = self.counts_with(now, request.domain);
        let mut ahead = 0;
        for r in self.requests.iter().filter(|r| r.class() < class) {
            turns[r.domain.index()] += 1.0;
            ahead += 1;
        }
        let same_class = || self.requests.iter().filter(|r| r.class() == class);
        let own_turn = same_class()
            .filter(|r| r.domain == request.domain)
            .fold(turns[request.domain.index()], |turn, _| turn + 1.0);
        for r in same_class() {
            let turn = &mut turns[r.domain.index()];
            // An earlier request goes first when both domains have as many grants.
            if *turn <= own_turn {
                ahead += 1;
            }
            *turn += 1.0;
        }
        ahead
    }

    /// Returns the queued requests in the order in which they would be served if no other request
    /// arrived.
    #[must_use]
    pub fn in_order(&self, now: Timestamp) -> Vec<&QueuedRequest<K>> {
        let mut by_class: Vec<&QueuedRequest<K>> = self.requests.iter().collect();
        by_class.sort_by_key(|r| r.class());
        let mut turns = self.recent_grants(now);
        let mut ordered: Vec<(f64, &QueuedRequest<K>)> = Vec::with_capacity(by_class.len());
        for request in by_class {
            let turn = &mut turns[request.domain.index()];
            ordered.push((*turn, request));
            *turn += 1.0;
        }
        // The sort is stable: requests with the same turn stay in order of arrival.
        ordered.sort_by(|(a_turn, a), (b_turn, b)| {
            let by_class = a.class().cmp(&b.class());
            by_class.then(a_turn.total_cmp(b_turn))
        });
        ordered.into_iter().map(|(_, request)| request).collect()
    }

    /// Returns the queued request that gives way to `request` if both can't be in time; none if
    /// `request` should take nobody's place. It is served after `request`, and is one
    ///
    /// - of the domain that most exceeds its max-min fair share of the recent grants and the queue,
    ///   if that is another domain than that of `request`;
    /// - or else of the least urgent route, if that is less urgent than `request`.
    ///
    /// Among several, it is the least urgent, then a repeat before a first request, then the newest. A
    /// request that goes before `request` by its rank, or as a first request, is never displaced.
    #[must_use]
    pub fn displaced_by(&self, now: Timestamp, request: &QueuedRequest<K>) -> Option<K> {
        if request.is_late() {
            return None;
        }
        let in_time = || self.requests.iter().filter(|r| !r.is_late());
        let mut usage = self.counts_with(now, request.domain);
        usage[request.domain.index()] += 1.0;
        for r in in_time() {
            usage[r.domain.index()] += 1.0;
        }
        // One request has to go, so the shares add up to one less than what all domains use. Max-min
        // fair shares then take it from the domain that uses most.
        let own_usage = usage[request.domain.index()];
        let of_largest_excess = in_time()
            .filter(|r| usage[r.domain.index()] > own_usage && r.class() >= request.class())
            .max_by(|a, b| {
                let by_usage = usage[a.domain.index()].total_cmp(&usage[b.domain.index()]);
                by_usage.then(a.class().cmp(&b.class()))
            });
        // The last of several maxima is the newest.
        let displaced = of_largest_excess.or_else(|| {
            in_time()
                .filter(|r| r.rank > request.rank)
                .max_by_key(|r| r.class())
        });
        displaced.map(|r| r.key)
    }

    /// Makes requests late that could not be answered within their objective if they started now
    /// and took `time_for_objective`. Removes and returns those that could not be answered before
    /// their deadline if they took `service_time`.
    pub fn expire(
        &mut self,
        now: Timestamp,
        time_for_objective: Duration,
        service_time: Duration,
    ) -> Vec<QueuedRequest<K>> {
        for r in &mut self.requests {
            r.answer_by = r.answer_by.filter(|t| t.since(now) >= time_for_objective);
        }
        let is_expired = |r: &mut QueuedRequest<K>| r.deadline.since(now) < service_time;
        self.requests.extract_if(.., is_expired).collect()
    }

    /// Returns the index of the request that is served next.
    fn next_index(&self) -> Option<usize> {
        let grants = |r: &QueuedRequest<K>| self.domains[r.domain].recent_grants;
        let next = self.requests.iter().enumerate().min_by(|(_, a), (_, b)| {
            let by_class = a.class().cmp(&b.class());
            by_class.then_with(|| grants(a).total_cmp(&grants(b)))
        });
        next.map(|(i, _)| i)
    }

    /// Returns the factor by which the recent grants have decayed at `now`.
    fn decay(&self, now: Timestamp) -> f64 {
        let age = now.since(self.decayed_at).as_secs_f64();
        (-age / self.cfg.grant_half_life.as_secs_f64()).exp2()
    }

    fn count_grant(&mut self, domain: DomainKey) {
        let recent_grants = &mut self.domains[domain].recent_grants;
        self.last_turn = *recent_grants;
        *recent_grants += 1.0;
    }

    /// Raises the count of a domain that starts to queue requests to that of [`Self::counts_with`].
    fn limit_credit(&mut self, now: Timestamp, domain: DomainKey) {
        let counts = self.counts_with(now, domain);
        self.decay_to(now);
        self.domains[domain].recent_grants = counts[domain.index()];
    }

    fn decay_to(&mut self, now: Timestamp) {
        let decay = self.decay(now);
        for (_, domain) in self.domains.iter_mut() {
            domain.recent_grants *= decay;
        }
        self.last_turn *= decay;
        self.decayed_at = self.decayed_at.max(now);
    }

    /// Returns the recent grants of each domain as they count when a request of `domain` arrives.
    ///
    /// A domain without queued requests then counts as if it had at most
    /// [`QueueSettings::max_credit`] fewer than the others that have some, and than the one that was
    /// served last.
    fn counts_with(&self, now: Timestamp, domain: DomainKey) -> DomainCounts {
        let mut counts = self.recent_grants(now);
        if self.requests.iter().all(|r| r.domain != domain) {
            let last_turn = self.last_turn * self.decay(now);
            let queued = self.requests.iter().map(|r| counts[r.domain.index()]);
            let least = queued.fold(last_turn, f64::min) - self.cfg.max_credit;
            let count = &mut counts[domain.index()];
            *count = count.max(least);
        }
        counts
    }

    /// Returns the recent grants of each domain.
    fn recent_grants(&self, now: Timestamp) -> DomainCounts {
        let decay = self.decay(now);
        let mut counts = [0.0; MAX_DOMAINS];
        for (count, (_, domain)) in counts.iter_mut().zip(self.domains.iter()) {
            *count = domain.recent_grants * decay;
        }
        counts
    }
}
