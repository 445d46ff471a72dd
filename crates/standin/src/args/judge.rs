//! `standin judge`.

use std::path::PathBuf;

use super::run::{print_line, read_settings};
use crate::journal::{read_journal, read_lines};
use crate::judge::{JudgeSettings, Report, judge};

/// Arguments of `standin judge`.
#[derive(Debug, Clone, Default)]
#[derive(clap::Args)]
pub struct JudgeArgs {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// File with the record of each request, as `standin load` writes it.
    #[arg(long, value_name = "FILE")]
    pub records: PathBuf,
    /// File with an upstream's journal; may be given several times.
    #[arg(long = "journal", value_name = "FILE")]
    pub journals: Vec<PathBuf>,
}

impl JudgeArgs {
    /// Judges the files.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or parsed.
    pub fn judge(&self) -> anyhow::Result<Report> {
        let cfg: JudgeSettings = read_settings(self.settings.as_deref())?;
        let mut lines = Vec::new();
        for path in &self.journals {
            lines.extend(read_journal(path)?);
        }
        Ok(judge(&read_lines(&self.records)?, &lines, cfg))
    }

    /// Judges the files and prints the report as one line of JSON.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or parsed, or if any fault is found.
    pub fn run(&self) -> anyhow::Result<()> {
        let report = self.judge()?;
        print_line(&report)?;
        let count = report.faults.len();
        anyhow::ensure!(count == 0, "the judge found {count} faults");
        Ok(())
    }
}
