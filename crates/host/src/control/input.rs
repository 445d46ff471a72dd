//! What the control duty is told, by its own tasks and by other duties.

use ids::{HostId, Revision, Timestamp, UpstreamId};
use own::CommitOutcome;
use platform::{Changes, ListedHost, Row};
use spread::Prefix;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use wire::control::Frame;
use wire::grant::{GrantReply, HealthReport};

use super::links::{Link, LinkNo};

/// Inputs that may wait for the control duty.
const RING_INPUTS: usize = 16_384;

/// What the control duty is told.
#[derive(Debug)]
pub(crate) enum Input {
    /// Another host opened a control connection.
    LinkAccepted(TcpStream),
    /// A control connection is up.
    LinkUp {
        /// Host at the other end.
        host: HostId,
        /// The connection.
        link: Link,
        /// Its first frame.
        first: Frame,
    },
    /// A control connection ended.
    LinkDown {
        /// Host at the other end.
        host: HostId,
        /// The connection.
        no: LinkNo,
    },
    /// No control connection could be opened.
    ConnectFailed {
        /// Host that was to be reached.
        host: HostId,
        /// Whether its address refused the connection.
        refused: bool,
    },
    /// A frame came on a control connection.
    Frame {
        /// Host at the other end.
        from: HostId,
        /// The frame.
        frame: Frame,
    },
    /// An upstream replied to a grant.
    Granted {
        /// Upstream.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
        /// The reply.
        reply: GrantReply,
    },
    /// An upstream replied to a health request that ownership asked for.
    Healthy {
        /// Upstream.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
    },
    /// An upstream did not reply.
    NoReply {
        /// Upstream.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: u64,
        /// Whether its address refused the connection.
        refused: bool,
    },
    /// An upstream reported its health.
    Health {
        /// Upstream.
        upstream: UpstreamId,
        /// The report.
        report: HealthReport,
    },
    /// A transaction ended.
    Committed {
        /// Number of the transaction.
        txn: u64,
        /// How it ended.
        outcome: CommitOutcome,
        /// Rows that are known by that.
        rows: Vec<Row>,
    },
    /// A read of the table ended.
    TableRead {
        /// Prefix that was read.
        prefix: Prefix,
        /// Revision after which changes were asked for.
        since: Revision,
        /// Reading of the clock before the read was sent.
        began: Timestamp,
        /// The changes, or nothing if the read failed.
        changes: Option<Changes>,
    },
    /// The platform's list of hosts was read.
    Listed(Vec<ListedHost>),
    /// The host is to leave.
    Leave,
}

/// The sending side of the control duty's ring.
#[derive(Debug, Clone)]
pub(crate) struct InputTx(mpsc::Sender<Input>);

impl InputTx {
    /// Sends an input and waits while the ring is full; does nothing if the duty has ended.
    pub(crate) async fn send(&self, input: Input) {
        let _ended = self.0.send(input).await;
    }

    /// Sends an input from outside of any task; does nothing if the duty has ended.
    pub(crate) fn blocking_send(&self, input: Input) {
        let _ended = self.0.blocking_send(input);
    }
}

/// Creates the control duty's ring.
pub(crate) fn ring() -> (InputTx, mpsc::Receiver<Input>) {
    let (tx, rx) = mpsc::channel(RING_INPUTS);
    (InputTx(tx), rx)
}
