//! Logs as JSON lines on standard output.
//!
//! A thread of its own writes them. The ring before it is bounded: lines that find it full are
//! dropped, and a line says how many.

use slog::{Drain, Level, Logger, o};

use crate::settings::Settings;

/// Lines that may wait to be written.
const RING_LINES: usize = 1_024;

/// Builds the root logger of a host.
pub fn logger(cfg: &Settings) -> Logger {
    let json = slog_json::Json::new(std::io::stdout())
        .add_default_keys()
        .build()
        .ignore_res();
    let ring = slog_async::Async::new(json)
        .chan_size(RING_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .filter_level(Level::Info)
        .ignore_res();
    Logger::root(ring, o!("host" => cfg.host.to_string()))
}
