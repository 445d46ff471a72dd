//! Reads and checks the settings file.

use std::path::Path;

use catalogue::{Fault, Faults};
use smol_str::{SmolStr, ToSmolStr};

use crate::settings::{OwnershipTimes, Settings};

/// Renewals that must fit into the time for which a grant holds.
const RENEWALS_PER_GRANT: u32 = 3;
/// Heartbeats that must fit into the heartbeat timeout.
const HEARTBEATS_PER_TIMEOUT: u32 = 3;

/// Reads the settings of a host from `path`.
///
/// # Errors
///
/// Returns all faults of the file: violations of its schema or, if there are none, settings that
/// contradict each other.
pub fn load_settings(path: &Path) -> Result<Settings, Faults> {
    let cfg: Settings = catalogue::document::read(path)?;
    let file = path.display().to_smolstr();
    let faults = contradictions(&file, &cfg);
    if faults.is_empty() {
        return Ok(cfg);
    }
    Err(Faults(faults))
}

fn contradictions(file: &SmolStr, cfg: &Settings) -> Vec<Fault> {
    let mut faults = ownership_faults(file, &cfg.ownership);
    for (i, seed) in cfg.seed_peers.iter().enumerate() {
        if seed.host == cfg.host {
            let pointer = format!("/seed_peers/{i}/host");
            faults.push(fault(
                file,
                pointer,
                &seed.host,
                "other hosts than this one",
            ));
        }
    }
    faults
}

fn ownership_faults(file: &SmolStr, times: &OwnershipTimes) -> Vec<Fault> {
    let mut faults = Vec::new();
    if times.grant_ttl_ms < times.renew_every_ms * RENEWALS_PER_GRANT {
        faults.push(fault(
            file,
            "/ownership/grant_ttl_ms".to_owned(),
            &times.grant_ttl_ms,
            &format!("at least {RENEWALS_PER_GRANT} times renew_every_ms"),
        ));
    }
    if times.silence_ms < times.heartbeat_every_ms * HEARTBEATS_PER_TIMEOUT {
        faults.push(fault(
            file,
            "/ownership/silence_ms".to_owned(),
            &times.silence_ms,
            &format!("at least {HEARTBEATS_PER_TIMEOUT} times heartbeat_every_ms"),
        ));
    }
    faults
}

fn fault(file: &SmolStr, pointer: String, found: &dyn ToString, allowed: &str) -> Fault {
    Fault {
        file: file.clone(),
        pointer,
        found: found.to_string(),
        allowed: allowed.to_owned(),
    }
}
