//! Checks of the rule OWNER, from what targets took and from the times at which they ended.

use std::collections::{BTreeMap, BTreeSet};

/// Two targets may hold the same keys for this long (RULES.md, OWNER).
const MAX_SHARED_US: u64 = 500_000;

/// One life of a target, and the time in which it held some keys under one fencing token.
#[derive(Debug, Clone)]
struct Hold {
    life: String,
    fence: u64,
    from_us: u64,
    until_us: u64,
}

/// Two targets that held the same keys at the same time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shared {
    pub first_key: usize,
    pub last_key: usize,
    pub one: String,
    pub other: String,
    pub from_us: u64,
    pub until_us: u64,
}

impl Shared {
    pub fn length_us(&self) -> u64 {
        self.until_us - self.from_us
    }
}

/// What the check found.
#[derive(Debug, Default)]
pub struct Findings {
    /// Keys that two targets held for longer than allowed.
    pub shared: Vec<Shared>,
    /// Takes under a fencing token that is not above all with which other lives had the keys.
    pub low_fences: Vec<String>,
}

enum Event {
    Grant { from: usize, to: usize, fence: u64, hold_us: u64 },
    Release { from: usize, to: usize },
    End,
}

/// Checks the lines of a record. Grants that arrive within `excused` (times in microseconds) don't
/// count: it is as if they had not arrived.
pub fn check(lines: &[(u64, String)], excused: (u64, u64)) -> Findings {
    let mut events: BTreeMap<String, Vec<(u64, Event)>> = BTreeMap::new();
    let mut edges: BTreeSet<usize> = [0, 65_536].into();
    for (at, line) in lines {
        let words: Vec<&str> = line.split(' ').collect();
        let ["target", life, event, details @ ..] = words.as_slice() else {
            continue;
        };
        let number = |i: usize| -> u64 { details.get(i).and_then(|n| n.parse().ok()).unwrap_or(0) };
        let (from, to) = (number(0) as usize, number(1) as usize);
        let is_excused = excused.0 <= *at && *at <= excused.1;
        let event = match *event {
            "grant" if is_excused => continue,
            "grant" => Event::Grant { from, to, fence: number(2), hold_us: number(3) },
            "release" => Event::Release { from, to },
            "killed" => Event::End,
            _ => continue,
        };
        if !matches!(event, Event::End) {
            edges.extend([from, to + 1]);
        }
        events.entry((*life).to_owned()).or_default().push((*at, event));
    }
    let edges: Vec<usize> = edges.into_iter().collect();
    let mut findings = Findings::default();
    for pair in edges.windows(2) {
        let (first_key, last_key) = (pair[0], pair[1] - 1);
        let holds: Vec<Hold> =
            events.iter().flat_map(|(life, events)| holds(life, events, first_key)).collect();
        findings.shared.extend(shared(&holds).map(|shared| Shared { first_key, last_key, ..shared }));
        findings.low_fences.extend(low_fences(&holds).map(|text| format!("keys {first_key}-{last_key}: {text}")));
    }
    findings
}

/// Returns the times in which one life held `key`.
fn holds(life: &str, events: &[(u64, Event)], key: usize) -> Vec<Hold> {
    let mut holds: Vec<Hold> = Vec::new();
    for (at, event) in events {
        let current = holds.last_mut().filter(|hold| hold.until_us > *at);
        match event {
            Event::Grant { from, to, fence, hold_us } if (*from..=*to).contains(&key) => {
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
            Event::Grant { .. } | Event::Release { .. } => {}
        }
    }
    holds
}

fn target_of(life: &str) -> &str {
    life.split('#').next().unwrap_or(life)
}

/// Returns the pairs of holds of different targets that overlap for longer than allowed.
fn shared(holds: &[Hold]) -> impl Iterator<Item = Shared> + '_ {
    let pairs = holds.iter().enumerate().flat_map(|(i, one)| holds[i + 1..].iter().map(move |other| (one, other)));
    let pairs = pairs.filter(|(one, other)| target_of(&one.life) != target_of(&other.life));
    pairs.filter_map(|(one, other)| {
        let shared = Shared {
            first_key: 0,
            last_key: 0,
            one: format!("{} (fence {})", one.life, one.fence),
            other: format!("{} (fence {})", other.life, other.fence),
            from_us: one.from_us.max(other.from_us),
            until_us: one.until_us.min(other.until_us),
        };
        (shared.until_us > shared.from_us + MAX_SHARED_US).then_some(shared)
    })
}

/// Returns descriptions of takes whose fencing token another life had already had, or a higher one.
fn low_fences(holds: &[Hold]) -> impl Iterator<Item = String> + '_ {
    holds.iter().filter_map(|take| {
        let is_earlier = |hold: &&Hold| hold.life != take.life && hold.from_us < take.from_us && hold.fence >= take.fence;
        let earlier = holds.iter().find(is_earlier)?;
        Some(format!("{} took fence {} after {} had {}", take.life, take.fence, earlier.life, earlier.fence))
    })
}
