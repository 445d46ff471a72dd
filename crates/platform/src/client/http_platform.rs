//! [`HttpPlatform`], which implements the protocol of [`crate::protocol`].

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use ids::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};
use wire::Traffic;

use super::exchange::{Call, Exchange, Kind};
use super::pages::Pages;
use super::settings::HttpSettings;
use crate::protocol::{
    self, ChangesBody, ChangesQuery, CommitBody, HOSTS_PATH, HostsBody, TXN_PATH, TxnBody,
};
use crate::{Changes, Commit, Hosts, ListedHost, Objects, PlatformError, Table, Txn};

/// The platform over HTTP/1.1; clones share connections.
///
/// If the connection fails, a read or the storing of an object is retried once; a transaction is
/// retried only if certainly none of it was sent. A failed call returns
/// [`PlatformError::Unreachable`] only if it had no effect.
///
/// Connections belong to the runtime that opened them, so each runtime needs its own
/// platform.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    exchange: Arc<Exchange>,
}

impl HttpPlatform {
    /// Creates a client; it opens connections only when they are needed.
    #[must_use]
    pub fn new(settings: HttpSettings) -> Self {
        Self::counted(settings, Arc::default())
    }

    /// Creates a client whose sent and received bytes are added to `traffic`.
    #[must_use]
    pub fn counted(settings: HttpSettings, traffic: Arc<Traffic>) -> Self {
        Self {
            exchange: Arc::new(Exchange::new(settings, traffic)),
        }
    }

    async fn read<B: DeserializeOwned>(
        &self,
        step: &'static str,
        path: String,
    ) -> Result<B, PlatformError> {
        self.call(&Call::read(step, path)).await
    }

    async fn call<B: DeserializeOwned>(&self, call: &Call) -> Result<B, PlatformError> {
        let answer = self.exchange.call(call).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Err(self.exchange.bad_answer(call.step, "no such call"));
        }
        let parsed = serde_json::from_slice(&answer.body);
        parsed.map_err(|e| self.exchange.bad_answer(call.step, format_smolstr!("{e}")))
    }
}

impl Table for HttpPlatform {
    async fn changes(&self, prefix: &str, since: Revision) -> Result<Changes, PlatformError> {
        let step = "read changes";
        let mut pages = Pages::default();
        let mut query = ChangesQuery {
            prefix: SmolStr::new(prefix),
            since,
        };
        loop {
            let page: ChangesBody = self.read(step, query.to_path()).await?;
            let next = page.next;
            pages.add(page.into());
            match next {
                None => return Ok(pages.join()),
                Some(next) if next > query.since => query.since = next,
                Some(_) => return Err(self.exchange.bad_answer(step, "pages don't advance")),
            }
        }
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, PlatformError> {
        let call = Call {
            step: "commit transaction",
            kind: Kind::Write,
            method: Method::POST,
            path: TXN_PATH.to_owned(),
            body: to_json(&TxnBody::from(txn)),
        };
        let commit: CommitBody = self.call(&call).await?;
        Ok(commit.into())
    }
}

impl Objects for HttpPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let call = Call {
            step: "store object",
            kind: Kind::IdempotentWrite,
            method: Method::PUT,
            path: protocol::object_path(name),
            body,
        };
        let answer = self.exchange.call(&call).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Err(self.exchange.bad_answer(call.step, "no such call"));
        }
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let call = Call::read("read object", protocol::object_path(name));
        let answer = self.exchange.call(&call).await?;
        Ok((answer.status != StatusCode::NOT_FOUND).then_some(answer.body))
    }
}

impl Hosts for HttpPlatform {
    async fn list(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let body: HostsBody = self.read("list hosts", HOSTS_PATH.to_owned()).await?;
        Ok(body.hosts.into_iter().map(ListedHost::from).collect())
    }
}

fn to_json(body: &impl Serialize) -> Bytes {
    let json = serde_json::to_vec(body).expect("bodies have text keys and always serialize");
    Bytes::from(json)
}
