//! Logs as JSON lines on standard output.
//!
//! A separate thread writes them. The channel to that thread is bounded: lines that find it full
//! are dropped, and a line reports how many.

use slog::{Drain, Level, Logger, o};

use crate::settings::Settings;

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 1_024;

/// Builds the root logger of a host.
pub fn logger(cfg: &Settings) -> Logger {
    let json = slog_json::Json::new(std::io::stdout())
        .add_default_keys()
        .build()
        .ignore_res();
    let drain = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .filter_level(Level::Info)
        .ignore_res();
    Logger::root(drain, o!("host" => cfg.host.to_string()))
}
