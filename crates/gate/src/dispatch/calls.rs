//! Calls and answers held by the dispatch thread.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use ids::{Timestamp, UpstreamId};
use indexmap::IndexMap;
use prost::Message;
use route::{Action, CallKey};
use wire::dispatch as frames;

use crate::call::{Answer, Call, answer_from_wire, answer_to_wire};
use crate::dispatch::abort::AbortHandle;
use crate::dispatch::channels::ReplyTo;
use crate::dispatch::exchange::Progress;

/// An exchange in flight.
#[derive(Debug)]
pub(crate) struct ActiveExchange {
    pub(crate) abort: AbortHandle,
    pub(crate) progress: Rc<Cell<Progress>>,
}

/// A call, from its arrival until its reply was sent and its exchange has ended.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub(crate) upstream: UpstreamId,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Request of the call, until it is sent.
    pub(crate) call: Option<Call>,
    /// Receiver of the reply, until it was sent.
    pub(crate) reply: Option<ReplyTo>,
    /// The exchange in flight, if any.
    pub(crate) exchange: Option<ActiveExchange>,
}

impl ActiveCall {
    fn is_finished(&self) -> bool {
        self.reply.is_none() && self.exchange.is_none()
    }

    /// Returns whether the receiver of the reply was dropped.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.reply.as_ref().is_none_or(ReplyTo::is_closed)
    }
}

/// All active calls.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    active: IndexMap<CallKey, ActiveCall>,
}

impl Calls {
    pub(crate) fn insert(&mut self, key: CallKey, active: ActiveCall) {
        let before = self.active.insert(key, active);
        debug_assert!(before.is_none(), "call keys are unique");
    }

    pub(crate) fn get_mut(&mut self, key: CallKey) -> Option<&mut ActiveCall> {
        self.active.get_mut(&key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Removes a call that has neither a reply to send nor an exchange in flight.
    pub(crate) fn remove_if_finished(&mut self, key: CallKey) {
        if self.active.get(&key).is_some_and(ActiveCall::is_finished) {
            self.active.swap_remove(&key);
        }
    }
}

/// An answer kept for repeats, as an encoded message.
///
/// Body and headers of an answer are slices of the connection's read buffer. Keeping them would
/// keep the whole buffer, which is many times the size of a short answer.
#[derive(Debug)]
struct KeptAnswer(Bytes);

impl KeptAnswer {
    fn new(answer: Answer) -> Self {
        let message = answer_to_wire(answer).encode_to_vec();
        Self(Bytes::from(message.into_boxed_slice()))
    }

    fn to_answer(&self) -> Option<Answer> {
        let message = frames::Answer::decode(self.0.clone());
        debug_assert!(message.is_ok(), "the message was encoded here");
        answer_from_wire(message.ok()?)
    }
}

/// Answers of calls, kept for their repeats.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    latest: Option<(CallKey, Answer)>,
    kept: IndexMap<CallKey, KeptAnswer>,
}

impl Answers {
    /// Sets the answer of the call that just finished.
    pub(crate) fn set_latest(&mut self, key: CallKey, answer: Answer) {
        self.latest = Some((key, answer));
    }

    /// Drops the answer of the call that just finished; a kept copy stays.
    pub(crate) fn clear_latest(&mut self) {
        self.latest = None;
    }

    /// Returns the answer of `from`; `rest` holds the actions still to be executed.
    pub(crate) fn answer(&mut self, from: CallKey, rest: &[Action]) -> Option<Answer> {
        let is_latest = self.latest.as_ref().is_some_and(|(key, _)| *key == from);
        if !is_latest {
            return self.kept.get(&from).and_then(KeptAnswer::to_answer);
        }
        if rest.iter().any(|action| needs_answer(action, from)) {
            return self.latest.as_ref().map(|(_, answer)| answer.clone());
        }
        self.latest.take().map(|(_, answer)| answer)
    }

    /// Keeps the answer of the call that just finished.
    pub(crate) fn keep(&mut self, key: CallKey, rest: &[Action]) {
        if let Some(answer) = self.answer(key, rest) {
            self.kept.insert(key, KeptAnswer::new(answer));
        }
    }

    /// Drops a kept answer.
    pub(crate) fn discard(&mut self, key: CallKey) {
        self.kept.swap_remove(&key);
    }
}

fn needs_answer(action: &Action, answer: CallKey) -> bool {
    match action {
        Action::Answer { from, .. } => *from == answer,
        Action::Keep { call } => *call == answer,
        _ => false,
    }
}
