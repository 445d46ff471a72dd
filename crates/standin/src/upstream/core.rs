//! State of an upstream that its connections share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ids::{BootClock, Clock, EntryId, Epoch, Reason, SliceNo, Timestamp};
use smol_str::SmolStr;
use tokio::sync::watch;
use wire::grant::{GrantRefusal, GrantReply, GrantRequest, GrantScope, HealthReport, SliceRunning};

use super::admin::AdminCommand;
use super::grants::{Claim, GrantState};
use super::load::{Load, LoadHistory};
use super::service_time::ServiceTimeSampler;
use super::settings::{LoadReport, UpstreamSettings};
use crate::journal::{Journal, JournalEvent, JournalLine, Started};
use crate::links::LinkCuts;
use crate::timer::sleep_until;

/// The fields of a request's headers that the upstream evaluates.
#[derive(Debug, Clone)]
pub(crate) struct RequestHead {
    pub(crate) id: Option<SmolStr>,
    pub(crate) entry: EntryId,
    pub(crate) slice: Option<SliceNo>,
    pub(crate) epoch: Option<Epoch>,
    pub(crate) key: Option<SmolStr>,
    pub(crate) deadline: Option<Timestamp>,
}

/// A running execution of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Execution {
    number: u64,
    slice: Option<SliceNo>,
    pub(crate) time: Duration,
}

/// State of an upstream that its connections share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) cfg: UpstreamSettings,
    clock: BootClock,
    started: Timestamp,
    frozen_until: watch::Sender<Option<Instant>>,
    /// Failed links to hosts.
    pub(crate) link_cuts: watch::Sender<LinkCuts>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    grants: GrantState,
    running: BTreeMap<SliceNo, u32>,
    load: LoadHistory,
    load_report: LoadReport,
    draining: bool,
    shedding: bool,
    service_time: ServiceTimeSampler,
    journal: Journal,
    next_run: u64,
}

impl Core {
    pub(crate) fn new(cfg: UpstreamSettings, boot: u64) -> anyhow::Result<Self> {
        let clock = BootClock;
        let state = State {
            grants: GrantState::new(boot),
            running: BTreeMap::new(),
            load: LoadHistory::default(),
            load_report: cfg.load_report,
            draining: false,
            shedding: false,
            service_time: ServiceTimeSampler::new(cfg.seed, cfg.service_time, cfg.cold_start),
            journal: Journal::open(cfg.journal.as_deref())?,
            next_run: 0,
        };
        let core = Self {
            cfg,
            clock,
            started: clock.now(),
            frozen_until: watch::Sender::new(None),
            link_cuts: watch::Sender::default(),
            state: Mutex::new(state),
        };
        let boot = JournalEvent::Boot {
            entry: core.cfg.entry.clone(),
            slots: core.cfg.slots,
        };
        core.append_journal(&mut core.lock(), core.started, boot);
        Ok(core)
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn append_journal(&self, state: &mut State, at: Timestamp, event: JournalEvent) {
        let line = JournalLine {
            at_us: at.as_micros(),
            upstream: self.cfg.name.clone(),
            boot: state.grants.boot(),
            event,
        };
        state.journal.push(line);
    }

    pub(crate) fn journal(&self) -> Vec<JournalLine> {
        self.lock().journal.lines().to_vec()
    }

    /// Waits until the upstream is not frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut rx = self.frozen_until.subscribe();
        loop {
            let until = *rx.borrow_and_update();
            let Some(until) = until.filter(|u| *u > Instant::now()) else {
                return;
            };
            tokio::select! {
                () = sleep_until(until) => {}
                changed = rx.changed() => changed.expect("the sender is owned by the upstream"),
            }
        }
    }

    /// Adds a request to the count of queued ones.
    ///
    /// # Errors
    ///
    /// Fails if the upstream sheds it.
    pub(crate) fn enqueue(&self, has_free_slot: bool) -> Result<(), Reason> {
        let now = self.now();
        let mut state = self.lock();
        let is_full = !has_free_slot && state.load.load().queued >= self.cfg.shed_above;
        if state.shedding || is_full {
            return Err(Reason::UpstreamShed);
        }
        state.change_load(now, |load| load.queued += 1);
        Ok(())
    }

    /// Removes a request from the count of queued ones.
    pub(crate) fn dequeue(&self) {
        let now = self.now();
        self.lock().change_load(now, |load| load.queued -= 1);
    }

    /// Checks a request that has a slot, and records its start in the journal.
    ///
    /// The checks and the journal use one reading of the clock, and the lock is held from the
    /// check until the request is counted at its slice, so that no revocation happens in between.
    ///
    /// # Errors
    ///
    /// Fails if the deadline has passed or no grant allows the request.
    pub(crate) fn start(&self, req: &RequestHead) -> Result<Execution, Reason> {
        let mut state = self.lock();
        let now = self.now();
        if req.deadline.is_some_and(|d| d <= now) {
            return Err(Reason::DeadlineExpired);
        }
        if self.cfg.checks_grants && !state.allows(now, req) {
            return Err(Reason::GrantRefused);
        }
        let number = state.next_run;
        state.next_run += 1;
        let time = state.service_time.sample_at(now.since(self.started));
        let started = Started {
            run: number,
            id: req.id.clone(),
            entry: req.entry.clone(),
            slice: req.slice,
            epoch: req.epoch,
            key: req.key.clone(),
            planned_us: u64::try_from(time.as_micros()).unwrap_or(u64::MAX),
        };
        self.append_journal(&mut state, now, JournalEvent::Start(started));
        if let Some(slice) = req.slice {
            *state.running.entry(slice).or_default() += 1;
        }
        state.change_load(now, |load| load.running += 1);
        Ok(Execution {
            number,
            slice: req.slice,
            time,
        })
    }

    /// Records in the journal that a request ended or was cancelled.
    pub(crate) fn end(&self, run: Execution, cancelled: bool) {
        let mut state = self.lock();
        let now = self.now();
        let until = state.grants.until().as_micros();
        let end = JournalEvent::End {
            run: run.number,
            cancelled,
            granted_until_us: self.cfg.checks_grants.then_some(until),
        };
        self.append_journal(&mut state, now, end);
        if let Some(slice) = run.slice {
            state.uncount_running(slice);
        }
        state.change_load(now, |load| load.running -= 1);
    }

    /// Applies a message of a coordinating host.
    pub(crate) fn grant(&self, msg: &GrantRequest) -> GrantReply {
        let mut state = self.lock();
        let now = self.now();
        let refusal = state.grants.apply(now, msg).err();
        let grants = refusal.is_none() && msg.reading_us.is_some();
        state.reply(now, refusal, !grants)
    }

    /// Returns the current grant.
    pub(crate) fn granted(&self) -> GrantReply {
        let state = self.lock();
        state.reply(self.now(), None, true)
    }

    /// Returns the report of the health endpoint.
    pub(crate) fn health(&self) -> HealthReport {
        let state = self.lock();
        let full = Load {
            running: self.cfg.slots,
            queued: self.cfg.shed_above,
        };
        let load = state.load.reported(self.now(), state.load_report, full);
        HealthReport {
            slots: self.cfg.slots,
            running: load.running,
            queued: load.queued,
            draining: state.draining,
            boot: state.grants.boot(),
        }
    }

    /// Executes an admin command.
    pub(crate) fn execute(&self, command: &AdminCommand) {
        let mut state = self.lock();
        let now = self.now();
        match command {
            AdminCommand::Drain => {
                state.draining = true;
                self.append_journal(&mut state, now, JournalEvent::Drain);
            }
            AdminCommand::Undrain => {
                state.draining = false;
                self.append_journal(&mut state, now, JournalEvent::Undrain);
            }
            AdminCommand::FreezeMs(ms) => {
                let until = Instant::now() + Duration::from_millis(*ms);
                self.frozen_until.send_replace(Some(until));
            }
            AdminCommand::LoadReport(kind) => state.load_report = *kind,
            AdminCommand::ServiceTime(kind) => state.service_time.set_kind(*kind),
            AdminCommand::Shed(on) => state.shedding = *on,
            AdminCommand::CutLinks { hosts, how } => self.link_cuts.send_modify(|cuts| {
                cuts.extend(hosts.iter().map(|host| (*host, *how)));
            }),
            AdminCommand::RestoreLinks => self.link_cuts.send_modify(LinkCuts::clear),
        }
    }
}

impl State {
    fn allows(&self, now: Timestamp, req: &RequestHead) -> bool {
        let claim = Claim {
            entry: &req.entry,
            epoch: req.epoch,
            slice: req.slice,
        };
        self.grants.allows(now, claim)
    }

    fn change_load(&mut self, now: Timestamp, change: impl FnOnce(&mut Load)) {
        let lag = match self.load_report {
            LoadReport::Lagging { ms } => Duration::from_millis(ms),
            _ => Duration::ZERO,
        };
        self.load.change(now, lag, change);
    }

    fn uncount_running(&mut self, slice: SliceNo) {
        let Some(count) = self.running.get_mut(&slice) else {
            debug_assert!(false, "running requests are counted at their slices");
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.running.remove(&slice);
        }
    }

    fn reply(
        &self,
        now: Timestamp,
        refusal: Option<GrantRefusal>,
        includes_scope: bool,
    ) -> GrantReply {
        GrantReply {
            accepted: refusal.is_none(),
            refusal,
            boot: self.grants.boot(),
            epoch: self.grants.epoch(),
            seq: self.grants.seq(),
            reading_us: now.as_micros(),
            until_us: self.grants.until().as_micros(),
            scope: includes_scope
                .then(|| self.grants.scope().cloned())
                .flatten(),
            running: self.running_without_grant(),
        }
    }

    fn running_without_grant(&self) -> Vec<SliceRunning> {
        let granted: &[SliceNo] = match self.grants.scope() {
            Some(GrantScope::Slices(granted)) => &granted.slices,
            _ => &[],
        };
        self.running
            .iter()
            .filter(|(slice, _)| !granted.contains(slice))
            .map(|(slice, running)| SliceRunning {
                slice: *slice,
                running: *running,
            })
            .collect()
    }
}
