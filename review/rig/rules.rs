//! Checks of the rules OWNER and ROUTE, from what targets took and ran.

use std::collections::{BTreeMap, BTreeSet};

/// Two targets may hold the same keys for this long (RULES.md, OWNER).
const MAX_SHARED_US: u64 = 500_000;

/// What happened at a target.
#[derive(Debug, Clone)]
enum Event {
    /// It took keys.
    Grant {
        from: usize,
        to: usize,
        fence: u64,
        hold_us: u64,
    },
    /// It was told to release keys.
    Release { from: usize, to: usize },
    /// A request on a key began.
    Run { id: String, key: usize },
    /// A request ended.
    RunEnd { id: String },
    /// Its process was killed.
    End,
}

/// Events by the lives of targets, in the order of their times.
type Events = BTreeMap<String, Vec<(u64, Event)>>;

/// Reads the lines of a record.
fn read(lines: &[(u64, String)]) -> Events {
    let mut events = Events::new();
    for (at, line) in lines {
        let words: Vec<&str> = line.split(' ').collect();
        let ["target", life, event, details @ ..] = words.as_slice() else {
            continue;
        };
        let text = |i: usize| details.get(i).copied().unwrap_or("").to_owned();
        let number = |i: usize| -> u64 { text(i).parse().unwrap_or(0) };
        let (from, to) = (number(0) as usize, number(1) as usize);
        let event = match *event {
            "grant" => Event::Grant {
                from,
                to,
                fence: number(2),
                hold_us: number(3),
            },
            "release" => Event::Release { from, to },
            "run" => Event::Run {
                id: text(0),
                key: number(1) as usize,
            },
            "end" => Event::RunEnd { id: text(0) },
            "killed" => Event::End,
            _ => continue,
        };
        let life = events.entry((*life).to_owned()).or_default();
        life.push((*at, event));
    }
    events
}

/// Returns the target of a life.
fn target_of(life: &str) -> &str {
    life.split('#').next().unwrap_or(life)
}

/// The time in which one life of a target held a key under one fencing token.
#[derive(Debug, Clone)]
struct Hold {
    life: String,
    fence: u64,
    from_us: u64,
    until_us: u64,
}

/// What the check of holds found.
#[derive(Debug, Default)]
pub struct Findings {
    /// Keys that two targets held for longer than allowed.
    pub shared: Vec<String>,
    /// Takes under a fencing token that is not above all with which other lives had the keys.
    pub low_fences: Vec<String>,
}

/// Checks that no two targets hold the same keys. Grants that arrive within `excused` (times in
/// microseconds) don't count: it is as if they had not arrived.
pub fn check_holds(lines: &[(u64, String)], excused: (u64, u64)) -> Findings {
    let mut events = read(lines);
    let is_excused = |at: u64| excused.0 <= at && at <= excused.1;
    for life in events.values_mut() {
        life.retain(|(at, event)| !matches!(event, Event::Grant { .. }) || !is_excused(*at));
    }
    let mut edges: BTreeSet<usize> = [0, 65_536].into();
    for (_, event) in events.values().flatten() {
        if let Event::Grant { from, to, .. } | Event::Release { from, to } = event {
            edges.extend([*from, to + 1]);
        }
    }
    let edges: Vec<usize> = edges.into_iter().collect();
    let mut findings = Findings::default();
    for pair in edges.windows(2) {
        let keys = format!("keys {}-{}", pair[0], pair[1] - 1);
        let lives = events.iter();
        let holds: Vec<Hold> = lives
            .flat_map(|(life, e)| holds(life, e, pair[0]))
            .collect();
        let shared = shared(&holds).map(|text| format!("{keys} {text}"));
        findings.shared.extend(shared);
        let low_fences = low_fences(&holds).map(|text| format!("{keys}: {text}"));
        findings.low_fences.extend(low_fences);
    }
    findings
}

/// Returns the times in which one life held `key`.
fn holds(life: &str, events: &[(u64, Event)], key: usize) -> Vec<Hold> {
    let mut holds: Vec<Hold> = Vec::new();
    for (at, event) in events {
        let current = holds.last_mut().filter(|hold| hold.until_us > *at);
        match event {
            Event::Grant {
                from,
                to,
                fence,
                hold_us,
            } if (*from..=*to).contains(&key) => {
                match current {
                    Some(hold) if hold.fence == *fence => {
                        hold.until_us = at + hold_us;
                        continue;
                    }
                    Some(hold) => hold.until_us = *at,
                    None => {}
                }
                holds.push(Hold {
                    life: life.to_owned(),
                    fence: *fence,
                    from_us: *at,
                    until_us: at + hold_us,
                });
            }
            Event::Release { from, to } if (*from..=*to).contains(&key) => {
                if let Some(hold) = current {
                    hold.until_us = *at;
                }
            }
            Event::End => {
                if let Some(hold) = current {
                    hold.until_us = *at;
                }
            }
            _ => {}
        }
    }
    holds
}

/// Describes the pairs of holds of different targets that overlap for longer than allowed.
fn shared(holds: &[Hold]) -> impl Iterator<Item = String> + '_ {
    let others = |i: usize, one| holds[i + 1..].iter().map(move |other| (one, other));
    let pairs = holds.iter().enumerate();
    let pairs = pairs.flat_map(move |(i, one): (usize, &Hold)| others(i, one));
    pairs.filter_map(|(one, other)| {
        let from_us = one.from_us.max(other.from_us);
        let until_us = one.until_us.min(other.until_us);
        let is_too_long = until_us > from_us + MAX_SHARED_US;
        let are_different = target_of(&one.life) != target_of(&other.life);
        (is_too_long && are_different).then(|| {
            format!(
                "held by {} (fence {}) and {} (fence {}) for {:.3} s",
                one.life,
                one.fence,
                other.life,
                other.fence,
                (until_us - from_us) as f64 / 1e6
            )
        })
    })
}

/// Describes takes whose fencing token another life had already had, or a higher one.
fn low_fences(holds: &[Hold]) -> impl Iterator<Item = String> + '_ {
    holds.iter().filter_map(|take| {
        let is_earlier = |hold: &&Hold| {
            hold.life != take.life && hold.from_us < take.from_us && hold.fence >= take.fence
        };
        let earlier = holds.iter().find(is_earlier)?;
        Some(format!(
            "{} took fence {} after {} had {}",
            take.life, take.fence, earlier.life, earlier.fence
        ))
    })
}

/// A request at work.
struct Run {
    id: String,
    key: usize,
    life: String,
    from_us: u64,
    until_us: u64,
    /// When the hold under which it began would run out.
    hold_end_us: u64,
}

/// Checks that no target is given a key on which another is still at work, before that one's hold
/// would have run out; returns what breaks this.
pub fn check_work(lines: &[(u64, String)]) -> Vec<String> {
    let events = read(lines);
    let lives = events.iter();
    let runs: Vec<Run> = lives
        .flat_map(|(life, events)| runs(life, events))
        .collect();
    let mut broken = Vec::new();
    for (life, events) in &events {
        for (at, event) in events {
            let Event::Grant {
                from, to, fence, ..
            } = event
            else {
                continue;
            };
            let breaks = runs.iter().filter(|run| {
                let is_at_work = run.from_us < *at && *at < run.until_us.min(run.hold_end_us);
                let is_other = target_of(&run.life) != target_of(life);
                is_other && is_at_work && (*from..=*to).contains(&run.key)
            });
            broken.extend(breaks.map(|run| {
                format!(
                    "{life} was granted keys {from}-{to} (fence {fence}) while {} was at work on key \
                     {} (request {}), {:.3} s before it ended",
                    run.life,
                    run.key,
                    run.id,
                    (run.until_us - at) as f64 / 1e6
                )
            }));
        }
    }
    broken
}

/// Returns the requests that a life ran.
fn runs(life: &str, events: &[(u64, Event)]) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    for (at, event) in events {
        match event {
            Event::Run { id, key } => {
                let holds = holds(life, events, *key).into_iter();
                let hold = holds.filter(|hold| hold.from_us <= *at).next_back();
                // A release ends the hold earlier, but not the time that it would have lasted.
                let granted = events.iter().filter_map(|(granted, event)| match event {
                    Event::Grant {
                        from, to, hold_us, ..
                    } if granted <= at && (*from..=*to).contains(key) => Some(granted + hold_us),
                    _ => None,
                });
                runs.push(Run {
                    id: id.clone(),
                    key: *key,
                    life: life.to_owned(),
                    from_us: *at,
                    until_us: u64::MAX,
                    hold_end_us: hold.and(granted.max()).unwrap_or(0),
                });
            }
            Event::RunEnd { id } => {
                let run = runs.iter_mut().find(|run| run.id == *id);
                if let Some(run) = run {
                    run.until_us = *at;
                }
            }
            Event::End => {
                let running = runs.iter_mut().filter(|run| run.until_us == u64::MAX);
                running.for_each(|run| run.until_us = *at);
            }
            _ => {}
        }
    }
    // A request without an end was at work when the record ended.
    runs.retain(|run| run.until_us != u64::MAX);
    runs
}

/// Checks that requests are run by targets of their own services; returns what breaks this. Ids of
/// requests begin with the service to which the manifest sends them, ids of targets contain theirs.
pub fn check_routes(lines: &[(u64, String)]) -> Vec<String> {
    let events = read(lines);
    let runs = events.iter().flat_map(|(life, events)| {
        let runs = events.iter().filter_map(|(_, event)| match event {
            Event::Run { id, .. } => Some(id),
            _ => None,
        });
        runs.map(move |id| (life, id))
    });
    let answers: BTreeMap<&str, &str> = lines
        .iter()
        .filter_map(|(_, line)| line.strip_prefix("answered ")?.split_once(' '))
        .collect();
    let breaks = runs.filter(|(life, id)| {
        let service = id.split('-').next().unwrap_or(id);
        !target_of(life).starts_with(&format!("i-{service}"))
    });
    breaks
        .map(|(life, id)| {
            let answer = answers.get(id.as_str()).unwrap_or(&"nothing");
            format!("request {id} was run by {life}; its caller got {answer}")
        })
        .collect()
}
