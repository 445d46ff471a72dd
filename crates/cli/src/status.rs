//! `medlardyke status`.

use std::net::SocketAddr;
use std::process::ExitCode;

use serde_json::Value;

use crate::args::StatusArgs;
use crate::exit;

/// Prints the status of hosts.
pub(crate) fn run(args: &StatusArgs) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => return exit::fail(exit::FAILED, e),
    };
    let mut code = exit::OK;
    for &address in &args.hosts {
        match runtime.block_on(fetch(address)) {
            Ok(status) => print(address, &status, args.json),
            Err(e) => {
                eprintln!("error: {address}: {e:#}");
                code = exit::UNREACHABLE;
            }
        }
    }
    ExitCode::from(code)
}

async fn fetch(address: SocketAddr) -> anyhow::Result<Value> {
    standin::client::get(address, host::status::STATUS_PATH).await
}

fn print(address: SocketAddr, status: &Value, json: bool) {
    if json {
        println!("{status}");
        return;
    }
    let text = |name: &str| match &status[name] {
        Value::String(s) => s.clone(),
        Value::Null => "unknown".to_owned(),
        Value::Array(items) => items.len().to_string(),
        other => other.to_string(),
    };
    println!(
        "{address} {host} in {domain}: {phase}, catalogue version {version} read {age} ms ago, \
         ownership revision {revision}, coordinates {upstreams} upstreams, sees {live} live hosts",
        host = text("host"),
        domain = text("domain"),
        phase = text("phase"),
        version = text("catalogue_version"),
        age = text("catalogue_age_ms"),
        revision = text("revision"),
        upstreams = text("upstreams"),
        live = text("live_hosts"),
    );
}
