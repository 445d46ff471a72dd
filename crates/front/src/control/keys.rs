//! Drives the lease managers of sharded entries.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use assign::{
    Action, CallKind, CommitOutcome, GrantCall, GrantCallOutcome, LeaseContext, Partition,
    PartitionId, PartitionRow, StoreClock,
};
use ids::{BootClock, Clock, Timestamp, UpstreamId};
use platform::{Commit, PlatformError, RowKey};
use rand::Rng;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;

use crate::control::beat;
use crate::control::follow::{keys_row, keys_txn};
use crate::control::registry::OrderRoute;
use crate::control::state::{Control, Ctl};
use crate::control::takers::Takers;
use crate::control::turns::{self, Outlook, take_over};
use crate::ports::{GrantCallResponse, Platform};
use crate::view::Phase;

/// Interval of polls at a granting host: a seventh of the renewal interval.
const GRANTER_TICK: Duration = Duration::from_millis(100);
/// Interval of polls at other hosts, which only check whether the granting host is unresponsive.
const TICK: Duration = Duration::from_millis(300);
/// Drives all lease managers.
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
        // Returns at the first of the two.
        let _ = tokio::time::timeout(tick, ctl.wake_keys.notified()).await;
    }
}

fn note_clock(c: &mut Control, clock: Option<StoreClock>, now: Timestamp) {
    let Some(clock) = clock else {
        return;
    };
    for divided in c.divided.values_mut() {
        divided.keeper.record_clock(now, clock);
    }
}

/// Returns the actions that are due; `fraction` is this host's random share of the longest random
/// takeover delay.
fn due(c: &mut Control, now: Timestamp, drawn: f64) -> Vec<(PartitionId, Action)> {
    let is_fresh = c.freshness.is_fresh(now);
    let may_move = c.store_settled(now) && is_fresh;
    let reads_for = c.store_since.map_or(Duration::ZERO, |s| now.since(s));
    // Other hosts can take over as soon as they receive this. While the store is unreachable they
    // can't, and keys are renewed until the end.
    c.has_stopped |= c.phase == Phase::Leaving && is_fresh;
    if c.has_stopped {
        return Vec::new();
    }
    let mut due = Vec::new();
    let outlook = Outlook {
        hosts: &c.hosts,
        me: &c.me.host,
        steady: turns::steady(c.roster_changed, c.hosts_changed),
        reads_for,
        drawn,
    };
    for (id, divided) in &mut c.divided {
        let entry = &id.entry;
        let spec = c.in_force.as_ref().and_then(|f| f.cfg.entries.get(entry));
        let takers = Takers {
            roster: &c.roster,
            entry,
            warmup: spec.and_then(|spec| spec.warmup),
            limits: &c.limits,
        };
        let mut actions = Vec::new();
        if is_fresh && c.phase != Phase::Leaving {
            if divided.keeper.row().is_some() {
                take_over(id, divided, now, &outlook, &mut actions);
            } else if outlook.is_turn_to_found(id, divided.since, now) {
                let ready = takers.ready(Partition::WHOLE, &divided.services, now);
                let part = match id.index {
                    0 => Partition::first_for(ready.len(), c.cfg.keys.upstreams_per_partition),
                    _ => divided.part,
                };
                divided
                    .keeper
                    .take_over(now, true, part, &ready, &mut actions);
            }
        }
        divided.keeper.poll(now, &mut actions);
        if divided.keeper.may_plan(now) {
            let mut standing = LeaseContext {
                ready: &takers.ready(divided.part, &divided.services, now),
                loads: &mut divided.loads,
                may_move,
            };
            divided.keeper.plan(now, &mut standing, &mut actions);
        }
        due.extend(actions.into_iter().map(|action| (id.clone(), action)));
    }
    due
}

fn carry_out(ctl: &Ctl, platform: &impl Platform, part: PartitionId, action: Action) {
    let (ctl, platform) = (ctl.clone(), platform.clone());
    match action {
        Action::Call(call) => {
            tokio::task::spawn_local(make_call(ctl, platform, part, call));
        }
        Action::Commit { row, expected } => {
            ctl.with(|c| {
                info!(c.log, "change owners of keys"; "part" => %part,
                    "granter" => row.granter.host.as_str(), "fence" => row.highest_token.0,
                    "pieces" => row.ranges.len(), "most_pieces" => most_pieces(&row));
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

/// Returns the largest number of ranges that one upstream owns: each range is renewed by itself.
fn most_pieces(row: &PartitionRow) -> usize {
    let mut counts: HashMap<&UpstreamId, usize> = HashMap::new();
    for piece in &row.ranges {
        *counts.entry(&piece.owner).or_default() += 1;
    }
    counts.into_values().max().unwrap_or_default()
}

async fn make_call(ctl: Ctl, platform: impl Platform, part: PartitionId, call: GrantCall) {
    let route = ctl.with(|c| c.route_to(&call.upstream, BootClock.now()));
    let id = call.id;
    let described = call.clone();
    let GrantCallResponse {
        outcome,
        upstream_status,
    } = match route {
        OrderRoute::To(to) => platform.send_grant_call(to, call).await,
        OrderRoute::Replaced => GrantCallOutcome::Gone.into(),
        OrderRoute::Unknown => GrantCallOutcome::NoAnswer { maybe_sent: false }.into(),
    };
    let now = BootClock.now();
    // The upstream's keys move before its status is in the store, and before a request reveals it.
    let is_news = ctl.with(|c| {
        c.hear(
            now,
            described.decided_at,
            &described.upstream,
            &upstream_status,
        )
    });
    ctl.with(|c| {
        let Some(divided) = c.divided.get_mut(&part) else {
            return;
        };
        tell_order(&c.log, &mut divided.failing, &described, &outcome);
        divided.keeper.call_ended(now, id, &outcome);
    });
    // A successful renewal makes nothing else due.
    let is_done = matches!(outcome, GrantCallOutcome::Done { .. });
    let is_awaited = ctl.with(|c| c.divided.get(&part).is_some_and(|d| d.unserved.has_any()));
    if !is_done || is_news || described.kind == CallKind::Release || is_awaited {
        ctl.wake_keys.notify_one();
    }
}

/// Logs the first failed grant call to an upstream, and the first one that succeeds again.
fn tell_order(
    log: &Logger,
    failing: &mut HashMap<UpstreamId, u32>,
    call: &GrantCall,
    end: &GrantCallOutcome,
) {
    let upstream = &call.upstream;
    if matches!(end, GrantCallOutcome::Done { .. }) {
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
            "kind" => ?call.kind, "keys" => %call.range, "fence" => call.token.0, "end" => ?end);
    }
}

fn commit_ended(
    c: &mut Control,
    part: &PartitionId,
    key: &RowKey,
    result: Result<Commit, PlatformError>,
) {
    let now = BootClock.now();
    let end = match result {
        Ok(Commit::Done(revision)) => CommitOutcome::Committed(revision),
        Ok(Commit::Conflict(rows)) => {
            let row = rows.iter().find(|r| r.key == *key);
            let row = row.and_then(|r| Some((r.value.as_ref()?, r.revision)));
            let decoded = row.map(|(value, at)| PartitionRow::decode(value).map(|row| (row, at)));
            CommitOutcome::Conflict(decoded.transpose().unwrap_or_else(|e| {
                warn!(c.log, "row refused"; "row" => %key, "error" => %e);
                None
            }))
        }
        Err(e) => {
            warn!(c.log, "change owners of keys failed"; "part" => %part, "error" => %e);
            if e.had_no_effect() {
                CommitOutcome::NotCommitted
            } else {
                CommitOutcome::Unknown
            }
        }
    };
    let Some(divided) = c.divided.get_mut(part) else {
        return;
    };
    divided.keeper.commit_ended(now, end);
    divided.row_taken(now);
    if let Some(granter) = divided.keeper.row().map(|row| row.granter.clone()) {
        divided.succession.set_granter(now, &granter);
    }
    c.publish();
}
