//! Executions of requests, reconstructed from the upstreams' journals.

use ids::{EntryId, Epoch, SliceNo, UpstreamId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::fault::Fault;
use crate::journal::{JournalEvent, JournalLine, Started};

/// Upstream and time of an execution.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ExecutionRef {
    /// Start, in microseconds since the machine's boot.
    pub start_us: u64,
    /// End, in microseconds since the machine's boot; absent if the upstream was killed before.
    pub end_us: Option<u64>,
    /// Upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub boot: u64,
    /// Number of the execution within that incarnation.
    pub run: u64,
}

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Upstream and time.
    pub place: ExecutionRef,
    /// Id of the request.
    pub id: Option<SmolStr>,
    /// Entry.
    pub entry: EntryId,
    /// Slice of the key.
    pub slice: Option<SliceNo>,
    /// Key.
    pub key: Option<SmolStr>,
    /// Epoch.
    pub epoch: Option<Epoch>,
    /// End of the time for which this execution shows that the upstream owned the key, in
    /// microseconds.
    ///
    /// That is the end of the execution, limited by the planned duration of the work and by the
    /// end of the grant: a frozen upstream does not own the key for longer. For an upstream that
    /// was killed it is the start.
    pub held_until_us: u64,
}

/// Contents of the journals.
#[derive(Debug, Clone, Default)]
pub struct Executions {
    /// Executions, ordered by their starts.
    pub all: Vec<Execution>,
    /// Incarnations of upstreams.
    pub incarnations: Vec<UpstreamIncarnation>,
    /// Periods in which upstreams were draining.
    pub drains: Vec<DrainPeriod>,
    /// Inconsistencies in the journals.
    pub faults: Vec<Fault>,
}

/// An incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamIncarnation {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Random number that identifies the incarnation.
    pub boot: u64,
    /// Entry that it serves.
    pub entry: EntryId,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
}

/// A period in which an upstream was draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainPeriod {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub boot: u64,
    /// Start, in microseconds.
    pub from_us: u64,
    /// End, in microseconds.
    pub until_us: u64,
}

type ExecutionKey = (UpstreamId, u64, u64);

impl Executions {
    /// Reconstructs executions from the journals of any number of upstreams.
    #[must_use]
    pub fn of(lines: &[JournalLine]) -> Self {
        let mut executions = Self::default();
        let mut open = IndexMap::new();
        for line in lines {
            executions.add_line(line, &mut open);
        }
        let killed = open.into_values().map(|(place, started)| {
            let held_until_us = place.start_us;
            Execution::new(place, started, held_until_us)
        });
        executions.all.extend(killed);
        executions.all.sort_by(|a, b| a.place.cmp(&b.place));
        executions
    }

    fn add_line(
        &mut self,
        line: &JournalLine,
        open: &mut IndexMap<ExecutionKey, (ExecutionRef, Started)>,
    ) {
        let execution_key = |run| (line.upstream.clone(), line.boot, run);
        match &line.event {
            JournalEvent::Boot { entry, slots } => self.incarnations.push(UpstreamIncarnation {
                upstream: line.upstream.clone(),
                boot: line.boot,
                entry: entry.clone(),
                slots: *slots,
            }),
            JournalEvent::Start(started) => {
                let place = ExecutionRef {
                    start_us: line.at_us,
                    end_us: None,
                    upstream: line.upstream.clone(),
                    boot: line.boot,
                    run: started.run,
                };
                let before = open.insert(execution_key(started.run), (place, started.clone()));
                if let Some((place, _)) = before {
                    self.faults.push(Fault::BadJournal { place });
                }
            }
            JournalEvent::End {
                run,
                granted_until_us,
                ..
            } => match open.swap_remove(&execution_key(*run)) {
                Some((place, started)) => {
                    self.end(place, started, line.at_us, *granted_until_us);
                }
                None => self.faults.push(Fault::BadJournal {
                    place: ExecutionRef {
                        start_us: line.at_us,
                        end_us: Some(line.at_us),
                        upstream: line.upstream.clone(),
                        boot: line.boot,
                        run: *run,
                    },
                }),
            },
            JournalEvent::Drain => self.drains.push(DrainPeriod {
                upstream: line.upstream.clone(),
                boot: line.boot,
                from_us: line.at_us,
                until_us: u64::MAX,
            }),
            JournalEvent::Undrain => {
                let of_line =
                    |d: &&mut DrainPeriod| d.upstream == line.upstream && d.boot == line.boot;
                for drain in self.drains.iter_mut().filter(of_line) {
                    drain.until_us = drain.until_us.min(line.at_us);
                }
            }
        }
    }

    fn end(&mut self, mut place: ExecutionRef, started: Started, at_us: u64, granted: Option<u64>) {
        if at_us < place.start_us {
            let place = place.clone();
            self.faults.push(Fault::BadJournal { place });
        }
        let at_us = at_us.max(place.start_us);
        place.end_us = Some(at_us);
        let planned = place.start_us.saturating_add(started.planned_us);
        let held_until_us = at_us.min(planned).min(granted.unwrap_or(u64::MAX));
        let held_until_us = held_until_us.max(place.start_us);
        self.all.push(Execution::new(place, started, held_until_us));
    }
}

impl Execution {
    fn new(place: ExecutionRef, started: Started, held_until_us: u64) -> Self {
        Self {
            place,
            id: started.id,
            entry: started.entry,
            slice: started.slice,
            key: started.key,
            epoch: started.epoch,
            held_until_us,
        }
    }
}
