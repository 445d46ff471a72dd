//! Inputs of the control thread, sent by its own tasks and by other threads.

use ids::{HostId, Revision, Timestamp, UpstreamId};
use own::CommitOutcome;
use platform::{Changes, ListedHost, Row};
use spread::Prefix;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use wire::control::Frame;
use wire::grant::{GrantReply, HealthReport};

use super::connections::{ConnectionNo, ControlConnection};

/// Capacity of the channel for inputs of the control thread.
const INPUT_CAPACITY: usize = 16_384;

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// Another host opened a control connection.
    ConnectionAccepted(TcpStream),
    /// A control connection is established.
    ConnectionUp {
        /// Host at the other end.
        host: HostId,
        /// The connection.
        connection: ControlConnection,
        /// Its first frame.
        first: Frame,
    },
    /// A control connection ended.
    ConnectionDown {
        /// Host at the other end.
        host: HostId,
        /// Number of the connection.
        no: ConnectionNo,
    },
    /// No control connection could be opened.
    ConnectFailed {
        /// Host to which the connection failed.
        host: HostId,
        /// Whether its address refused the connection.
        refused: bool,
    },
    /// A frame arrived on a control connection.
    Frame {
        /// Host at the other end.
        from: HostId,
        /// The frame.
        frame: Frame,
    },
    /// An upstream replied to a grant.
    GrantReply {
        /// Upstream that replied.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
        /// The reply.
        reply: GrantReply,
    },
    /// An upstream replied to a health request of the ownership machine.
    Healthy {
        /// Upstream that replied.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
    },
    /// An upstream did not reply.
    NoReply {
        /// Upstream that did not reply.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
        /// Whether its address refused the connection.
        refused: bool,
    },
    /// A call that checked whether this host reaches an upstream has ended.
    ReachChecked {
        /// Number of the call.
        attempt: u64,
        /// Whether the upstream replied.
        is_reached: bool,
    },
    /// An upstream answered a periodic health request.
    HealthReport {
        /// Upstream that answered.
        upstream: UpstreamId,
        /// The report.
        report: HealthReport,
    },
    /// A transaction ended.
    CommitEnded {
        /// Number of the transaction.
        txn: u64,
        /// Result of the transaction.
        outcome: CommitOutcome,
        /// Rows that the result contains.
        rows: Vec<Row>,
    },
    /// A read of the table ended.
    TableRead {
        /// Prefix that was read.
        prefix: Prefix,
        /// Revision after which changes were requested.
        since: Revision,
        /// Clock reading before the read was sent.
        began: Timestamp,
        /// The changes; absent if the read failed.
        changes: Option<Changes>,
    },
    /// The platform's list of hosts was read.
    HostsListed(Vec<ListedHost>),
    /// The host must leave.
    Leave,
}

/// Sender of the control thread's inputs.
#[derive(Debug, Clone)]
pub(crate) struct InputTx(mpsc::Sender<Input>);

impl InputTx {
    /// Sends an input and waits while the channel is full. Does nothing if the control thread has
    /// ended.
    pub(crate) async fn send(&self, input: Input) {
        let _ended = self.0.send(input).await;
    }

    /// Sends an input from outside the asynchronous runtime and blocks while the channel is full.
    /// Does nothing if the control thread has ended.
    pub(crate) fn blocking_send(&self, input: Input) {
        let _ended = self.0.blocking_send(input);
    }
}

/// Creates the channel for the control thread's inputs.
pub(crate) fn channel() -> (InputTx, mpsc::Receiver<Input>) {
    let (tx, rx) = mpsc::channel(INPUT_CAPACITY);
    (InputTx(tx), rx)
}
