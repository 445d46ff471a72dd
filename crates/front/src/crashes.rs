//! The callers' duty's part in finding requests under which upstreams end.
//!
//! A connection that breaks while a request is under way may mean little: full upstreams break theirs too, and
//! some lose single answers. So the upstream is asked for another connection; if its system refuses that, its
//! process has ended, and the control duty is told under which request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use direct::{AttemptEnd, RecentAnswers, Registration, RequestFingerprint};
use gate::Metrics;
use gate::counters::Count;
use gate::upstream::{ExchangeError, UpstreamConn};
use ids::{BootClock, Clock, Reason, UpstreamId};
use slog::{Logger, info};
use smol_str::SmolStr;
use tokio::sync::OnceCell;
use tokio::task::JoinHandle;

use crate::connections::{Connections, HEAD_BYTES};
use crate::news::{News, NewsTx};

/// Time for the upstream's system to refuse a connection: many round trips between failure domains.
const REFUSED_WITHIN: Duration = Duration::from_millis(150);
/// Time for which a request that may be sent again waits after its upstream has ended: two ways between hosts and
/// the turns of two of them, in which they may find that it is the cause.
const VERDICT_WAIT: Duration = Duration::from_millis(40);
/// Time after which an upstream that still took a connection is looked at again: a process that ends closes what it
/// has open one after the other, and the connections of requests may come first.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// A question whether an upstream's process has ended, shared by all whose requests broke meanwhile.
type Question = Rc<OnceCell<bool>>;

/// Finds out whether upstreams have ended under requests.
#[derive(Debug)]
pub struct CrashWatch {
    connections: Rc<Connections>,
    questions: RefCell<HashMap<UpstreamId, Question>>,
    answered: RefCell<RecentAnswers>,
    news: NewsTx,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl CrashWatch {
    /// Builds a watch that tells `news` of ends.
    #[must_use]
    pub fn new(
        connections: Rc<Connections>,
        news: NewsTx,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        Self {
            connections,
            questions: RefCell::default(),
            answered: RefCell::default(),
            news,
            metrics,
            log,
        }
    }

    /// Notes that a request was answered: its upstream lives.
    pub fn answered(&self, content: RequestFingerprint) {
        self.answered.borrow_mut().record(BootClock.now(), content);
    }

    /// Looks whether `target` has ended under a request whose try `ended` so, and reports it.
    ///
    /// The task ends once that is known, and once others had time to find that the request is the cause.
    pub fn broken(
        self: &Rc<Self>,
        target: &Registration,
        content: RequestFingerprint,
        request: &SmolStr,
        ended: AttemptEnd,
    ) -> Option<JoinHandle<()>> {
        let is_break = matches!(
            ended,
            AttemptEnd::MayHaveRun(Reason::UpstreamReset | Reason::AnswerCut)
        );
        if !is_break || self.answered.borrow().contains(content) {
            return None;
        }
        let (watch, target, request) = (Rc::clone(self), target.clone(), request.clone());
        Some(tokio::task::spawn_local(async move {
            if watch.has_ended(&target).await {
                watch.report(&target.id, content, &request);
                tokio::time::sleep(VERDICT_WAIT).await;
            } else {
                tokio::task::spawn_local(watch.look_again(target, content, request));
            }
        }))
    }

    /// Looks once more whether `target` has ended under a request.
    async fn look_again(
        self: Rc<Self>,
        target: Registration,
        content: RequestFingerprint,
        request: SmolStr,
    ) {
        tokio::time::sleep(LOOK_AGAIN).await;
        // One that is open leads to a process that lives.
        let lives = self
            .connections
            .is_any_open(BootClock.now(), &target.id)
            .await;
        if !lives && self.has_ended(&target).await {
            self.report(&target.id, content, &request);
        }
    }

    fn report(&self, upstream: &UpstreamId, content: RequestFingerprint, request: &SmolStr) {
        self.metrics.count(Count::UpstreamsEnded);
        info!(self.log, "upstream ended under request"; "request" => request.as_str(),
            "content" => %content, "upstream" => upstream.as_str());
        self.news.send(News::Ended {
            content,
            upstream: upstream.clone(),
        });
    }

    /// Tells whether the process of `target` has ended: its system refuses connections.
    async fn has_ended(&self, target: &Registration) -> bool {
        let question = {
            let mut questions = self.questions.borrow_mut();
            Rc::clone(questions.entry(target.id.clone()).or_default())
        };
        let has_ended = *question.get_or_init(|| self.ask(target)).await;
        // A later break asks anew.
        self.questions.borrow_mut().remove(&target.id);
        has_ended
    }

    async fn ask(&self, target: &Registration) -> bool {
        match UpstreamConn::open(target.address, REFUSED_WITHIN, HEAD_BYTES).await {
            Ok(conn) => {
                self.connections
                    .keep_unused(BootClock.now(), &target.id, conn);
                false
            }
            Err(ExchangeError::Connect { cause, .. }) => {
                cause.kind() == io::ErrorKind::ConnectionRefused
            }
            Err(_) => false,
        }
    }
}
