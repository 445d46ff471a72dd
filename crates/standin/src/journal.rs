//! Journal of the requests that an upstream runs.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use anyhow::Context;
use ids::{EntryId, Epoch, SliceNo, UpstreamId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An event in a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum JournalEvent {
    /// The upstream started.
    Boot {
        /// Entry that it serves.
        entry: EntryId,
        /// Number of requests that it runs concurrently.
        slots: u32,
    },
    /// A request starts to run; written before any of its work is done.
    Start(Started),
    /// The execution with this number finished or was cancelled.
    End {
        /// Number of the execution.
        run: u64,
        /// Whether its work was cancelled.
        cancelled: bool,
        /// End of the upstream's latest grant at this time, in microseconds; absent if it does
        /// not check grants.
        granted_until_us: Option<u64>,
    },
    /// The upstream announced that it is draining.
    Drain,
    /// The upstream withdrew the announcement.
    Undrain,
}

/// A request that starts to run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Started {
    /// Number of the execution, unique within an incarnation of the upstream.
    pub run: u64,
    /// Id of the request, if it carried one.
    pub id: Option<SmolStr>,
    /// Entry that the request names; the upstream's own entry if it names none.
    pub entry: EntryId,
    /// Slice of the key, if the entry is divided by key.
    pub slice: Option<SliceNo>,
    /// Epoch under which the request was sent.
    pub epoch: Option<Epoch>,
    /// Key, if the upstream is configured with its location in requests.
    pub key: Option<SmolStr>,
    /// Planned duration of the work, in microseconds.
    pub planned_us: u64,
}

/// One line of a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JournalLine {
    /// Monotonic time since the machine's boot, in microseconds.
    pub at_us: u64,
    /// Upstream that wrote the line.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub boot: u64,
    /// Event.
    #[serde(flatten)]
    pub event: JournalEvent,
}

/// A journal in memory and, optionally, in a file that outlives the process.
#[derive(Debug)]
pub(crate) struct Journal {
    lines: Vec<JournalLine>,
    file: Option<File>,
}

impl Journal {
    /// Opens a journal that appends to the file at `path`, if one is given.
    pub(crate) fn open(path: Option<&Path>) -> anyhow::Result<Self> {
        let file = path.map(append_to).transpose()?;
        Ok(Self {
            lines: Vec::new(),
            file,
        })
    }

    /// Appends `line`.
    ///
    /// The line is written to the file with a single unbuffered write before this returns, so
    /// that no line is lost if the process is killed afterwards.
    pub(crate) fn push(&mut self, line: JournalLine) {
        if let Some(f) = &mut self.file {
            let mut text = serde_json::to_vec(&line).expect("journal lines serialize");
            text.push(b'\n');
            f.write_all(&text).expect("the journal file is writable");
        }
        self.lines.push(line);
    }

    pub(crate) fn lines(&self) -> &[JournalLine] {
        &self.lines
    }
}

fn append_to(path: &Path) -> anyhow::Result<File> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("open journal {}", path.display()))
}

/// Reads the journal file at `path`; ignores a last line that is incomplete because the process
/// was killed.
///
/// # Errors
///
/// Fails if the file can't be read or any other line can't be parsed.
pub fn read_journal(path: &Path) -> anyhow::Result<Vec<JournalLine>> {
    read_lines(path)
}

/// Parses JSON lines as returned by the journal endpoint; an incomplete last line is ignored.
///
/// # Errors
///
/// Fails if a complete line can't be parsed.
pub fn parse_journal(text: &str) -> anyhow::Result<Vec<JournalLine>> {
    parse_lines(text)
}

/// Reads JSON lines from the file at `path`; an incomplete last line is ignored.
pub(crate) fn read_lines<T: DeserializeOwned>(path: &Path) -> anyhow::Result<Vec<T>> {
    let text = std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
    parse_lines(&text).with_context(|| format!("parse {}", path.display()))
}

fn parse_lines<T: DeserializeOwned>(text: &str) -> anyhow::Result<Vec<T>> {
    let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
    complete_lines
        .lines()
        .enumerate()
        .map(|(i, line)| serde_json::from_str(line).with_context(|| format!("line {}", i + 1)))
        .collect()
}
