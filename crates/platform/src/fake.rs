//! An in-memory platform with configurable faults, for tests of other crates.

use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ids::Revision;
use smol_str::SmolStr;

use crate::{
    Changes, Commit, Hosts, ListedHost, MemoryObjects, MemoryTable, Objects, PlatformError, Table,
    Txn,
};

const PEER: SmolStr = SmolStr::new_static("fake");

/// Faults that a [`FakePlatform`] injects into calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether all calls fail with [`PlatformError::Unreachable`] and have no effect.
    pub down: bool,
    /// How many of the next writes take effect but fail with
    /// [`PlatformError::Unconfirmed`].
    pub lose_confirmations: u32,
    /// How many of the next writes have no effect and fail with
    /// [`PlatformError::Unconfirmed`]; these come before `lose_confirmations`.
    pub lose_requests: u32,
    /// How many of the next transactions fail immediately with
    /// [`PlatformError::Unconfirmed`] and take effect only at [`FakePlatform::deliver_late`];
    /// these come after `lose_requests`.
    pub late_transactions: u32,
    /// Delay of each call before it takes effect, by tokio's clock.
    pub delay: Duration,
}

/// Number of calls that reached a [`FakePlatform`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of rows, objects and hosts.
    pub reads: u64,
    /// Transactions and stores of objects, including those that conflicted.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    table: MemoryTable,
    objects: MemoryObjects,
    hosts: Vec<ListedHost>,
    faults: Faults,
    calls: Calls,
    late: Vec<Txn>,
}

/// An in-memory platform; clones share one state.
#[derive(Debug, Clone, Default)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
}

/// How a write ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    Confirmed,
    ConfirmationLost,
    RequestLost,
}

impl FakePlatform {
    /// Creates an empty platform without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the remaining faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.lock().hosts = hosts;
    }

    /// Returns the numbers of calls and resets them to zero.
    #[must_use]
    pub fn take_calls(&self) -> Calls {
        mem::take(&mut self.lock().calls)
    }

    /// Commits the delayed transactions in their order and returns the result of each.
    #[expect(
        clippy::must_use_candidate,
        reason = "it is also called for its effect alone"
    )]
    pub fn deliver_late(&self) -> Vec<Commit> {
        let mut state = self.lock();
        let late = mem::take(&mut state.late);
        late.iter().map(|txn| state.table.commit(txn)).collect()
    }

    /// Runs `f` on the table, without faults and without counting a call.
    pub fn with_table<R>(&self, f: impl FnOnce(&mut MemoryTable) -> R) -> R {
        f(&mut self.lock().table)
    }

    /// Runs `f` on the objects, without faults and without counting a call.
    pub fn with_objects<R>(&self, f: impl FnOnce(&mut MemoryObjects) -> R) -> R {
        f(&mut self.lock().objects)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn delay(&self) {
        let delay = self.faults().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn read<R>(
        &self,
        step: &'static str,
        f: impl FnOnce(&State) -> R,
    ) -> Result<R, PlatformError> {
        self.delay().await;
        let mut state = self.lock();
        state.check_available(step)?;
        state.calls.reads += 1;
        Ok(f(&state))
    }

    async fn write<R>(
        &self,
        step: &'static str,
        f: impl FnOnce(&mut State) -> Result<R, PlatformError>,
    ) -> Result<R, PlatformError> {
        self.delay().await;
        let mut state = self.lock();
        state.check_available(step)?;
        state.calls.writes += 1;
        match state.next_write_outcome() {
            WriteOutcome::Confirmed => f(&mut state),
            WriteOutcome::ConfirmationLost => {
                f(&mut state)?;
                Err(unconfirmed(step))
            }
            WriteOutcome::RequestLost => Err(unconfirmed(step)),
        }
    }
}

impl State {
    fn check_available(&self, step: &'static str) -> Result<(), PlatformError> {
        if !self.faults.down {
            return Ok(());
        }
        Err(PlatformError::Unreachable {
            step,
            peer: PEER,
            cause: SmolStr::new_static("down"),
        })
    }

    fn take_late_fault(&mut self) -> bool {
        let late = self.faults.late_transactions > 0;
        self.faults.late_transactions -= u32::from(late);
        late
    }

    fn next_write_outcome(&mut self) -> WriteOutcome {
        let faults = &mut self.faults;
        if faults.lose_requests > 0 {
            faults.lose_requests -= 1;
            return WriteOutcome::RequestLost;
        }
        if faults.lose_confirmations > 0 {
            faults.lose_confirmations -= 1;
            return WriteOutcome::ConfirmationLost;
        }
        WriteOutcome::Confirmed
    }
}

fn unconfirmed(step: &'static str) -> PlatformError {
    PlatformError::Unconfirmed {
        step,
        peer: PEER,
        cause: SmolStr::new_static("no answer"),
    }
}

impl Table for FakePlatform {
    async fn changes(&self, prefix: &str, since: Revision) -> Result<Changes, PlatformError> {
        self.read("read changes", |s| s.table.changes(prefix, since))
            .await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, PlatformError> {
        let step = "commit transaction";
        let commit = |s: &mut State| {
            if s.take_late_fault() {
                s.late.push(txn);
                return Err(unconfirmed(step));
            }
            Ok(s.table.commit(&txn))
        };
        self.write(step, commit).await
    }
}

impl Objects for FakePlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let step = "store object";
        let put = |s: &mut State| {
            s.objects
                .put(name, body)
                .map_err(|e| PlatformError::Forbidden {
                    step,
                    peer: PEER,
                    cause: SmolStr::from(e.to_string()),
                })
        };
        self.write(step, put).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        self.read("read object", |s| s.objects.get(name)).await
    }
}

impl Hosts for FakePlatform {
    async fn list(&self) -> Result<Vec<ListedHost>, PlatformError> {
        self.read("list hosts", |s| s.hosts.clone()).await
    }
}
