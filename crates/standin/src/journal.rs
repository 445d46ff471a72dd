//! What upstreams write down about the requests that they run.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use anyhow::Context;
use ids::{EntryId, Epoch, SliceNo, UpstreamId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a journal line is about.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum JournalEvent {
    /// The upstream started.
    Boot {
        /// Entry that it serves.
        entry: EntryId,
        /// Requests that it runs at the same time.
        slots: u32,
    },
    /// A request starts to run; written before any of its work.
    Start(Started),
    /// The request that started under this number has run, or its work was cancelled.
    End {
        /// Number of the execution.
        run: u64,
        /// Whether its work was cancelled.
        cancelled: bool,
        /// End of the last grant as the upstream knows it now, in microseconds; absent if it
        /// checks no grants.
        granted_until_us: Option<u64>,
    },
    /// The upstream announced that it wants to leave.
    Drain,
    /// The upstream took the announcement back.
    Undrain,
}

/// A request that starts to run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Started {
    /// Number of the execution, unique within a run of the upstream.
    pub run: u64,
    /// Id of the request, if it brought one.
    pub id: Option<SmolStr>,
    /// Entry that the request names, or that of the upstream.
    pub entry: EntryId,
    /// Slice of the key, if the entry is divided by key.
    pub slice: Option<SliceNo>,
    /// Epoch under which the request was sent.
    pub epoch: Option<Epoch>,
    /// Key, if the upstream knows where requests carry it.
    pub key: Option<SmolStr>,
    /// How long the work is meant to take, in microseconds.
    pub planned_us: u64,
}

/// One line of a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JournalLine {
    /// Reading of the machine's clock since boot, in microseconds.
    pub at_us: u64,
    /// Upstream that writes.
    pub upstream: UpstreamId,
    /// Run of the upstream.
    pub boot: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: JournalEvent,
}

/// A journal in memory and, if wanted, in a file that outlives the process.
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

    /// Writes `line` down before returning.
    ///
    /// The file gets the line in one write without a buffer of our own, so that a process killed
    /// later on loses nothing.
    pub(crate) fn push(&mut self, line: JournalLine) {
        if let Some(f) = &mut self.file {
            let mut text = serde_json::to_vec(&line).expect("a journal line is plain data");
            text.push(b'\n');
            f.write_all(&text).expect("the journal file takes lines");
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

/// Reads the journal file at `path`; a last line cut short by a kill is left out.
///
/// # Errors
///
/// Fails if the file can't be read or another line makes no sense.
pub fn read_journal(path: &Path) -> anyhow::Result<Vec<JournalLine>> {
    read_lines(path)
}

/// Parses JSON lines as the journal endpoint gives them; a last line cut short is left out.
///
/// # Errors
///
/// Fails if a whole line makes no sense.
pub fn parse_journal(text: &str) -> anyhow::Result<Vec<JournalLine>> {
    parse_lines(text)
}

/// Reads JSON lines from the file at `path`; a last line cut short is left out.
pub(crate) fn read_lines<T: DeserializeOwned>(path: &Path) -> anyhow::Result<Vec<T>> {
    let text = std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
    parse_lines(&text).with_context(|| format!("parse {}", path.display()))
}

fn parse_lines<T: DeserializeOwned>(text: &str) -> anyhow::Result<Vec<T>> {
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole
        .lines()
        .enumerate()
        .map(|(i, line)| serde_json::from_str(line).with_context(|| format!("line {}", i + 1)))
        .collect()
}
