//! Which requests a connection has carried, and which answers on it belong to the latest of them.
//!
//! An upstream may answer a request twice, and the second answer may arrive late, where that to a later
//! request is expected. It bears the id of its own request, which identifies it unless that request
//! is in flight on the connection once more. Therefore:
//!
//! > An answer on a connection is taken for that to a sending of a request only if it bears the request's
//! > id and the connection has carried that request no other time.
//!
//! A request that is sent again thus goes over another connection, whatever the first answer said and
//! however long ago it arrived. An answer without an id is taken only on a connection that has carried
//! nothing else.

use std::hash::{BuildHasher, RandomState};
use std::sync::LazyLock;

use http::{HeaderMap, HeaderName};
use ids::Timestamp;

/// Maximum number of requests that are remembered for one connection. One that carries more of them
/// before their deadlines is closed.
const MAX_CARRIED: usize = 1_024;

/// One sending of a request on a connection.
#[derive(Debug, Clone, Copy)]
pub struct Sending<'a> {
    /// Identifier of the request; empty if it has none.
    pub id: &'a str,
    /// Header that bears the identifier in the answer.
    pub id_header: &'a HeaderName,
    /// When it is sent.
    pub now: Timestamp,
    /// The request's deadline, after which it is sent nowhere.
    pub deadline: Timestamp,
    /// Which answers without an identifier are taken.
    pub unidentified: Unidentified,
}

/// Which answers without an identifier are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unidentified {
    /// None.
    Refused,
    /// That to the only request that the connection has carried.
    OnlyRequest,
    /// Any: the upstream repeats no identifiers, or the sender has its own means to recognize a late
    /// answer.
    Any,
}

impl<'a> Sending<'a> {
    /// Returns the sending of a call at `now` that is not sent again under its id.
    #[must_use]
    pub const fn once(
        id: &'a str,
        id_header: &'a HeaderName,
        now: Timestamp,
        unidentified: Unidentified,
    ) -> Self {
        Self {
            id,
            id_header,
            now,
            deadline: now,
            unidentified,
        }
    }

    /// Returns whether an answer with these headers is that to this sending. `is_first` means that the
    /// connection has carried no other request.
    pub(super) fn is_answered_by(&self, headers: &HeaderMap, is_first: bool) -> bool {
        match headers.get(self.id_header) {
            Some(echo) => !self.id.is_empty() && echo.as_bytes() == self.id.as_bytes(),
            None => match self.unidentified {
                Unidentified::Refused => false,
                Unidentified::OnlyRequest => is_first,
                Unidentified::Any => true,
            },
        }
    }
}

/// A request that a connection has carried.
#[derive(Debug, Clone, Copy)]
struct CarriedRequest {
    /// Hash of its identifier. Two requests with one hash only never share a connection.
    id_hash: u64,
    deadline: Timestamp,
}

/// The requests that a connection has carried and that may still be sent again.
#[derive(Debug, Clone, Default)]
pub(super) struct CarriedRequests {
    is_used: bool,
    recent: Vec<CarriedRequest>,
}

impl CarriedRequests {
    /// Returns whether the connection has carried no request.
    pub(super) const fn is_empty(&self) -> bool {
        !self.is_used
    }

    /// Returns whether an answer could be attributed to a sending of the request `id` at `now`.
    pub(super) fn may_carry(&self, now: Timestamp, id: &str) -> bool {
        if id.is_empty() {
            return !self.is_used;
        }
        let id_hash = hash(id);
        let is_carried = |r: &CarriedRequest| r.id_hash == id_hash && now < r.deadline;
        !self.recent.iter().any(is_carried)
    }

    /// Records a sending.
    pub(super) fn record(&mut self, sending: &Sending<'_>) {
        self.is_used = true;
        if sending.id.is_empty() {
            return;
        }
        // Dropping expired entries only when the vector would grow keeps the mean cost constant.
        if self.recent.len() == self.recent.capacity() {
            self.recent.retain(|r| sending.now < r.deadline);
        }
        self.recent.push(CarriedRequest {
            id_hash: hash(sending.id),
            deadline: sending.deadline,
        });
    }

    /// Returns whether no further request can be remembered.
    pub(super) const fn is_full(&self) -> bool {
        self.recent.len() >= MAX_CARRIED
    }
}

fn hash(id: &str) -> u64 {
    static STATE: LazyLock<RandomState> = LazyLock::new(RandomState::new);
    STATE.hash_one(id)
}
