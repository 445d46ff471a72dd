//! `settle`.

use catalogue::rows::{IdRow, encode, id_key};
use ids::{ChangeId, OperatorId};
use platform::{Check, Commit, Table, Txn, Write};
use serde_json::json;

use super::{CommandResult, Report};
use crate::exit::Exit;
use crate::read;

/// Finds out whether `change` was accepted. If `withdraw` is given and the change is undecided,
/// withdraws it in the name of that operator.
///
/// # Errors
///
/// The report contains the error of a read.
pub async fn settle<P: Table>(
    platform: &P,
    change: &ChangeId,
    withdraw: Option<&OperatorId>,
) -> CommandResult {
    if let Some(row) = read::id_row(platform, change).await? {
        return Ok(decided(change, &row));
    }
    let Some(operator) = withdraw else {
        return Ok(undecided(change));
    };
    let row = IdRow::Withdrawn {
        operator: operator.clone(),
    };
    let txn = Txn {
        checks: vec![Check {
            key: id_key(change),
            revision: None,
        }],
        writes: vec![Write {
            key: id_key(change),
            value: Some(encode(&row)),
        }],
    };
    // If the commit was rejected or not confirmed, the row shows the outcome.
    let commit = platform.commit(txn).await;
    if let Ok(Commit::Done(_)) = commit {
        return Ok(decided(change, &row));
    }
    let stored = read::id_row(platform, change).await?;
    match (stored, commit) {
        (Some(row), _) => Ok(decided(change, &row)),
        (None, Err(e)) => Err(read::ReadError::from(e).into()),
        (None, Ok(_)) => Ok(undecided(change)),
    }
}

fn decided(change: &ChangeId, row: &IdRow) -> Report {
    match row {
        IdRow::Accepted { version } => {
            let text = format!("change {change} is accepted: version {version}");
            let json = json!({"change": change, "accepted": true, "version": version});
            Report::new(Exit::Done, text, json)
        }
        IdRow::Withdrawn { operator } => {
            let text =
                format!("change {change} was withdrawn by {operator}; it never takes effect");
            let json = json!({"change": change, "accepted": false, "withdrawn_by": operator});
            Report::new(Exit::Done, text, json)
        }
    }
}

fn undecided(change: &ChangeId) -> Report {
    let text = format!(
        "change {change} has not been accepted so far, but may be yet if it is still on its way\n\
         to make sure that it never is: medlardyke catalogue settle {change} --withdraw\n\
         to have it accepted: run the same apply again"
    );
    let json = json!({"change": change, "accepted": false});
    Report::new(Exit::Unknown, text, json)
}
