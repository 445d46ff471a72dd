//! Performs the actions that the state machine of a change returns.

use catalogue::accept::{Action, Event};
use catalogue::rows::{CATALOGUE_PREFIX, id_key};
use catalogue::{Apply, ApplyEnd};
use platform::{Objects, PlatformError, Table};
use tokio::time::sleep;

/// Runs the state machine of a change until it ends.
pub async fn drive<P: Table + Objects>(platform: &P, apply: &mut Apply) -> ApplyEnd {
    let mut actions = Vec::new();
    let mut event = Event::Start;
    loop {
        apply.handle(event, &mut actions);
        if let Some(end) = apply.end() {
            return end.clone();
        }
        debug_assert_eq!(actions.len(), 1, "each event produces one action");
        let Some(action) = actions.pop() else {
            unreachable!("a state machine that has not ended returns an action");
        };
        event = perform(platform, action).await;
    }
}

async fn perform<P: Table + Objects>(platform: &P, action: Action) -> Event {
    let result = match action {
        Action::ReadCatalogue(since) => {
            let changes = platform.changes(CATALOGUE_PREFIX, since).await;
            changes.map(|c| Event::Catalogue(c.rows))
        }
        Action::ReadId(change) => {
            let key = id_key(&change);
            let changes = platform.changes(&key.0, ids::Revision(0)).await;
            changes.map(|c| Event::Id(c.rows))
        }
        Action::Store { name, body } => platform.put(&name, body).await.map(|()| Event::Stored),
        Action::Commit(txn) => platform.commit(txn).await.map(Event::Committed),
        Action::Sleep(wait) => {
            sleep(wait).await;
            Ok::<_, PlatformError>(Event::Woken)
        }
        Action::Finish => unreachable!("a state machine that returns Finish has ended"),
    };
    result.unwrap_or_else(Event::Failed)
}
