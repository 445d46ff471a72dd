//! `medlardyke dev`: platform, upstreams and hosts on loopback in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use catalogue::accept::{ApplyConfig, BaseSource};
use catalogue::{Apply, ApplyEnd, ApplyInput, Catalogue, Sharding, Sources};
use host::settings::{ListenAddresses, LogLevel, PlatformSettings, Settings};
use host::{Addresses, Host};
use ids::{DomainId, EntryId, HostId, OperatorId};
use platform::{HostState, HttpPlatform, HttpSettings, ListedHost, Token};
use serde::Serialize;
use standin::{StandinPlatform, Upstream, UpstreamSettings};
use tokio::runtime::Runtime;

use crate::args::{DevArgs, Example};
use crate::{dev_platform, exit, serve};

/// Operator that applies the declarations; an administrator, which may change all of them.
const OPERATOR: &str = "dev";
const HOST_TOKEN: &str = "dev-host-token";
const OPERATOR_TOKEN: &str = "dev-operator-token";
/// Timeout for the first successful answer.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Hosts in each domain.
const HOSTS_PER_DOMAIN: usize = 1;

/// Addresses that are printed once the hosts serve requests.
#[derive(Debug)]
#[derive(Serialize)]
struct Started {
    platform: SocketAddr,
    platform_admin: SocketAddr,
    hosts: Vec<StartedHost>,
    try_it: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct StartedHost {
    host: HostId,
    domain: DomainId,
    listening: Addresses,
}

/// Runs platform, upstreams and hosts until it is interrupted.
pub(crate) fn run(args: &DevArgs) -> ExitCode {
    if args.platform {
        return match dev_platform::run(args) {
            Ok(()) => ExitCode::from(exit::OK),
            Err(e) => exit::fail(exit::FAILED, format!("{e:#}")),
        };
    }
    let dir = directory(args);
    let catalogue = match catalogue::load(&dir) {
        Ok(catalogue) => catalogue,
        Err(faults) => return exit::fail(exit::INVALID, faults),
    };
    match dev(args, catalogue) {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, format!("{e:#}")),
    }
}

fn directory(args: &DevArgs) -> PathBuf {
    if let Some(dir) = &args.catalogue {
        return dir.clone();
    }
    let name = match args.example {
        Example::Landavgift => "landavgift",
        Example::Kotuku => "kotuku",
    };
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples")).join(name)
}

fn dev(args: &DevArgs, mut catalogue: Catalogue) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let platform = runtime.block_on(start_platform())?;
    let upstreams = runtime.block_on(start_upstreams(&mut catalogue))?;
    let hosts = start_hosts(args, &catalogue, &platform)?;
    let start = Instant::now();
    runtime.block_on(apply(&platform, catalogue.clone()))?;
    let entry = sample_entry(&catalogue).context("the catalogue has no entry")?;
    let sample = sample_request(&catalogue, &entry);
    let first = hosts[0].listening.callers;
    wait_until_answered(&runtime, first, &sample)?;
    print(args, &platform, &hosts, first, &sample, start.elapsed())?;
    serve::wait_for_signal()?;
    for host in hosts {
        host.running.leave();
    }
    runtime.block_on(async {
        for upstream in upstreams {
            upstream.stop().await;
        }
        platform.shutdown().await;
    });
    Ok(())
}

async fn start_platform() -> anyhow::Result<StandinPlatform> {
    let operator = OperatorId::new(OPERATOR)?;
    let settings = standin::PlatformSettings {
        host_tokens: vec![Token::new(HOST_TOKEN)?],
        operators: [(operator.clone(), Token::new(OPERATOR_TOKEN)?)].into(),
        admins: vec![operator],
        ..standin::PlatformSettings::default()
    };
    StandinPlatform::bind(any_port(), settings).await
}

/// Starts a stand-in for each upstream and sets its address in the catalogue.
async fn start_upstreams(catalogue: &mut Catalogue) -> anyhow::Result<Vec<Upstream>> {
    let mut started = Vec::new();
    for (name, declared) in &mut catalogue.upstreams {
        let sharding = catalogue.entries.get(&declared.entry).map(|e| &e.sharding);
        let key = match sharding {
            Some(Sharding::Key { key, .. }) => Some(key.clone()),
            _ => None,
        };
        let settings = UpstreamSettings {
            name: name.clone(),
            entry: declared.entry.clone(),
            key,
            slots: declared.slots,
            connections: declared.connections,
            checks_grants: declared.checks_grants,
            ..UpstreamSettings::default()
        };
        let upstream = Upstream::bind(settings).await?;
        declared.address = upstream.address();
        started.push(upstream);
    }
    Ok(started)
}

#[derive(Debug)]
struct DevHost {
    host: HostId,
    domain: DomainId,
    listening: Addresses,
    running: Host,
}

fn start_hosts(
    args: &DevArgs,
    catalogue: &Catalogue,
    platform: &StandinPlatform,
) -> anyhow::Result<Vec<DevHost>> {
    let mut hosts = Vec::new();
    for domain in catalogue.domains.keys() {
        for i in 1..=HOSTS_PER_DOMAIN {
            let name = HostId::new(format!("{domain}-{i}"))?;
            let callers = if hosts.is_empty() {
                args.listen
            } else {
                any_port()
            };
            hosts.push(start_host(name, domain.clone(), callers, platform)?);
        }
    }
    Ok(hosts)
}

fn start_host(
    host: HostId,
    domain: DomainId,
    callers: SocketAddr,
    platform: &StandinPlatform,
) -> anyhow::Result<DevHost> {
    let cfg = Settings {
        listen: ListenAddresses {
            callers,
            ..ListenAddresses::default()
        },
        log_level: LogLevel::Warning,
        ..Settings::new(
            host.clone(),
            domain.clone(),
            PlatformSettings::new(platform.address()),
        )
    };
    let log = host::log::logger(&cfg);
    let running = Host::start(cfg, Token::new(HOST_TOKEN)?, log)?;
    let listening = running.addresses();
    platform.put_host(ListedHost {
        host: host.clone(),
        domain: domain.clone(),
        control: listening.control,
        dispatch: listening.dispatch,
        state: HostState::Live,
    });
    Ok(DevHost {
        host,
        domain,
        listening,
        running,
    })
}

async fn apply(platform: &StandinPlatform, catalogue: Catalogue) -> anyhow::Result<()> {
    let client = HttpPlatform::new(HttpSettings {
        address: platform.address(),
        token: Token::new(OPERATOR_TOKEN)?,
        ..HttpSettings::default()
    });
    let input = ApplyInput {
        catalogue,
        sources: Sources::default(),
        base: BaseSource::FirstRead {
            include_others: false,
        },
        expect: None,
        operator: OperatorId::new(OPERATOR)?,
        admin: true,
        change: None,
        message: "first declarations".into(),
        at_ms: 0,
    };
    let mut apply = Apply::new(input, ApplyConfig::default());
    match operate::drive::drive(&client, &mut apply).await {
        ApplyEnd::Accepted { .. } | ApplyEnd::InForce { .. } => Ok(()),
        other => anyhow::bail!("apply the catalogue: {other:?}"),
    }
}

fn sample_entry(catalogue: &Catalogue) -> Option<EntryId> {
    let is_sharded = |id: &&EntryId| {
        let entry = &catalogue.entries[*id];
        matches!(entry.sharding, Sharding::Key { .. })
    };
    let first = catalogue.entries.keys().next();
    catalogue.entries.keys().find(is_sharded).or(first).cloned()
}

/// Path and header of a request to an entry.
#[derive(Debug)]
struct SampleRequest {
    path: String,
    header: Option<String>,
}

fn sample_request(catalogue: &Catalogue, entry: &EntryId) -> SampleRequest {
    const KEY: &str = "ESNQ";
    let declared = &catalogue.entries[entry];
    let path = format!("/{}", declared.path);
    match &declared.sharding {
        Sharding::None => SampleRequest { path, header: None },
        Sharding::Key { key, .. } => match key {
            catalogue::KeyLocation::Header(name) => SampleRequest {
                path,
                header: Some(format!("{name}: {KEY}")),
            },
            catalogue::KeyLocation::PathSegment(n) => SampleRequest {
                path: path + &"/x".repeat(*n as usize) + "/" + KEY,
                header: None,
            },
        },
    }
}

fn wait_until_answered(
    runtime: &Runtime,
    host: SocketAddr,
    sample: &SampleRequest,
) -> anyhow::Result<()> {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    let start = Instant::now();
    loop {
        let status = runtime.block_on(send_request(host, sample));
        if matches!(status, Ok(status) if status.is_success()) {
            return Ok(());
        }
        anyhow::ensure!(
            start.elapsed() < READY_TIMEOUT,
            "no answer within {} s; last: {status:?}",
            READY_TIMEOUT.as_secs()
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

async fn send_request(
    host: SocketAddr,
    sample: &SampleRequest,
) -> anyhow::Result<http::StatusCode> {
    let mut req = http::Request::get(&sample.path).header("host", host.to_string());
    if let Some((name, value)) = sample.header.as_deref().and_then(|h| h.split_once(": ")) {
        req = req.header(name, value);
    }
    let req = req.body(http_body_util::Full::new(bytes::Bytes::new()))?;
    let mut conn =
        standin::client::Connection::open(host, standin::client::Protocol::Http1).await?;
    Ok(conn.send(req).await?.status())
}

fn print(
    args: &DevArgs,
    platform: &StandinPlatform,
    hosts: &[DevHost],
    first: SocketAddr,
    sample: &SampleRequest,
    elapsed: Duration,
) -> anyhow::Result<()> {
    let header = sample.header.as_ref();
    let header = header.map_or(String::new(), |h| format!(" -H '{h}'"));
    let try_it = format!("curl -i{header} http://{first}{}", sample.path);
    let started = Started {
        platform: platform.address(),
        platform_admin: platform.admin_address(),
        hosts: hosts
            .iter()
            .map(|h| StartedHost {
                host: h.host.clone(),
                domain: h.domain.clone(),
                listening: h.listening,
            })
            .collect(),
        try_it,
    };
    if args.json {
        println!("{}", serde_json::to_string(&started)?);
        return Ok(());
    }
    println!("platform stand-in at {}", started.platform);
    for h in &started.hosts {
        println!(
            "host {} in domain {} at {}",
            h.host, h.domain, h.listening.callers
        );
    }
    println!(
        "ready after {} ms; try:\n\n  {}\n",
        elapsed.as_millis(),
        started.try_it
    );
    println!("Ctrl-C ends it.");
    Ok(())
}

const fn any_port() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}
