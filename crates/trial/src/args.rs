//! The command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context as _;
use clap::ValueEnum;
use smol_str::SmolStr;

use crate::cluster::layout::Layout;
use crate::run::{RunSettings, run};
use crate::scenario::{Scenario, all};

/// Number of processes in a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(ValueEnum)]
pub enum Size {
    /// 5 hosts in 2 domains, 8 upstreams.
    Small,
    /// 11 hosts in 3 domains, 35 upstreams.
    Today,
}

/// `medlardyke trial`: runs real processes under load and faults, and judges the outcome.
#[derive(Debug, Clone)]
#[derive(clap::Args)]
#[command(
    after_help = "Example: medlardyke trial kill-coordinator kill-upstream --size small\n\n\
                        It prints one line of JSON for each trial, and ends with exit code 1 if \
                        one of them shows a violation or can't be run."
)]
pub struct Args {
    /// Trials to run, in this order.
    #[arg(required_unless_present_any = ["list", "all"], value_name = "NAME")]
    pub names: Vec<SmolStr>,
    /// Run all trials.
    #[arg(long, conflicts_with = "names")]
    pub all: bool,
    /// List the trials.
    #[arg(long)]
    pub list: bool,
    /// Number of processes.
    #[arg(long, value_enum, default_value = "today")]
    pub size: Size,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Least length of each load, in seconds.
    #[arg(long, value_name = "NUMBER")]
    pub seconds: Option<u64>,
    /// Factor on the usual rate.
    #[arg(long, default_value_t = 1.0)]
    pub rate: f64,
    /// Keep the folder with settings, logs and journals also if all is well.
    #[arg(long)]
    pub keep: bool,
}

impl Args {
    /// Runs the trials with the current executable; `examples` is the directory of examples.
    ///
    /// # Errors
    ///
    /// Fails if there is no such trial or the path of the executable can't be determined.
    pub fn run(&self, examples: &Path) -> anyhow::Result<ExitCode> {
        if self.list {
            for scenario in all() {
                println!("{}: {}", scenario.name, scenario.description);
            }
            return Ok(ExitCode::SUCCESS);
        }
        let scenarios = self.scenarios()?;
        let binary = std::env::current_exe().context("find the current executable")?;
        let cfg = self.settings(binary, examples)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        let mut failed = false;
        for scenario in scenarios {
            match runtime.block_on(run(&scenario, &cfg)) {
                Ok(report) => {
                    failed |= !report.violations.is_empty();
                    println!("{}", serde_json::to_string(&report)?);
                }
                Err(e) => {
                    failed = true;
                    eprintln!("error: {}: {e:#}", scenario.name);
                }
            }
        }
        Ok(ExitCode::from(u8::from(failed)))
    }

    fn scenarios(&self) -> anyhow::Result<Vec<Scenario>> {
        if self.all {
            return Ok(all());
        }
        let find = |name: &SmolStr| {
            let found = all().into_iter().find(|s| s.name == *name);
            found.with_context(|| format!("no trial {name:?}; --list names them all"))
        };
        self.names.iter().map(find).collect()
    }

    fn settings(&self, binary: PathBuf, examples: &Path) -> anyhow::Result<RunSettings> {
        let layout = match self.size {
            Size::Small => Layout::small(),
            Size::Today => Layout::today(&examples.join("landavgift"))?,
        };
        Ok(RunSettings {
            seed: self.seed,
            seconds: self.seconds,
            rate: self.rate,
            keep: self.keep,
            ..RunSettings::new(binary, layout)
        })
    }
}
