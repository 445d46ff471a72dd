//! Permits at one upstream, which one host hands out to all that send to it.
//!
//! Hosts that meet an upstream less than once a second know nothing of its load. So they ask for a
//! permit before they send, and a request waits where it can still be refused truthfully, go to
//! another owner of its key, or be overtaken by one that has more to gain.
//!
//! Requests that can still be answered within their objective go before those that are late in any
//! case: an upstream that is asked for twice what it can do then answers as many in time as ever.
//!
//! An upstream that is cold, or that has answered nobody for a while and may come back cold, gets no more
//! requests within any second than it bears ([`warmup`](crate::warmup)). One that says how many it takes gets no
//! more than that ([`said`](crate::said)), whichever hosts they come from.

use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

use ids::Timestamp;
use indexmap::IndexMap;

use crate::choose::Rank;
use crate::load::LoadReport;
use crate::pace::Pace;
use crate::said::Limit;
use crate::starts::Starts;
use crate::warmup::ColdStart;

/// Settings of [`Permits`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitSettings {
    /// Least service time of an upstream at which a permit is worth its two ways.
    ///
    /// Ten of them between today's failure domains. An upstream that answers faster has worked off
    /// its queue before anybody could be told of it, and at millions of requests a second the
    /// datagrams would cost more than what they save.
    pub least_service: Duration,
    /// Permits beyond the upstream's slots, so that no slot is idle while a permit changes hands: that
    /// takes two ways between failure domains, a fiftieth of a service time.
    pub beyond: u32,
    /// Part of the time left to the objective within which an answer must be expected to count as in
    /// time.
    pub in_time_part: f64,
    /// Part of the caller's time within which a late answer must be expected: those in time overtake.
    pub late_part: f64,
    /// Time after which a report of requests that have no permit counts half.
    pub report_half_life: Duration,
    /// Weight of one observation in the mean service time.
    pub service_weight: f64,
    /// Time beyond its caller's for which a permit is held if nobody gives it back.
    pub grace: Duration,
    /// Time without any answer after which an upstream may come back cold, if two requests or more ended
    /// without one meanwhile: a restart takes about as long, and a slow answer seldom does.
    pub lost_after: Duration,
    /// How much longer than usual work must take at the upstream for a request that may go elsewhere to be
    /// sent away.
    pub slow_pace: f64,
    /// How long what the upstream said of its pace counts: it changes several times a second.
    pub pace_known: Duration,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            least_service: Duration::from_millis(20),
            beyond: 1,
            in_time_part: 0.9,
            late_part: 0.7,
            report_half_life: Duration::from_millis(500),
            service_weight: 0.1,
            grace: Duration::from_millis(200),
            lost_after: Duration::from_millis(700),
            slow_pace: 2.0,
            pace_known: Duration::from_millis(200),
        }
    }
}

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitRequest {
    /// How urgent it is among those that go to the upstream.
    pub rank: Rank,
    /// Time left until its objective.
    pub in_time: Duration,
    /// Time for which its caller waits.
    pub left: Duration,
    /// Service time to assume if none was observed.
    pub usual: Duration,
    /// Whether it waits for its turn; one that may go to another upstream does not.
    pub may_wait: bool,
    /// What is known of the upstream's warm-up; none if it bears as much as ever while it is cold.
    pub cold: Option<ColdStart>,
    /// What the asking host knows of the upstream's limit.
    pub limit: Limit,
    /// Hosts that hand out the upstream's permits rather than this one, and did not reply.
    pub passed_over: u32,
}

/// What becomes of a request that asked for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// It has a permit.
    Go,
    /// It waits; its answer is expected after this time.
    Queued {
        /// Time until the answer.
        expected: Duration,
    },
    /// It can't be answered in time; there is room after about this time.
    Full {
        /// Time until there is room.
        room_in: Duration,
    },
    /// The upstream is cold or limits its requests, and gets no more for now, not even without a permit.
    Paced {
        /// Time until there is room.
        room_in: Duration,
    },
}

/// How a request that had a permit, or wanted one, ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitEnd {
    /// The upstream answered it.
    Answered,
    /// The upstream said something that is no answer.
    Spoke,
    /// The upstream could not be reached, or said nothing.
    Silent,
    /// Nothing is to be learnt of the upstream: it was not sent, or its caller left.
    Unknown,
}

#[derive(Debug)]
struct Waiting<K> {
    key: K,
    until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    since: Timestamp,
    until: Timestamp,
    /// Requests at the upstream for each slot when this one went.
    crowd: f64,
}

/// Lanes of the queue, the first one first: urgent requests, those in time, those that are late.
const LANES: usize = 3;
const URGENT: usize = 0;
const IN_TIME: usize = 1;
const LATE: usize = 2;

/// Requests that ended without a word of the upstream since it last said something.
#[derive(Debug, Clone, Copy)]
struct Silence {
    since: Timestamp,
    requests: u32,
}

/// Least requests without a word for an upstream to count as lost.
const SILENT_REQUESTS: u32 = 2;

/// The permits at one upstream; `K` names a request.
#[derive(Debug)]
pub struct Permits<K> {
    cfg: PermitSettings,
    slots: u32,
    service: Option<f64>,
    held: IndexMap<K, Held>,
    lanes: [VecDeque<Waiting<K>>; LANES],
    /// Requests at the upstream that have no permit here, when they were reported.
    others: f64,
    reported: Timestamp,
    /// How long work takes there, as a factor, and when it said so.
    pace: (f64, Timestamp),
    /// What it bears while it is cold, as far as anybody has said.
    cold: Option<ColdStart>,
    cold_until: Timestamp,
    limit: Limit,
    /// Whether requests wait that were told how long before the limit changed.
    is_limit_new: bool,
    /// Hosts that hand out these permits rather than this one, and did not reply to those who ask here.
    passed_over: u32,
    starts: Starts,
    silence: Option<Silence>,
}

impl<K: Copy + Eq + Hash> Permits<K> {
    /// Knows nothing yet but the upstream's slots.
    #[must_use]
    pub fn new(slots: u32, cfg: PermitSettings) -> Self {
        Self {
            cfg,
            slots: slots.max(1),
            service: None,
            held: IndexMap::new(),
            lanes: [(); LANES].map(|()| VecDeque::new()),
            others: 0.0,
            reported: Timestamp::ZERO,
            pace: (1.0, Timestamp::ZERO),
            cold: None,
            cold_until: Timestamp::ZERO,
            limit: Limit::default(),
            is_limit_new: false,
            passed_over: 0,
            starts: Starts::default(),
            silence: None,
        }
    }

    /// Tells whether no request has or wants a permit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && !self.has_waiting()
    }

    /// Tells whether a request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.lanes.iter().any(|lane| !lane.is_empty())
    }

    /// Returns what is known of the upstream's limit.
    #[must_use]
    pub const fn limit(&self) -> Limit {
        self.limit
    }

    /// Takes what another host heard of the upstream's limit.
    pub fn hear_limit(&mut self, limit: Limit) {
        let before = self.limit.per_s();
        self.limit.take(limit);
        self.is_limit_new |= self.limit.per_s() != before;
    }

    /// Takes a request that wants a permit.
    pub fn ask(&mut self, now: Timestamp, key: K, wanted: &PermitRequest) -> Reply {
        let until = now + wanted.left;
        self.hear_limit(wanted.limit);
        self.passed_over = wanted.passed_over;
        if let Some(cold) = wanted.cold {
            self.cold = Some(cold);
            self.cold_until = self.cold_until.max(now + cold.left);
        }
        let is_elsewhere_better = !wanted.may_wait && self.is_slow_now(now);
        if !self.has_waiting() && self.has_room(now) && !is_elsewhere_better {
            self.hold(now, key, until);
            return Reply::Go;
        }
        let service = self.service.unwrap_or(wanted.usual.as_secs_f64());
        let pace = self.pace(now);
        if !wanted.may_wait {
            return match pace {
                Some(Pace { first, .. }) if !first.is_zero() => Reply::Paced { room_in: first },
                _ => Reply::Full {
                    room_in: Duration::from_secs_f64(service / 2.0),
                },
            };
        }
        let expected = |lanes: &[VecDeque<Waiting<K>>]| {
            let ahead: usize = lanes.iter().map(VecDeque::len).sum();
            let crowd = (self.at_upstream(now) + ahead as f64 + 1.0) / f64::from(self.slots);
            let queue = service * crowd.max(1.0);
            // Where requests may start only now and then, it is not the work that is waited for.
            let starts = pace.map_or(0.0, |pace| pace.start_of(ahead).as_secs_f64() + service);
            queue.max(starts)
        };
        let left = wanted.left.as_secs_f64();
        let in_time = wanted.in_time.as_secs_f64() * self.cfg.in_time_part;
        let in_lane = [0, 1, 2].map(|lane| expected(&self.lanes[..=lane]));
        let lane = match wanted.rank {
            Rank::Urgent if in_lane[URGENT] <= left => URGENT,
            _ if in_lane[IN_TIME] <= in_time => IN_TIME,
            _ if in_lane[LATE] <= left * self.cfg.late_part => LATE,
            _ => {
                let room_in = (in_lane[LATE] - in_time).max(service / 2.0);
                let room_in = Duration::from_secs_f64(room_in);
                return if pace.is_some() {
                    Reply::Paced { room_in }
                } else {
                    Reply::Full { room_in }
                };
            }
        };
        self.lanes[lane].push_back(Waiting { key, until });
        Reply::Queued {
            expected: Duration::from_secs_f64(in_lane[lane]),
        }
    }

    /// Notes that a request needs its permit no more, and what the upstream said of its load.
    pub fn ended(&mut self, now: Timestamp, key: K, end: PermitEnd, report: Option<LoadReport>) {
        self.note_silence(now, end);
        if let Some(report) = report {
            let all = f64::from(report.running) + f64::from(report.waiting);
            self.others = (all - self.held.len() as f64).max(0.0);
            self.reported = now;
            self.slots = report.slots.max(1);
            if let Some(pace) = report.pace {
                self.pace = (pace, now);
            }
        }
        for lane in &mut self.lanes {
            lane.retain(|w| w.key != key);
        }
        let Some(held) = self.held.swap_remove(&key) else {
            return;
        };
        if end == PermitEnd::Answered {
            let alone = now.since(held.since).as_secs_f64() / held.crowd.max(1.0);
            let service = self.service.unwrap_or(alone);
            self.service = Some(service + self.cfg.service_weight * (alone - service));
        }
    }

    /// Tells whether work takes so much longer at the upstream now that another one should get the request.
    fn is_slow_now(&self, now: Timestamp) -> bool {
        let (pace, said) = self.pace;
        pace >= self.cfg.slow_pace && now.since(said) < self.cfg.pace_known
    }

    /// Takes an upstream that says something again after a long silence for cold: it may have started
    /// again, and may not have registered that yet.
    fn note_silence(&mut self, now: Timestamp, end: PermitEnd) {
        match end {
            PermitEnd::Unknown => {}
            PermitEnd::Silent => {
                let silence = self.silence.get_or_insert(Silence {
                    since: now,
                    requests: 0,
                });
                silence.requests += 1;
            }
            PermitEnd::Answered | PermitEnd::Spoke => {
                if let Some(cold) = self.cold.filter(|_| self.is_lost(now)) {
                    self.cold_until = self.cold_until.max(now + cold.span);
                }
                self.silence = None;
            }
        }
    }

    /// Tells whether the upstream has been silent for so long that it may come back cold.
    fn is_lost(&self, now: Timestamp) -> bool {
        self.silence.is_some_and(|s| {
            s.requests >= SILENT_REQUESTS && now.since(s.since) >= self.cfg.lost_after
        })
    }

    /// Returns when requests may start at an upstream that is cold or limits them; none if whenever it has room.
    fn pace(&self, now: Timestamp) -> Option<Pace> {
        let is_cold = now < self.cold_until || self.is_lost(now);
        let cold = self.cold.filter(|_| is_cold).map(|cold| Pace {
            first: self.starts.room_in_second(now, cold.most),
            per_s: f64::from(cold.most.max(1)),
        });
        let limited = self.limit.handed_out(self.passed_over).map(|per_s| Pace {
            first: self.starts.room_at(now, per_s),
            per_s,
        });
        match (cold, limited) {
            (Some(cold), Some(limited)) => Some(cold.slower(limited)),
            (one, other) => one.or(other),
        }
    }

    /// Hands out permits that are free, and refuses those whose time is over.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(K, Reply)> {
        self.held.retain(|_, held| now < held.until);
        let mut replies = Vec::new();
        self.refuse_late(now, &mut replies);
        if std::mem::take(&mut self.is_limit_new) {
            self.tell_again(now, &mut replies);
        }
        while self.has_room(now) {
            let Some(next) = self.lanes.iter_mut().find_map(VecDeque::pop_front) else {
                break;
            };
            self.hold(now, next.key, next.until);
            replies.push((next.key, Reply::Go));
        }
        replies
    }

    /// Refuses those that could not be answered in their time if they went now.
    fn refuse_late(&mut self, now: Timestamp, replies: &mut Vec<(K, Reply)>) {
        let service = Duration::from_secs_f64(self.service.unwrap_or_default());
        let is_over = |w: &Waiting<K>| w.until.since(now) < service;
        for lane in &mut self.lanes {
            let over = lane.iter().filter(|w| is_over(w));
            replies.extend(over.map(|w| (w.key, Reply::Full { room_in: service })));
            lane.retain(|w| !is_over(w));
        }
    }

    /// Tells requests that wait when they may expect their answers now that the limit has changed, and refuses those
    /// that could not be answered in their time.
    fn tell_again(&mut self, now: Timestamp, replies: &mut Vec<(K, Reply)>) {
        let service = Duration::from_secs_f64(self.service.unwrap_or_default());
        let Some(pace) = self.pace(now) else {
            return;
        };
        let mut ahead = 0;
        for lane in &mut self.lanes {
            lane.retain(|w| {
                let expected = pace.start_of(ahead) + service;
                let is_in_time = now + expected <= w.until;
                if is_in_time {
                    ahead += 1;
                    replies.push((w.key, Reply::Queued { expected }));
                } else {
                    let room_in = expected;
                    replies.push((w.key, Reply::Paced { room_in }));
                }
                is_in_time
            });
        }
    }

    fn hold(&mut self, now: Timestamp, key: K, until: Timestamp) {
        let crowd = (self.at_upstream(now) + 1.0) / f64::from(self.slots);
        let held = Held {
            since: now,
            until: until + self.cfg.grace,
            crowd,
        };
        self.held.insert(key, held);
        self.starts.note(now);
    }

    /// Returns how many requests are at the upstream, by what is known.
    fn at_upstream(&self, now: Timestamp) -> f64 {
        let age = now.since(self.reported).as_secs_f64();
        let fade = (-age / self.cfg.report_half_life.as_secs_f64()).exp2();
        self.held.len() as f64 + self.others * fade
    }

    fn has_room(&self, now: Timestamp) -> bool {
        let may_start = self.pace(now).is_none_or(|pace| pace.first.is_zero());
        may_start && self.at_upstream(now) < f64::from(self.slots + self.cfg.beyond)
    }
}
