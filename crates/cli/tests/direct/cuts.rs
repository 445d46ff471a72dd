//! Cuts of hosts' links to all upstreams at random moments, again and again, under load and beside
//! restarts, changes of the configuration and outages of the store.
//!
//! A seed decides on the faults. `CUT_SEEDS` sets the seeds, separated by commas.

use std::time::Duration;

use futures::future::join_all;
use rand::Rng as _;
use rand::rngs::StdRng;
use standin::LinkCut;

use crate::soak::{self, Event, HOSTS};

/// Seeds that are played by default, all at once.
const SEEDS: [u64; 2] = [1, 2];

fn draw(rng: &mut StdRng) -> Event {
    let ways = [LinkCut::Hangs, LinkCut::Resets, LinkCut::RefusesNew];
    match rng.random_range(0..12) {
        0..=4 => Event::CutLinks {
            hosts: rng.random_range(1..1 << HOSTS),
            how: ways[rng.random_range(0..ways.len())],
        },
        5 | 6 => Event::RestoreLinks,
        7 => Event::Outage(Duration::from_millis(rng.random_range(100..4_000))),
        8 => Event::RestartHost(rng.random_range(0..HOSTS)),
        9 => Event::ReplaceServer(rng.random_range(0..3)),
        10 => Event::ReplacePosts(rng.random_range(0..2)),
        _ => Event::RestartServer(rng.random_range(0..3)),
    }
}

/// Guards against two owners of a key, posts that run twice through different hosts, untrue refusals,
/// and hosts that don't recover, when hosts lose their links at any moment.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_lose_their_links_at_random_moments() {
    let seeds = soak::seeds("CUT_SEEDS", &SEEDS);
    join_all(seeds.into_iter().map(|seed| soak::play(seed, draw))).await;
}
