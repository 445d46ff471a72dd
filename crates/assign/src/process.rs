//! Which process at an upstream's address may have been granted keys.
//!
//! Where the incarnations of a server share its name, none of them refuses a call that is meant for
//! another. Registrations don't tell which one listens: a server may have started again and not be
//! able to register. Only connections do:
//!
//! - a connection leads to the process that accepted it, as long as it lasts;
//! - the answer to a call shows that this process was running when the call was sent;
//! - one process at a time listens at an address.
//!
//! So a connection that was opened while a process is known to have been running leads to it too.
//! Keys are granted under one fencing token to one process only; if it is not known to be the same,
//! they need a higher token.

use ids::Timestamp;
use indexmap::IndexMap;

use crate::partition::PartitionId;
use crate::range::FencingToken;

/// When a connection was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// Start of the attempt.
    pub began: Timestamp,
    /// When the connection was open.
    pub ended: Timestamp,
}

/// A time in which one process is known to have listened at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ProcessSpan {
    /// The first connection to it.
    first: Opening,
    /// When it was last known to be running.
    until: Timestamp,
}

impl ProcessSpan {
    /// Returns whether a connection with this `opening` leads to the process.
    fn accepted(self, opening: Opening) -> bool {
        let was_running = self.first.ended < opening.began && opening.ended < self.until;
        opening == self.first || was_running
    }
}

/// The fencing tokens of one partition under which keys were granted at an address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct GrantedTokens {
    /// The highest token under which other processes than the known one may have been granted keys.
    elsewhere: FencingToken,
    /// The highest token under which any process may have been granted keys.
    highest: FencingToken,
}

/// What one host knows of the process at one address, and of the grants that it has sent there.
#[derive(Debug, Clone, Default)]
pub struct GrantedProcesses {
    known: Option<ProcessSpan>,
    tokens: IndexMap<PartitionId, GrantedTokens>,
}

impl GrantedProcesses {
    /// Returns whether a connection with this `opening` leads to the known process.
    #[must_use]
    pub fn leads_to_known(&self, opening: Opening) -> bool {
        self.known.is_some_and(|span| span.accepted(opening))
    }

    /// Returns whether keys of `partition` may be granted under `token` over a connection with this
    /// `opening`.
    ///
    /// If the connection does not lead to the known process, the one that it leads to becomes the
    /// known one.
    #[must_use]
    pub fn may_grant(
        &mut self,
        opening: Opening,
        partition: &PartitionId,
        token: FencingToken,
    ) -> bool {
        if !self.leads_to_known(opening) {
            self.replace_known(opening);
        }
        let tokens = self.tokens.get(partition).copied().unwrap_or_default();
        token > tokens.elsewhere
    }

    fn replace_known(&mut self, first: Opening) {
        self.known = Some(ProcessSpan {
            first,
            until: first.ended,
        });
        for tokens in self.tokens.values_mut() {
            tokens.elsewhere = tokens.highest;
        }
    }

    /// Records that the known process may have been granted keys of `partition` under `token`.
    pub fn granted(&mut self, partition: &PartitionId, token: FencingToken) {
        let tokens = self.tokens.entry(partition.clone()).or_default();
        tokens.highest = tokens.highest.max(token);
    }

    /// Records that a call that was sent at `sent` was answered over a connection with this
    /// `opening`: the process that it leads to was running then.
    pub fn answered(&mut self, opening: Opening, sent: Timestamp) {
        if let Some(known) = self.known.as_mut().filter(|span| span.accepted(opening)) {
            known.until = known.until.max(sent);
        }
    }
}
