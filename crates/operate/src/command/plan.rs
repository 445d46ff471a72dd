//! `plan`.

use std::path::Path;

use ids::OperatorId;
use platform::{Objects, Table};

use super::Outcome;
use super::apply::draft;
use super::submit::{Context, dry_run};
use crate::args::Against;
use crate::read;

/// Shows what applying the directory `dir` would change and move.
///
/// # Errors
///
/// The report lists faults, or says what can't be read.
pub async fn plan<P: Table + Objects>(
    platform: &P,
    dir: &Path,
    against: &Against,
    operator: &OperatorId,
) -> Outcome {
    let draft = draft(platform, dir, against).await?;
    let cx = Context::for_plan(operator.clone());
    let mut apply = draft.into_apply(&cx);
    let in_force = read::in_force(platform).await?;
    Ok(dry_run(&apply.plan_on(&in_force), in_force.version()))
}
