//! Calls and answers that the duty holds.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use ids::{Timestamp, UpstreamId};
use indexmap::IndexMap;
use prost::Message;
use route::{Action, CallKey};
use wire::dispatch as frames;

use crate::call::{Answer, Call, answer_from_wire, answer_to_wire};
use crate::dispatch::abort::Abort;
use crate::dispatch::exchange::Progress;
use crate::dispatch::ring::ReplyTo;

/// An exchange under way.
#[derive(Debug)]
pub(crate) struct UnderWay {
    pub(crate) abort: Abort,
    pub(crate) progress: Rc<Cell<Progress>>,
}

/// A call from its arrival until its final reply is out and its exchange has ended.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) upstream: UpstreamId,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    /// The call, until it is sent.
    pub(crate) call: Option<Call>,
    /// Where the reply goes, until it is out.
    pub(crate) reply: Option<ReplyTo>,
    /// The exchange, while there is one.
    pub(crate) exchange: Option<UnderWay>,
}

impl Held {
    fn is_over(&self) -> bool {
        self.reply.is_none() && self.exchange.is_none()
    }

    /// Tells whether nobody waits for the reply any more.
    pub(crate) fn is_gone(&self) -> bool {
        self.reply.as_ref().is_none_or(ReplyTo::is_closed)
    }
}

/// All calls that the duty holds.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    held: IndexMap<CallKey, Held>,
}

impl Calls {
    pub(crate) fn insert(&mut self, key: CallKey, held: Held) {
        let before = self.held.insert(key, held);
        debug_assert!(before.is_none(), "calls are never numbered twice");
    }

    pub(crate) fn get_mut(&mut self, key: CallKey) -> Option<&mut Held> {
        self.held.get_mut(&key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Lets a call go if nothing of it is left to do.
    pub(crate) fn settle(&mut self, key: CallKey) {
        if self.held.get(&key).is_some_and(Held::is_over) {
            self.held.swap_remove(&key);
        }
    }
}

/// An answer kept for repeats, as the bytes of its message.
///
/// Body and headers of an answer are parts of the buffer into which the connection read, so that
/// to keep them would keep the whole buffer, many times the size of a short answer.
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

/// Answers for calls and their repeats.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    fresh: Option<(CallKey, Answer)>,
    kept: IndexMap<CallKey, KeptAnswer>,
}

impl Answers {
    /// Takes the answer of the call that just finished.
    pub(crate) fn set_fresh(&mut self, key: CallKey, answer: Answer) {
        self.fresh = Some((key, answer));
    }

    /// Lets the answer of the call that just finished go, unless it is kept.
    pub(crate) fn clear_fresh(&mut self) {
        self.fresh = None;
    }

    /// Returns the answer of `from`; `rest` holds the actions that are still to be carried out.
    pub(crate) fn answer(&mut self, from: CallKey, rest: &[Action]) -> Option<Answer> {
        let is_fresh = self.fresh.as_ref().is_some_and(|(key, _)| *key == from);
        if !is_fresh {
            return self.kept.get(&from).and_then(KeptAnswer::to_answer);
        }
        if rest.iter().any(|action| uses(action, from)) {
            return self.fresh.as_ref().map(|(_, answer)| answer.clone());
        }
        self.fresh.take().map(|(_, answer)| answer)
    }

    /// Keeps the answer of the call that just finished.
    pub(crate) fn keep(&mut self, key: CallKey, rest: &[Action]) {
        if let Some(answer) = self.answer(key, rest) {
            self.kept.insert(key, KeptAnswer::new(answer));
        }
    }

    /// Lets a kept answer go.
    pub(crate) fn discard(&mut self, key: CallKey) {
        self.kept.swap_remove(&key);
    }
}

fn uses(action: &Action, answer: CallKey) -> bool {
    match action {
        Action::Answer { from, .. } => *from == answer,
        Action::Keep { call } => *call == answer,
        _ => false,
    }
}
