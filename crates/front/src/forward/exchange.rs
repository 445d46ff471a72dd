//! One exchange with an upstream: over this host's own link, or through another host.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use direct::{AttemptEnd, LinkLoss, LinkState, Registration};
use gate::counters::Count;
use gate::headers::strip_hop_by_hop;
use http::{HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use ids::{BootClock, Clock, Reason, Timestamp};

use super::eligibility::PermitStatus;
use super::{CallerRequest, Forwarder};
use crate::peer_exchange::PeerFailure;
use crate::upstream_client::{
    DirectFailure, FailedExchange, NO_LONGER_ELIGIBLE, Outgoing, UpstreamResponse,
};

/// Hosts that are tried in turn for one request.
const MAX_PEERS: usize = 3;

impl Forwarder {
    /// Sends the request to `target`, at most once: over this host's own link, or, if that is lost,
    /// through a host that reaches `target`.
    pub(super) async fn exchange_with_target(
        &self,
        request: &CallerRequest,
        target: &Registration,
        permit_status: PermitStatus,
    ) -> Result<UpstreamResponse, FailedExchange> {
        let is_eligible = || self.is_eligible(request, target, permit_status);
        let outgoing = Outgoing {
            is_eligible: &is_eligible,
            ..self.outgoing(request, target)
        };
        let build = |left| {
            let req = self.upstream_request(request, target, left);
            req.map(Full::new)
        };
        let state = self.links.state(&target.id);
        if state == LinkState::Usable {
            let since = BootClock.now();
            let loss = match self.client.exchange(&outgoing, build).await {
                Ok(response) => return Ok(response),
                Err(DirectFailure::Exchange(failed)) => return Err(failed),
                Err(DirectFailure::Connect(loss)) => loss,
            };
            if !self.is_link_lost(target, loss, since).await {
                return Err(AttemptEnd::Unsent(Reason::ConnectFailed).into());
            }
        } else if state.allows_open_connections()
            && let Some(result) = self.client.exchange_on_kept(&outgoing, &build).await
        {
            return result;
        }
        self.exchange_through_peer(request, &outgoing).await
    }

    /// Returns whether this host has lost its link to `target`, to which it could not open a
    /// connection after `since`.
    async fn is_link_lost(&self, target: &Registration, loss: LinkLoss, since: Timestamp) -> bool {
        // An upstream that alone is silent has probably failed. Other hosts would have to wait for it
        // too, so the request goes elsewhere meanwhile.
        if loss == LinkLoss::Silent && self.links.had_sign_after(since) {
            let (reach, target) = (Rc::clone(&self.reach), target.clone());
            tokio::task::spawn_local(async move {
                reach.confirm_lost(&target, loss, since).await;
            });
            return false;
        }
        self.reach.confirm_lost(target, loss, since).await
    }

    /// Sends the request through another host; tries the next one only if nothing was sent.
    async fn exchange_through_peer(
        &self,
        request: &CallerRequest,
        outgoing: &Outgoing<'_>,
    ) -> Result<UpstreamResponse, FailedExchange> {
        let domain = &outgoing.target.domain;
        let mut tried: Vec<SocketAddr> = Vec::new();
        for _ in 0..MAX_PEERS {
            let Some(peer) = self.reach.select_peers(domain, &tried, 1).pop() else {
                break;
            };
            tried.push(peer);
            if !(outgoing.is_eligible)() {
                return Err(NO_LONGER_ELIGIBLE.into());
            }
            let left = outgoing.deadline.since(BootClock.now());
            let req = self.upstream_request(request, outgoing.target, left);
            let in_use = self.reach.use_peer(peer);
            self.metrics.count(Count::PeerRequests);
            let exchanged = self.peer_client.exchange(peer, outgoing, req).await;
            drop(in_use);
            match exchanged {
                Ok(response) => {
                    self.reach.peer_reached(peer);
                    let body = self.memory.hold_answer(response.body);
                    return Ok(UpstreamResponse { body, ..response });
                }
                Err(PeerFailure::Exchange(failed)) => {
                    if failed.end == AttemptEnd::MayHaveRun(Reason::HostLost) {
                        self.reach.peer_failed(peer);
                    }
                    return Err(failed);
                }
                Err(PeerFailure::PeerDown | PeerFailure::Busy) => self.reach.peer_failed(peer),
                Err(PeerFailure::Unreachable) => {}
            }
        }
        Err(AttemptEnd::Unsent(Reason::ConnectFailed).into())
    }

    fn outgoing<'a>(&self, request: &'a CallerRequest, target: &'a Registration) -> Outgoing<'a> {
        let now = BootClock.now();
        let service_time = self.entry_service_time(&request.resolved.entry);
        let expected = self.with_load(target, |load| {
            load.expected_time(now, service_time, &self.load_cfg)
        });
        Outgoing {
            target,
            id: &request.caller_headers.id,
            deadline: request.deadline,
            expected_time: Duration::from_secs_f64(expected),
            is_idempotent: request.resolved.route.idempotent,
            send_before: None,
            is_eligible: &|| true,
            needs_new_connection: false,
        }
    }

    /// Builds the request to `target`, which has `left` for its answer.
    fn upstream_request(
        &self,
        request: &CallerRequest,
        target: &Registration,
        left: Duration,
    ) -> Request<Bytes> {
        let mut headers = request.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        self.header_format
            .write_target(&mut headers, &target.server, left);
        let mut req = Request::new(request.body.clone());
        *req.method_mut() = request.parts.method.clone();
        *req.uri_mut() = origin_form(&request.parts.uri);
        *req.headers_mut() = headers;
        let needs_length = !matches!(request.parts.method, Method::GET | Method::HEAD);
        if needs_length && request.body.is_empty() {
            let zero = HeaderValue::from_static("0");
            req.headers_mut().insert(header::CONTENT_LENGTH, zero);
        }
        req
    }
}

fn origin_form(uri: &Uri) -> Uri {
    if uri.authority().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}
