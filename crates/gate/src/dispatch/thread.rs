//! The dispatch thread: its start, its channels and its end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use route::DispatcherSettings;
use thiserror::Error;

use crate::context::GateContext;
use crate::dispatch::channels::{DispatchRx, dispatch_channels};
use crate::dispatch::event_loop::DispatchLoop;
use crate::dispatch::{DispatchChannels, DispatchTx};
use crate::peer::server::PeerServer;
use crate::settings::DispatchSettings;
use crate::thread::{self, ServiceEnd, ServiceGuard};

/// Error at the start of the dispatch thread.
#[derive(Debug, Error)]
#[error("start dispatch thread: {step} at {peer}: {cause}")]
pub struct DispatchThreadError {
    /// Operation that failed.
    pub step: &'static str,
    /// The address.
    pub peer: SocketAddr,
    /// Error of the operating system.
    pub cause: io::Error,
}

/// A running dispatch thread.
#[derive(Debug)]
pub struct DispatchThread {
    tx: DispatchTx,
    address: SocketAddr,
    end: ServiceEnd,
}

/// A dispatch service whose address is bound but which is not running yet.
pub(crate) struct BoundDispatch {
    settings: DispatchSettings,
    dispatcher: DispatcherSettings,
    cx: Arc<GateContext>,
    channels: DispatchChannels,
    listener: std::net::TcpListener,
    tx: DispatchTx,
    rx: DispatchRx,
    guard: ServiceGuard,
}

impl DispatchThread {
    /// Starts dispatch on a separate thread.
    ///
    /// # Errors
    ///
    /// Fails if the address for other hosts can't be bound or the thread can't be started.
    pub fn start(
        settings: DispatchSettings,
        dispatcher: DispatcherSettings,
        cx: Arc<GateContext>,
        channels: DispatchChannels,
    ) -> Result<Self, DispatchThreadError> {
        let peer = settings.listen;
        let failed = |step| move |cause| DispatchThreadError { step, peer, cause };
        let runtime = thread::runtime().map_err(failed("start runtime"))?;
        let (dispatch, bound) = Self::prepare(settings, dispatcher, cx, channels)?;
        thread::spawn("dispatch", runtime, || bound.run()).map_err(failed("start thread"))?;
        Ok(dispatch)
    }

    /// Binds the address for other hosts.
    pub(crate) fn prepare(
        settings: DispatchSettings,
        dispatcher: DispatcherSettings,
        cx: Arc<GateContext>,
        channels: DispatchChannels,
    ) -> Result<(Self, BoundDispatch), DispatchThreadError> {
        let peer = settings.listen;
        let failed = |step| move |cause| DispatchThreadError { step, peer, cause };
        let listener = bind(peer).map_err(failed("bind"))?;
        let address = listener.local_addr().map_err(failed("read address"))?;
        let (tx, rx) = dispatch_channels(settings.ring as usize);
        let (guard, end) = thread::service_end();
        let bound = BoundDispatch {
            settings,
            dispatcher,
            cx,
            channels,
            listener,
            tx: tx.clone(),
            rx,
            guard,
        };
        Ok((Self { tx, address, end }, bound))
    }

    /// Returns the sending side of the thread's channels.
    #[must_use]
    pub fn tx(&self) -> DispatchTx {
        self.tx.clone()
    }

    /// Returns the address for other hosts.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for dispatch to end; [`DispatchCommand::Stop`](super::DispatchCommand::Stop) stops it.
    ///
    /// # Panics
    ///
    /// Panics if the thread panicked.
    pub fn join(self) {
        self.end.wait();
    }
}

impl BoundDispatch {
    /// Runs until dispatch is stopped; must be called on a thread with local tasks.
    pub(crate) async fn run(self) {
        let cx = Arc::clone(&self.cx);
        let server = PeerServer::start(self.listener, &self.settings, cx, self.tx);
        let dispatch_loop = DispatchLoop::new(
            self.settings,
            self.dispatcher,
            self.cx,
            self.channels,
            server,
        );
        let server = dispatch_loop.run(self.rx).await;
        server.close().await;
        self.guard.end();
    }
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
