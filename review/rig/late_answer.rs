//! A target that sends a second answer to a release, late.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Load, READS};
use crate::fleet::Kind;
use crate::rules;

const TARGETS: usize = 7;
/// The target that repeats an answer: the one that is given the lowest keys first.
const TARGET: usize = 0;
const KIND: Kind = Kind {
    service: "tariffbok",
    work: Duration::from_millis(100),
    repeats_answer: None,
    states_start: true,
};
/// Callers of any key.
const CALLERS: usize = 4;
const LOAD: Load = Load {
    pause: Duration::from_millis(100),
    ..READS
};
/// Callers of the busy keys, which the target holds at first.
const BUSY_CALLERS: usize = 4;
const BUSY_LOAD: Load = Load {
    keys: 6_000,
    ..LOAD
};
/// Callers of one hot key.
const KEY_CALLERS: usize = 2;
/// How long the target may take to release some busy keys to others.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time after that in which grants are watched: the second answer is sent within it, or not at all.
const AFTER: Duration = Duration::from_millis(4_500);

/// Runs the case; returns the exit code.
pub fn run(record_path: &Path, is_disturbed: bool) -> i32 {
    let kind = Kind {
        repeats_answer: is_disturbed.then_some(TARGET),
        ..KIND
    };
    let Some(mut deployment) = Deployment::start(&[(TARGETS, kind)]) else {
        return 2;
    };
    deployment.call(CALLERS, LOAD);
    deployment.call(BUSY_CALLERS, BUSY_LOAD);
    let mut could_run = false;
    if let Some(key) = wait_for_release(&deployment) {
        could_run = true;
        let load = Load {
            start: "GET /r/long",
            first_key: key,
            keys: 1,
            pause: Duration::from_millis(1),
            ..READS
        };
        deployment.call(KEY_CALLERS, load);
        std::thread::sleep(AFTER);
    }
    could_run &= deployment.stop();
    let findings = rules::check_work(&deployment.record.lines());
    for finding in &findings {
        deployment.record.add(format!("OWNER: {finding}"));
    }
    println!(
        "{} served, {} requests still at work when their key was given away",
        deployment.served(),
        findings.len()
    );
    deployment.finish(record_path, could_run);
    match could_run {
        true => i32::from(!findings.is_empty()),
        false => 2,
    }
}

/// Waits until the target has released some keys; returns the lowest key that it still holds.
fn wait_for_release(deployment: &Deployment) -> Option<u64> {
    let target = &deployment.targets[TARGET].cfg.id;
    let end = Instant::now() + RELEASE_TIMEOUT;
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(50));
        if deployment.events(target, "released") > 0 {
            // By now the new owner has been granted the keys.
            std::thread::sleep(Duration::from_millis(400));
            let mut keys = 0..65_536;
            return keys
                .find(|&key| deployment.holder(key).as_deref() == Some(target))
                .map(|key| key as u64);
        }
    }
    None
}
