//! Carries out what the state machine of a change asks for.

use catalogue::accept::{Action, Event};
use catalogue::rows::{CATALOGUE_PREFIX, id_key};
use catalogue::{Apply, ApplyEnd};
use platform::{Objects, PlatformError, Table};
use tokio::time::sleep;

/// Gets a change accepted.
pub async fn drive<P: Table + Objects>(platform: &P, apply: &mut Apply) -> ApplyEnd {
    let mut actions = Vec::new();
    let mut event = Event::Start;
    loop {
        apply.handle(event, &mut actions);
        if let Some(verdict) = apply.end() {
            return verdict.clone();
        }
        debug_assert_eq!(actions.len(), 1, "each event gives one action");
        let Some(action) = actions.pop() else {
            unreachable!("a machine that has not ended asks for something");
        };
        event = act(platform, action).await;
    }
}

async fn act<P: Table + Objects>(platform: &P, action: Action) -> Event {
    let done = match action {
        Action::ReadCatalogue(since) => {
            let read = platform.changes(CATALOGUE_PREFIX, since).await;
            read.map(|c| Event::Catalogue(c.rows))
        }
        Action::ReadId(change) => {
            let key = id_key(&change);
            let read = platform.changes(&key.0, ids::Revision(0)).await;
            read.map(|c| Event::Id(c.rows))
        }
        Action::Store { name, body } => platform.put(&name, body).await.map(|()| Event::Stored),
        Action::Commit(txn) => platform.commit(txn).await.map(Event::Committed),
        Action::Sleep(wait) => {
            sleep(wait).await;
            Ok::<_, PlatformError>(Event::Woken)
        }
        Action::Finish => unreachable!("a machine that asks to finish has ended"),
    };
    done.unwrap_or_else(Event::Failed)
}
