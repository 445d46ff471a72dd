//! `apply`.

use std::path::Path;

use catalogue::accept::BaseSource;
use catalogue::load::load_with_sources;
use catalogue::{Base, PastCatalogue};
use ids::Version;
use platform::{Objects, Table};

use super::submit::{Draft, SubmitContext, dry_run, submit};
use super::{CommandResult, EarlyExit, failed};
use crate::args::Against;
use crate::read;

/// Applies the directory `dir`.
///
/// # Errors
///
/// The report contains the reason why nothing was submitted.
pub async fn apply<P: Table + Objects>(
    platform: &P,
    dir: &Path,
    against: &Against,
    cx: &SubmitContext,
) -> CommandResult {
    let draft = draft(platform, dir, against).await?;
    let mut apply = draft.into_apply(cx);
    if cx.dry_run {
        let in_force = read::in_force(platform).await?;
        return Ok(dry_run(&apply.plan_on(&in_force), in_force.version()));
    }
    let store_base = |apply: &catalogue::Apply, version: Version| {
        apply.base_after(version).store(dir)?;
        Ok(())
    };
    Ok(submit(platform, &mut apply, cx, store_base).await)
}

/// Reads a directory and its base.
///
/// # Errors
///
/// The report lists the faults of the directory or the error of a read.
pub async fn draft<P: Table + Objects>(
    platform: &P,
    dir: &Path,
    against: &Against,
) -> Result<Draft, EarlyExit> {
    let (catalogue, sources) = load_with_sources(dir)?;
    let base = match (Base::load(dir).map_err(failed)?, against.expect) {
        (Some(base), _) => BaseSource::Given(base),
        (None, Some(version)) => BaseSource::Given(base_at(platform, version).await?),
        (None, None) => BaseSource::FirstRead {
            include_others: false,
        },
    };
    Ok(Draft {
        catalogue,
        sources,
        base,
        expect: against.expect,
        admin: against.admin,
    })
}

async fn base_at<P: Table + Objects>(platform: &P, version: Version) -> Result<Base, EarlyExit> {
    let in_force = read::in_force(platform).await?;
    let mut past = PastCatalogue::newest(&in_force);
    read::rewind_to(platform, &mut past, version).await?;
    Ok(past.base().clone())
}
