//! Rules for single requests: at most one execution, correct outcomes, matching answers.

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::execution::{Execution, ExecutionRef};
use super::fault::Fault;
use crate::load::{ClientOutcome, Record};

/// A request with its records and executions.
#[derive(Debug, Default)]
struct Request<'a> {
    /// One record for each time that the request was sent.
    records: Vec<&'a Record>,
    executions: Vec<&'a Execution>,
}

impl Request<'_> {
    fn places(&self) -> Vec<ExecutionRef> {
        self.executions.iter().map(|e| e.place.clone()).collect()
    }
}

/// Checks all requests with records.
pub(super) fn check(records: &[Record], executions: &[Execution], faults: &mut Vec<Fault>) {
    let mut requests: IndexMap<&SmolStr, Request<'_>> = IndexMap::new();
    for record in records {
        requests.entry(&record.id).or_default().records.push(record);
    }
    for execution in executions {
        // An execution without a record belongs to a request that this load did not send.
        let request = execution.id.as_ref().and_then(|id| requests.get_mut(id));
        if let Some(request) = request {
            request.executions.push(execution);
        }
    }
    for (id, request) in &requests {
        check_count(id, request, faults);
        check_not_run(id, request, faults);
        check_answers(id, request, faults);
    }
}

fn check_count(id: &SmolStr, request: &Request<'_>, faults: &mut Vec<Fault>) {
    let is_idempotent = request.records.iter().all(|r| r.idempotent);
    if !is_idempotent && request.executions.len() > 1 {
        faults.push(Fault::RanTwice {
            id: id.clone(),
            places: request.places(),
        });
    }
}

/// Checks that a request has no execution if all its records say that it did not run.
///
/// The journal does not show to which record of a repeated request an execution belongs, so one
/// record that allows an execution is enough.
fn check_not_run(id: &SmolStr, request: &Request<'_>, faults: &mut Vec<Fault>) {
    let all_not_run = request
        .records
        .iter()
        .all(|r| r.seen == ClientOutcome::NotRun);
    if all_not_run && !request.executions.is_empty() {
        faults.push(Fault::NotRunRan {
            id: id.clone(),
            reason: request.records[0].reason.clone(),
            places: request.places(),
        });
    }
}

fn check_answers(id: &SmolStr, request: &Request<'_>, faults: &mut Vec<Fault>) {
    for record in &request.records {
        if record.seen == ClientOutcome::Wrong {
            faults.push(Fault::WrongAnswer {
                id: id.clone(),
                reason: record.reason.clone(),
                done_us: record.done_us,
            });
        }
        let answered_by = |e: &&Execution| {
            let of_upstream = record.upstream.as_deref() == Some(e.place.upstream.as_str());
            of_upstream && e.place.end_us.is_some_and(|end| end <= record.done_us)
        };
        if record.seen == ClientOutcome::Answered && !request.executions.iter().any(answered_by) {
            faults.push(Fault::AnsweredUnrun {
                id: id.clone(),
                done_us: record.done_us,
                upstream: record.upstream.clone(),
                places: request.places(),
            });
        }
    }
}
