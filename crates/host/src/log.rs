//! Logs as JSON lines on standard error.

use slog::{Drain, FnValue, Level, Logger, o};

use crate::settings::{LogLevel, Settings};

/// Capacity of the queue of records to be written; further records are counted and dropped.
const QUEUED_RECORDS: usize = 4_096;

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

/// Builds the root logger of a host. A separate thread writes the records.
pub fn logger(cfg: &Settings) -> Logger {
    let json = slog_json::Json::new(std::io::stderr())
        .add_default_keys()
        .add_key_value(o!("at" => FnValue(module)))
        .build()
        .ignore_res();
    let queue = slog_async::Async::new(json)
        .chan_size(QUEUED_RECORDS)
        .build()
        .filter_level(cfg.log_level.into())
        .ignore_res();
    Logger::root(
        queue,
        o!("host" => cfg.host.to_string(), "domain" => cfg.domain.to_string()),
    )
}

fn module(record: &slog::Record<'_>) -> &'static str {
    record.module()
}
