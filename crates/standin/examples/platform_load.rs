//! Measures the platform's HTTP client against the stand-in platform, over loopback in one process.
//!
//! Prints one line of JSON per case: calls per second, their latencies, and bytes per call.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use clap::Parser;
use futures::future::try_join_all;
use hdrhistogram::Histogram;
use ids::Revision;
use platform::{Commit, HttpPlatform, HttpSettings, RowKey, Table, Token, Txn, Write as RowWrite};
use serde::Serialize;
use standin::platform::Counters;
use standin::{PlatformSettings, StandinPlatform};

const TOKEN: &str = "host";

/// Measures the HTTP client against the stand-in platform.
#[derive(Debug, Parser)]
struct Args {
    /// Clients that call at the same time, each one call after the other.
    #[arg(long, default_value_t = 16)]
    clients: usize,
    /// Time for each case, in seconds.
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Rows below `own/`.
    #[arg(long, default_value_t = 3_000)]
    rows: usize,
    /// Bytes of a row's value.
    #[arg(long, default_value_t = 500)]
    row_bytes: usize,
}

/// The call that the clients repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum Case {
    /// Reads changes when there are none.
    QuietRead,
    /// Writes one row.
    Write,
    /// Reads all rows.
    FullRead,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Line {
    case: Case,
    clients: usize,
    rows: usize,
    row_bytes: usize,
    per_s: f64,
    p50_us: u64,
    p99_us: u64,
    bytes_in_per_call: f64,
    bytes_out_per_call: f64,
    pages_per_call: f64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let settings = PlatformSettings {
        host_tokens: vec![Token::new(TOKEN)?],
        ..PlatformSettings::default()
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = StandinPlatform::bind(address, settings).await?;
    for row in 0..args.rows {
        let txn = write(row, args.row_bytes);
        server.with_table(|t| t.commit(&txn));
    }
    for case in [Case::QuietRead, Case::Write, Case::FullRead] {
        let line = measure(&args, &server, case).await?;
        println!("{}", serde_json::to_string(&line)?);
    }
    server.shutdown().await;
    Ok(())
}

async fn measure(args: &Args, server: &StandinPlatform, case: Case) -> anyhow::Result<Line> {
    let before = server.counters();
    let started = Instant::now();
    let clients = (0..args.clients).map(|n| {
        let client = client(server.address());
        let (rows, bytes, seconds) = (args.rows, args.row_bytes, args.seconds);
        tokio::spawn(async move {
            let end = started + Duration::from_secs(seconds);
            run(&client?, case, n * 17 % rows, bytes, end).await
        })
    });
    let mut latencies = Histogram::<u64>::new(3)?;
    for client in try_join_all(clients).await? {
        latencies.add(client?)?;
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let after = server.counters();
    let calls = latencies.len() as f64;
    let per_call = |count: fn(&Counters) -> u64| (count(&after) - count(&before)) as f64 / calls;
    Ok(Line {
        case,
        clients: args.clients,
        rows: args.rows,
        row_bytes: args.row_bytes,
        per_s: calls / elapsed_s,
        p50_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
        bytes_in_per_call: per_call(|c| c.bytes_in),
        bytes_out_per_call: per_call(|c| c.bytes_out),
        pages_per_call: per_call(|c| c.change_reads),
    })
}

async fn run(
    client: &HttpPlatform,
    case: Case,
    row: usize,
    bytes: usize,
    end: Instant,
) -> anyhow::Result<Histogram<u64>> {
    let mut latencies = Histogram::new(3)?;
    while Instant::now() < end {
        let started = Instant::now();
        match case {
            Case::QuietRead => {
                client.changes("own/", Revision(u64::MAX - 1)).await?;
            }
            Case::FullRead => {
                client.changes("own/", Revision(0)).await?;
            }
            Case::Write => {
                let commit = client.commit(write(row, bytes)).await?;
                anyhow::ensure!(matches!(commit, Commit::Done(_)), "conflict");
            }
        }
        latencies.record(started.elapsed().as_micros() as u64)?;
    }
    Ok(latencies)
}

fn client(address: SocketAddr) -> anyhow::Result<HttpPlatform> {
    Ok(HttpPlatform::new(HttpSettings {
        address,
        token: Token::new(TOKEN).context("build token")?,
        timeout: Duration::from_secs(10),
        ..HttpSettings::default()
    }))
}

fn write(row: usize, bytes: usize) -> Txn {
    Txn {
        checks: Vec::new(),
        writes: vec![RowWrite {
            key: RowKey(format!("own/upstream-{row}").into()),
            value: Some(Bytes::from(vec![b'x'; bytes])),
        }],
    }
}
