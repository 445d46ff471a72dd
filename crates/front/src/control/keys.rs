//! Drives the lease managers of sharded entries.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use assign::{
    Action, CallKind, CommitOutcome, GrantCall, GrantCallOutcome, LeaseContext, Partition,
    PartitionId, PartitionRow, StoreClock,
};
use gate::counters::Count;
use ids::{BootClock, Clock, Revision, Timestamp, UpstreamId};
use platform::{Commit, PlatformError};
use rand::Rng;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;

use crate::control::eligible_owners::EligibleOwners;
use crate::control::follow::partition_row_txn;
use crate::control::heartbeat;
use crate::control::registry::GrantRoute;
use crate::control::shared::SharedControl;
use crate::control::state::ControlState;
use crate::control::tables::PartitionKey;
use crate::control::takeover::{self, TakeoverContext, take_over};
use crate::ports::{GrantCallResponse, Platform};
use crate::view::Phase;

/// Interval of polls at a granting host: a seventh of the renewal interval.
const GRANTER_TICK: Duration = Duration::from_millis(100);
/// Interval of polls at other hosts, which only check whether the granting host is unresponsive.
const TICK: Duration = Duration::from_millis(300);
/// Drives all lease managers.
pub async fn drive(ctl: SharedControl, platform: impl Platform, socket: Rc<UdpSocket>) {
    let fraction = rand::rng().random_range(0.0..1.0);
    loop {
        let now = BootClock.now();
        let clock = platform.store_clock();
        let due = ctl.with(|c| {
            record_clock(c, clock, now);
            due(c, now, fraction)
        });
        let grants = ctl.with(|c| c.grants());
        for (partition, action) in due {
            start(&ctl, &platform, partition, action);
        }
        heartbeat::announce_moving_ranges(&ctl, &socket, BootClock.now()).await;
        let tick = if grants { GRANTER_TICK } else { TICK };
        // Returns at the first of the two.
        let _ = tokio::time::timeout(tick, ctl.wake_lease_managers.notified()).await;
    }
}

fn record_clock(c: &mut ControlState, clock: Option<StoreClock>, now: Timestamp) {
    let Some(clock) = clock else {
        return;
    };
    c.observe_era(now, clock.era);
    for state in c.partitions.values_mut() {
        state.lease_manager.record_clock(now, clock);
    }
}

/// Returns the actions that are due; `fraction` is this host's random share of the longest random
/// takeover delay.
fn due(c: &mut ControlState, now: Timestamp, fraction: f64) -> Vec<(PartitionId, Action)> {
    let is_fresh = c.freshness.is_fresh(now);
    let may_move = c.store_settled() && is_fresh;
    let reads_for = c
        .store_available_since
        .map_or(Duration::ZERO, |s| now.since(s));
    // Other hosts can take over as soon as they receive this. While the store is unreachable they
    // can't, and keys are renewed until the end.
    c.has_stopped |= c.phase == Phase::Leaving && is_fresh;
    if c.has_stopped {
        return Vec::new();
    }
    let mut due = Vec::new();
    let may_take_over = c.may_take_over(now);
    let lost_links = c.lost_links.load_full();
    let takeover_ctx = TakeoverContext {
        lost_links: &lost_links,
        hosts: &c.hosts,
        this_host: &c.this_host.host,
        settled_at: takeover::settled_at(c.registry_changed_at, c.hosts_changed_at),
        reads_for,
        fraction,
        may_take_over,
    };
    for (id, state) in &mut c.partitions {
        let entry = &id.entry;
        let spec = c
            .configuration
            .as_ref()
            .and_then(|f| f.cfg.entries.get(entry));
        let eligible = EligibleOwners {
            registry: &c.registry,
            entry,
            warmup: spec.and_then(|spec| spec.warmup),
            limits: &c.limits,
        };
        let mut actions = Vec::new();
        if is_fresh && c.phase != Phase::Leaving {
            if state.lease_manager.row().is_some() {
                take_over(id, state, now, &takeover_ctx, &mut actions);
            } else if takeover_ctx.may_assign_first(id, state.known_since, now) {
                let ready = eligible.ready(Partition::WHOLE, &state.service_times, now);
                let partition = match id.index {
                    0 => Partition::first_for(ready.len(), c.cfg.keys.upstreams_per_partition),
                    _ => state.partition,
                };
                state
                    .lease_manager
                    .take_over(now, true, partition, &ready, &mut actions);
            }
        }
        state.lease_manager.poll(now, &mut actions);
        if state.lease_manager.may_plan(now) {
            let mut ctx = LeaseContext {
                ready: &eligible.ready(state.partition, &state.service_times, now),
                loads: &mut state.loads,
                may_move,
            };
            state.lease_manager.plan(now, &mut ctx, &mut actions);
        }
        due.extend(actions.into_iter().map(|action| (id.clone(), action)));
    }
    due
}

fn start(ctl: &SharedControl, platform: &impl Platform, partition: PartitionId, action: Action) {
    let (ctl, platform) = (ctl.clone(), platform.clone());
    match action {
        Action::Call(call) => {
            tokio::task::spawn_local(make_call(ctl, platform, partition, call));
        }
        Action::Commit { row, expected, era } => {
            let known = ctl.with(|c| {
                info!(c.log, "change owners of keys"; "part" => %partition,
                    "granter" => row.granter.host.as_str(), "fence" => row.highest_token.0,
                    "pieces" => row.ranges.len(), "most_pieces" => max_ranges_per_owner(&row),
                    "era" => era.0, "recovery" => ?row.recovery);
                let known = c.partitions.get(&partition);
                known.and_then(|d| d.lease_manager.revision())
            });
            let past = known.map(Revision::era).filter(|known| *known < era);
            tokio::task::spawn_local(async move {
                let key = PartitionKey { partition, era };
                let txn = partition_row_txn(&key, &row, expected, past);
                let outcome = platform.commit(txn, era).await;
                ctl.with(|c| commit_ended(c, &key, outcome));
                ctl.wake_lease_managers.notify_one();
            });
        }
    }
}

/// Returns the largest number of ranges that one upstream owns: each range is renewed by itself.
fn max_ranges_per_owner(row: &PartitionRow) -> usize {
    let mut counts: HashMap<&UpstreamId, usize> = HashMap::new();
    for range in &row.ranges {
        *counts.entry(&range.owner).or_default() += 1;
    }
    counts.into_values().max().unwrap_or_default()
}

async fn make_call(
    ctl: SharedControl,
    platform: impl Platform,
    partition: PartitionId,
    call: GrantCall,
) {
    let route = ctl.with(|c| c.route_to(&partition, &call));
    let id = call.id;
    let sent_call = call.clone();
    let GrantCallResponse {
        outcome,
        upstream_status,
    } = match route {
        GrantRoute::To(to) => {
            let path = ctl.with(|c| c.path_to(&call.upstream));
            platform.send_grant_call(to, call, path).await
        }
        GrantRoute::Replaced => GrantCallOutcome::NotSent.into(),
        GrantRoute::NeedsHigherToken => GrantCallOutcome::NeedsHigherToken.into(),
        GrantRoute::Unknown => GrantCallOutcome::NoAnswer { maybe_sent: false }.into(),
    };
    let now = BootClock.now();
    // The upstream's keys move before its status is in the store, and before a request reveals it.
    let must_move = ctl.with(|c| {
        c.apply_status(
            now,
            sent_call.decided_at,
            &sent_call.upstream,
            &upstream_status,
        )
    });
    ctl.with(|c| {
        let Some(state) = c.partitions.get_mut(&partition) else {
            return;
        };
        log_call_end(&c.log, &mut state.failing_calls, &sent_call, &outcome);
        if outcome == GrantCallOutcome::NeedsHigherToken {
            c.metrics.count(Count::GrantsWithheld);
        }
        if matches!(outcome, GrantCallOutcome::NoAnswer { .. }) {
            // A request that finds no room is made again with the next failed call.
            let _ = c.link_checks.try_send(sent_call.upstream.clone());
        }
        state.lease_manager.call_ended(now, id, &outcome);
    });
    // A successful renewal makes nothing else due.
    let is_done = matches!(outcome, GrantCallOutcome::Done { .. });
    let has_unserved_keys = ctl.with(|c| {
        c.partitions
            .get(&partition)
            .is_some_and(|d| d.unserved.has_any())
    });
    if !is_done || must_move || sent_call.kind == CallKind::Release || has_unserved_keys {
        ctl.wake_lease_managers.notify_one();
    }
}

/// Logs the first failed grant call to an upstream, and the first one that succeeds again.
fn log_call_end(
    log: &Logger,
    failing_calls: &mut HashMap<UpstreamId, u32>,
    call: &GrantCall,
    outcome: &GrantCallOutcome,
) {
    let upstream = &call.upstream;
    if matches!(outcome, GrantCallOutcome::Done { .. }) {
        if let Some(failed) = failing_calls.remove(upstream) {
            info!(log, "grant calls to upstream succeed again"; "upstream" => upstream.as_str(),
                "failed" => failed);
        }
        return;
    }
    let failed = failing_calls.entry(upstream.clone()).or_default();
    *failed += 1;
    if *failed == 1 {
        info!(log, "order to upstream failed"; "upstream" => upstream.as_str(),
            "kind" => ?call.kind, "keys" => %call.range, "fence" => call.token.0,
            "end" => ?outcome);
    }
}

fn commit_ended(c: &mut ControlState, key: &PartitionKey, result: Result<Commit, PlatformError>) {
    let now = BootClock.now();
    let (partition, row_key) = (&key.partition, key.row_key());
    let outcome = match result {
        Ok(Commit::Done(revision)) => CommitOutcome::Committed(revision),
        Ok(Commit::Conflict(rows)) => {
            let row = rows.iter().find(|r| r.key == row_key);
            let row = row.and_then(|r| Some((r.value.as_ref()?, r.revision)));
            let decoded = row.map(|(value, at)| PartitionRow::decode(value).map(|row| (row, at)));
            CommitOutcome::Conflict(decoded.transpose().unwrap_or_else(|e| {
                warn!(c.log, "row refused"; "row" => %row_key, "error" => %e);
                None
            }))
        }
        Err(e) => {
            warn!(c.log, "change owners of keys failed"; "part" => %partition, "error" => %e);
            if e.had_no_effect() {
                CommitOutcome::NotCommitted
            } else {
                CommitOutcome::Unknown
            }
        }
    };
    let Some(state) = c.partitions.get_mut(partition) else {
        return;
    };
    state.lease_manager.commit_ended(now, outcome);
    state.row_changed(now);
    if let Some(granter) = state.lease_manager.row().map(|row| row.granter.clone()) {
        state.takeover_monitor.set_granter(now, &granter);
    }
    c.publish();
}
