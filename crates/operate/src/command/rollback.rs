//! `rollback`.

use catalogue::accept::BaseSource;
use catalogue::{ItemKey, PastCatalogue, Sources};
use ids::Version;
use platform::{Objects, Table};

use super::CommandResult;
use super::submit::{Draft, SubmitContext, dry_run, submit};
use crate::read;

/// Creates a new version with the content of `version`; if `only` is not empty, of these items.
///
/// # Errors
///
/// The report contains the reason why nothing was submitted.
pub async fn rollback<P: Table + Objects>(
    platform: &P,
    version: Version,
    only: &[ItemKey],
    admin: bool,
    cx: &SubmitContext,
) -> CommandResult {
    let in_force = read::in_force(platform).await?;
    let mut past = PastCatalogue::newest(&in_force);
    let newest = past.clone();
    read::rewind_to(platform, &mut past, version).await?;
    let mut catalogue = past.catalogue().clone();
    if !only.is_empty() {
        catalogue = newest.catalogue().clone();
        for key in only {
            catalogue.set(key, past.catalogue().item(key));
        }
    }
    let draft = Draft {
        catalogue,
        sources: Sources::default(),
        base: BaseSource::Given(newest.base().clone()),
        expect: None,
        admin,
    };
    let mut apply = draft.into_apply(cx);
    if cx.dry_run {
        return Ok(dry_run(&apply.plan_on(&in_force), in_force.version()));
    }
    Ok(submit(platform, &mut apply, cx, |_, _| Ok(())).await)
}
