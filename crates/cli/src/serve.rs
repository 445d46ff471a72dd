//! `medlardyke serve`.

use std::io::Write as _;
use std::process::ExitCode;

use anyhow::Context as _;
use host::{Addresses, Host, Settings};
use ids::HostId;
use platform::Token;
use serde::Serialize;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::args::ServeArgs;
use crate::exit;

/// JSON line that a host prints once it listens.
#[derive(Debug)]
#[derive(Serialize)]
struct Started<'a> {
    host: &'a HostId,
    listening: Addresses,
}

/// Runs an entry host.
pub(crate) fn run(args: &ServeArgs) -> ExitCode {
    let cfg = match host::load_settings(&args.settings) {
        Ok(cfg) => cfg,
        Err(faults) => return exit::fail(exit::INVALID, faults),
    };
    match serve(cfg) {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, format!("{e:#}")),
    }
}

/// Makes a panic in any thread abort the process.
///
/// A host in which one thread has ended would continue to accept callers that it can't serve. Other
/// hosts handle the loss of the whole process.
pub(crate) fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
}

fn serve(cfg: Settings) -> anyhow::Result<()> {
    abort_on_panic();
    let token = token(&cfg)?;
    let log = host::log::logger(&cfg);
    let name = cfg.host.clone();
    let host = Host::start(cfg, token, log)?;
    let started = Started {
        host: &name,
        listening: host.addresses(),
    };
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(&started)?)?;
    out.flush()?;
    wait_for_signal()?;
    host.leave();
    Ok(())
}

fn token(cfg: &Settings) -> anyhow::Result<Token> {
    let name = cfg.platform.token_env.as_str();
    let text = std::env::var(name).unwrap_or_default();
    anyhow::ensure!(
        !text.is_empty(),
        "environment variable {name} does not contain a token for the platform"
    );
    Token::new(text).with_context(|| format!("read environment variable {name}"))
}

/// Waits for SIGTERM or SIGINT.
pub(crate) fn wait_for_signal() -> anyhow::Result<()> {
    StopSignals::register()?.wait();
    Ok(())
}

/// Handlers of SIGTERM and SIGINT, which no longer terminate the process by default.
#[derive(Debug)]
pub(crate) struct StopSignals {
    runtime: Runtime,
    term: Signal,
    int: Signal,
}

impl StopSignals {
    /// Registers the handlers.
    pub(crate) fn register() -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let guard = runtime.enter();
        let term = signal(SignalKind::terminate())?;
        let int = signal(SignalKind::interrupt())?;
        drop(guard);
        Ok(Self { runtime, term, int })
    }

    /// Waits for one of the signals; returns at once if one has arrived since the registration.
    pub(crate) fn wait(mut self) {
        self.runtime.block_on(async {
            tokio::select! {
                _ = self.term.recv() => {}
                _ = self.int.recv() => {}
            }
        });
    }
}
