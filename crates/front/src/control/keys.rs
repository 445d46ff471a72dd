//! Drives the keepers of entries that are divided by key.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use assign::{
    Action, CallEnd, CallKind, CommitEnd, Earlier, EntryRow, OrderCall, Part, PartId, Run,
    Standing, StoreClock, SuccessionSettings, UpstreamView,
};
use direct::{Limit, Registered, Roster, Warmup};
use ids::{BootClock, Clock, EntryId, HostId, KeyHash, Revision, Timestamp, UpstreamId};
use indexmap::IndexMap;
use platform::{Commit, PlatformError, RowKey};
use rand::Rng;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;

use crate::control::beat;
use crate::control::follow::{keys_row, keys_txn};
use crate::control::registry::OrderRoute;
use crate::control::state::{Control, Ctl, Divided, KnownHost};
use crate::ports::{Ordered, Platform};
use crate::view::Phase;

/// Time between looks at what is due, at the host that grants: a seventh of a renewal.
const GRANTER_TICK: Duration = Duration::from_millis(100);
/// The same at other hosts, which only look whether the granting one is still there.
const TICK: Duration = Duration::from_millis(300);
/// Time without news of upstreams after which an entry's keys are first handed out: more than the
/// time between two heartbeats of an upstream, so that all that start together are there.
const ROSTER_STEADY: Duration = Duration::from_millis(1_300);
/// Time without news of hosts after which they are all known that started together: they write their rows within
/// a second and a half, and are read every half second.
const HOSTS_STEADY: Duration = Duration::from_millis(800);
/// Further time for each host that comes before this one in handing out an entry's keys for the first time: a
/// look of that one, and a read that brings the news of it.
const FIRST_EACH: Duration = Duration::from_millis(850);
/// Hosts that do so one after the other; the others come with the last of them.
const FIRST_TURNS: u32 = 4;
/// Service time of an upstream of which nothing was observed, in seconds.
const USUAL_SERVICE: f64 = 0.1;

/// Most pieces of an upstream that limits its requests: it gets their renewals as well, four in three seconds for each.
const LIMITED_PIECES: usize = 2;

/// Drives all keepers.
pub async fn drive(ctl: Ctl, platform: impl Platform, socket: Rc<UdpSocket>) {
    let drawn = rand::rng().random_range(0.0..1.0);
    loop {
        let now = BootClock.now();
        let clock = platform.store_clock();
        let due = ctl.with(|c| {
            note_clock(c, clock, now);
            due(c, now, drawn)
        });
        let grants = ctl.with(|c| c.grants());
        for (part, action) in due {
            carry_out(&ctl, &platform, part, action);
        }
        beat::tell_moving(&ctl, &socket, BootClock.now()).await;
        let tick = if grants { GRANTER_TICK } else { TICK };
        // Whichever comes first.
        let _ = tokio::time::timeout(tick, ctl.wake_keys.notified()).await;
    }
}

fn note_clock(c: &mut Control, clock: Option<StoreClock>, now: Timestamp) {
    let Some(clock) = clock else {
        return;
    };
    for divided in c.divided.values_mut() {
        divided.keeper.clock_read(now, clock);
    }
}

/// Returns what is due; `drawn` is what this host drew of the patience before a take-over.
fn due(c: &mut Control, now: Timestamp, drawn: f64) -> Vec<(PartId, Action)> {
    let is_fresh = c.freshness.is_fresh(now);
    let may_move = c.store_settled(now) && is_fresh;
    let reads_for = c.store_since.map_or(Duration::ZERO, |s| now.since(s));
    // Others can take over as soon as they hear of it. While the store is away they can't, and keys
    // are renewed until the end.
    c.has_stopped |= c.phase == Phase::Leaving && is_fresh;
    if c.has_stopped {
        return Vec::new();
    }
    let mut due = Vec::new();
    // Who hands out keys first follows from the upstreams and hosts that are known.
    let steady = (c.roster_changed + ROSTER_STEADY).max(c.hosts_changed + HOSTS_STEADY);
    for (id, divided) in &mut c.divided {
        let entry = &id.entry;
        let spec = c.in_force.as_ref().and_then(|f| f.cfg.entries.get(entry));
        let bounds = RequestBounds {
            warmup: spec.and_then(|spec| spec.warmup),
            limits: &c.limits,
        };
        let mut actions = Vec::new();
        if is_fresh && c.phase != Phase::Leaving {
            let outlook = Outlook {
                hosts: &c.hosts,
                me: &c.me.host,
                steady,
                reads_for,
                drawn,
            };
            match divided.keeper.row() {
                Some(_) => take_over(id, divided, now, &outlook, &mut actions),
                None if outlook.is_turn_to_found(id, divided.since, now) => {
                    let each = c.cfg.keys.upstreams_each;
                    found(id, divided, &c.roster, &bounds, each, now, &mut actions);
                }
                None => {}
            }
        }
        divided.keeper.poll(now, &mut actions);
        if divided.keeper.may_plan(now) {
            let mut standing = Standing {
                ready: &ready(
                    &c.roster,
                    entry,
                    divided.part,
                    &divided.services,
                    &bounds,
                    now,
                ),
                loads: &mut divided.loads,
                may_move,
            };
            divided.keeper.plan(now, &mut standing, &mut actions);
        }
        due.extend(actions.into_iter().map(|action| (id.clone(), action)));
    }
    due
}

/// Returns how many hosts come before `me` in taking the granting of a part of an entry's keys over from `granter`:
/// the stronger ones first, and among equals another one for each entry.
///
/// Each part begins with another host of that order, so that the strong ones grant about as many parts each.
fn succession_rank(
    hosts: &IndexMap<HostId, KnownHost>,
    part: &PartId,
    me: &HostId,
    granter: Option<&HostId>,
) -> usize {
    let entry = &part.entry;
    let order = |host: &KnownHost| {
        let name = &host.row.run.host;
        let hash = KeyHash::of(format!("{entry} {name}").as_bytes());
        (host.row.capacity, hash)
    };
    let place = |host: &KnownHost| {
        let own = order(host);
        let before = hosts.values().filter(|other| order(other) > own).count();
        (before + hosts.len() - usize::from(part.index) % hosts.len()) % hosts.len()
    };
    let Some(own) = hosts.get(me).map(place) else {
        return hosts.len();
    };
    let granter = granter.filter(|&id| id != me).and_then(|id| hosts.get(id));
    let is_after_granter = granter.is_some_and(|host| place(host) < own);
    own - usize::from(is_after_granter)
}

/// What is known of an entry's upstreams that get fewer requests than they could work on.
struct RequestBounds<'a> {
    warmup: Option<Warmup>,
    limits: &'a HashMap<UpstreamId, Limit>,
}

impl RequestBounds<'_> {
    /// Returns how many requests a second `upstream` says it takes; none if it names no limit.
    fn limit(&self, upstream: &Registered) -> Option<f64> {
        let limit = self.limits.get(&upstream.id)?;
        limit.handed_out(0)
    }

    /// Returns how many requests a second `upstream` gets at most; none if as many as it can work on.
    fn most_per_s(&self, upstream: &Registered, now: Timestamp) -> Option<f64> {
        let cold = self.warmup.filter(|_| now < upstream.cold_until);
        let cold = cold.map(|warmup| warmup.per_s);
        let bounds = cold.into_iter().chain(self.limit(upstream));
        bounds.min_by(f64::total_cmp)
    }
}

/// Returns the upstreams that take requests and may own keys of a part of an entry, with their times for one request.
///
/// One that is cold or limits its requests counts as so slow that what it gets keeps it busy: it gets few keys, and
/// quiet ones.
fn ready(
    roster: &Roster,
    entry: &EntryId,
    part: Part,
    services: &HashMap<UpstreamId, f64>,
    bounds: &RequestBounds<'_>,
    now: Timestamp,
) -> Vec<UpstreamView> {
    let known: f64 = services.values().sum();
    let usual = if services.is_empty() {
        USUAL_SERVICE
    } else {
        known / services.len() as f64
    };
    let service = |u: &Registered| {
        let service = services.get(&u.id).copied().unwrap_or(usual);
        match bounds.most_per_s(u, now) {
            Some(per_s) => service.max(f64::from(u.slots) / per_s),
            None => service,
        }
    };
    let view = |u: &Registered| UpstreamView {
        id: u.id.clone(),
        slots: u.slots,
        service: service(u),
        most_pieces: bounds.limit(u).map(|_| LIMITED_PIECES),
    };
    let mut ready = roster.ready(entry);
    part.retain(&mut ready, |u| &u.id);
    ready.into_iter().map(view).collect()
}

/// What a host knows that may take the granting over.
struct Outlook<'a> {
    hosts: &'a IndexMap<HostId, KnownHost>,
    me: &'a HostId,
    /// When all upstreams and hosts that started together are known.
    steady: Timestamp,
    /// For how long it has read the store.
    reads_for: Duration,
    /// What it drew of the patience before a take-over.
    drawn: f64,
}

impl Outlook<'_> {
    /// Tells whether it is this host's turn to hand out the keys of `part`, which nobody has, for the first time.
    ///
    /// Whoever handed out those of the first part had waited for all to be known.
    fn is_turn_to_found(&self, part: &PartId, since: Timestamp, now: Timestamp) -> bool {
        let begin = if part.index == 0 { self.steady } else { since };
        if now <= begin {
            return false;
        }
        let rank = succession_rank(self.hosts, part, self.me, None);
        let turns = u32::try_from(rank).unwrap_or(u32::MAX).min(FIRST_TURNS);
        now > begin + FIRST_EACH * turns
    }

    /// Returns how long this host lets others try first to take the granting of `part` over from `granter`.
    fn patience(&self, part: &PartId, granter: &HostId) -> Duration {
        let rank = succession_rank(self.hosts, part, self.me, Some(granter));
        SuccessionSettings::default().patience(rank, self.drawn)
    }
}

/// Hands out the keys of a part for the first time.
fn found(
    id: &PartId,
    divided: &mut Divided,
    roster: &Roster,
    bounds: &RequestBounds<'_>,
    upstreams_each: usize,
    now: Timestamp,
    actions: &mut Vec<Action>,
) {
    let ready = ready(
        roster,
        &id.entry,
        Part::WHOLE,
        &divided.services,
        bounds,
        now,
    );
    let part = match id.index {
        0 => Part::first_of(ready.len(), upstreams_each),
        _ => divided.part,
    };
    divided.keeper.take_over(now, true, part, &ready, actions);
}

/// Takes the granting over if there is a reason.
fn take_over(
    id: &PartId,
    divided: &mut Divided,
    now: Timestamp,
    outlook: &Outlook<'_>,
    actions: &mut Vec<Action>,
) {
    let keeper = &mut divided.keeper;
    let Some(granter) = keeper.row().map(|row| row.granter.clone()) else {
        return;
    };
    // The run that a host announced after a revision.
    let announced = |run: &Run, after: Revision| {
        let host = outlook.hosts.get(&run.host).filter(|h| h.at > after);
        host.map(|h| h.row.run.incarnation)
    };
    if keeper.is_granter() {
        let is_over = |e: &&Earlier| {
            let announced = announced(&e.run, e.last);
            announced.is_some_and(|i| i != e.run.incarnation)
        };
        let over = keeper.earlier().iter().filter(is_over);
        let over: Vec<Run> = over.map(|e| e.run.clone()).collect();
        for run in over {
            keeper.is_over(now, &run);
        }
        return;
    }
    let newest = keeper
        .revision()
        .and_then(|named| announced(&granter, named));
    let reads_for = outlook.reads_for;
    let mut decide = |patience| divided.succession.decide(now, newest, reads_for, patience);
    // Whose turn it is takes a look at all hosts, and there is hardly ever a reason to know it.
    if decide(Duration::ZERO).is_none() {
        return;
    }
    let patience = outlook.patience(id, &granter.host);
    if let Some(reason) = decide(patience) {
        // Owners are those of the row.
        keeper.take_over(now, reason.is_over, divided.part, &[], actions);
    }
}

fn carry_out(ctl: &Ctl, platform: &impl Platform, part: PartId, action: Action) {
    let (ctl, platform) = (ctl.clone(), platform.clone());
    match action {
        Action::Call(call) => {
            tokio::task::spawn_local(make_call(ctl, platform, part, call));
        }
        Action::Commit { row, expected } => {
            ctl.with(|c| {
                info!(c.log, "change owners of keys"; "part" => %part,
                    "granter" => row.granter.host.as_str(), "fence" => row.fence.0,
                    "pieces" => row.pieces.len(), "most_pieces" => most_pieces(&row));
            });
            tokio::task::spawn_local(async move {
                let key = keys_row(&part);
                let end = platform.commit(keys_txn(&part, &row, expected)).await;
                ctl.with(|c| commit_ended(c, &part, &key, end));
                ctl.wake_keys.notify_one();
            });
        }
    }
}

/// Returns how many pieces the upstream has that has most: each is renewed by itself.
fn most_pieces(row: &EntryRow) -> usize {
    let mut counts: HashMap<&UpstreamId, usize> = HashMap::new();
    for piece in &row.pieces {
        *counts.entry(&piece.owner).or_default() += 1;
    }
    counts.into_values().max().unwrap_or_default()
}

async fn make_call(ctl: Ctl, platform: impl Platform, part: PartId, call: OrderCall) {
    let route = ctl.with(|c| c.route_to(&call.upstream, BootClock.now()));
    let id = call.id;
    let described = call.clone();
    let Ordered { end, said } = match route {
        OrderRoute::To(to) => platform.order(to, call).await,
        OrderRoute::Replaced => CallEnd::Gone.into(),
        OrderRoute::Unknown => CallEnd::NoAnswer { maybe_sent: false }.into(),
    };
    let now = BootClock.now();
    // Its keys move before the store has taken its word, and before callers meet it.
    let is_news = ctl.with(|c| c.hear(now, described.decided, &described.upstream, &said));
    ctl.with(|c| {
        let Some(divided) = c.divided.get_mut(&part) else {
            return;
        };
        tell_order(&c.log, &mut divided.failing, &described, &end);
        divided.keeper.call_ended(now, id, &end);
    });
    // A renewal that went well is no reason to do anything else.
    let is_done = matches!(end, CallEnd::Done { .. });
    let is_awaited = ctl.with(|c| c.divided.get(&part).is_some_and(|d| d.unserved.has_any()));
    if !is_done || is_news || described.kind == CallKind::Release || is_awaited {
        ctl.wake_keys.notify_one();
    }
}

/// Logs the first of an upstream's orders that fails, and the first one that goes well again.
fn tell_order(
    log: &Logger,
    failing: &mut HashMap<UpstreamId, u32>,
    call: &OrderCall,
    end: &CallEnd,
) {
    let upstream = &call.upstream;
    if matches!(end, CallEnd::Done { .. }) {
        if let Some(failed) = failing.remove(upstream) {
            info!(log, "orders to upstream go well again"; "upstream" => upstream.as_str(),
                "failed" => failed);
        }
        return;
    }
    let failed = failing.entry(upstream.clone()).or_default();
    *failed += 1;
    if *failed == 1 {
        info!(log, "order to upstream failed"; "upstream" => upstream.as_str(),
            "kind" => ?call.kind, "keys" => %call.range, "fence" => call.fence.0, "end" => ?end);
    }
}

fn commit_ended(
    c: &mut Control,
    part: &PartId,
    key: &RowKey,
    result: Result<Commit, PlatformError>,
) {
    let now = BootClock.now();
    let end = match result {
        Ok(Commit::Done(revision)) => CommitEnd::Done(revision),
        Ok(Commit::Conflict(rows)) => {
            let row = rows.iter().find(|r| r.key == *key);
            let row = row.and_then(|r| Some((r.value.as_ref()?, r.revision)));
            let decoded = row.map(|(value, at)| EntryRow::decode(value).map(|row| (row, at)));
            CommitEnd::Conflict(decoded.transpose().unwrap_or_else(|e| {
                warn!(c.log, "row refused"; "row" => %key, "error" => %e);
                None
            }))
        }
        Err(e) => {
            warn!(c.log, "change owners of keys failed"; "part" => %part, "error" => %e);
            if e.had_no_effect() {
                CommitEnd::NotDone
            } else {
                CommitEnd::Unknown
            }
        }
    };
    let Some(divided) = c.divided.get_mut(part) else {
        return;
    };
    divided.keeper.commit_ended(now, end);
    divided.row_taken(now);
    if let Some(granter) = divided.keeper.row().map(|row| row.granter.clone()) {
        divided.succession.granter(now, &granter);
    }
    c.publish();
}
