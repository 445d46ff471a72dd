//! One process of the cluster, its first output line and its signals.

use std::fs::{File, OpenOptions};
use std::io::{BufRead as _, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::usage::Usage;

/// Longest time until a process prints its first line.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: SmolStr,
    child: Child,
    /// Kept open because a process that writes to a closed pipe is killed.
    stdout: Option<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a process whose standard error is appended to the file at `log`.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub fn spawn(name: &str, mut command: Command, log: &Path) -> anyhow::Result<Self> {
        let log = append_to(log)?;
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("start {name}"))?;
        let stdout = child.stdout.take().map(BufReader::new);
        Ok(Self {
            name: SmolStr::new(name),
            child,
            stdout,
        })
    }

    /// Waits for the line of JSON that the process prints once it listens.
    ///
    /// # Errors
    ///
    /// Fails if the process exits first, prints no line in time or prints anything else.
    pub async fn first_line<T: DeserializeOwned>(&mut self) -> anyhow::Result<T> {
        let mut stdout = self
            .stdout
            .take()
            .context("the first line was already read")?;
        let read = tokio::task::spawn_blocking(move || {
            let mut line = String::new();
            stdout.read_line(&mut line).map(|_| (stdout, line))
        });
        let name = self.name.clone();
        let Ok(read) = tokio::time::timeout(START_TIMEOUT, read).await else {
            // The blocking reader returns at the end of the pipe, once the process is killed.
            self.kill()?;
            anyhow::bail!("{name} printed no line within {START_TIMEOUT:?}");
        };
        let (stdout, line) = read?.with_context(|| format!("read the output of {name}"))?;
        self.stdout = Some(stdout);
        serde_json::from_str(&line).with_context(|| format!("{name} printed {line:?}"))
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has been waited for.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let name = &self.name;
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.with_context(|| format!("{name} has no id"))?;
        kill_process(pid, signal).with_context(|| format!("signal {name}"))
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails if it can't be waited for.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        let name = self.name.clone();
        self.child.kill().with_context(|| format!("kill {name}"))?;
        let waited = self.child.wait().map(drop);
        waited.with_context(|| format!("wait for {name}"))
    }

    /// Returns whether the process hasn't exited; a paused process counts as running.
    #[must_use]
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if it is still running after `timeout`.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            let name = &self.name;
            anyhow::ensure!(
                started.elapsed() < timeout,
                "{name} is still running after {timeout:?}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the usage of the process so far; `None` once it has been waited for.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        Usage::of(self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may already have exited.
        let _result = self.kill();
    }
}

fn append_to(path: &Path) -> anyhow::Result<File> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("open {}", path.display()))
}
