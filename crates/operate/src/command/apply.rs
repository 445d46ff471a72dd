//! `apply`.

use std::path::Path;

use catalogue::accept::BaseSource;
use catalogue::load::load_with_sources;
use catalogue::{Base, PastCatalogue};
use ids::Version;
use platform::{Objects, Table};

use super::submit::{Context, Draft, dry_run, submit};
use super::{Outcome, Stop, failed};
use crate::args::Against;
use crate::read;

/// Applies the directory `dir`.
///
/// # Errors
///
/// The report says why nothing was submitted.
pub async fn apply<P: Table + Objects>(
    platform: &P,
    dir: &Path,
    against: &Against,
    cx: &Context,
) -> Outcome {
    let draft = draft(platform, dir, against).await?;
    let mut apply = draft.into_apply(cx);
    if cx.dry_run {
        let in_force = read::in_force(platform).await?;
        return Ok(dry_run(&apply.plan_on(&in_force), in_force.version()));
    }
    let keep = |apply: &catalogue::Apply, version: Version| {
        apply.base_after(version).store(dir)?;
        Ok(())
    };
    Ok(submit(platform, &mut apply, cx, keep).await)
}

/// Reads a directory and finds out what it was made from.
///
/// # Errors
///
/// The report lists its faults, or says what can't be read.
pub async fn draft<P: Table + Objects>(
    platform: &P,
    dir: &Path,
    against: &Against,
) -> Result<Draft, Stop> {
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

async fn base_at<P: Table + Objects>(platform: &P, version: Version) -> Result<Base, Stop> {
    let in_force = read::in_force(platform).await?;
    let mut past = PastCatalogue::newest(&in_force);
    read::go_back(platform, &mut past, version).await?;
    Ok(past.base().clone())
}
