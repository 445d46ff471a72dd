//! A target that restarts under its id while it is cut off from the store.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Load, READS};
use crate::fleet::{Kind, Target};
use crate::rules;
use crate::target::now_us;

const TARGETS: usize = 10;
const KIND: Kind = Kind {
    service: "tariffbok",
    work: Duration::from_millis(30),
    repeats_answer: None,
    states_start: true,
};
/// Callers of any key.
const CALLERS: usize = 5;
/// Callers of the busy keys.
const BUSY_CALLERS: usize = 4;
const BUSY_READS: Load = Load {
    keys: 6_000,
    ..READS
};
/// A key whose holder is cut off from the store.
const KEY: usize = 3_000;
/// Time of calm traffic before the cut.
const CALM: Duration = Duration::from_secs(8);
/// From the cut to the end of the old process.
const KILL_AFTER: Duration = Duration::from_millis(100);
/// From the end of the old process to the start of the new one.
const DOWN: Duration = Duration::from_millis(300);
/// From the cut until it heals.
const CUT: Duration = Duration::from_millis(1_700);
/// Time after the cut in which holds are watched.
const AFTER: Duration = Duration::from_secs(10);
/// Time after a link healed in which grants don't count (`thaw_s`).
const HEALED_US: u64 = 300_000;

/// Runs the case; returns the exit code.
pub fn run(record_path: &Path, is_disturbed: bool) -> i32 {
    let Some(mut deployment) = Deployment::start(&[(TARGETS, KIND)]) else {
        return 2;
    };
    deployment.call(CALLERS, READS);
    deployment.call(BUSY_CALLERS, BUSY_READS);
    std::thread::sleep(CALM);
    let mut could_run = deployment.served() > 0;
    let mut excused = (0, 0);
    if is_disturbed {
        match deployment.holder(KEY) {
            Some(holder) => {
                restart_behind_cut(&mut deployment, &holder);
                excused = (now_us(), now_us() + HEALED_US);
            }
            None => could_run = false,
        }
    }
    std::thread::sleep(AFTER);
    could_run &= deployment.stop();
    let findings = rules::check_holds(&deployment.record.lines(), excused);
    for finding in findings.shared.iter().chain(&findings.low_fences) {
        deployment.record.add(format!("OWNER: {finding}"));
    }
    println!(
        "{} served, {} ranges held by two targets, {} takes under an old fence",
        deployment.served(),
        findings.shared.len(),
        findings.low_fences.len()
    );
    deployment.finish(record_path, could_run);
    match could_run {
        true => i32::from(!findings.shared.is_empty()),
        false => 2,
    }
}

/// Cuts `holder` off from the store, restarts it, and heals the cut.
fn restart_behind_cut(deployment: &mut Deployment, holder: &str) {
    let record = deployment.record.clone();
    let is_holder = |target: &&mut Target| target.cfg.id == holder;
    let target = deployment.targets.iter_mut().find(is_holder);
    let target = target.expect("holders are targets");
    let cut_at = Instant::now();
    target.link.set_cut(true);
    record.add(format!("cut {holder} from the store"));
    std::thread::sleep(KILL_AFTER);
    target.kill();
    std::thread::sleep(DOWN);
    target.start_life();
    std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    target.link.set_cut(false);
    record.add(format!("healed {holder} to the store"));
}
