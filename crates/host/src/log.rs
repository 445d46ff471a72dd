//! Logs as JSON lines on standard error.

use slog::{Drain, FnValue, Level, Logger, o};

use crate::settings::{LogLevel, Settings};

/// Records that may wait to be written; later ones are counted and dropped.
const RING_RECORDS: usize = 4_096;

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Debug => Self::Debug,
            LogLevel::Info => Self::Info,
            LogLevel::Warning => Self::Warning,
            LogLevel::Error => Self::Error,
        }
    }
}

/// Builds the root logger of a host; a thread of its own writes the records.
pub fn logger(cfg: &Settings) -> Logger {
    let json = slog_json::Json::new(std::io::stderr())
        .add_default_keys()
        .add_key_value(o!("at" => FnValue(module)))
        .build()
        .ignore_res();
    let ring = slog_async::Async::new(json)
        .chan_size(RING_RECORDS)
        .build()
        .filter_level(cfg.log_level.into())
        .ignore_res();
    Logger::root(
        ring,
        o!("host" => cfg.host.to_string(), "domain" => cfg.domain.to_string()),
    )
}

fn module(record: &slog::Record<'_>) -> &'static str {
    record.module()
}
