//! Validation of grants and requests by an upstream, without I/O or clock access.

use std::time::Duration;

use ids::{EntryId, Epoch, HostId, SliceNo, Timestamp};
use wire::grant::{GrantRefusal, GrantRequest, GrantScope};

/// A grant that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
struct AcceptedGrant {
    epoch: Epoch,
    /// Never [`GrantScope::Unchanged`].
    scope: GrantScope,
    /// Sequence number of the message that set the scope.
    scope_seq: u64,
    until: Timestamp,
}

/// The grant that a request's headers refer to.
#[derive(Debug, Clone, Copy)]
pub struct Claim<'a> {
    /// Entry.
    pub entry: &'a EntryId,
    /// Epoch, if the request names one.
    pub epoch: Option<Epoch>,
    /// Slice, if the request names one.
    pub slice: Option<SliceNo>,
}

/// The grants that an upstream has received.
#[derive(Debug, Clone)]
pub struct GrantState {
    boot: u64,
    epoch: Epoch,
    seq: u64,
    coordinator: Option<HostId>,
    held: Option<AcceptedGrant>,
}

impl GrantState {
    /// Creates the state of an upstream that has just started.
    #[must_use]
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            epoch: Epoch::default(),
            seq: 0,
            coordinator: None,
            held: None,
        }
    }

    /// Returns the incarnation of the upstream.
    #[must_use]
    pub const fn boot(&self) -> u64 {
        self.boot
    }

    /// Returns the highest epoch seen.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the highest sequence number seen in that epoch.
    #[must_use]
    pub const fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the end of the latest grant, regardless of its epoch.
    #[must_use]
    pub fn until(&self) -> Timestamp {
        self.held.as_ref().map_or(Timestamp::ZERO, |h| h.until)
    }

    /// Returns the scope of the latest grant, regardless of its epoch.
    #[must_use]
    pub fn scope(&self) -> Option<&GrantScope> {
        self.held.as_ref().map(|h| &h.scope)
    }

    /// Applies a message of a coordinating host.
    ///
    /// # Errors
    ///
    /// Fails, with no effect, if the message is outdated or not applicable to this upstream.
    pub fn apply(&mut self, now: Timestamp, msg: &GrantRequest) -> Result<(), GrantRefusal> {
        self.check_order(msg)?;
        let held = match msg.reading_us {
            Some(reading) => Some(self.accept(now, msg, reading)?),
            None => None,
        };
        self.epoch = msg.epoch;
        self.seq = msg.seq;
        self.coordinator = Some(msg.coordinator.clone());
        if held.is_some() {
            self.held = held;
        }
        Ok(())
    }

    fn check_order(&self, msg: &GrantRequest) -> Result<(), GrantRefusal> {
        if msg.epoch < self.epoch {
            return Err(GrantRefusal::LowerEpoch);
        }
        if msg.epoch > self.epoch {
            return Ok(());
        }
        if self
            .coordinator
            .as_ref()
            .is_some_and(|c| *c != msg.coordinator)
        {
            return Err(GrantRefusal::OtherCoordinator);
        }
        if msg.seq < self.seq {
            return Err(GrantRefusal::Reordered);
        }
        Ok(())
    }

    fn accept(
        &self,
        now: Timestamp,
        msg: &GrantRequest,
        reading: u64,
    ) -> Result<AcceptedGrant, GrantRefusal> {
        // The machine's clock continues across a restart of the upstream, so only the incarnation
        // shows that a grant was sent before the restart.
        if msg.boot != Some(self.boot) {
            return Err(GrantRefusal::OtherBoot);
        }
        let reading = Timestamp::from_micros(reading);
        let until = reading + Duration::from_millis(u64::from(msg.ttl_ms));
        if reading > now || until <= now {
            return Err(GrantRefusal::Expired);
        }
        let (scope, scope_seq) = self.new_scope(msg)?;
        Ok(AcceptedGrant {
            epoch: msg.epoch,
            scope,
            scope_seq,
            until,
        })
    }

    fn new_scope(&self, msg: &GrantRequest) -> Result<(GrantScope, u64), GrantRefusal> {
        let GrantScope::Unchanged(seq) = msg.scope else {
            return Ok((msg.scope.clone(), msg.seq));
        };
        match &self.held {
            Some(h) if h.epoch == msg.epoch && h.scope_seq == seq => Ok((h.scope.clone(), seq)),
            _ => Err(GrantRefusal::OtherScope),
        }
    }

    /// Returns whether a request may start at `now`.
    #[must_use]
    pub fn allows(&self, now: Timestamp, claim: Claim<'_>) -> bool {
        let Some(held) = &self.held else {
            return false;
        };
        held.epoch == self.epoch
            && claim.epoch == Some(self.epoch)
            && now < held.until
            && covers(&held.scope, claim)
    }
}

/// Returns whether `scope` covers the request's slice.
pub(crate) fn covers(scope: &GrantScope, claim: Claim<'_>) -> bool {
    match scope {
        GrantScope::Undivided => true,
        GrantScope::Slices(granted) => {
            granted.entry == *claim.entry
                && claim.slice.is_some_and(|s| granted.slices.contains(&s))
        }
        GrantScope::Unchanged(_) => false,
    }
}
