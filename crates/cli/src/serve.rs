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

/// What a host prints once it listens.
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

/// Makes a panic of any thread end the process.
///
/// A host that has lost one of its duties would go on taking callers whom it can't serve. Other
/// hosts handle the loss of the whole process.
pub(crate) fn end_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::abort();
    }));
}

fn serve(cfg: Settings) -> anyhow::Result<()> {
    end_on_panic();
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
        "environment variable {name} holds no token for the platform"
    );
    Token::new(text).with_context(|| format!("read environment variable {name}"))
}

/// Waits for SIGTERM or SIGINT.
pub(crate) fn wait_for_signal() -> anyhow::Result<()> {
    Stop::watch()?.wait();
    Ok(())
}

/// SIGTERM and SIGINT, which end the process no more by themselves.
#[derive(Debug)]
pub(crate) struct Stop {
    runtime: Runtime,
    term: Signal,
    int: Signal,
}

impl Stop {
    /// Begins to watch for them.
    pub(crate) fn watch() -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let entered = runtime.enter();
        let term = signal(SignalKind::terminate())?;
        let int = signal(SignalKind::interrupt())?;
        drop(entered);
        Ok(Self { runtime, term, int })
    }

    /// Waits for one of them, also one that came since the watch began.
    pub(crate) fn wait(mut self) {
        self.runtime.block_on(async {
            tokio::select! {
                _ = self.term.recv() => {}
                _ = self.int.recv() => {}
            }
        });
    }
}
