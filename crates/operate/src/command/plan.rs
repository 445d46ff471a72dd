//! `plan`.

use std::path::Path;

use ids::OperatorId;
use platform::{Objects, Table};

use super::CommandResult;
use super::apply::draft;
use super::submit::{SubmitContext, dry_run};
use crate::args::Against;
use crate::read;

/// Shows which items and slices would change if the directory `dir` were applied.
///
/// # Errors
///
/// The report lists the faults of the directory or contains the error of a read.
pub async fn plan<P: Table + Objects>(
    platform: &P,
    dir: &Path,
    against: &Against,
    operator: &OperatorId,
) -> CommandResult {
    let draft = draft(platform, dir, against).await?;
    let cx = SubmitContext::for_plan(operator.clone());
    let mut apply = draft.into_apply(&cx);
    let in_force = read::in_force(platform).await?;
    Ok(dry_run(&apply.plan_on(&in_force), in_force.version()))
}
