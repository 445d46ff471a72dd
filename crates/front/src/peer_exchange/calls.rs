//! Control calls to upstreams that go through another host.
//!
//! The control thread hands them to the request thread, which has the connections to other hosts.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gate::upstream::AnswerHead;
use http::Request;
use ids::{Timestamp, UpstreamId};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use super::PeerFailure;
use crate::reach::ReachChecker;
use crate::view::SharedView;

/// Maximum number of calls that wait for the request thread; further ones fail.
const MAX_QUEUED_CALLS: usize = 256;
/// Hosts that are tried in turn for one call.
const MAX_PEERS: usize = 2;

/// A control call to an upstream.
#[derive(Debug)]
pub struct PeerCall {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The request.
    pub request: Request<Bytes>,
    /// Identifier of the request, which its response repeats.
    pub id: SmolStr,
    /// When the call was decided on.
    pub decided_at: Timestamp,
    /// Age, counted from that time, from which it is not sent; none if it may be sent at any time.
    pub max_age: Option<Duration>,
    /// When the caller gives up.
    pub deadline: Timestamp,
}

impl PeerCall {
    /// Returns how long after its last message, which arrived at `confirmed_at`, another host may send
    /// the call; none if it may send it at any time.
    ///
    /// That message left before it arrived, so that the call is never sent at a greater age.
    #[must_use]
    pub fn send_within(&self, confirmed_at: Timestamp) -> Option<Duration> {
        let age = confirmed_at.since(self.decided_at);
        self.max_age.map(|max_age| max_age.saturating_sub(age))
    }
}

/// Why a call got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerCallError {
    /// It was not sent to the upstream.
    #[error("call through another host: not sent")]
    Unsent,
    /// It may have been sent.
    #[error("call through another host: no response")]
    NoResponse,
}

type Response = Result<(AnswerHead, Bytes), PeerCallError>;

#[derive(Debug)]
struct QueuedCall {
    call: PeerCall,
    response: oneshot::Sender<Response>,
}

/// Sends control calls through other hosts.
#[derive(Debug, Clone)]
pub struct PeerCalls(mpsc::Sender<QueuedCall>);

/// Receives the calls on the request thread.
#[derive(Debug)]
pub struct PeerCallsRx(mpsc::Receiver<QueuedCall>);

/// Creates the channel.
#[must_use]
pub fn channel() -> (PeerCalls, PeerCallsRx) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CALLS);
    (PeerCalls(tx), PeerCallsRx(rx))
}

impl PeerCalls {
    /// Sends a call and returns the upstream's response.
    ///
    /// # Errors
    ///
    /// Fails if no host brings the call to the upstream, or there is no response.
    pub async fn send(&self, call: PeerCall) -> Response {
        let (response, received) = oneshot::channel();
        let queued = QueuedCall { call, response };
        if self.0.try_send(queued).is_err() {
            return Err(PeerCallError::Unsent);
        }
        received.await.unwrap_or(Err(PeerCallError::NoResponse))
    }
}

impl PeerCallsRx {
    /// Carries out calls as they arrive.
    pub(crate) async fn run(mut self, reach: Rc<ReachChecker>, view: SharedView) {
        while let Some(QueuedCall { call, mut response }) = self.0.recv().await {
            let (reach, view) = (Rc::clone(&reach), SharedView::clone(&view));
            tokio::task::spawn_local(async move {
                tokio::select! {
                    result = send(&reach, &view, &call) => {
                        // The caller may have given up meanwhile.
                        let _ = response.send(result);
                    }
                    () = response.closed() => {}
                }
            });
        }
    }
}

async fn send(reach: &ReachChecker, view: &SharedView, call: &PeerCall) -> Response {
    let target = view.load().registry.get(&call.upstream).cloned();
    let target = target.ok_or(PeerCallError::Unsent)?;
    let mut tried = Vec::new();
    for _ in 0..MAX_PEERS {
        let Some(peer) = reach.select_peers(&target.domain, &tried, 1).pop() else {
            break;
        };
        tried.push(peer);
        let _in_use = reach.use_peer(peer);
        match reach.peer_client().call(peer, call).await {
            Ok(response) => {
                reach.peer_reached(peer);
                return Ok((response.head, response.body));
            }
            Err(PeerFailure::PeerDown | PeerFailure::Busy) => reach.peer_failed(peer),
            Err(PeerFailure::Unreachable) => {}
            Err(PeerFailure::Exchange(failed)) => {
                return Err(match failed.end {
                    direct::AttemptEnd::Unsent(_) => PeerCallError::Unsent,
                    _ => PeerCallError::NoResponse,
                });
            }
        }
    }
    Err(PeerCallError::Unsent)
}
