//! Text syntax of events and actions.
//!
//! An event is a verb, a subject, and options such as `deadline=50`. Omitted options default to the
//! values in [`arrival`] and [`limits`].

use std::time::Duration;

use ids::{EntryId, Epoch, KeyHash, Reason, RequestId, SliceNo, Timestamp, UpstreamId};
use route::{Action, Arrival, CallEnd, CallKey, Event, UpstreamLimits};

/// Builds a time from milliseconds.
pub fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// The words of an event.
struct Words<'a>(Vec<&'a str>);

impl<'a> Words<'a> {
    fn word(&self, i: usize) -> &'a str {
        self.0.get(i).copied().unwrap_or_default()
    }

    fn has(&self, word: &str) -> bool {
        self.0.contains(&word)
    }

    /// Returns the text after `name=`.
    fn option(&self, name: &str) -> Option<&'a str> {
        let value = |w: &&'a str| w.strip_prefix(name)?.strip_prefix('=');
        self.0.iter().find_map(value)
    }

    fn number(&self, name: &str, default: u64) -> u64 {
        self.option(name).map_or(default, number)
    }

    fn key(&self) -> Option<KeyHash> {
        self.option("key").map(|n| KeyHash(number(n)))
    }

    fn hot(&self) -> Option<SliceNo> {
        self.key().map(KeyHash::hot_slice)
    }

    fn call(&self) -> CallKey {
        CallKey(number(self.word(1)))
    }

    fn upstream(&self) -> UpstreamId {
        upstream(self.word(1))
    }
}

fn number(text: &str) -> u64 {
    text.parse().expect("a number")
}

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a valid name")
}

/// Parses an event that occurs at `now`.
pub fn parse(now: Timestamp, text: &str) -> Event {
    let words = Words(text.split(' ').collect());
    let upstream = || words.upstream();
    let slice = held(&words);
    match words.word(0) {
        "arrive" => Event::Arrive(arrival(now, &words)),
        "answered" => {
            let bytes = words.number("bytes", 10) as usize;
            finished(&words, CallEnd::Answered { bytes })
        }
        "failed" => {
            let reason: Reason = words.word(2).parse().expect("a reason");
            finished(&words, CallEnd::Failed(reason))
        }
        "disconnect" => Event::CallerGone { call: words.call() },
        "declare" => Event::UpstreamDeclared {
            upstream: upstream(),
            limits: limits(&words),
        },
        "lease" => Event::Lease {
            upstream: upstream(),
            epoch: Epoch(words.number("epoch", 0)),
            valid_until: ms(words.number("until", 0)),
            slices: words.option("slices").map(slices),
        },
        "lease-ended" => Event::LeaseEnded {
            upstream: upstream(),
        },
        "restarted" => Event::Restarted {
            upstream: upstream(),
        },
        "draining" => Event::Draining {
            upstream: upstream(),
        },
        "removed" => Event::Removed {
            upstream: upstream(),
        },
        "unhealthy" => Event::Health {
            upstream: upstream(),
            healthy: false,
        },
        "hot" => Event::HotSlicesChanged {
            upstream: upstream(),
            hot: words.hot().into_iter().collect(),
        },
        "hold" => Event::Hold {
            upstream: upstream(),
            slice,
        },
        "release" => Event::Release {
            upstream: upstream(),
            slice,
            to: words.option("to").map(self::upstream),
        },
        "tick" => Event::Tick,
        verb => panic!("{verb:?} is not an event"),
    }
}

/// Returns slice 1, the hot slice of a key, or all.
fn held(words: &Words<'_>) -> Option<SliceNo> {
    if words.has("all") {
        return None;
    }
    words.hot().or(Some(SliceNo(1)))
}

/// Parses slices in ascending order; one that begins with `h` is the hot slice of a key.
fn slices(text: &str) -> std::sync::Arc<[SliceNo]> {
    let names = text.split(',').filter(|n| !n.is_empty());
    let slice = |n: &str| match n.strip_prefix('h') {
        Some(key) => KeyHash(number(key)).hot_slice(),
        None => SliceNo(number(n)),
    };
    names.map(slice).collect()
}

fn finished(words: &Words<'_>, end: CallEnd) -> Event {
    Event::Finished {
        call: words.call(),
        end,
    }
}

fn limits(words: &Words<'_>) -> UpstreamLimits {
    UpstreamLimits {
        slots: words.number("slots", 2) as u32,
        connections: words.number("connections", 3) as u32,
        queue: words.number("queue", 3) as u32,
        divided: !words.has("undivided"),
    }
}

/// Builds a call; by default it is for slice 1 of `u1`, not idempotent, with an id of its own and a
/// deadline at 1 s, and has not waited before.
fn arrival(now: Timestamp, words: &Words<'_>) -> Arrival {
    let call = words.call();
    let deadline = ms(words.number("deadline", 1_000));
    let waited = Duration::from_millis(words.number("waited", 0));
    let slice = match words.option("slice") {
        None => Some(SliceNo(1)),
        Some("none") => None,
        Some(n) => Some(SliceNo(number(n))),
    };
    let id = words.number("id", call.0);
    Arrival {
        call,
        upstream: upstream(words.option("upstream").unwrap_or("u1")),
        slice,
        deadline,
        total_time: waited + deadline.since(now),
        key: words.key(),
        idempotent: words.has("idempotent"),
        entry: EntryId::new(words.option("entry").unwrap_or("slotbook")).expect("a valid name"),
        request_id: RequestId::new(format!("r{id}")).expect("a valid name"),
        fingerprint: words.number("fingerprint", 7),
    }
}

/// Formats an action.
pub fn show(action: &Action) -> String {
    match action {
        Action::Send {
            call,
            upstream,
            epoch,
            ..
        } => format!("send {call} {upstream} e{epoch}"),
        Action::Answer { call, from } => format!("answer {call} from {from}"),
        Action::Refuse { call, reason, .. } => format!("refuse {call} {reason}"),
        Action::Abort { call } => format!("abort {call}"),
        Action::Keep { call } => format!("keep {call}"),
        Action::Discard { call } => format!("discard {call}"),
        Action::Drained { upstream, slice } => match slice {
            Some(slice) => format!("drained {upstream} {slice}"),
            None => format!("drained {upstream}"),
        },
    }
}
